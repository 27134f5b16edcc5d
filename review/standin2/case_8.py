"""A client frames the body of its order by a transfer coding that the entry
host doesn't know; the body is run as a request of its own."""

import random
import threading
import time

from cluster import *

ORDERS = 60
CODINGS = ["identity", "gzip", "chunked, identity"]


class Seen:
    """What clients sent, and what runners ran."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.sent = {}  # id: body
        self.ran = []  # (id, path, body)

    def answer(self, runner, sock, method, path, headers, body):
        name = headers.get("x-wasabiwind-request-id", "")
        with self.lock:
            self.ran.append((name, path, body))
        self.record.write("%s: the body of %s has %d bytes" %
                          (runner.name, name, len(body)))
        send_whole(sock, 200, b"placed", signature(runner, headers))
        return True


def make_text():
    """@return the text of an order, which a caller may choose freely"""
    return ("POST /order/2 HTTP/1.1\r\nHost: shop.example\r\n"
            "X-Wasabiwind-Request-Id: %s\r\n"
            "X-Wasabiwind-Deadline-Ms: 3000\r\nContent-Length: 0\r\n\r\n" %
            new_id()).encode()


def place_order(cluster, seen, number):
    """Sends one request on a connection of its own, and nothing else."""
    name = new_id()
    text = make_text()
    if has_trouble():
        framing = "Transfer-Encoding: " + CODINGS[number % len(CODINGS)]
    else:
        framing = "Content-Length: %d" % len(text)
    seen.sent[name] = text
    seen.record.write("client: sends %s, %s, with a body of %d bytes" %
                      (name, framing, len(text)))
    host = random.choice(cluster.entries)
    answers = []
    try:
        with socket.create_connection(cluster.front_address(host), 1) as sock:
            sock.settimeout(0.5)
            sock.sendall(("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                          "X-Wasabiwind-Request-Id: %s\r\n"
                          "X-Wasabiwind-Deadline-Ms: 3000\r\n%s\r\n\r\n" %
                          (name, framing)).encode() + text)
            stream = sock.makefile("rb")
            while True:
                result = read_answer(stream)
                if result is None:
                    break
                answers.append(result[0])
    except OSError:
        pass
    seen.record.write("client: %s got the answers %s" % (name, answers))


def play(record):
    cluster = Cluster(record)
    try:
        cluster.start_all()
        seen = Seen(record)
        for i in range(3):
            Runner(cluster, record, "i-%d" % i, "desk", 100 + i,
                   handler=seen.answer, zone="z" + "abc"[i])
        route = plain_route("order", "unsafe", "desk", "/order/", attempts=1)
        config = make_config(1, [route], [plain_service("desk")])
        if put_config(cluster, config, record) != 200:
            raise RuntimeError("no configuration")
        if not wait_ready(cluster):
            raise RuntimeError("not ready")
        time.sleep(5)
        for number in range(ORDERS):
            place_order(cluster, seen, number)
        smuggled = [name for name, path, body in seen.ran
                    if name not in seen.sent]
        changed = [name for name, path, body in seen.ran
                   if name in seen.sent and body != seen.sent[name]]
        record.write("orders: sent %d; runs %d, of these with an id that no "
                     "client sent %d, with another body than the client's %d" %
                     (len(seen.sent), len(seen.ran), len(smuggled),
                      len(changed)))
        return bool(smuggled or changed)
    finally:
        cluster.close()


run_case(play)
