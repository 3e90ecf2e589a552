"""A small deployment on loopback for the scripts of this review: the project's control and entry programs as processes,
with stand-ins for upstreams and the infrastructure's list. Times are in seconds, sizes in bytes.

    with Site("11", zones=3) as site:
        site.start()
        site.put(site.configuration(1))
        site.wait_ready()

Raises CannotRun if a program is missing or doesn't get ready.
"""
import asyncio
import http.client
import itertools
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
PROGRAMS = ROOT / "target" / "bin"
PREFIX = "X-Buckthornhatch-"
REGIONS = ("lagos", "kano", "enugu")


# A script ends by itself after this time.
LIMIT_S = 115


class CannotRun(Exception):
    """The case can't be played here."""


def play(case):
    """Exits with what `case` returns: 1 if the rule was broken, 0 if it held. Exits with 2 if it couldn't be played to its end:
    an error, a signal, or more than LIMIT_S. Processes of a `Site` end in each case but SIGKILL.
    """
    def give_up(number, _):
        raise CannotRun(f"ended by signal {number}")
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
        signal.signal(number, give_up)
    signal.alarm(LIMIT_S)
    try:
        code = case()
    except Exception as error:  # Whatever went wrong, it doesn't show that the rule was broken.
        print(f"couldn't run: {type(error).__name__}: {error}", file=sys.stderr)
        code = 2
    sys.exit(code)


class Upstream:
    """A sound upstream: `slots` requests at a time, a few more wait, the rest is turned away as not run. A request ends
    with its time budget. `work_s` and `answer_bytes` may be functions of the path.
    """

    def __init__(self, name, service, zone, address, slots=3, queue=9, work_s=0.3, answer_bytes=400):
        self.name, self.service, self.zone, self.address = name, service, zone, address
        self.slots, self.queue = slots, queue
        self.work_s, self.answer_bytes = work_s, answer_bytes
        self.state = "ready"
        self.cold_until = 0.0
        self.busy = self.waiting = 0
        # Of each run: when it began, the request's id, method, path and body length.
        self.runs = []
        self.arrivals = 0
        self.free = None

    async def serve(self):
        self.loop = asyncio.get_running_loop()
        self.writers = set()
        self.free = asyncio.Semaphore(self.slots)
        host, port = self.address.rsplit(":", 1)
        self.server = await asyncio.start_server(self.connection, host, int(port), backlog=512, limit=1 << 20)

    @staticmethod
    async def read_request(reader):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        line, *lines = head.split("\r\n")
        method, path, _ = line.split(" ")
        fields = {}
        for each in lines:
            if ": " in each:
                name, value = each.split(": ", 1)
                fields[name.lower()] = value
        body = await reader.readexactly(int(fields.get("content-length", 0)))
        return method, path, fields, body

    def load(self):
        return f"{self.busy},{self.waiting},{self.slots}"

    def head(self, status, number, length, *more):
        text = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable", 504: "Gateway Timeout"}[status]
        lines = [f"HTTP/1.1 {status} {text}", f"{PREFIX}Request-Id: {number}", f"{PREFIX}Server-Load: {self.load()}",
                 f"Content-Length: {length}", "Keep-Alive: timeout=10", *more]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def connection(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                method, path, fields, body = await asyncio.wait_for(self.read_request(reader), 10)
                if path == "/health":
                    writer.write(self.head(200, "", 0, f"{PREFIX}Instance-Id: {self.name}"))
                    continue
                await self.answer(reader, writer, method, path, fields, body)
                await writer.drain()
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.TimeoutError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, reader, writer, method, path, fields, body):
        number = fields.get(PREFIX.lower() + "request-id", "")
        self.arrivals += 1
        if fields.get(PREFIX.lower() + "expected-instance", self.name) != self.name:
            writer.write(self.head(421, number, 0))
            return
        if not number or self.waiting >= self.queue:
            writer.write(self.head(503, number, 0, f"{PREFIX}Not-Executed: 1"))
            return
        left = float(fields.get(PREFIX.lower() + "deadline-milliseconds", 60000)) / 1000
        came = time.monotonic()
        self.waiting += 1
        try:
            await asyncio.wait_for(self.free.acquire(), max(left, 0.001))
        except asyncio.TimeoutError:
            writer.write(self.head(503, number, 0, f"{PREFIX}Not-Executed: 1"))
            return
        finally:
            self.waiting -= 1
        self.busy += 1
        try:
            self.runs.append((time.monotonic(), number, method, path, len(body)))
            work = self.work_s(path) if callable(self.work_s) else self.work_s
            left -= time.monotonic() - came
            await asyncio.sleep(min(work, max(left, 0)))
            seal = f"{PREFIX}Response-Seal: s-{number}"
            if work > left:
                writer.write(self.head(504, number, 0, seal))
                return
            size = self.answer_bytes(path) if callable(self.answer_bytes) else self.answer_bytes
            text = (f"{number} {self.name} " * (size // (len(number) + len(self.name) + 2) + 1))[:size].encode()
            writer.write(self.head(200, number, len(text), seal) + text)
        finally:
            self.busy -= 1
            self.free.release()

    def go_down(self):
        """Its process ends: all connections are reset, new ones refused, and the list names it no more."""
        self.state = "gone"

        def end():
            self.server.close()
            for each in list(self.writers):
                each.transport.abort()
        self.loop.call_soon_threadsafe(end)

    def come_back(self, cold_s):
        """Starts again at its address under a new name, and is cold for `cold_s` seconds."""
        self.name = f"i-{random.randrange(1 << 32):08x}"
        asyncio.run_coroutine_threadsafe(self.serve(), self.loop).result(5)
        self.cold_until = time.monotonic() + cold_s
        self.state = "ready"

    def entry(self):
        return {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state,
                "coldRemainingS": round(max(0.0, self.cold_until - time.monotonic()), 3)}


class Program:
    """A program of the project; started again with `start` after its end."""

    def __init__(self, site, name, arguments, settings):
        self.site, self.name, self.arguments, self.settings = site, name, arguments, settings
        self.process = None

    def start(self):
        with self.site.lock:
            if not self.site.closing:
                self.launch()

    def launch(self):
        path = self.site.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        with open(self.site.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [str(PROGRAMS / self.arguments)], cwd=ROOT, stdout=log, stderr=log, stdin=subprocess.DEVNULL,
                env={"PATH": os.environ.get("PATH", ""), "HOME": str(self.site.folder), "LANG": "C",
                     "BUCKTHORNHATCH_SETTINGS": str(path)})

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def stop(self):
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process:
            self.process.wait()

    def memory(self):
        """The most resident bytes so far; 0 if the process has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as file:
                return next(int(line.split()[1]) << 10 for line in file if line.startswith("VmHWM"))
        except (OSError, StopIteration):
            return 0


class Site:
    """`zones` zones, spread over `regions` regions, each with a control host, `entries` entry hosts and the upstreams that
    `add_upstream` puts there.
    """

    def __init__(self, case, zones=3, regions=3, entries=1, memory_mb=260, **limits):
        if not (PROGRAMS / "bth-platform-entry").exists():
            raise CannotRun("the programs aren't built")
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bth-review-"))
        self.record_path = pathlib.Path(__file__).resolve().parent / case / "record.txt"
        self.record_file = open(self.record_path, "w")
        self.began = time.monotonic()
        # Once it is closing, no thread starts a program again.
        self.lock, self.closing = threading.Lock(), False
        self.zones = {f"{REGIONS[row % regions]}-{row // regions + 1}": REGIONS[row % regions] for row in range(zones)}
        self.network = self.find_network()
        self.peer_port, self.control_port, self.lookup_port, self.caller_port, self.ready_port, self.metrics_port = \
            random.sample(range(20000, 30000), 6)
        self.upstream_ports = itertools.count(30001)
        self.list_address = f"{self.network}.250:8642"
        self.upstreams, self.controls, self.entries = [], [], []
        # The bytes of an entry of the list that another writer made; none if empty.
        self.foreign_entry = ""
        self.numbers = itertools.count(1)
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        names = list(self.zones)
        for row, zone in enumerate(names):
            address = f"{self.network}.{10 + row}"
            data = self.folder / f"data-{row}"
            data.mkdir()
            self.controls.append(Program(self, f"control-{row}", "bth-platform-control", self.settings(
                address, zone, memory_mb, limits, {"operators": f"{address}:{self.control_port}",
                                                   "look_ups": f"{address}:{self.lookup_port}"},
                first_start=True, data_folder=str(data))))
        for row in range(zones * entries):
            address = f"{self.network}.{40 + row}"
            self.entries.append(Program(self, f"entry-{row}", "bth-platform-entry", self.settings(
                address, names[row % zones], memory_mb, limits, {"callers": f"{address}:{self.caller_port}",
                                                                 "readiness": f"{address}:{self.ready_port}"})))

    @staticmethod
    def find_network():
        for _ in range(50):
            network = f"127.{random.randint(30, 90)}.{random.randint(1, 250)}"
            try:
                with socket.socket() as probe:
                    probe.bind((f"{network}.10", 0))
                return network
            except OSError:
                continue
        raise CannotRun("no loopback network")

    def settings(self, address, zone, memory_mb, limits, listen, first_start=False, data_folder=""):
        return {"host": f"host-{address}", "address": address, "failure_domain": zone, "failure_domains": self.zones,
                "first_start": first_start, "data_folder": data_folder,
                "listen": {"callers": "", "readiness": "", "operators": "", "look_ups": "",
                           "metrics": f"{address}:{self.metrics_port}", "peer_port": self.peer_port, **listen},
                "seeds": [f"{self.network}.{10 + row}:{self.control_port}" for row in range(3)],
                "target_list": self.list_address, "contracts": "base,drain,config,cost,retry,recover,places",
                "limits": {"retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10, "cold_factor": 1.5,
                           "cold_slack": 5, "look_up_ttl_s": 5, "drain_time_s": 3, "stop_grace_s": 6,
                           "memory_mb": memory_mb, **limits}}

    def __enter__(self):
        return self

    def __exit__(self, *_):
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM):
            signal.signal(number, signal.SIG_IGN)
        with self.lock:
            self.closing = True
        for each in [*self.entries, *self.controls]:
            each.stop()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.record_file.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def record(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record_file.flush()

    def add_upstream(self, service, zone, **more):
        row = len(self.upstreams)
        each = Upstream(f"i-{row:04x}{random.randrange(1 << 16):04x}", service, zone,
                        f"{self.network}.{100 + row}:{next(self.upstream_ports)}", **more)
        self.upstreams.append(each)
        return each

    def start(self):
        for each in self.upstreams:
            asyncio.run_coroutine_threadsafe(each.serve(), self.loop).result(10)
        asyncio.run_coroutine_threadsafe(self.serve_list(), self.loop).result(10)
        for each in [*self.controls, *self.entries]:
            each.start()

    async def serve_list(self):
        async def connection(reader, writer):
            try:
                while True:
                    _, path, _, _ = await Upstream.read_request(reader)
                    rows = {each.name: each.entry() for each in self.upstreams
                            if each.state != "gone" and ("zone=" not in path or f"zone={each.zone}" in path)}
                    entries = [f"{json.dumps(name)}:{json.dumps(row)}" for name, row in rows.items()]
                    if self.foreign_entry:
                        entries.insert(len(entries) // 2, self.foreign_entry)
                    body = ('{"instances":{' + ",".join(entries) + '},"nextPageToken":null}').encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                 % len(body) + body)
                    await writer.drain()
            except (OSError, EOFError, asyncio.IncompleteReadError, ValueError):
                pass
            finally:
                writer.close()
        host, port = self.list_address.rsplit(":", 1)
        await asyncio.start_server(connection, host, int(port), limit=1 << 20)

    def configuration(self, version, routes=None):
        """`routes` maps a prefix to a service and a kind."""
        routes = routes or {f"/{each}/": (each, "idempotent") for each in {up.service for up in self.upstreams}}
        return {"version": f"r{version}",
                "routes": {f"r-{row}": {"host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutS": 6,
                                        "targetLatencyS": 0.8, "priority": 1, "service": service, "maxAttempts": 2,
                                        "stickySessions": False, "allowedRegions": []}
                           for row, (prefix, (service, kind)) in enumerate(sorted(routes.items()))},
                "services": {each: {"healthCheckPath": "/health", "connectionLimit": 330, "protocol": "h1",
                                    "transportSecurity": False, "coldStartS": 3.0, "coldPerS": 5.7}
                             for each in {up.service for up in self.upstreams}},
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}}

    def operate(self, method, path, body=None, limit_s=10):
        """An operator's call; returns the status, or None if no host answers clearly in `limit_s`."""
        until = time.monotonic() + limit_s
        for row in itertools.cycle(range(len(self.controls))):
            if time.monotonic() > until:
                return None
            status = self.call_once(f"{self.network}.{10 + row}:{self.control_port}", method, path, body)
            if status not in (None, 307, 503):
                return status
            time.sleep(0.1)
        return None

    @staticmethod
    def call_once(where, method, path, body, limit_s=1):
        """The status of one call, two redirects followed; None if there is no answer in `limit_s` each."""
        status = None
        for _ in range(3):
            call = http.client.HTTPConnection(where, timeout=limit_s)
            try:
                call.request(method, path, body, {"Content-Type": "application/json"} if body else {})
                answer = call.getresponse()
                answer.read()
                status = answer.status
            except (OSError, http.client.HTTPException):
                return None
            finally:
                call.close()
            if status != 307:
                break
            where = answer.headers["Location"].split("/")[2]
        return status

    def put(self, configuration):
        status = self.operate("PUT", "/-/configuration", json.dumps(configuration))
        if status != 200:
            raise CannotRun(f"the first configuration got {status}")
        self.record(f"configuration {configuration['version']} acknowledged")

    def is_ready(self, entry):
        try:
            call = http.client.HTTPConnection(entry.settings["listen"]["readiness"], timeout=1)
            call.request("GET", "/-/readiness")
            return call.getresponse().status == 200
        except OSError:
            return False

    def wait_ready(self, limit_s=15):
        until = time.monotonic() + limit_s
        while not all(self.is_ready(each) for each in self.entries):
            if time.monotonic() > until:
                raise CannotRun("an entry host didn't get ready")
            time.sleep(0.05)
        # Until the entry hosts know each other and all upstreams.
        time.sleep(7)

    def callers(self, entry):
        host, port = entry.settings["listen"]["callers"].rsplit(":", 1)
        return host, int(port)

    def next_number(self):
        return f"{next(self.numbers):016x}"

    def request(self, number, path, method="GET", body=b"", deadline_ms=6000, key="7"):
        """The bytes of a request of a client."""
        length = f"Content-Length: {len(body)}\r\n" if body or method == "POST" else ""
        return (f"{method} {path} HTTP/1.1\r\nHost: shop.example\r\n{PREFIX}Request-Id: {number}\r\n"
                f"{PREFIX}Affinity-Key: {key}\r\n{PREFIX}Deadline-Milliseconds: {deadline_ms}\r\n{length}\r\n"
                ).encode() + body

    def runs(self):
        """The runs of each request, by id."""
        out = {}
        for up in self.upstreams:
            for _, number, *_ in list(up.runs):
                out[number] = out.get(number, 0) + 1
        return out


class Ordinary(threading.Thread):
    """A client with one kept connection, on which it sends one request after another."""

    def __init__(self, site, entry):
        super().__init__(daemon=True)
        self.site, self.entry, self.stopping = site, entry, False
        self.answered, self.lost = 0, []

    def run(self):
        while not self.stopping:
            try:
                with socket.create_connection(self.site.callers(self.entry), 1) as connection:
                    connection.settimeout(10)
                    while not self.stopping:
                        self.ask(connection)
            except OSError:
                time.sleep(0.2)

    def ask(self, connection):
        number = self.site.next_number()
        try:
            connection.sendall(self.site.request(number, "/desk/a", deadline_ms=2500))
            got = b""
            while b"\r\n\r\n" not in got:
                part = connection.recv(65536)
                if not part:
                    raise OSError("closed")
                got += part
            head, _, body = got.partition(b"\r\n\r\n")
            length = next(int(line.split(b":")[1]) for line in head.split(b"\r\n")
                          if line.lower().startswith(b"content-length"))
            while len(body) < length:
                part = connection.recv(65536)
                if not part:
                    raise OSError("closed")
                body += part
            self.answered += 1
        except OSError as error:
            self.lost.append((number, str(error)))
            raise
