"""Senders whose messages have no end, at the project's own programs: bth-entry and bth-control."""
import contextlib
import threading
import time

import entry_case
import harness
from control_test import ControlTest
from endless import FLOOD_S, EndlessServer, Judge, answer_forms, forms

# The bound of a host's control part (docs/CAPACITY.md), and that of the control hosts' machines.
ENTRY_MB = 128
CONTROL_MB = 256
REQUEST = b"POST /item/a HTTP/1.1\r\nHost: orders\r\n"
MANY = 60
# Requests of these forms are passed on and hold slots until their callers are given up.
RUNNING_FORMS = ("chunks", "chunk extensions")


class EndlessTarget(EndlessServer):
    """Tells its load like a sound target."""

    LOAD = b'{"in_flight":0,"slots":3,"leaving":false}'

    def answer(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.settimeout(FLOOD_S)
            while (head := connection.recv(65536)).startswith(b"GET /load"):
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(self.LOAD), self.LOAD))
            if head:
                self.asked += 1
                connection.sendall(self.first)
                while not self.over.is_set():
                    connection.sendall(self.rest)

    asked = 0


class EndlessTest(Judge, entry_case.EntryCase):
    def ask(self, row=0):
        return self.call(row, "/item/b")[0]

    def ask_of_a_busy_site(self):
        """Requests whose bodies are still coming hold slots, so that others may be refused, at once, for a full queue."""
        status, headers, _ = self.call(0, "/item/b")
        is_full = (headers.get("bth-run"), headers.get("bth-reason")) == ("no", "queue_full")
        return 200 if status == 503 and is_full else status

    def test_requests_without_end_take_bounded_memory(self):
        self.start_site(slots=200)
        for count in (1, MANY):
            for form, (first, rest) in forms(REQUEST).items():
                # Whether others are served beside many that run is the next test.
                ask = (lambda: 200) if count == MANY and form in RUNNING_FORMS else self.ask_of_a_busy_site
                with self.judged(self.entries[0], ENTRY_MB, ask, f"{form}, {count} at once"):
                    self.write_to(self.site["hosts"][0]["http"], first, rest, count)

    # Others were refused for a used up retry budget, or answered too late.
    def test_others_are_served_beside_many_bodies_without_end(self):
        self.start_site(slots=200)
        for form in RUNNING_FORMS:
            with self.judged(self.entries[0], ENTRY_MB, self.ask_of_a_busy_site, f"{form}, {MANY} at once"):
                self.write_to(self.site["hosts"][0]["http"], *forms(REQUEST)[form], MANY)

    def test_calls_without_end_to_the_admin_page_take_bounded_memory(self):
        self.start_site()
        for form, (first, rest) in forms(b"PUT /status HTTP/1.1\r\nHost: a\r\n").items():
            with self.judged(self.entries[0], ENTRY_MB, self.ask, f"{form}, 30 at once"):
                self.write_to(self.admin["entry-one"], first, rest, 30)

    def test_answers_of_targets_without_end_take_bounded_memory(self):
        self.start_site()
        target = self.site["targets"][0]
        self.targets[0].kill()
        endless = EndlessTarget(target["http"])
        self.addCleanup(endless.close)
        time.sleep(1)
        for count in (1, 60):
            for form, (first, rest) in answer_forms(b"HTTP/1.1 200 OK\r\n").items():
                endless.first, endless.rest = first, rest

                def call():
                    while not self.flood_over.is_set() and time.monotonic() < self.until_s:
                        with contextlib.suppress(OSError, Exception):
                            self.call(0, "/item/c", headers={"bth-timeout-ms": "500"})

                # Whether others are served depends on the share of this target, so that only the other host is asked.
                with self.judged(self.entries[0], ENTRY_MB, lambda: self.ask(1), f"{form}, {count} at once"):
                    self.until_s = time.monotonic() + FLOOD_S
                    threads = [threading.Thread(target=call, daemon=True) for _ in range(count)]
                    for each in threads:
                        each.start()
                    for each in threads:
                        each.join()
        self.assertGreater(endless.asked, 0)


class ControlEndlessTest(Judge, ControlTest):
    # Only the tests of this class; the others run by their own file.
    for name in [each for each in dir(ControlTest) if each.startswith("test_")]:
        locals()[name] = None
    del name

    def test_calls_without_end_take_bounded_memory(self):
        process = self.start_control()
        for count in (1, 30):
            for form, (first, rest) in forms(b"POST /edits HTTP/1.1\r\nHost: a\r\n").items():
                with self.judged(process, CONTROL_MB, lambda: harness.call(self.http, "GET", "/status")[0],
                                 f"{form}, {count} at once"):
                    self.write_to(self.http, first, rest, count)


# The tests of the base class are run by its own file.
del ControlTest

if __name__ == "__main__":
    harness.main()
