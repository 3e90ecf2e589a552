"""Runs an example deployment on loopback under load and prints a report; see scripts/demo."""
import json
import pathlib
import re
import shutil
import signal
import subprocess
import sys
import time
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARIES = ROOT / "build" / "bin"
RUN = ROOT / "run"
LOAD_REQUESTS_PER_SECOND = 1500
LOAD_SECONDS = 6
CONTROL_COUNT = 3
READY_SECONDS = 30


class Deployment:
    """Every process of one example, and the settings files they run with."""

    def __init__(self, name):
        self.name = name
        self.text_file = ROOT / "examples" / name / "site.json"
        if not self.text_file.exists():
            sys.exit(f"demo: no example is named {name}")
        self.site = json.loads(re.sub(r"^\s*//.*$", "", self.text_file.read_text(), flags=re.M))
        self.folder = RUN / name
        shutil.rmtree(self.folder, ignore_errors=True)
        self.folder.mkdir(parents=True)
        self.net = self.site["hosts"][0]["http"].split(".")[1]
        self.processes = []

    def settings_file(self, name, settings):
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings, indent=2) + "\n")
        return path

    def start(self, name, *command):
        log = open(self.folder / f"{name}.err", "wb")
        process = subprocess.Popen([str(each) for each in command], stdout=subprocess.PIPE,
                                   stderr=log, stdin=subprocess.DEVNULL)
        self.processes.append((name, process))
        return process

    def wait_ready(self):
        for name, process in self.processes:
            while True:
                line = process.stdout.readline()
                if line.strip() == b"ready":
                    break
                if not line:
                    error = (self.folder / f"{name}.err").read_text()
                    sys.exit(f"demo: {name} did not start: {error}")

    def control_hosts(self):
        return [{"host": f"control-{number}", "http": f"127.{self.net}.0.{number}:8070",
                 "peer": f"127.{self.net}.0.{number}:9070"}
                for number in range(1, CONTROL_COUNT + 1)]

    def start_control(self):
        """Three control hosts; the first start of a group says so by --found."""
        members = self.control_hosts()
        for row in members:
            data = self.folder / row["host"]
            data.mkdir()
            settings = {"host": row["host"], "data_folder": str(data), "http": row["http"],
                        "peer": row["peer"], "members": members,
                        "log": {"file": str(self.folder / f"{row['host']}.log")}}
            self.start(row["host"], BINARIES / "bth-control", "--found",
                       self.settings_file(row["host"], settings))

    def start_targets(self):
        platform = f"127.{self.net}.0.90:6000"
        self.start("platform", BINARIES / "bth-platform", "--text", self.text_file, "--listen",
                   platform, "--lag-ms", 2000)
        for row in self.site["failure_domains"]:
            self.start(f"targets-{row['name']}", BINARIES / "bth-target", "--text",
                       self.text_file, "--domain", row["name"])
        return platform

    def start_entries(self, platform):
        """Entry hosts without a text: they get it from the control hosts."""
        for number, row in enumerate(self.site["hosts"]):
            data = self.folder / row["name"]
            data.mkdir()
            seeds = [{"host": each["name"], "peer": each["peer"]} for each in self.site["hosts"]
                     if each["failure_domain"] == row["failure_domain"] and each is not row]
            settings = {"host": row["name"], "failure_domain": row["failure_domain"],
                        "http": row["http"], "peer": row["peer"], "seeds": seeds,
                        "data_folder": str(data), "platform": platform,
                        "admin": f"127.{self.net}.0.{101 + number}:8071",
                        "log": {"file": str(self.folder / f"{row['name']}.log")}}
            self.start(row["name"], BINARIES / "bth-entry", "--settings",
                       self.settings_file(row["name"], settings))

    def bthctl(self, *arguments):
        """Runs bthctl against the control hosts; prints what it says."""
        control = ",".join(row["http"] for row in self.control_hosts())
        done = subprocess.run([str(BINARIES / "bthctl"), *arguments, "--control", control],
                              stdout=subprocess.PIPE, check=False)
        print(f"bthctl {' '.join(arguments[:3])}: exit {done.returncode}",
              done.stdout.decode().strip(), sep="\n")
        return done.returncode

    def wait_until_served(self):
        """Waits until every service is served in every failure domain: a host that has just
        started waits until a lease of an earlier owner would have run out."""
        deadline = time.monotonic() + READY_SECONDS
        waiting = [(row["http"], service["name"]) for row in self.site["hosts"]
                   for service in self.site["services"]]
        while waiting and time.monotonic() < deadline:
            waiting = [each for each in waiting if not served(*each)]
            time.sleep(0.2)
        if waiting:
            sys.exit(f"demo: not served: {waiting}")

    def load(self, *extra):
        classes = []
        for row in self.site["caller_classes"]:
            key = f":{self.name}-{row['name']}-example-key" if "key_sha256" in row else ""
            classes += ["--class", f"{row['name']}:1{key}"]
        return subprocess.Popen([str(BINARIES / "bth-load"), "--text", str(self.text_file),
                                 "--rate", str(LOAD_REQUESTS_PER_SECOND), "--length-ms",
                                 str(LOAD_SECONDS * 1000), *classes, *extra],
                                stdout=subprocess.PIPE)

    def stop(self):
        """Stops entry hosts first, gracefully; returns the exit codes by name."""
        codes = {}
        for name, process in reversed(self.processes):
            process.send_signal(signal.SIGTERM)
        for name, process in reversed(self.processes):
            try:
                codes[name] = process.wait(timeout=READY_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                codes[name] = "killed"
        return codes


def served(endpoint, service):
    request = urllib.request.Request(f"http://{endpoint}/item/probe", headers={"Host": service})
    try:
        with urllib.request.urlopen(request, timeout=5) as answer:
            return answer.status == 200
    except OSError:
        return False


def main():
    deployment = Deployment(sys.argv[1])
    problems = 0
    try:
        deployment.start_control()
        platform = deployment.start_targets()
        deployment.start_entries(platform)
        deployment.wait_ready()
        print(f"Running: {len(deployment.processes)} processes, "
              f"{len(deployment.site['hosts'])} entry hosts, {CONTROL_COUNT} control hosts, "
              f"{len(deployment.site['targets'])} targets.")
        problems += deployment.bthctl("submit", str(deployment.text_file), "--expect-version",
                                      "0", "--wait")
        deployment.wait_until_served()
        print(f"\nSending {LOAD_REQUESTS_PER_SECOND} requests/s for {LOAD_SECONDS} s; a failure "
              "domain is drained in the middle.")
        load = deployment.load()
        time.sleep(LOAD_SECONDS / 2)
        drained = deployment.site["failure_domains"][-1]["name"]
        problems += deployment.bthctl("drain", "failure-domain", drained, "--wait")
        print()
        print(load.communicate()[0].decode())
        problems += load.returncode
    finally:
        codes = deployment.stop()
    unclean = {name: code for name, code in codes.items() if code != 0}
    print("All processes stopped." if not unclean else f"Unclean exits: {unclean}")
    return 1 if unclean or problems else 0


if __name__ == "__main__":
    sys.exit(main())
