"""Starts the programs of the project as processes, on loopback, and stops all of them again.

    class EntryTest(harness.ProcessTest):
        def test_serves(self):
            site = harness.small_site(self.addresses)
            ...
            target = self.start("bth-target", "--text", self.write("site.json", site))

Every test has a loopback network of its own (127.A.B.0/24) and a folder of its own; ports are picked
by the kernel.
"""
import http.client
import json
import os
import pathlib
import select
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
BINARIES = pathlib.Path(os.environ.get("BTH_BIN", ROOT / "build" / "bin"))

# How long a step that has to happen may take before the test is given up. It bounds a hung test; no
# result is judged by it.
GIVE_UP_SECONDS = 60


# Ports that were handed out. One that is to be used on several addresses isn't bound on all of them yet, so that the
# kernel could pick it once more there, and one of the programs couldn't start.
handed_out = set()


def free_port(address):
    """A TCP port that the kernel picks for this address, and that was handed out on no address yet."""
    while True:
        with socket.socket() as probe:
            probe.bind((address, 0))
            port = probe.getsockname()[1]
        if port not in handed_out:
            handed_out.add(port)
            return port


def free_endpoint(address):
    return f"{address}:{free_port(address)}"


class Process:
    """One running program; its standard output and error go to files."""

    def __init__(self, folder, name, arguments, environment=None):
        self.name = name
        self.out = open(folder / f"{name}.out", "wb")
        self.err_path = folder / f"{name}.err"
        self.err = open(self.err_path, "wb")
        self.popen = subprocess.Popen([str(each) for each in arguments], stdout=subprocess.PIPE,
                                      stderr=self.err, stdin=subprocess.DEVNULL,
                                      env={**os.environ, **(environment or {})})

    def wait_ready(self):
        """Waits for the line "ready"; fails if the program ends before."""
        deadline = time.monotonic() + GIVE_UP_SECONDS
        while time.monotonic() < deadline:
            readable, _, _ = select.select([self.popen.stdout], [], [], 1)
            if readable:
                line = self.popen.stdout.readline()
                if line.strip() == b"ready":
                    return self
                if not line:
                    break
        raise AssertionError(f"{self.name} did not get ready: {self.error_text()}")

    def error_text(self):
        return self.err_path.read_text(errors="replace")

    def signal(self, number):
        self.popen.send_signal(number)

    def kill(self):
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGCONT)
            self.popen.kill()
        self.popen.wait()

    def wait_exit(self):
        return self.popen.wait(timeout=GIVE_UP_SECONDS)

    def close(self):
        self.kill()
        self.popen.stdout.close()
        self.out.close()
        self.err.close()


class ProcessTest(unittest.TestCase):
    """Base of the process tests: a folder, a loopback network, and processes that end with it."""

    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="bth-test-"))
        self.processes = []
        number = os.getpid() % 16000
        self.network = f"127.{100 + number // 256}.{number % 256}"

    def tearDown(self):
        for process in reversed(self.processes):
            process.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def address(self, last):
        return f"{self.network}.{last}"

    def endpoint(self, last):
        """An address of this test's network with a free port."""
        return free_endpoint(self.address(last))

    def write(self, name, content):
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content, indent=1))
        return path

    def launch(self, program, *arguments, name=None, environment=None):
        """Starts a program without waiting for it to be ready; `environment` adds to that of the test."""
        process = Process(self.folder, name or f"{program}-{len(self.processes)}",
                          [BINARIES / program, *arguments], environment)
        self.processes.append(process)
        return process

    def start(self, program, *arguments, name=None):
        return self.launch(program, *arguments, name=name).wait_ready()

    def run_program(self, program, *arguments):
        """Runs a program to its end: exit code, standard output, standard error."""
        done = subprocess.run([str(BINARIES / program), *[str(each) for each in arguments]],
                              capture_output=True, timeout=GIVE_UP_SECONDS, check=False)
        return done.returncode, done.stdout.decode(), done.stderr.decode()

    def until(self, condition, what):
        """Polls until the condition holds."""
        deadline = time.monotonic() + GIVE_UP_SECONDS
        while time.monotonic() < deadline:
            value = condition()
            if value:
                return value
            time.sleep(0.02)
        raise AssertionError(f"gave up waiting: {what}")


def call(endpoint, method, path, headers=None, body=None, source=None, timeout=GIVE_UP_SECONDS):
    """One HTTP call on a connection of its own: status, headers (lower-case keys), body."""
    host, port = endpoint.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout,
                                            source_address=(source, 0) if source else None)
    try:
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        text = response.read()
        return response.status, {key.lower(): value for key, value in response.getheaders()}, text
    finally:
        connection.close()


def small_site(test, domains=("one", "two"), slots=3, service_time_us=1000):
    """A text with one region and service, and one entry host and one target a failure domain."""
    count = len(domains)
    site = {
        "regions": [{"name": "r", "cap": {"requests_per_second": 100000 * count,
                                          "in_flight": 1000 * count}}],
        "failure_domains": [], "hosts": [], "targets": [], "client_blocks": [],
        "caller_classes": [{"name": "public"}],
        "services": [{"name": "orders", "priority": {"public": 1}, "request_bytes": 100,
                      "answer_bytes": 1000, "service_time_us": service_time_us,
                      "shift_cap": {"share": 1, "window_s": 10}}],
    }
    for row, name in enumerate(domains):
        site["failure_domains"].append({
            "name": name, "region": "r",
            "cap": {"requests_per_second": 100000, "in_flight": 1000},
            "fallbacks": [each for each in domains if each != name]})
        site["hosts"].append({"name": f"entry-{name}", "failure_domain": name,
                              "http": test.endpoint(10 + row), "peer": test.endpoint(10 + row)})
        site["targets"].append({"name": f"target-{name}", "service": "orders",
                                "failure_domain": name, "http": test.endpoint(50 + row),
                                "slots": slots, "connections": 330})
        site["client_blocks"].append({"block": f"{test.address(128 + 16 * row)}/28",
                                      "failure_domain": name})
    return site


def caller_address(test, row):
    """A source address that belongs to the failure domain of this row of small_site."""
    return test.address(128 + 16 * row + 1)


def main():
    unittest.main(verbosity=2)
