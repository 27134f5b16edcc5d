"""Stand-ins and helpers for the review scripts.

Starts the programs of the deploy file on loopback addresses, with settings
like those of a small deployment, and plays the platform, the operator, the
runners and the clients with small stand-ins that follow the users' pages.
"""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

BOUNDS = {
    "graceS": 8,
    "leaseMs": 3000,
    "ceilingWindowS": 5,
    "retryRatio": 0.2,
    "retryWindowS": 10,
    "retrySlack": 52,
    "ttl_max_s": 5,
    "heartbeatMs": 1200,
}


# Time of a load of a model, whose weights every runner has on its disk.
LOAD_S = 0.8

# A loopback network of this process, so that several scripts can run at once.
NETWORK = "127.%d.%d" % (10 + os.getpid() // 250 % 200, 1 + os.getpid() % 250)


def make_host(number):
    """@return a loopback address of this script"""
    return "%s.%d" % (NETWORK, number)


def free_base_port():
    """@return a port that is free, with the ones after it, on all addresses."""
    for base in range(20000, 30000, 37):
        try:
            for port in range(base, base + 8):
                for last in range(1, 8):
                    with socket.socket() as probe:
                        probe.bind((make_host(last), port))
            return base
        except OSError:
            continue
    raise RuntimeError("no free ports")


class Record:
    """What was sent, answered and run: lines of record.txt."""

    def __init__(self, folder):
        self._file = open(os.path.join(folder, "record.txt"), "w")
        self._lock = threading.Lock()
        self._start = time.monotonic()

    def write(self, text):
        with self._lock:
            self._file.write("%8.3f %s\n" %
                             (time.monotonic() - self._start, text))
            self._file.flush()


class Cluster:
    """Processes of the system: three control and some entry hosts."""

    def __init__(self, record, entries=2, controls=3, tolerated=1):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="ww-review-")
        self.port = free_base_port()
        self.processes = {}
        self.controls = [make_host(i + 1) for i in range(controls)]
        self.entries = [make_host(controls + i + 1)
                        for i in range(entries)]
        self.is_first_start = {host: True for host in self.controls}
        self.tolerated = tolerated

    # Ports: messages, admin, control, front, ready, directory.
    def control_address(self, host):
        return (host, self.port + 2)

    def front_address(self, host):
        return (host, self.port + 3)

    def ready_address(self, host):
        return (host, self.port + 4)

    def directory_address(self, host):
        return (host, self.port + 5)

    def seeds(self):
        return ",".join("%s:%d" % self.control_address(h)
                        for h in self.controls[:3])

    def zone(self, host):
        hosts = self.controls if host in self.controls else self.entries
        return "abc"[hosts.index(host) % 3]

    def settings(self, host):
        zone = self.zone(host)
        text = "[node]\nname = n-%s\nregion = r%s\ndomain = z%s\n" % (
            host, zone, zone)
        text += "[admin]\nlisten = %s:%d\n" % (host, self.port + 1)
        text += "[log]\nlevel = info\n[network]\n"
        text += "message_address = %s:%d\nmessage_port = %d\n" % (
            host, self.port, self.port)
        text += "control_hosts = %s\n" % self.seeds()
        text += "domains = za=ra,zb=rb,zc=rc\n[bounds]\n"
        text += "grace_ms = %ds\nheartbeat_ms = %dms\n" % (
            BOUNDS["graceS"], BOUNDS["heartbeatMs"])
        if host in self.controls:
            text += "order_lease_ms = %dms\nload_window_ms = %ds\n" % (
                BOUNDS["leaseMs"], BOUNDS["ceilingWindowS"])
            text += "[group]\ndata_folder = %s\nlisten = %s:%d\n" % (
                self.data_folder(host), *self.control_address(host))
            text += "is_first_start = %s\ntolerated_losses = %d\n" % (
                "true" if self.is_first_start[host] else "false",
                self.tolerated)
        else:
            text += ("retry_ratio = %s\nretry_window_ms = %ds\n"
                     "retry_slack = %d\naddress_ttl_ms = %ds\n" %
                     (BOUNDS["retryRatio"], BOUNDS["retryWindowS"],
                      BOUNDS["retrySlack"], BOUNDS["ttl_max_s"]))
            text += "[callers]\nlisten = %s:%d\n" % self.front_address(host)
            text += "directory = %s:%d\n" % self.directory_address(host)
            text += "ready = %s:%d\n" % self.ready_address(host)
        return text

    def data_folder(self, host):
        return os.path.join(self.folder, "data-" + host)

    def start(self, host):
        program = ("ww_platform_control"
                   if host in self.controls else "ww_platform_entry")
        path = os.path.join(self.folder, host + ".ini")
        with open(path, "w") as file:
            file.write(self.settings(host))
        out = open(os.path.join(self.folder, host + ".log"), "a")
        self.processes[host] = subprocess.Popen(
            [os.path.join(ROOT, "target/bin", program), "--config=" + path],
            stdout=out, stderr=out, stdin=subprocess.DEVNULL, cwd=ROOT)
        out.close()
        if host in self.controls:
            self.is_first_start[host] = False

    def start_all(self):
        for host in self.controls + self.entries:
            self.start(host)

    def signal(self, host, number):
        self.processes[host].send_signal(number)

    def kill(self, host):
        process = self.processes[host]
        if process.poll() is None:
            process.kill()
        process.wait()

    def is_alive(self, host):
        return self.processes[host].poll() is None

    def log_lines(self, host, word):
        with open(os.path.join(self.folder, host + ".log"),
                  errors="replace") as file:
            return [line for line in file if word in line]

    def memory_mb(self, host, key="VmRSS"):
        try:
            with open("/proc/%d/status" % self.processes[host].pid) as file:
                for line in file:
                    if line.startswith(key):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        if os.environ.get("KEEP"):
            print("kept:", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def read_answer(stream, no_body=()):
    """Reads one HTTP answer. @return (status, headers, body, is_whole)
    @param no_body statuses whose answers have no body"""
    line = stream.readline()
    if not line:
        return None
    status = int(line.split()[1])
    headers = {}
    while True:
        line = stream.readline()
        if line in (b"\r\n", b"\n", b""):
            break
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    if not line:
        return status, headers, b"", False
    if status in no_body:
        return status, headers, b"", True
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while True:
            size_line = stream.readline()
            if not size_line.endswith(b"\n"):
                return status, headers, body, False
            size = int(size_line.split(b";")[0], 16)
            part = stream.read(size + 2)
            if len(part) < size + 2:
                return status, headers, body + part, False
            if size == 0:
                return status, headers, body, True
            body += part[:-2]
    if "content-length" in headers:
        length = int(headers["content-length"])
        body = stream.read(length)
        return status, headers, body, len(body) == length
    return status, headers, stream.read(), True


def call(address, method, path, body=b"", headers=None, timeout=5.0):
    """One HTTP call on a connection of its own. @return as read_answer, or
    None if there is no answer."""
    try:
        with socket.create_connection(address, timeout=timeout) as sock:
            sock.settimeout(timeout)
            head = "%s %s HTTP/1.1\r\n" % (method, path)
            fields = {"Host": "%s:%d" % address,
                      "Content-Length": str(len(body))}
            fields.update(headers or {})
            for name, value in fields.items():
                head += "%s: %s\r\n" % (name, value)
            sock.sendall(head.encode() + b"\r\n" + body)
            return read_answer(sock.makefile("rb"))
    except (OSError, ValueError):
        return None


def put_config(cluster, config, record, until=20.0, hosts=None):
    """The operator sends a configuration until it gets a clear answer.
    @return the status, or None"""
    body = json.dumps(config).encode()
    end = time.monotonic() + until
    hosts = list(hosts or cluster.controls)
    turn = 0
    while time.monotonic() < end:
        address = cluster.control_address(hosts[turn % len(hosts)])
        turn += 1
        answer = None
        for _ in range(3):
            answer = call(address, "POST", "/wasabiwind/Config.Put", body,
                          {"Content-Type": "application/json"}, timeout=1.0)
            if answer is None or answer[0] != 307:
                break
            place = answer[1]["location"].split("//")[1].split("/")[0]
            host, port = place.rsplit(":", 1)
            address = (host, int(port))
        if answer is not None and answer[0] in (200, 400, 409, 412, 413, 422):
            record.write("operator: version %s -> %d" %
                         (config["version"], answer[0]))
            return answer[0]
        time.sleep(0.2)
    record.write("operator: version %s -> no clear answer" % config["version"])
    return None


def get_config(cluster, until=6.0, hosts=None):
    """@return the configuration that is read back, or None"""
    end = time.monotonic() + until
    hosts = list(hosts or cluster.controls)
    turn = 0
    while time.monotonic() < end:
        address = cluster.control_address(hosts[turn % len(hosts)])
        turn += 1
        for _ in range(3):
            answer = call(address, "GET", "/wasabiwind/Config.Get",
                          timeout=1.0)
            if answer is None or answer[0] != 307:
                break
            place = answer[1]["location"].split("//")[1].split("/")[0]
            host, port = place.rsplit(":", 1)
            address = (host, int(port))
        if answer is not None and answer[0] == 200 and answer[3]:
            return json.loads(answer[2])
        time.sleep(0.2)
    return None


class Runner:
    """A runner of a service: sends heartbeats, runs requests."""

    def __init__(self, cluster, record, name, service, last, models=None,
                 handler=None, zone="za", slots=64, on_disk=None, unrecorded=None):
        self.cluster = cluster
        self.record = record
        self.name = name
        self.service = service
        self.models = models or []
        self.on_disk = on_disk or []
        self.unrecorded = unrecorded
        self.zone = zone
        self.slots = slots
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.order_count = 0
        self.is_busy = False
        self.turn = 0
        self.connections = set()
        self.runs = []
        self.lock = threading.Lock()
        self.handler = handler
        self.is_stopped = False
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((make_host(last), 0))
        self.server.listen(256)
        self.address = "%s:%d" % self.server.getsockname()
        self.beats_to = list(cluster.controls)
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def beat_body(self):
        self.seq += 1
        body = {"service": self.service, "addr": self.address,
                "zone": self.zone, "version": "v1", "slots": self.slots,
                "state": self.state, "coldLeftMs": 0, "seq": self.seq,
                "born": self.born}
        if self.models:
            body["stage"] = "mixed"
            body["models"] = self.models
        if self.on_disk:
            body["available"] = {"inMemory": [], "onDisk": self.on_disk}
        return json.dumps(body).encode()

    def _take_order(self, order):
        """Carries out an order. @return the status of the answer"""
        with self.lock:
            held = [model["name"] for model in self.models]
            is_load = order["op"] == "load"
            if "adapter" in order:
                return 400
            if is_load == (order["model"] in held):
                return 200
            if self.is_busy or order.get("expect") != self.order_count:
                return 409
            self.is_busy = True
            self.order_count += 1
        threading.Timer(LOAD_S if is_load else 0.1, self._finish_order,
                        (order,)).start()
        return 202

    def _finish_order(self, order):
        with self.lock:
            self.is_busy = False
            self.models = [model for model in self.models
                           if model["name"] != order["model"]]
            if order["op"] == "load":
                self.models.append({"name": order["model"], "version": 1,
                                    "adapters": []})
        self.send_beat()

    def send_beat(self):
        """Sends a heartbeat to the next node, or the ones after it."""
        body = self.beat_body()
        for _ in range(len(self.beats_to)):
            host = self.beats_to[self.turn % len(self.beats_to)]
            answer = call(self.cluster.control_address(host), "POST",
                          "/wasabiwind/Instances.Beat/" + self.name, body,
                          {"Content-Type": "application/json"}, timeout=1.0)
            if answer is not None and answer[0] == 200:
                return
            self.turn += 1

    def crash(self):
        """Ends as a killed process does: it refuses new connections, and all
        open ones close."""
        self.is_stopped = True
        self.record.write("%s: crashes" % self.name)
        for sock in [self.server] + list(self.connections):
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            if sock is self.server:
                time.sleep(0.05)  # until the thread that accepts has left it
            sock.close()

    def _beat(self):
        while not self.is_stopped:
            self.send_beat()
            time.sleep(BOUNDS["heartbeatMs"] / 1000)

    def _accept(self):
        while not self.is_stopped:
            try:
                sock, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,),
                             daemon=True).start()

    def _serve(self, sock):
        stream = sock.makefile("rb")
        self.connections.add(sock)
        try:
            while not self.is_stopped:
                line = stream.readline()
                if not line:
                    break
                method, path, _ = line.decode("latin-1").split()
                headers = {}
                while True:
                    line = stream.readline()
                    if line in (b"\r\n", b""):
                        break
                    name, _, value = line.decode("latin-1").partition(":")
                    headers[name.strip().lower()] = value.strip()
                body = stream.read(int(headers.get("content-length", "0")))
                if not self._answer(sock, method, path, headers, body):
                    break
        except (OSError, ValueError):
            pass
        finally:
            self.connections.discard(sock)
            sock.close()

    def _answer(self, sock, method, path, headers, body):
        if path == "/wasabiwind/report":
            text = json.dumps({"stage": "mixed", "models": self.models,
                               "busy": self.is_busy, "seq": self.order_count,
                               "born": self.born, "queued": 0, "active": 0,
                               "kvUsed": 0, "kvTotal": 232000,
                               "handles": 0}).encode()
            send_whole(sock, 200, text, {"Content-Type": "application/json"})
            return True
        if path == "/wasabiwind/order":
            status = self._take_order(json.loads(body))
            self.record.write("%s: order %s -> %d" %
                              (self.name, body.decode(), status))
            send_whole(sock, status, b"{}")
            return True
        expected = headers.get("x-wasabiwind-expect-instance")
        if expected is not None and expected != self.name:
            send_whole(sock, 421, b"", {"X-Wasabiwind-Not-Run": "1"})
            return True
        request = headers.get("x-wasabiwind-request-id", "")
        name = headers.get("x-wasabiwind-model", "")
        if name and name not in [model["name"] for model in self.models]:
            send_whole(sock, 421, b"", {"X-Wasabiwind-Not-Run": "1",
                                        "X-Wasabiwind-Request-Id": request})
            return True
        with self.lock:
            self.runs.append(request)
        if self.unrecorded is None or not path.startswith(self.unrecorded):
            self.record.write("%s: runs %s %s" % (self.name, request, path))
        return self.handler(self, sock, method, path, headers, body)


def signature(runner, headers):
    return {"X-Wasabiwind-Request-Id":
            headers.get("x-wasabiwind-request-id", ""),
            "X-Wasabiwind-Server-Stamp": "stamp-" + runner.name}


def send_whole(sock, status, body, headers=None):
    head = "HTTP/1.1 %d X\r\nContent-Length: %d\r\n" % (status, len(body))
    for name, value in (headers or {}).items():
        head += "%s: %s\r\n" % (name, value)
    sock.sendall(head.encode() + b"\r\n" + body)


def make_config(version, routes, services):
    return {"version": version, "routes": routes, "services": services,
            "limits": {"headerBytes": 16384, "bodyBytes": 4194304,
                       "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}}


def plain_route(name, kind, service, prefix, timeout=3000, attempts=2,
                **more):
    route = {"name": name, "host": "shop.example", "pathPrefix": prefix,
             "kind": kind, "timeoutMs": timeout, "sloMs": 200, "priority": 1,
             "service": service, "maxAttempts": attempts, "sticky": False,
             "resumable": False}
    route.update(more)
    return route


def plain_service(name):
    return {"name": name, "healthPath": "/health", "maxConns": 110,
            "protocol": "h1", "tls": False}


def wait_ready(cluster, hosts=None, until=20.0):
    end = time.monotonic() + until
    for host in hosts or cluster.entries:
        while True:
            answer = call(cluster.ready_address(host), "GET",
                          "/wasabiwind/ready", timeout=1.0)
            if answer is not None and answer[0] == 200:
                break
            if time.monotonic() > end:
                return False
            time.sleep(0.1)
    return True


_count = [0]
_count_lock = threading.Lock()


def new_id():
    with _count_lock:
        _count[0] += 1
        return "%016x" % (0x5eed000000000000 + os.getpid() * 1000003 +
                          _count[0])


def request(cluster, host, path, method="POST", body=b"x" * 600,
            deadline=3000, headers=None, request_id=None):
    """One client attempt. @return as read_answer, or None"""
    fields = {"Host": "shop.example",
              "X-Wasabiwind-Request-Id": request_id or new_id(),
              "X-Wasabiwind-Deadline-Ms": str(deadline)}
    fields.update(headers or {})
    return call(cluster.front_address(host), method, path, body, fields,
                timeout=deadline / 1000 + 0.6)


def run_case(play):
    """Runs a case: play(record) returns whether the rule was broken. The
    folder of the case is the first argument of the program."""
    code = 2
    try:
        record = Record(sys.argv[1])
        if not os.path.exists(os.path.join(ROOT,
                                           "target/bin/ww_platform_entry")):
            record.write("couldn't run: the programs aren't built")
        else:
            code = 1 if play(record) else 0
            record.write("result: the rule %s" %
                         ("was broken" if code else "held"))
    except BaseException as error:  # also a time-out of run.sh
        print("couldn't run:", repr(error), file=sys.stderr)
    print({0: "held", 1: "broken", 2: "couldn't run"}[code])
    sys.stdout.flush()
    os._exit(code)


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Platform:
    """Starts processes that ended again after a short delay, and kills those
    that use more memory than their machine has."""

    RESTART_S = 0.5

    def __init__(self, cluster, record, memory_mb=None):
        self.cluster = cluster
        self.record = record
        self.memory_mb = memory_mb or {}
        self.ends = {host: 0 for host in cluster.controls + cluster.entries}
        self.is_stopped = False
        self.thread = threading.Thread(target=self._watch, daemon=True)
        self.thread.start()

    def _watch(self):
        ended_at = {}
        while not self.is_stopped:
            now = time.monotonic()
            for host in list(self.ends):
                limit = self.memory_mb.get(host)
                used = self.cluster.memory_mb(host) if limit else 0
                if limit and used > limit and self.cluster.is_alive(host):
                    self.record.write("platform: %s uses %d MB of %d, killed" %
                                      (host, used, limit))
                    self.cluster.kill(host)
                if self.cluster.is_alive(host):
                    continue
                if host not in ended_at:
                    ended_at[host] = now
                    self.ends[host] += 1
                    self.record.write(
                        "platform: the process of %s has ended (%d), exit "
                        "code %d" % (host, self.ends[host],
                                     self.cluster.processes[host].returncode))
                elif now >= ended_at[host] + self.RESTART_S:
                    self.cluster.start(host)
                    del ended_at[host]
            time.sleep(0.02)

    def stop(self):
        self.is_stopped = True
        self.thread.join()
