"""A small deployment on loopback for the cases of review/REPORT-2.md: the programs of deploy/system.toml as processes, with the
stand-ins of process_tests for upstreams and the platform's list.

    with Fleet(record) as fleet:
        fleet.start()
        status, fields, body, number = fleet.call("lekki", 0, "GET", "/read/a")

Times are in seconds, sizes in bytes. A step that doesn't come about raises CannotRun, for which a script exits with 2.
"""
import contextlib
import http.client
import itertools
import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import threading
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "process_tests"))
sys.dont_write_bytecode = True
import harness  # noqa: E402
import platform_standins  # noqa: E402
from platform_standins import PREFIX, REQUEST_ID, Target, TargetList  # noqa: E402

# A caller that leaves, or is killed, is no news.
platform_standins.Server.handle_error = lambda *_: None

# Zones and regions of a small deployment, with the entry hosts of each zone.
ZONES = {"ikeja": "lagos", "lekki": "lagos", "nassarawa": "kano", "fagge": "kano", "ngwo": "enugu", "emene": "enugu"}
ENTRIES = {"ikeja": 2, "lekki": 1, "nassarawa": 2, "fagge": 1, "ngwo": 2, "emene": 1}
MEMORY_MB = {"entry": 260, "control": 256}
HOST = "shop.example"
# The bounds of the small site files.
LIMITS = {"retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10, "cold_factor": 1.5, "cold_slack": 5,
          "look_up_ttl_s": 5, "drain_time_s": 3, "stop_grace_s": 6, "allowance_window_s": 0,
          "allowance_overshoot": 0, "allowance_slack": 0, "key_validity_s": 0}
CONTRACTS = "base,drain,config,cost,retry,recover,places"


# A script ends its processes and exits with 2 when it gets one of these, the last one by itself after LONGEST_S.
ENDING_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGALRM)
LONGEST_S = 110


class CannotRun(Exception):
    """The case couldn't be brought about."""


class Record:
    """What was sent, answered and run, one line each, in record.txt of a case's folder."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def __call__(self, text):
        with self.lock:
            if not self.file.closed:
                self.file.write(f"{time.monotonic() - self.began:9.3f} s  {text}\n")
                self.file.flush()

    def close(self):
        with self.lock:
            self.file.close()


def route(prefix, service, kind="idempotent", timeout=3.0, objective=0.4, attempts=2, **more):
    """A route as the platform's pages write it."""
    return {"host": HOST, "pathPrefix": prefix, "kind": kind, "timeoutS": timeout, "targetLatencyS": objective,
            "priority": 1, "service": service, "maxAttempts": attempts, "stickySessions": True, "allowedRegions": [],
            **more}


def configuration(version, routes, services, **more):
    """A complete configuration; `routes` maps names to what route() returns."""
    return {"version": f"r{version}", "routes": routes,
            "services": {name: {"healthCheckPath": "/health", "connectionLimit": 330, "protocol": "h1",
                                "transportSecurity": False, "coldStartS": 3.0, "coldPerS": 5.7} for name in services},
            "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15}, **more}


class Fleet:
    """Six control hosts, nine entry hosts, and what is added of upstreams."""

    def __init__(self, record, zones=None, entries=None):
        self.record = record
        self.zones = zones or ZONES
        self.entry_counts = entries or ENTRIES
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bth-review-"))
        number = os.getpid() % 16000
        self.network = f"127.{100 + number // 256}.{number % 256}"
        self.processes = []
        self.settings = {}
        self.running = {}
        self.targets = []
        self.numbers = itertools.count(1)
        self.first = True

    def __enter__(self):
        return self

    def __exit__(self, *_):
        # Nothing may keep the processes from being ended.
        for number in ENDING_SIGNALS:
            signal.signal(number, signal.SIG_IGN)
        for process in self.processes:
            if process.poll() is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            process.wait()
        for each in self.targets + ([self.listing] if hasattr(self, "listing") else []):
            with contextlib.suppress(OSError):
                each.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    # Names and settings.

    def address(self, last):
        return f"{self.network}.{last}"

    def control_names(self):
        return [f"control-{zone}" for zone in self.zones]

    def entry_names(self):
        return [f"entry-{zone}-{row}" for zone in self.zones for row in range(self.entry_counts.get(zone, 0))]

    def prepare(self):
        """Settings of all programs; no program runs yet."""
        self.peer_port = harness.free_port(self.address(10))
        self.operators_port = harness.free_port(self.address(10))
        self.listing = TargetList(harness.free_endpoint(self.address(200)), self.targets)
        self.listing.PAGE = 50
        zones = list(self.zones)
        self.addresses = {}
        for row, name in enumerate(self.control_names()):
            self.addresses[name] = self.address(10 + row)
        for row, name in enumerate(self.entry_names()):
            self.addresses[name] = self.address(30 + row)
        seeds = [f"{self.address(10 + row)}:{self.operators_port}" for row in range(min(3, len(zones)))]
        for name, address in self.addresses.items():
            role, zone = name.split("-")[0], name.split("-")[1]
            control = role == "control"
            data = self.folder / f"data-{name}"
            listen = {"callers": "" if control else harness.free_endpoint(address),
                      "readiness": "" if control else harness.free_endpoint(address),
                      "operators": f"{address}:{self.operators_port}" if control else "",
                      "look_ups": harness.free_endpoint(address) if control else "",
                      "metrics": harness.free_endpoint(address), "peer_port": self.peer_port}
            if control:
                data.mkdir()
            self.settings[name] = {
                "host": f"{name}-host", "address": address, "failure_domain": zone, "failure_domains": self.zones,
                "first_start": True, "data_folder": str(data) if control else "", "listen": listen, "seeds": seeds,
                "target_list": self.listing.endpoint, "contracts": CONTRACTS,
                "limits": {**LIMITS, "memory_mb": MEMORY_MB[role]}}

    # Processes.

    def run(self, name):
        """Starts a program as the deploy file says, with the settings of now."""
        role = name.split("-")[0]
        file = self.folder / f"{name}.json"
        file.write_text(json.dumps({**self.settings[name], "first_start": self.first}), encoding="utf-8")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        log = open(self.folder / f"{name}.log", "ab")
        process = subprocess.Popen([f"target/bin/bth-platform-{role}"], cwd=ROOT, stdout=log, stderr=log,
                                   stdin=subprocess.DEVNULL,
                                   env={**environment, "BUCKTHORNHATCH_SETTINGS": str(file)})
        log.close()
        self.processes.append(process)
        self.running[name] = process
        self.record(f"start {name}")
        return process

    def signal(self, name, number):
        self.record(f"{signal.Signals(number).name} to {name}")
        self.running[name].send_signal(number)

    def start(self, config):
        """Starts everything and waits until all entry hosts serve the configuration."""
        if not (ROOT / "target/bin/bth-platform-entry").exists():
            raise CannotRun("the build of deploy/system.toml isn't there")
        self.prepare()
        for name in [*self.control_names(), *self.entry_names()]:
            self.run(name)
        self.until(lambda: self.put(config) == 200, "the first configuration is acknowledged", 30)
        self.first = False
        for name in self.entry_names():
            self.until(lambda name=name: self.is_ready(name), f"{name} is ready", 30)

    def until(self, condition, what, limit):
        """Polls until the condition holds; CannotRun after `limit` seconds."""
        end = time.monotonic() + limit
        while time.monotonic() < end:
            with contextlib.suppress(OSError, http.client.HTTPException):
                if condition():
                    return
            time.sleep(0.05)
        raise CannotRun(f"gave up waiting: {what}")

    def log_of(self, name):
        return (self.folder / f"{name}.log").read_text(errors="replace")

    # The platform.

    def add_target(self, name, service, zone, last):
        """An upstream that the list names."""
        target = Target(name, service, zone, harness.free_endpoint(self.address(last)))
        self.targets.append(target)
        if hasattr(self, "listing"):
            self.listing.targets.append(target)
        return target

    # The operator.

    def operate(self, method, path, body=None, names=None, timeout=1.0):
        """One order, at one node after another; follows two redirects. Returns the last status, 0 without an answer, and the
        text of the answer."""
        status, text = 0, b""
        for name in names or self.control_names():
            where = f"{self.addresses[name]}:{self.operators_port}"
            for _ in range(3):
                try:
                    status, fields, text = harness.call(
                        where, method, path, {"Content-Type": "application/json"} if body else {}, body, timeout=timeout)
                except (OSError, http.client.HTTPException):
                    status = 0
                    break
                if status != 307:
                    break
                where = fields["location"].split("/")[2]
            if status in (200, 400, 409, 412, 413, 422):
                break
        return status, text

    def put(self, config, names=None):
        status, _ = self.operate("PUT", "/-/configuration", json.dumps(config).encode(), names)
        self.record(f"operator: PUT {config['version']} -> {status or 'no answer'}")
        return status

    def is_ready(self, name):
        return harness.call(self.settings[name]["listen"]["readiness"], "GET", "/-/readiness", timeout=1)[0] == 200

    # Clients.

    def number(self):
        return f"{next(self.numbers):016x}"

    def callers(self, name):
        return self.settings[name]["listen"]["callers"]

    def headers(self, number, key="7", left_ms=2500):
        return {"Host": HOST, REQUEST_ID: number, PREFIX + "Affinity-Key": key,
                PREFIX + "Deadline-Milliseconds": str(left_ms)}

    def call(self, name, method, path, body=None, left_ms=2500, key="7", number=None):
        """One request on a connection of its own: status (0 without an answer), fields, body, id."""
        number = number or self.number()
        try:
            status, fields, text = harness.call(self.callers(name), method, path, self.headers(number, key, left_ms), body,
                                                timeout=left_ms / 1000)
        except (OSError, http.client.HTTPException):
            status, fields, text = 0, {}, b""
        return status, fields, text, number


class Calls:
    """What the platform's list does with a call: it takes `rate` calls a second of all nodes together, saved up for one second
    at most, and answers 429 beyond that; while it is down it answers 503."""

    def __init__(self, fleet, rate):
        self.rate, self.tokens, self.at = rate, rate, time.monotonic()
        self.down = False
        self.lock = threading.Lock()
        self.counts = {}
        handler = fleet.listing.server.RequestHandlerClass
        answer = handler.do_GET

        def limited(request):
            status = self.take()
            # The caller may have given the call up.
            with contextlib.suppress(OSError):
                if status == 200:
                    answer(request)
                else:
                    request.answer(status)

        handler.do_GET = limited

    def take(self):
        with self.lock:
            now = time.monotonic()
            self.tokens = min(self.rate, self.tokens + (now - self.at) * self.rate)
            self.at = now
            if self.tokens < 1:
                status = 429
            else:
                self.tokens -= 1
                status = 503 if self.down else 200
            self.counts[status] = self.counts.get(status, 0) + 1
            return status

    def take_counts(self):
        """The calls by their status since the last time."""
        with self.lock:
            counts, self.counts = self.counts, {}
        return counts


def finish(case, path):
    """Runs a case: case(record, trouble) returns whether the rule held. Exits with 0 if it did, 1 if not, and 2 if the case couldn't
    run, was ended or took more than LONGEST_S.
    """
    def give_up(number, _):
        raise CannotRun(f"ended by {signal.Signals(number).name}")

    for number in ENDING_SIGNALS:
        signal.signal(number, give_up)
    signal.alarm(LONGEST_S)
    record = Record(pathlib.Path(path).parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        held = case(record, trouble)
    except Exception as error:
        record(f"the case couldn't run: {error!r}")
        print(f"couldn't run: {error!r}")
        code = 2
    else:
        record("the rule held" if held else "the rule is broken")
        print("held" if held else "broken")
        code = 0 if held else 1
    record.close()
    sys.stdout.flush()
    # Threads that still wait for an answer don't hold up the end.
    os._exit(code)
