"""Senders whose messages have no end: targets, callers, the platform's list, and processes that connect as other hosts.

A host keeps within the memory of its machine, and serves its other callers meanwhile.
"""
import contextlib
import json
import socket
import threading
import time

import harness
from endless import BLOCK, FLOOD_S, EndlessServer, Judge, answer_forms, forms
from platform_fleet import ROUTES, PlatformFleet
from platform_standins import RECEIPT, REQUEST_ID, configuration

# The memory of the smallest machines on which these programs run.
MEMORY_MB = {"entry": 160, "control": 256}
ANSWERS = {
    **answer_forms(b"HTTP/1.1 200 OK\r\n" + RECEIPT.encode() + b": r\r\n"),
    "answers to other requests": (
        b"", (b"HTTP/1.1 200 OK\r\n" + REQUEST_ID.encode() + b": 7\r\nContent-Length: 2\r\n\r\nno") * 100),
}
REQUEST = b"POST /pay/a HTTP/1.1\r\nHost: shop.example\r\n" + REQUEST_ID.encode() + b": 7\r\n"


class EndlessTarget(EndlessServer):
    def __init__(self, name, service, domain, endpoint):
        super().__init__(endpoint)
        self.name, self.service, self.domain = name, service, domain

    def entry(self):
        return {"service": self.service, "address": self.endpoint, "zone": self.domain, "version": "v1",
                "slots": 500, "state": "ready", "coldRemainingS": 0}


class PlatformEndlessTest(Judge, PlatformFleet):
    def flooded(self, kind, domain, what):
        process = {"entry": self.entries, "control": self.controls}[kind][domain]
        return self.judged(process, MEMORY_MB[kind], lambda: self.send("n1", timeout=5)[0], what)

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

            with self.flooded("entry", "n1", f"{form}, {count} at once"):
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
                with self.flooded("entry", "n1", f"{form}, {count} at once"):
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

        with self.flooded("entry", "n1", "8 at once"):
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
            for form, (first, rest) in forms(start).items():
                for count in (1, 30):
                    with self.flooded(kind, "n1", f"{page}: {form}, {count} at once"):
                        self.write_to(self.listen(f"{kind}-n1", page), first, rest, count)

    def test_frames_without_end_take_bounded_memory(self):
        for kind in ("entry", "control"):
            where = f"{self.settings[f'{kind}-n1']['address']}:{self.peer_port}"
            for count in (1, 200):
                with self.flooded(kind, "n1", f"{kind}: before the hello, {count} at once"):
                    self.hold_frames(where, count, says_hello=False)
                with self.flooded(kind, "n1", f"{kind}: after the hello, {count} at once"):
                    self.hold_frames(where, count, says_hello=True)

    def hold_frames(self, where, count, says_hello):
        """Sends all but the end of a long frame on so many connections, and keeps them open."""
        host, port = where.rsplit(":", 1)
        # A length of 4 MiB less a little, and so many bytes.
        length = (4 * 1024 * 1024 - 4096).to_bytes(4, "little")
        held = []
        for row in range(count):
            if self.flood_over.is_set():
                break
            connection = socket.create_connection((host, int(port)), timeout=2)
            held.append(connection)
            with contextlib.suppress(OSError):
                if says_hello:
                    connection.sendall(self.hello_of_another(connection.recv(4096), host, row))
                connection.sendall(length)
                for _ in range(60):
                    connection.sendall(b"\1" * 65536)
        time.sleep(FLOOD_S)
        for each in held:
            each.close()

    @staticmethod
    def hello_of_another(hello, address, row):
        """The hello of a host, with a name of the same length in place of its own one."""
        name = next(each for each in (f"host-{address}".encode(), address.encode()) if each in hello)
        return hello.replace(name, f"{row:0{len(name)}}".encode())

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
            with self.flooded("control", leader, form):
                until = time.monotonic() + FLOOD_S
                while time.monotonic() < until and not self.flood_over.is_set():
                    time.sleep(0.02)
                self.assertGreater(endless.connections, 0)
        finally:
            endless.close()
            self.listing = type(self.listing)(endpoint, self.targets)


if __name__ == "__main__":
    harness.main()
