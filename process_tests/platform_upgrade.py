"""Replaces the hosts of a running fleet, one after the other, by another build, and back, under load and faults.

Usage: platform_upgrade.py --old FOLDER [--first SEED] [--count N] [--jobs N]

FOLDER has the programs of the older build; those of this one are where the other process tests find them. Run by hand,
through scripts/soak upgrade. A seed gives one order of replacements, with hosts frozen or killed between them. Callers and
operators go on all the time, and what they and the targets see is checked:

- a payment runs at most once, and not at all if its answer says so;
- an answer 200 is that of the target that ran the request;
- every configuration is acknowledged, in force within the time for that, and read back at the end;
- an evacuated domain stays evacuated, whichever build leads;
- once nothing is replaced any more, every host serves.
"""
import argparse
import contextlib
import json
import os
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import RECEIPT, configuration

APPLY_SECONDS = 2.5
# A busy machine may hold up a caller's own thread this long without any fault of ours.
SLACK = 1.5
RECOVERY_SECONDS = 20


class UpgradeFleet(PlatformFleet):
    maxDiff = None

    def setUp(self):
        self.folders = {"old": pathlib.Path(os.environ["BTH_OLD_BIN"]), "new": harness.BINARIES}
        self.build = "old"
        super().setUp()

    def launch(self, program, *arguments, **more):
        harness.BINARIES = self.folders[self.build]
        return super().launch(program, *arguments, **more)

    def runTest(self):
        seed = int(os.environ["BTH_SOAK_SEED"])
        self.chance = random.Random(seed)
        self.findings, self.told, self.routes, self.ended = [], [], dict(ROUTES), threading.Event()
        self.operate("POST", "/-/evacuation/s1")
        evacuated_at = time.monotonic()
        callers = [threading.Thread(target=self.call, args=(domain,)) for domain in DOMAINS]
        for each in callers:
            each.start()
        try:
            # There, halfway back, and there again: a stop in the middle leaves both builds side by side.
            for build, count in (("new", 6), ("old", 3), ("new", 6)):
                self.build = build
                self.replace_hosts(count)
            self.check_end()
        finally:
            self.ended.set()
            for each in callers:
                each.join()
        late = [each.at for target in self.targets if target.domain == "s1" for each in target.arrivals()
                if each.ran and each.at > evacuated_at + 5]
        if late:
            self.findings.append(f"{len(late)} requests reached the evacuated domain")
        self.assertEqual(self.findings, [], f"seed {seed}; steps: {self.told}")

    def replace_hosts(self, count):
        hosts = [(kind, domain) for kind in ("control", "entry") for domain in DOMAINS]
        for kind, domain in self.chance.sample(hosts, count):
            how = self.chance.choice(["stop", "stop", "kill"])
            self.told.append(f"{how} {kind} {domain}, start {self.build}")
            processes = self.controls if kind == "control" else self.entries
            if how == "stop":
                processes[domain].signal(signal.SIGTERM)
                processes[domain].wait_exit()
            else:
                processes[domain].kill()
            row = list(DOMAINS).index(domain)
            (self.start_control if kind == "control" else self.start_entry)(domain, row)
            self.disturb()
            self.configure()

    def disturb(self):
        """Freezes another host for a moment, at times."""
        if self.chance.random() < 0.4:
            frozen = self.chance.choice([*self.controls.values(), *self.entries.values()])
            frozen.signal(signal.SIGSTOP)
            time.sleep(self.chance.uniform(0.2, 1.5))
            frozen.signal(signal.SIGCONT)
        time.sleep(self.chance.uniform(0.1, 1.0))

    def configure(self):
        self.version += 1
        self.routes[f"/v{self.version}/"] = ("orders", "idempotent")
        status, _ = self.operate("PUT", "/-/configuration", json.dumps(configuration(self.version, self.routes, ["orders"])))
        if status != 200:
            self.findings.append(f"configuration {self.version}: {status}")

    def call(self, domain):
        chance = random.Random(domain)
        while not self.ended.is_set():
            pays = chance.random() < 0.5
            try:
                status, headers, _, number = self.send(domain, "/pay/x" if pays else "/read/x", "POST" if pays else "GET",
                                                       b"1" if pays else None, object_key=str(chance.randrange(20)), timeout=8)
            except (OSError, harness.http.client.HTTPException):
                time.sleep(0.05)
                continue
            runs = self.runs_of(number)
            if pays and runs > 1:
                self.findings.append(f"payment {number} ran {runs} times")
            if status in (408, 421, 429, 503) and pays and runs > 0:
                self.findings.append(f"payment {number} ran though its answer {status} says it did not")
            if status == 200 and (headers.get(RECEIPT.lower()) != "seal-" + number or runs < 1):
                self.findings.append(f"answer {number} isn't that of a target")

    def check_end(self):
        deadline = time.monotonic() + RECOVERY_SECONDS
        for domain in DOMAINS:
            status = None
            while status != 200 and time.monotonic() < deadline:
                with contextlib.suppress(OSError, harness.http.client.HTTPException):
                    status = self.send(domain, f"/v{self.version}/x", timeout=3)[0]
                time.sleep(0.1)
            if status != 200:
                self.findings.append(f"{domain} answers {status} for the newest route {RECOVERY_SECONDS} s after the end")
        status, text = self.operate("GET", "/-/configuration")
        if (status, json.loads(text)["version"]) != (200, f"r{self.version}"):
            self.findings.append(f"configuration r{self.version} was acknowledged; held: {text[:40]}")


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--old", help="folder of the older build's programs")
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=10)
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--one", action="store_true", help="one seed, of BTH_SOAK_SEED")
    given = parser.parse_args()
    if given.one:
        harness.unittest.main(argv=[sys.argv[0], "UpgradeFleet"])
    seeds, failed, lock = [given.first + each for each in range(given.count)], [], threading.Lock()

    def work():
        while True:
            with lock:
                if not seeds:
                    return
                seed = seeds.pop(0)
            environment = {**os.environ, "BTH_SOAK_SEED": str(seed), "BTH_OLD_BIN": str(pathlib.Path(given.old).resolve())}
            done = subprocess.run([sys.executable, __file__, "--one"], env=environment, capture_output=True, text=True,
                                  check=False)
            with lock:
                print(f"seed {seed}: {'ok' if done.returncode == 0 else 'FAILED'}", flush=True)
                if done.returncode != 0:
                    failed.append(seed)
                    print(done.stderr[-3000:], flush=True)

    workers = [threading.Thread(target=work) for _ in range(given.jobs)]
    for each in workers:
        each.start()
    for each in workers:
        each.join()
    print(f"failed seeds: {failed or 'none'}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
