"""Another writer leaves one odd heartbeat; control processes end by it."""

import json
import random
import time

from cluster import *

TROUBLE_S = 30
NAME_BYTES = 255
NAMES = 33500


def make_odd_heartbeat():
    """@return a heartbeat whose service and zone aren't named anywhere"""
    names = ["w%0*d" % (NAME_BYTES - 1, i) for i in range(NAMES)]
    return json.dumps({
        "service": "unnamed", "addr": make_host(240) + ":9000",
        "zone": "unnamed", "version": "v1", "slots": 1, "state": "ready",
        "coldLeftMs": 0, "seq": 1, "born": int(time.time() * 1000),
        "models": [], "available": {"inMemory": [], "onDisk": names}}).encode()


def send_odd_heartbeats(cluster, record, end):
    """Sends a heartbeat every heartbeatMs to a node that it picks among those
    that serve control, and without an acknowledgement to the next one."""
    body = make_odd_heartbeat()
    record.write("other writer: its heartbeat has %d bytes" % len(body))
    pick = random.Random(6)
    while time.monotonic() < end:
        first = pick.randrange(len(cluster.controls))
        for turn in range(len(cluster.controls)):
            host = cluster.controls[(first + turn) % len(cluster.controls)]
            answer = call(cluster.control_address(host), "POST",
                          "/wasabiwind/Instances.Beat/odd", body,
                          {"Content-Type": "application/json"}, timeout=1.0)
            record.write("other writer: %s answers %s" %
                         (host, answer and answer[0]))
            if answer is not None and answer[0] == 200:
                break
        time.sleep(BOUNDS["heartbeatMs"] / 1000)


def play(record):
    cluster = Cluster(record)
    platform = None
    try:
        cluster.start_all()

        def answer(runner, sock, method, path, headers, body):
            send_whole(sock, 200, b"ok", signature(runner, headers))
            return True

        for i in range(3):
            Runner(cluster, record, "i-%d" % i, "desk", 100 + i,
                   handler=answer, zone="z" + "abc"[i])
        config = make_config(1, [plain_route("o", "unsafe", "desk", "/o/")],
                             [plain_service("desk")])
        if put_config(cluster, config, record) != 200:
            raise RuntimeError("no configuration")
        if not wait_ready(cluster):
            raise RuntimeError("not ready")
        time.sleep(5)
        platform = Platform(cluster, record)
        end = time.monotonic() + TROUBLE_S
        if has_trouble():
            send_odd_heartbeats(cluster, record, end)
        else:
            time.sleep(TROUBLE_S)
        held = get_config(cluster, until=4.0)
        record.write("operator: reads version %s" %
                     (held and held["version"]))
        ends = [platform.ends[host] for host in cluster.controls]
        record.write("control processes ended by themselves: %s" % ends)
        return sum(1 for count in ends if count >= 3) * 2 >= len(ends)
    finally:
        if platform is not None:
            platform.stop()
        cluster.close()


run_case(play)
