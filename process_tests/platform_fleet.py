"""A fleet of the programs for the users' platform on loopback: three control hosts, three entry hosts,
six targets and their list.

    class MyTest(PlatformFleet):
        def test_serves(self):
            self.assertEqual(self.send("n1")[0], 200)
"""
import itertools
import json
import os
import re
import resource

import harness
from platform_standins import PREFIX, REQUEST_ID, Target, TargetList, configuration

DOMAINS = {"n1": "north", "n2": "north", "s1": "south"}
ROUTES = {"/read/": ("orders", "idempotent"), "/pay/": ("orders", "non_idempotent")}


class PlatformFleet(harness.ProcessTest):
    entry_program = "bth-platform-entry"
    # Header fields of every request that `send` sends, beside its own.
    fields = {}

    def setUp(self):
        super().setUp()
        self.numbers = itertools.count(1)
        self.peer_port = harness.free_port(self.address(10))
        self.operators_port = harness.free_port(self.address(10))
        self.targets = [Target(f"i-{row}-{domain}", "orders", domain, self.endpoint(100 + row))
                        for row, domain in enumerate(list(DOMAINS) * 2)]
        self.listing = TargetList(self.endpoint(200), self.targets)
        self.controls = {}
        self.entries = {}
        self.settings = {}
        self.senders = {self.source_address(domain): domain for domain in DOMAINS}
        for row, domain in enumerate(DOMAINS):
            self.start_control(domain, row, first=True)
            self.start_entry(domain, row)
        self.version = 1
        self.put(configuration(1, ROUTES, ["orders"]))
        self.wait_all_ready()

    def tearDown(self):
        super().tearDown()
        for each in [*self.targets, self.listing]:
            each.close()

    def control_address(self, row):
        return self.address(10 + row)

    def source_address(self, domain):
        """Where the connections of an entry host come from; nothing listens there, so that no port is in their way."""
        return self.address(50 + list(DOMAINS).index(domain))

    def settings_of(self, domain, address, listen, **more):
        return {"host": f"host-{address}", "address": address, "failure_domain": domain,
                "failure_domains": DOMAINS, "first_start": False, "data_folder": "",
                "listen": {"callers": "", "readiness": "", "operators": "", "look_ups": "",
                           "metrics": harness.free_endpoint(address),
                           "peer_port": self.peer_port, **listen},
                "seeds": [f"{self.control_address(row)}:{self.operators_port}"
                          for row in range(len(DOMAINS))],
                "target_list": self.listing.endpoint,
                "limits": {"retry_ratio": 0.2, "retry_slack": 58, "retry_window_s": 10,
                           "cold_factor": 1.5, "cold_slack": 5, "look_up_ttl_s": 1, "drain_time_s": 3,
                           "stop_grace_s": 6}, **more}

    def start_control(self, domain, row, first=False):
        address = self.control_address(row)
        data = self.folder / f"data-{domain}"
        data.mkdir(exist_ok=True)
        settings = self.settings_of(
            domain, address,
            {"operators": f"{address}:{self.operators_port}",
             "look_ups": harness.free_endpoint(address)},
            first_start=first, data_folder=str(data))
        self.settings[f"control-{domain}"] = settings
        self.controls[domain] = self.launch(
            "bth-platform-control", "--settings", self.write(f"control-{domain}.json", settings),
            name=f"control-{domain}-{len(self.processes)}")

    def start_entry(self, domain, row):
        address = self.address(30 + row)
        settings = self.settings_of(domain, address,
                                    {"callers": harness.free_endpoint(address),
                                     "readiness": harness.free_endpoint(address)})
        self.settings[f"entry-{domain}"] = settings
        self.entries[domain] = self.launch(
            self.entry_program, "--settings", self.write(f"entry-{domain}.json", settings),
            name=f"entry-{domain}-{len(self.processes)}", environment=self.entry_environment(domain))

    def entry_environment(self, domain):
        """What a test adds to the environment of an entry host."""
        return {"BTH_CONNECT_FROM": self.source_address(domain)}

    def find_sender(self, peer):
        """The domain of the entry host whose connection comes from `peer`, if any. Known from the connection alone, so
        that it doesn't matter whether it is still open. Only the entry program for tests connects from an address of its
        own; the connections of all others come from one loopback address.
        """
        return self.senders.get(peer[0])

    def fill_disk(self, domain):
        """No file of the control host can grow from now on, as on a full disk."""
        self.limit_files(domain, 1)

    def free_disk(self, domain):
        self.limit_files(domain, resource.RLIM_INFINITY)

    def limit_files(self, domain, size):
        process = self.controls[domain].popen.pid
        _, hard = resource.prlimit(process, resource.RLIMIT_FSIZE)
        resource.prlimit(process, resource.RLIMIT_FSIZE, (size, hard))

    def metric(self, domain, name):
        """A metric of a control host; nothing if the host doesn't answer."""
        try:
            where = self.settings[f"control-{domain}"]["listen"]["metrics"]
            _, _, text = harness.call(where, "GET", "/metrics", timeout=1)
        except OSError:
            return None
        found = re.search(rf"^{name} (\S+)$", text.decode(), re.MULTILINE)
        return float(found.group(1)) if found else None

    def listen(self, name, what):
        return self.settings[name]["listen"][what]

    def operate(self, method, path, body=None):
        """An operator's call: any control host, redirects followed, until one answers clearly."""
        def once():
            for domain in DOMAINS:
                where, follow = self.listen(f"control-{domain}", "operators"), 2
                while True:
                    try:
                        status, headers, text = harness.call(where, method, path, body=body,
                                                             timeout=3)
                    except OSError:
                        break
                    if status == 307 and follow > 0:
                        where, follow = headers["location"].split("/")[2], follow - 1
                        continue
                    if status != 503 and status != 307:
                        return status, text
                    break
            return None
        return self.until(once, f"{method} {path}")

    def put(self, wanted):
        status, _ = self.operate("PUT", "/-/configuration", json.dumps(wanted))
        self.assertEqual(status, 200)

    def is_ready(self, domain):
        try:
            where = self.listen(f"entry-{domain}", "readiness")
            return harness.call(where, "GET", "/-/readiness", timeout=1)[0] == 200
        except OSError:
            return False

    def look_up(self, domain, region):
        where = self.listen(f"control-{domain}", "look_ups")
        try:
            status, _, text = harness.call(
                where, "GET", f"/-/resolution?name=shop.example&region={region}&zone=x", timeout=1)
        except OSError:
            return []
        return json.loads(text)["addresses"] if status == 200 else []

    def wait_all_ready(self):
        self.until(lambda: all(self.is_ready(each) for each in self.entries), "entry hosts ready")
        self.until(lambda: all(len(self.look_up(each, "north")) == 2 for each in DOMAINS),
                   "look-ups name both hosts of the region")
        for domain in self.entries:
            self.until(lambda: self.send(domain)[0] == 200, "a request is served")

    def next_number(self):
        """The id of the next request; callable from every thread."""
        return f"{next(self.numbers):016x}"

    def send(self, domain, path="/read/a", method="GET", body=None, object_key="7", timeout=10, fields=None):
        number = self.next_number()
        headers = {"Host": "shop.example", REQUEST_ID: number,
                   PREFIX + "Affinity-Key": object_key,
                   PREFIX + "Deadline-Milliseconds": "5000", **(self.fields if fields is None else fields)}
        where = self.listen(f"entry-{domain}", "callers")
        status, got, text = harness.call(where, method, path, headers, body, timeout=timeout)
        return status, got, text, number

    def runs_of(self, number):
        return sum(each.runs.get(number, 0) for each in self.targets)

    def lines(self, process):
        """The lines that a process has written to standard output so far."""
        os.set_blocking(process.popen.stdout.fileno(), False)
        seen = getattr(process, "seen", b"")
        part = process.popen.stdout.read()
        process.seen = seen + (part or b"")
        return process.seen.splitlines()
