"""A small deployment for the cases of this folder: the programs of the deploy file as processes on loopback addresses,
with stand-ins for the platform, the targets and the callers.

    with Fleet(record) as fleet:
        target = RawTarget(fleet, "i-1", "orders", "n1", behave)
        fleet.start([target], configuration)
        status, fields, body = fleet.call("n1", "GET", "/read/a")

Every fleet has a loopback network of its own (127.A.B.0/24), free ports and a temporary folder, and ends all
processes that it started, by their ids. Times are seconds. A step that never comes raises `CannotRun`.
"""
import http.client
import http.server
import itertools
import json
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
ENTRY = ROOT / "target/bin/bth-platform-entry"
CONTROL = ROOT / "target/bin/bth-platform-control"

PREFIX = "X-Buckthornhatch-"
REQUEST_ID = PREFIX + "Request-Id"
SEAL = PREFIX + "Response-Seal"
NOT_EXECUTED = PREFIX + "Not-Executed"
DEADLINE = PREFIX + "Deadline-Milliseconds"
AFFINITY = PREFIX + "Affinity-Key"
EXPECTED = PREFIX + "Expected-Instance"

ZONES = {"n1": "north", "n2": "north", "s1": "south"}
HOST = "shop.example"
# The bounds of the small deployments of the pages.
MEMORY_MB = 260
LIMITS = {"retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10, "cold_factor": 1.5, "cold_slack": 5,
          "look_up_ttl_s": 5, "drain_time_s": 3, "stop_grace_s": 6, "allowance_window_s": 0,
          "allowance_overshoot": 0, "allowance_slack": 0, "key_validity_s": 0}


class CannotRun(Exception):
    """The case couldn't be set up, so that nothing can be said of the rule."""


class Record:
    """Writes lines with the time since its start to a file; callable from every thread."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.started = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:9.3f} {text}\n")
            self.file.flush()


def until(condition, what, seconds=30):
    """Polls until the condition holds and returns its value; raises CannotRun after `seconds`."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CannotRun(f"gave up waiting: {what}")


def route(prefix, service, kind="idempotent", timeout_s=2.0, target_s=0.5, attempts=2, priority=1, regions=()):
    """One route of a configuration; without regions it is allowed in all."""
    return {"host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutS": timeout_s, "targetLatencyS": target_s,
            "priority": priority, "service": service, "maxAttempts": attempts, "stickySessions": True,
            "allowedRegions": list(regions)}


def configuration(version, routes, max_body_bytes=67108864):
    """A configuration with these routes, by name, and the limits of the pages' example."""
    services = sorted({each["service"] for each in routes.values()})
    return {"version": f"r{version}", "routes": routes,
            "services": {name: {"healthCheckPath": "/health", "connectionLimit": 330, "protocol": "h1",
                                "transportSecurity": False, "coldStartS": 3.0, "coldPerS": 5.7}
                         for name in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": max_body_bytes, "headerTimeoutS": 3,
                       "idleTimeoutS": 15}}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass


class TargetList:
    """The platform's list of targets. `targets` holds objects with `name` and `entry()`."""

    PAGE = 50

    def __init__(self, endpoint, targets):
        self.endpoint, self.targets = endpoint, list(targets)
        listing = self

        class ListHandler(Handler):
            def do_GET(self):
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
                start = int(query.get("pageToken", ["0"])[0])
                zone = query.get("zone", [None])[0]
                listed = [each for each in listing.targets if zone in (None, each.zone)]
                end = start + listing.PAGE
                body = json.dumps({
                    "instances": {each.name: each.entry() for each in listed[start:end]},
                    "nextPageToken": str(end) if end < len(listed) else None}).encode()
                self.send_response_only(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

        host, port = endpoint.rsplit(":", 1)
        self.server = http.server.ThreadingHTTPServer((host, int(port)), ListHandler)
        self.server.daemon_threads = True
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()
        self.server.server_close()


class Arrived:
    """A request that reached a target."""

    def __init__(self, line, fields, body, peer):
        self.at = time.monotonic()
        self.line, self.fields, self.body, self.peer = line, fields, body, peer

    @property
    def number(self):
        return self.fields.get(REQUEST_ID.lower(), "")


class RawTarget:
    """A target on a plain socket. It reads one request at a time, answers 421 if another target was expected, else calls
    `behave(target, connection, arrived)`, which writes the answer; with a true result the connection is closed.
    """

    def __init__(self, fleet, name, service, zone, behave, slots=8, reads_body=True, before_body=None):
        self.name, self.service, self.zone, self.slots = name, service, zone, slots
        self.behave, self.reads_body, self.before_body = behave, reads_body, before_body
        self.endpoint = fleet.endpoint(100 + len(fleet.closing))
        self.arrivals, self.lock = [], threading.Lock()
        self.state, self.born, self.cold_until = "ready", int(time.time() * 1000), 0.0
        host, port = self.endpoint.rsplit(":", 1)
        self.server = socket.create_server((host, int(port)), backlog=512)
        self.record = fleet.record
        fleet.closing.append(self)
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.endpoint, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "born": self.born,
                "coldRemainingS": round(max(0.0, self.cold_until - time.monotonic()), 3)}

    def accept(self):
        while True:
            try:
                connection, peer = self.server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self.serve, args=(connection, peer), daemon=True).start()

    def serve(self, connection, peer):
        stream = connection.makefile("rb")
        try:
            while True:
                line = stream.readline().decode("latin-1").strip()
                if not line:
                    return
                fields = {}
                while (text := stream.readline().decode("latin-1").strip()):
                    name, _, value = text.partition(":")
                    fields[name.lower()] = value.strip()
                length = int(fields.get("content-length", 0))
                if self.before_body and self.before_body(self, connection, line, fields):
                    return
                body = stream.read(length) if self.reads_body else b""
                arrived = Arrived(line, fields, body, peer)
                with self.lock:
                    self.arrivals.append(arrived)
                if fields.get(EXPECTED.lower()) != self.name and line.split(" ")[1] != "/health":
                    connection.sendall(answer(421, arrived.number, b"", seal=False))
                    continue
                if self.behave(self, connection, arrived):
                    return
        except OSError:
            pass
        finally:
            stream.close()
            connection.close()

    def close(self):
        self.server.close()


def answer(status, number, body, seal=True, more=()):
    """A complete answer of a target as bytes."""
    lines = [f"HTTP/1.1 {status} X", f"{REQUEST_ID}: {number}", f"Content-Length: {len(body)}", *more]
    if seal:
        lines.append(f"{SEAL}: seal-{number}")
    return "\r\n".join([*lines, "", ""]).encode() + body


class Process:
    def __init__(self, arguments, settings_file, log):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        self.popen = subprocess.Popen([str(each) for each in arguments], cwd=ROOT, stdin=subprocess.DEVNULL,
                                      stdout=open(log, "wb"), stderr=subprocess.STDOUT,
                                      env={**environment, "BUCKTHORNHATCH_SETTINGS": str(settings_file)})
        self.pid, self.log = self.popen.pid, log

    def signal(self, number):
        self.popen.send_signal(number)

    def resident_mb(self):
        """The memory that the process uses now, in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return 0.0

    def end(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()


class Fleet:
    """Three control hosts, entry hosts and the list, in three zones of two regions. `entry_hosts` maps the name of each entry
    host to its zone; without it there is one in each zone, with the zone's name.
    """

    def __init__(self, record, entry_hosts=None):
        self.record = record
        self.entry_hosts = entry_hosts or {zone: zone for zone in ZONES}
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bth-review-"))
        number = os.getpid() % 16000
        self.network = f"127.{170 + number // 256 % 64}.{number % 256}"
        self.handed_out, self.closing = set(), []
        self.processes, self.controls, self.entries, self.settings = [], {}, {}, {}
        self.numbers = itertools.count(1)
        self.stem = f"{os.getpid():06x}"
        self.operators_port = self.free_port(self.address(10))
        self.look_ups_port = self.free_port(self.address(10))
        self.callers_port = self.free_port(self.address(30))
        self.readiness_port = self.free_port(self.address(30))
        self.peer_port = self.free_port(self.address(10))
        self.metrics_port = self.free_port(self.address(10))
        self.listing = None

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for each in reversed(self.processes):
            each.end()
        for each in self.closing:
            each.close()
        if self.listing:
            self.listing.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def address(self, last):
        return f"{self.network}.{last}"

    def free_port(self, address):
        while True:
            with socket.socket() as probe:
                probe.bind((address, 0))
                port = probe.getsockname()[1]
            if port not in self.handed_out:
                self.handed_out.add(port)
                return port

    def endpoint(self, last):
        return f"{self.address(last)}:{self.free_port(self.address(last))}"

    def next_number(self):
        """The id of the next request; callable from every thread."""
        return f"{self.stem}{next(self.numbers):010x}"

    def write_settings(self, name, zone, address, listen, first_start=False, data_folder=""):
        settings = {"host": name, "address": address, "failure_domain": zone, "failure_domains": ZONES,
                    "first_start": first_start, "data_folder": data_folder,
                    "listen": {"callers": "", "readiness": "", "operators": "", "look_ups": "",
                               "metrics": f"{address}:{self.metrics_port}", "peer_port": self.peer_port, **listen},
                    "seeds": [f"{self.address(10 + row)}:{self.operators_port}" for row in range(len(ZONES))],
                    "target_list": self.listing.endpoint,
                    "contracts": "base,drain,config,cost,retry,recover,places", "limits": LIMITS}
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings), encoding="utf-8")
        return path

    def start_control(self, zone, first_start=False):
        address = self.address(10 + list(ZONES).index(zone))
        data = self.folder / f"data-{zone}"
        data.mkdir(exist_ok=True)
        file = self.write_settings(
            f"core-{zone}", zone, address,
            {"operators": f"{address}:{self.operators_port}", "look_ups": f"{address}:{self.look_ups_port}"},
            first_start, str(data))
        self.controls[zone] = self.launch(CONTROL, file, f"core-{zone}")

    def entry_address(self, host):
        return self.address(30 + list(self.entry_hosts).index(host))

    def start_entry(self, host):
        address = self.entry_address(host)
        file = self.write_settings(
            f"frontend-{host}", self.entry_hosts[host], address,
            {"callers": f"{address}:{self.callers_port}", "readiness": f"{address}:{self.readiness_port}"})
        self.entries[host] = self.launch(ENTRY, file, f"frontend-{host}")

    def launch(self, program, settings_file, name):
        process = Process([program], settings_file, self.folder / f"{name}-{len(self.processes)}.log")
        self.processes.append(process)
        self.record(f"started {name}")
        return process

    def start(self, targets, wanted):
        """Starts all processes, brings `wanted` into force and waits until every entry host is ready."""
        for program in (ENTRY, CONTROL):
            if not program.exists():
                raise CannotRun(f"{program.relative_to(ROOT)} isn't built")
        self.listing = TargetList(self.endpoint(200), targets)
        for zone in ZONES:
            self.start_control(zone, first_start=True)
        for host in self.entry_hosts:
            self.start_entry(host)
        self.put(wanted)
        for host in self.entry_hosts:
            until(lambda: self.is_ready(host), f"the entry host {host} is ready")
        for path in sorted({each["pathPrefix"] for each in wanted["routes"].values()}):
            for host in self.entry_hosts:
                until(lambda: self.call(host, "GET", path + "probe", timeout=3)[0] == 200,
                      f"{host} serves {path}")

    def operate(self, method, path, body=None, seconds=20):
        """A call of the operator: to each control host until one answers clearly. Returns status and body."""
        def once():
            for row in range(len(ZONES)):
                where, follow = f"{self.address(10 + row)}:{self.operators_port}", 2
                while follow >= 0:
                    try:
                        status, fields, text = http_call(where, method, path, {}, body, 1.5)
                    except OSError:
                        break
                    if status == 307:
                        where, follow = fields["location"].split("/")[2], follow - 1
                        continue
                    if status < 500:
                        return status, text
                    break
            return None
        return until(once, f"{method} {path}", seconds)

    def put(self, wanted):
        status, _ = self.operate("PUT", "/-/configuration", json.dumps(wanted))
        if status != 200:
            raise CannotRun(f"the configuration was answered {status}")
        self.record(f"operator: configuration {wanted['version']} acknowledged")

    def is_ready(self, host):
        address = self.entry_address(host)
        try:
            return http_call(f"{address}:{self.readiness_port}", "GET", "/-/readiness", {}, None, 1)[0] == 200
        except OSError:
            return False

    def callers(self, entry_host):
        """The address and port at which the entry host takes callers."""
        return self.entry_address(entry_host), self.callers_port

    def call(self, entry_host, method, path, body=None, number=None, deadline_ms=5000, object_key="7", timeout=10):
        """One request on a connection of its own: status, fields (lower case) and body. Raises OSError if the connection
        ends without an answer, status 0 stands for an answer that ends early.
        """
        host, port = self.callers(entry_host)
        fields = {"Host": HOST, REQUEST_ID: number or self.next_number(), AFFINITY: object_key,
                  DEADLINE: str(deadline_ms)}
        try:
            return http_call(f"{host}:{port}", method, path, fields, body, timeout)
        except http.client.HTTPException:
            return 0, {}, b""

    def connect(self, entry_host, receive_buffer=None):
        """A connection of a caller to the entry host."""
        connection = socket.socket()
        if receive_buffer is not None:
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        connection.settimeout(5)
        connection.connect(self.callers(entry_host))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return connection


def head(method, path, number, deadline_ms=5000, object_key="7", more=()):
    """The head of a caller's request as bytes."""
    return "\r\n".join([f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"{REQUEST_ID}: {number}",
                        f"{AFFINITY}: {object_key}", f"{DEADLINE}: {deadline_ms}", *more, "", ""]).encode()


def http_call(where, method, path, fields, body, timeout):
    """One HTTP call on a connection of its own: status, fields (lower case), body."""
    host, port = where.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        connection.request(method, path, body=body, headers=fields)
        got = connection.getresponse()
        text = got.read()
        return got.status, {name.lower(): value for name, value in got.getheaders()}, text
    finally:
        connection.close()


def main(case, entry_hosts=None):
    """Runs `case(fleet, record, trouble)`, which returns what broke the rule, or nothing if it held. Exits with 1, 0, or 2 if
    the case couldn't run, and ends all processes in either case, also on SIGTERM.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    folder = pathlib.Path(sys.argv[0]).resolve().parent
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(trouble)}")
    try:
        with Fleet(record, entry_hosts) as fleet:
            broken = case(fleet, record, trouble)
    except Exception as error:  # An error of the script says nothing of the rule.
        text = f"can't run: {type(error).__name__}: {error}"
        record(text)
        print(text)
        sys.exit(2)
    text = f"the rule was broken: {broken}" if broken else "the rule held"
    record(text)
    print(text)
    sys.exit(1 if broken else 0)
