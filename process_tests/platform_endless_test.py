"""Senders whose messages have no end: targets, callers, the platform's list, and processes that connect as other hosts.

A host keeps within the memory of its machine, and serves its other callers meanwhile.
"""
import contextlib
import json
import pathlib
import socket
import threading
import time

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import RECEIPT, REQUEST_ID, configuration

# The memory of the smallest machines on which these programs run.
MEMORY_MB = {"entry": 160, "control": 256}
FLOOD_S = 1.5
# Within the timeout of the route.
SERVED_WITHIN_S = 2.0
BLOCK = b"x" * 65536
FIELDS = b"X-More: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n" * 900


def forms(start):
    """What is written once, and then again and again, by the form of the message; `start` is its first line and fields."""
    chunked = start + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        "line of the head": (start + b"X-Long: ", BLOCK),
        "fields of the head": (start, FIELDS),
        "length": (start + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
        "chunks": (chunked, b"10000\r\n" + BLOCK + b"\r\n"),
        "chunk extension": (chunked + b"5;", BLOCK),
        "chunk extensions": (chunked, b"1;" + BLOCK[:4000] + b"\r\nx\r\n"),
        "trailer": (chunked + b"0\r\n", FIELDS),
        "no message": (b"", BLOCK),
    }


ANSWER = b"HTTP/1.1 200 OK\r\n" + RECEIPT.encode() + b": r\r\n"
ANSWERS = {
    **forms(ANSWER),
    "body that ends with its connection": (ANSWER + b"\r\n", BLOCK),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "answers to other requests": (
        b"", (b"HTTP/1.1 200 OK\r\n" + REQUEST_ID.encode() + b": 7\r\nContent-Length: 2\r\n\r\nno") * 100),
}
REQUEST = b"POST /pay/a HTTP/1.1\r\nHost: shop.example\r\n" + REQUEST_ID.encode() + b": 7\r\n"


class EndlessServer:
    """Answers whatever connects with `first`, and then with `rest` until that closes."""

    def __init__(self, endpoint):
        self.first, self.rest = b"", BLOCK
        self.over = threading.Event()
        host, port = endpoint.rsplit(":", 1)
        self.endpoint = endpoint
        self.listener = socket.create_server((host, int(port)), backlog=1024)
        self.connections = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.settimeout(FLOOD_S)
            connection.recv(65536)
            write_endlessly(connection, self.first, self.rest, self.over)

    def close(self):
        self.over.set()
        # Wakes accept(), too.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def write_endlessly(connection, first, rest, over):
    connection.sendall(first)
    while not over.is_set():
        connection.sendall(rest)


class EndlessTarget(EndlessServer):
    def __init__(self, name, service, domain, endpoint):
        super().__init__(endpoint)
        self.name, self.service, self.domain = name, service, domain

    def entry(self):
        return {"service": self.service, "address": self.endpoint, "zone": self.domain, "version": "v1",
                "slots": 500, "state": "ready", "coldRemainingS": 0}


class PlatformEndlessTest(PlatformFleet):
    def resident_mb(self, process):
        status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text(encoding="ascii")
        return int(status.split("VmRSS:")[1].split()[0]) / 1024

    @contextlib.contextmanager
    def judged(self, process, kind, domain, what):
        """Runs a flood against a process; checks its memory, and the requests of others at an entry host meanwhile."""
        over, most, outcomes = threading.Event(), [0.0], []
        self.flood_over = threading.Event()

        def measure():
            while not over.is_set():
                most[0] = max(most[0], self.resident_mb(process))
                if most[0] > MEMORY_MB[kind]:
                    self.flood_over.set()
                time.sleep(0.01)

        def call():
            while not over.is_set():
                begun = time.monotonic()
                try:
                    status = self.send(domain, timeout=5)[0]
                except OSError as error:
                    status = repr(error)
                outcomes.append((status, time.monotonic() - begun))
                time.sleep(0.05)

        threads = [threading.Thread(target=each, daemon=True) for each in (measure, call)]
        for each in threads:
            each.start()
        try:
            yield
        finally:
            self.flood_over.set()
            over.set()
            for each in threads:
                each.join()
        with self.subTest(what):
            self.assertIsNone(process.popen.poll())
            self.assertLessEqual(most[0], MEMORY_MB[kind], "MB of memory")
            self.assertGreater(len(outcomes), 3)
            self.assertEqual([each for each in outcomes if each[0] != 200 or each[1] > SERVED_WITHIN_S][:3], [],
                             f"{len(outcomes)} requests of others")

    def write_to(self, where, first, rest, count):
        """Writes a message without an end on so many connections until they are closed or the flood is over."""
        host, port = where.rsplit(":", 1)
        until = time.monotonic() + FLOOD_S

        def write():
            while not self.flood_over.is_set() and time.monotonic() < until:
                with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=1) as connection:
                    connection.sendall(first)
                    while not self.flood_over.is_set() and time.monotonic() < until:
                        connection.sendall(rest)
                time.sleep(0.05)

        threads = [threading.Thread(target=write, daemon=True) for _ in range(count)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()

    def allow_bodies(self, size):
        wanted = configuration(2, ROUTES, ["orders"])
        wanted["limits"]["maxBodyBytes"] = size
        self.put(wanted)
        # Until all hosts have it.
        time.sleep(1)

    def check_answers_of_targets(self, count):
        target = EndlessTarget("i-endless", "endless", "n1", self.endpoint(150))
        self.addCleanup(target.close)
        self.put(configuration(2, {**ROUTES, "/endless/": ("endless", "idempotent")}, ["orders", "endless"]))
        self.listing.targets.append(target)
        self.until(lambda: self.send("n1", "/endless/a")[0] and target.connections, "the target is used")
        for form, (first, rest) in ANSWERS.items():
            target.first, target.rest = first, rest
            statuses = []

            def call():
                while not self.flood_over.is_set() and time.monotonic() < self.flood_until:
                    with contextlib.suppress(OSError):
                        statuses.append(self.send("n1", "/endless/a", timeout=5)[0])

            with self.judged(self.entries["n1"], "entry", "n1", f"{form}, {count} at once"):
                self.flood_until = time.monotonic() + FLOOD_S
                threads = [threading.Thread(target=call, daemon=True) for _ in range(count)]
                for each in threads:
                    each.start()
                for each in threads:
                    each.join()
            with self.subTest(f"{form}: no answer is made of it"):
                self.assertNotIn(200, statuses)
        self.listing.targets.remove(target)

    def test_answers_of_a_target_without_end_take_bounded_memory(self):
        self.check_answers_of_targets(1)

    def test_many_answers_of_targets_without_end_take_bounded_memory(self):
        self.check_answers_of_targets(200)

    def test_requests_without_end_take_bounded_memory(self):
        self.allow_bodies(64 * 1024 * 1024)
        for count in (1, 60):
            for form, (first, rest) in forms(REQUEST).items():
                with self.judged(self.entries["n1"], "entry", "n1", f"{form}, {count} at once"):
                    self.write_to(self.listen("entry-n1", "callers"), first, rest, count)

    def test_uploads_at_once_take_bounded_memory(self):
        self.allow_bodies(64 * 1024 * 1024)
        length = 30 * 1024 * 1024
        head = REQUEST + b"Content-Length: " + str(length).encode() + b"\r\n\r\n"
        host, port = self.listen("entry-n1", "callers").rsplit(":", 1)
        answers = []

        def upload():
            answer = b""
            with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=5) as connection:
                with contextlib.suppress(OSError):
                    connection.sendall(head)
                    for _ in range(length // len(BLOCK)):
                        connection.sendall(BLOCK)
                answer = connection.recv(65536)
            answers.append(answer)

        with self.judged(self.entries["n1"], "entry", "n1", "8 at once"):
            threads = [threading.Thread(target=upload, daemon=True) for _ in range(8)]
            for each in threads:
                each.start()
            for each in threads:
                each.join()
        refused = [each for each in answers if each.startswith(b"HTTP/1.1 503")]
        with self.subTest("those without room hear when to come back"):
            self.assertTrue(refused, answers)
            self.assertEqual([each for each in refused if b"Retry-After:" not in each], [])

    def test_calls_without_end_to_the_pages_of_a_host_take_bounded_memory(self):
        start = b"PUT /-/configuration HTTP/1.1\r\nHost: a\r\n"
        for kind, page in (("entry", "readiness"), ("entry", "metrics"), ("control", "operators"), ("control", "look_ups")):
            process = {"entry": self.entries, "control": self.controls}[kind]["n1"]
            for form, (first, rest) in forms(start).items():
                with self.judged(process, kind, "n1", f"{page}: {form}, 30 at once"):
                    self.write_to(self.listen(f"{kind}-n1", page), first, rest, 30)

    def test_frames_without_end_take_bounded_memory(self):
        # A length of 4 MiB less a little, and so many bytes.
        first, rest = (4 * 1024 * 1024 - 4096).to_bytes(4, "little"), b"\1" * 65536
        for kind in ("entry", "control"):
            process = {"entry": self.entries, "control": self.controls}[kind]["n1"]
            where = f"{self.settings[f'{kind}-n1']['address']}:{self.peer_port}"
            with self.judged(process, kind, "n1", f"{kind}: 200 at once"):
                self.hold_frames(where, first, rest, 200)

    def hold_frames(self, where, first, rest, count):
        """Sends all but the end of a long frame on so many connections, and keeps them open."""
        host, port = where.rsplit(":", 1)
        held = []
        for _ in range(count):
            if self.flood_over.is_set():
                break
            connection = socket.create_connection((host, int(port)), timeout=2)
            held.append(connection)
            with contextlib.suppress(OSError):
                connection.sendall(first)
                for _ in range(60):
                    connection.sendall(rest)
        time.sleep(0.5)
        for each in held:
            each.close()

    def test_list_of_targets_without_end_takes_bounded_memory(self):
        entries = {f"i-{row}": self.targets[0].entry() for row in range(300)}
        page = json.dumps(entries).encode()[1:-1]
        start = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        for form, (first, rest) in {**forms(start), **{
                "list that ends with its connection": (start + b"\r\n{\"instances\":{", page + b","),
                "numbers": (start + b"\r\n{\"instances\":[0", b",0" * 30000),
                "brackets": (start + b"\r\n{\"instances\":", b"[" * 60000)}}.items():
            self.endless_list(form, first, rest)

    def endless_list(self, form, first, rest):
        endpoint = self.listing.endpoint
        self.listing.close()
        endless = EndlessServer(endpoint)
        endless.first, endless.rest = first, rest
        try:
            leader = max(self.controls, key=lambda each: self.metric(each, "bth_control_leader") or 0)
            with self.judged(self.controls[leader], "control", "n1", form):
                until = time.monotonic() + FLOOD_S
                while time.monotonic() < until and not self.flood_over.is_set():
                    time.sleep(0.02)
                self.assertGreater(endless.connections, 0)
        finally:
            endless.close()
            self.listing = type(self.listing)(endpoint, self.targets)


if __name__ == "__main__":
    harness.main()
