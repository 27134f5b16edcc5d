"""Runners start again under their ids while their links to control are cut;
the calls by which they left arrive late."""

import http.client
import threading
import time

from cluster import *

DAY_S = 92
CUT_S = 5.0  # srv_cut: for_s
CUT_EVERY_S = 5.2  # the cuts do not overlap
LEAVE_AFTER_S = 0.3  # from the begin of the cut
RESTART_S = 0.5
CALL_TIMEOUT_S = 1.0
FIRST_RETRANSMISSION_S = 0.2
ORDERS_PER_S = 4
LOOKUPS_PER_S = 24


class Link:
    """The path from one runner to one control host. While it is cut, nothing
    passes. What was sent on an open connection passes with the first
    retransmission after the cut, also if its sender has closed it since, as
    TCP does; connections that weren't open aren't made."""

    def __init__(self, target):
        self.target = target
        self.cut_until = 0.0
        self.server = socket.create_server((make_host(230), 0), backlog=64)
        self.address = self.server.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self, seconds):
        self.cut_until = time.monotonic() + seconds

    def is_cut(self):
        return time.monotonic() < self.cut_until

    def wait_until_passing(self):
        """Waits for the first retransmission after the cut."""
        pause = FIRST_RETRANSMISSION_S
        while self.is_cut():
            time.sleep(pause)
            pause *= 2

    def _accept(self):
        while True:
            sock, _ = self.server.accept()
            threading.Thread(target=self._pass_on, args=(sock,),
                             daemon=True).start()

    def _pass_on(self, sock):
        while self.is_cut():  # the connection isn't made
            time.sleep(0.02)
            sock.settimeout(0)
            try:
                if sock.recv(1, socket.MSG_PEEK) == b"":
                    sock.close()
                    return
            except OSError:
                pass
        sock.settimeout(None)
        try:
            peer = socket.create_connection(self.target, 2)
        except OSError:
            sock.close()
            return
        peer.settimeout(None)
        back = threading.Thread(target=self._copy, args=(peer, sock),
                                daemon=True)
        back.start()
        self._copy(sock, peer)

    def _copy(self, source, sink):
        try:
            while True:
                data = source.recv(65536)
                self.wait_until_passing()
                if not data:
                    sink.shutdown(socket.SHUT_WR)
                    return
                sink.sendall(data)
        except OSError:
            pass


class DeskRunner(Runner):
    """A runner that keeps its connections to control hosts open, and may
    start again under its id."""

    def __init__(self, *args, **more):
        self.links = []
        self.kept = {}
        self.is_leaving = False
        self.beat_lock = threading.Lock()
        super().__init__(*args, **more)

    def call_control(self, number, path, body):
        """@return whether the call was acknowledged within a second"""
        link = self.links[number]
        connection = self.kept.pop(number, None)
        try:
            if connection is None:
                connection = http.client.HTTPConnection(
                    *link.address, timeout=CALL_TIMEOUT_S)
            connection.request("POST", path, body,
                               {"Content-Type": "application/json"}
                               if body else {})
            answer = connection.getresponse()
            answer.read()
            self.kept[number] = connection
            return answer.status == 200
        except (OSError, http.client.HTTPException):
            connection.close()
            return False

    def send_beat(self):
        if self.is_leaving or not self.links:
            return
        with self.beat_lock:
            self.send_beat_now()

    def send_beat_now(self):
        body = self.beat_body()
        for _ in range(len(self.links)):
            number = self.turn % len(self.links)
            if self.call_control(number, "/wasabiwind/Instances.Beat/" +
                                 self.name, body):
                return
            self.turn += 1

    def stop_beats(self):
        """Sends no more heartbeats, and waits for the one under way."""
        self.is_leaving = True
        with self.beat_lock:
            pass

    def leave(self):
        """Leaves first and goes on to serve, as some runners do. Exits without
        an acknowledgement, too."""
        for turn in range(len(self.links)):
            number = (self.turn + turn) % len(self.links)
            is_known = self.call_control(
                number, "/wasabiwind/Instances.Leave/" + self.name, b"")
            self.record.write("%s: leaves, node %d %s" %
                              (self.name, number, "acknowledges" if is_known
                               else "doesn't answer"))
            if is_known:
                break
        time.sleep(max(0, 2.5 - CALL_TIMEOUT_S * len(self.links)))
        self.crash()


def answer(runner, sock, method, path, headers, body):
    time.sleep(0.015)
    send_whole(sock, 200, b"p" * 800, signature(runner, headers))
    return True


def start_runner(cluster, record, name, service, number, links):
    runner = DeskRunner(cluster, record, name, service, 100 + number,
                        handler=answer, zone="z" + "abc"[number % 3],
                        unrecorded="/")
    runner.turn = number % 3  # the control host of its zone
    runner.links = links
    record.write("%s: starts, born %d" % (name, runner.born))
    return runner


def restart(cluster, record, runner, number):
    """A planned restart of a runner, whose links to control are cut meanwhile
    if there is trouble."""
    runner.stop_beats()
    if has_trouble():
        record.write("%s: its links to control are cut for %.1f s" %
                     (runner.name, CUT_S))
        for link in runner.links:
            link.cut(CUT_S)
    time.sleep(LEAVE_AFTER_S)
    runner.leave()
    time.sleep(RESTART_S)
    start_runner(cluster, record, runner.name, runner.service, number,
                 runner.links)


class Callers:
    def __init__(self, cluster, record, end):
        self.cluster = cluster
        self.record = record
        self.end = end
        self.lock = threading.Lock()
        self.sent = {"order": 0, "lookup": 0}
        self.served = {"order": 0, "lookup": 0}

    def ask(self, kind, host):
        name = new_id()
        result = request(self.cluster, host, "/%s/1" % kind,
                         "POST" if kind == "order" else "GET",
                         b"o" * 600 if kind == "order" else b"",
                         deadline=2000, request_id=name)
        is_served = result is not None and result[0] == 200
        with self.lock:
            self.sent[kind] += 1
            self.served[kind] += int(is_served)
        if kind == "order":
            reason = "" if is_served or result is None else result[2][:40]
            self.record.write("client: order %s -> %s %s" %
                              (name, result and result[0], reason))

    def run(self, kind, per_second, host):
        """Sends requests at a constant rate, whatever their answers take."""
        asking = []
        while time.monotonic() < self.end:
            asking.append(threading.Thread(target=self.ask,
                                           args=(kind, host)))
            asking[-1].start()
            time.sleep(1 / per_second)
        for thread in asking:
            thread.join()


def play(record):
    cluster = Cluster(record)
    try:
        cluster.start_all()
        runners = []
        for service, first in (("desk", 0), ("shelf", 3)):
            for number in range(first, first + 3):
                links = [Link(cluster.control_address(host))
                         for host in cluster.controls]
                runners.append(start_runner(cluster, record,
                                            "i-%s-%d" % (service, number),
                                            service, number, links))
        routes = [plain_route("order", "unsafe", "desk", "/order/"),
                  plain_route("lookup", "safe", "shelf", "/lookup/")]
        config = make_config(1, routes, [plain_service("desk"),
                                         plain_service("shelf")])
        if put_config(cluster, config, record) != 200:
            raise RuntimeError("no configuration")
        if not wait_ready(cluster):
            raise RuntimeError("not ready")
        time.sleep(5)
        callers = Callers(cluster, record, time.monotonic() + DAY_S)
        threads = [threading.Thread(target=callers.run,
                                    args=(kind, per_second / 2, host))
                   for kind, per_second in (("order", ORDERS_PER_S),
                                            ("lookup", LOOKUPS_PER_S))
                   for host in cluster.entries]
        for number in range(3):
            threads.append(threading.Thread(
                target=lambda n=number: (time.sleep(n * CUT_EVERY_S),
                                         restart(cluster, record, runners[n],
                                                 n))))
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        for kind in callers.sent:
            record.write("%s: sent %d, served %d" %
                         (kind, callers.sent[kind], callers.served[kind]))
        share = callers.served["order"] / callers.sent["order"]
        share_of_all = (sum(callers.served.values()) /
                        sum(callers.sent.values()))
        record.write("share served: orders %.3f, all requests %.3f" %
                     (share, share_of_all))
        return share < share_of_all / 4
    finally:
        cluster.close()


run_case(play)
