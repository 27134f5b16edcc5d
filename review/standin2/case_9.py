"""Runners send interim answers (1xx) before some of their answers."""

import random
import threading
import time

from cluster import *

RUNNERS = 3
FAULTY_RUNNERS = 2  # garble: share .6 of the runners
FAULTY_ANSWERS = 0.03  # garble: x of their answers
FAULTY_S = 5.0  # garble: for_s, again after as long a pause
CLIENTS = 16
DAY_S = 45
PAUSE_S = 0.2
TIMEOUT_MS = 3000
LATE_S = 0.5


class Orders:
    """What clients and runners saw of each order."""

    def __init__(self, record):
        self.record = record
        self.lock = threading.Lock()
        self.random = random.Random(8)
        self.interim = set()
        self.answered_by_runner = set()
        self.start = time.monotonic()
        self.sent = 0
        self.final = 0
        self.without_final = []


def is_garbling(orders):
    passed = time.monotonic() - orders.start
    return has_trouble() and passed % (2 * FAULTY_S) < FAULTY_S


def make_handler(orders):
    def answer(runner, sock, method, path, headers, body):
        name = headers["x-wasabiwind-request-id"]
        time.sleep(0.015)
        with orders.lock:
            is_interim = (is_garbling(orders) and runner.is_faulty and
                          orders.random.random() < FAULTY_ANSWERS)
        if is_interim:
            orders.interim.add(name)
            orders.record.write("%s: interim answer to %s" %
                                (runner.name, name))
            sock.sendall(("HTTP/1.1 102 Processing\r\n"
                          "X-Wasabiwind-Request-Id: %s\r\n\r\n" %
                          name).encode())
            time.sleep(0.02)
        send_whole(sock, 200, b"p" * 800, signature(runner, headers))
        orders.answered_by_runner.add(name)
        return True
    return answer


def read_final(stream):
    """Reads answers until a final one, as HTTP/1.1 tells clients to."""
    while True:
        result = read_answer(stream, no_body=range(100, 200))
        if result is None or result[0] >= 200:
            return result


def place_order(cluster, orders):
    """One attempt on a connection of its own. Waits for the final answer until
    LATE_S after the timeout of the route."""
    name = new_id()
    host = random.choice(cluster.entries)
    result = None
    try:
        with socket.create_connection(cluster.front_address(host), 1.0) as sock:
            sock.settimeout(TIMEOUT_MS / 1000 + LATE_S + 0.1)
            sock.sendall(("POST /order/1 HTTP/1.1\r\nHost: shop.example\r\n"
                          "X-Wasabiwind-Request-Id: %s\r\n"
                          "X-Wasabiwind-Deadline-Ms: 5000\r\n"
                          "Content-Length: 600\r\n\r\n" % name).encode() +
                         b"o" * 600)
            result = read_final(sock.makefile("rb"))
    except OSError:
        pass
    with orders.lock:
        orders.sent += 1
        if result is not None:
            orders.final += 1
        else:
            orders.without_final.append(name)
    if result is None:
        orders.record.write("client: %s has no final answer %d ms after it "
                            "was sent" % (name, TIMEOUT_MS + LATE_S * 1000))


def play(record):
    cluster = Cluster(record)
    try:
        cluster.start_all()
        orders = Orders(record)
        for i in range(RUNNERS):
            runner = Runner(cluster, record, "i-%d" % i, "desk", 100 + i,
                            handler=make_handler(orders),
                            zone="z" + "abc"[i])
            runner.is_faulty = i < FAULTY_RUNNERS
        route = plain_route("order", "unsafe", "desk", "/order/",
                            timeout=TIMEOUT_MS, attempts=1)
        config = make_config(1, [route], [plain_service("desk")])
        if put_config(cluster, config, record) != 200:
            raise RuntimeError("no configuration")
        if not wait_ready(cluster):
            raise RuntimeError("not ready")
        time.sleep(5)
        end = time.monotonic() + DAY_S

        def client():
            while time.monotonic() < end:
                place_order(cluster, orders)
                time.sleep(PAUSE_S)

        threads = [threading.Thread(target=client) for _ in range(CLIENTS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        lost = [name for name in orders.without_final
                if name in orders.answered_by_runner]
        record.write("orders: sent %d, with a final answer %d, without one %d; "
                     "of these the runner ran and answered %d" %
                     (orders.sent, orders.final, len(orders.without_final),
                      len(lost)))
        # All that last longer than timeoutMs are those without a final answer.
        return len(lost) >= 8
    finally:
        cluster.close()


run_case(play)
