"""Clients send prompts of many short parts; entry processes outgrow their
machines."""

import random
import threading
import time

from cluster import *

# Of grown/hutchworks-live-grown.toml.
MEMORY_MB = 160
HEADER_BYTES = 16384
KV_TOKENS = 232000
RUNNERS = 10  # of 60
CLIENTS = 12
DAY_S = 60
PARTS = 1400
ORDER_EVERY_S = 0.25


def answer(runner, sock, method, path, headers, body):
    if path.startswith("/order/"):
        time.sleep(0.3)
        send_whole(sock, 200, b"p" * 800, signature(runner, headers))
        return True
    head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    for name, value in signature(runner, headers).items():
        head += "%s: %s\r\n" % (name, value)
    event = b"id: 0\ndata: answer\n\n"
    sock.sendall(head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" +
                 b"%x\r\n%s\r\n0\r\n\r\n" % (len(event), event))
    return True


def make_prompt():
    """@return the number of tokens of a prompt and its parts"""
    if has_trouble():
        tokens = [1] * PARTS
    else:
        tokens = [800, 410, PARTS - 1210]
    parts = ",".join("%08x:%d" % (random.getrandbits(32), count)
                     for count in tokens)
    return sum(tokens), parts


def configure(cluster, record):
    service = plain_service("llm")
    service["engine"] = {
        "slots": 64, "kvTokens": KV_TOKENS, "kvTokenBytes": 327680,
        "stride": 5, "weightsMb": 200000.0, "adapterSlots": 8,
        "loadsPerS": 13.0,
        "models": [{"name": "m0", "weightsMb": 65500.0, "loadS": 7.8,
                    "adapters": 0, "adapterMb": 40.0, "warmS": 0.38,
                    "diskS": 0.76}]}
    routes = [plain_route("chat", "stream", "llm", "/chat/", timeout=6000,
                          attempts=1, sticky=True, gapSloMs=400, sloMs=800),
              plain_route("order", "unsafe", "desk", "/order/", attempts=1)]
    config = make_config(1, routes, [service, plain_service("desk")])
    return put_config(cluster, config, record)


def play(record):
    cluster = Cluster(record)
    platform = None
    try:
        cluster.start_all()
        for i in range(RUNNERS):
            Runner(cluster, record, "i-%d" % i, "llm", 100 + i,
                   models=[{"name": "m0", "version": 1, "adapters": []}],
                   handler=answer, zone="z" + "ab"[i % 2],
                   unrecorded="/chat/")
        Runner(cluster, record, "d-0", "desk", 120, handler=answer, zone="za")
        if configure(cluster, record) != 200 or not wait_ready(cluster):
            raise RuntimeError("not ready")
        time.sleep(4)
        platform = Platform(cluster, record,
                            {host: MEMORY_MB for host in cluster.entries})
        end = time.monotonic() + DAY_S
        lock = threading.Lock()
        counts = {"prompts": 0, "prompts served": 0, "orders": 0}
        lost_orders = set()

        def ask(host):
            tokens, parts = make_prompt()
            headers = {"X-Wasabiwind-Model": "m0",
                       "X-Wasabiwind-Token-Count": "%d,80" % tokens,
                       "X-Wasabiwind-Prefix-Hash": parts}
            assert sum(len(a) + len(b) + 4
                       for a, b in headers.items()) < HEADER_BYTES - 400
            result = request(cluster, host, "/chat/1", body=b"question",
                             deadline=6000, headers=headers)
            with lock:
                counts["prompts"] += 1
                if result is not None and result[0] == 200 and result[3]:
                    counts["prompts served"] += 1
            return result

        def client(number):
            host = cluster.entries[number % len(cluster.entries)]
            while time.monotonic() < end:
                if ask(host) is None:
                    time.sleep(0.3)

        def customer(host):
            while time.monotonic() < end:
                name = new_id()
                result = request(cluster, host, "/order/1", deadline=3000,
                                 request_id=name)
                with lock:
                    counts["orders"] += 1
                record.write("client: order %s -> %s" %
                             (name, result and result[0]))
                if result is None:
                    lost_orders.add(name)
                time.sleep(ORDER_EVERY_S)

        threads = [threading.Thread(target=client, args=(i,))
                   for i in range(CLIENTS)]
        threads += [threading.Thread(target=customer, args=(host,))
                    for host in cluster.entries]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            time.sleep(2)
            record.write("memory in MB: %s" % ", ".join(
                "%s %d" % (host, cluster.memory_mb(host))
                for host in cluster.entries))
            if min(platform.ends[host] for host in cluster.entries) >= 3:
                end = min(end, time.monotonic())
        ends = [platform.ends[host] for host in cluster.entries]
        record.write("%s; orders that got no answer: %d" %
                     (counts, len(lost_orders)))
        record.write("entry processes ended for their memory: %s" % ends)
        return sum(1 for count in ends if count >= 3) >= 2
    finally:
        if platform is not None:
            platform.stop()
        cluster.close()


run_case(play)
