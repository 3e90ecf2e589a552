"""What callers get around a stop of an entry host: each request that reached a target gets its whole answer."""
import itertools
import json
import random
import signal
import threading
import time

import harness
from kept_connection import KeptConnection, KeptRequest, keep_calling
from platform_fleet import ROUTES, PlatformFleet
from platform_standins import PREFIX, REQUEST_ID, configuration

# The settings of the fleet: the grace time, the life of a look-up, and three times that, for which a stopping host takes callers.
GRACE_S = 6
LOOK_UP_TTL_S = 1.2
TAKES_CALLERS_S = 3 * LOOK_UP_TTL_S
# Until then a stopping host takes requests that may outlast its stop.
TAKES_LONG_S = GRACE_S / 2


class StopFleet(PlatformFleet):
    grace_s = GRACE_S

    def settings_of(self, domain, address, listen, **more):
        settings = super().settings_of(domain, address, listen, **more)
        settings["limits"].update(stop_grace_s=self.grace_s, look_up_ttl_s=LOOK_UP_TTL_S)
        return settings

    def connect(self, domain="n1", **options):
        return KeptConnection(self.listen(f"entry-{domain}", "callers"), **options)

    def stop(self, domain="n1"):
        entry = self.entries[domain]
        entry.signal(signal.SIGTERM)
        self.until(lambda: any(b"event=stop " in line for line in self.lines(entry)), "the host is stopping")
        return time.monotonic()

    def receive_all(self, connections):
        for each in connections:
            while each.receive(10):
                pass
            each.close()

    def allow_long_requests(self):
        wanted = configuration(2, ROUTES, ["orders"])
        for route in wanted["routes"].values():
            route["timeoutS"], route["targetLatencyS"] = 8, 4
        self.put(wanted)
        self.until(lambda: any(b"version=2" in line for line in self.lines(self.entries["n1"])), "the timeouts are in force")

    def arrivals(self):
        return {each.number: each for target in self.targets for each in target.arrivals()}

    def assert_none_lost(self, requests):
        arrivals = self.arrivals()
        lost = [each for each in requests if each.status is None and each.number in arrivals]
        self.assertEqual((len(lost), lost[:3]), (0, []))

    def assert_exits(self, domain="n1"):
        self.assertEqual(self.entries[domain].wait_exit(), 0)


class PlatformStopTest(StopFleet):
    def test_request_read_with_the_last_answer_is_not_lost(self):
        for each in self.targets:
            each.seconds = 0.3
        connections = [self.connect() for _ in range(5)]
        first = [each.send(self.next_number()) for each in connections]
        self.until(lambda: all(each.number in self.arrivals() for each in first), "the requests are at targets")
        self.stop()
        # The last answers and the next requests are there in one turn of the event loop.
        self.entries["n1"].signal(signal.SIGSTOP)
        frozen = time.monotonic()
        self.until(lambda: all(self.arrivals()[each.number].answered for each in first), "the targets have answered")
        second = [each.send(self.next_number()) for each in connections]
        self.assertGreater(min(self.arrivals()[each.number].answered for each in first), frozen)
        time.sleep(0.1)
        self.entries["n1"].signal(signal.SIGCONT)
        self.receive_all(connections)
        self.assertEqual([each.status for each in first], [200] * len(first))
        self.assert_none_lost(second)
        self.assert_exits()

    def test_requests_of_callers_that_always_have_two_in_flight_are_not_cut(self):
        for each in self.targets:
            each.seconds = 0.1
        over = threading.Event()
        results = []

        def call(row):
            results.append(keep_calling(self.connect, self.next_number, random.Random(row), over.is_set, depth=2 + row % 2))

        callers = [threading.Thread(target=call, args=(row,)) for row in range(8)]
        for each in callers:
            each.start()
        time.sleep(0.5)
        stopped = self.stop()
        self.assert_exits()
        took = time.monotonic() - stopped
        over.set()
        for each in callers:
            each.join()
        requests = list(itertools.chain(*results))
        self.assert_none_lost(requests)
        with self.subTest("served until look-ups that name the host have expired"):
            late = [each for each in requests if each.status == 200 and each.sent > stopped + TAKES_CALLERS_S - 0.5]
            self.assertGreater(len(late), 0)
        with self.subTest("the process doesn't wait for its grace time to end"):
            self.assertLess(took, GRACE_S - 1)

    def test_further_stop_signals_cut_nothing(self):
        for each in self.targets:
            each.seconds = 1.0
        connections = [self.connect() for _ in range(4)]
        requests = [each.send(self.next_number()) for each in connections]
        self.until(lambda: all(each.number in self.arrivals() for each in requests), "the requests are at targets")
        self.stop()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGTERM):
            time.sleep(0.1)
            self.entries["n1"].signal(number)
        self.receive_all(connections)
        self.assertEqual([each.status for each in requests], [200] * len(requests))
        self.assert_exits()

    def test_reload_signal_while_starting_ends_no_process(self):
        for start, running in ((self.start_entry, self.entries), (self.start_control, self.controls)):
            for _ in range(5):
                running["n1"].kill()
                start("n1", 0)
                # From the first line on; before it, the program may not run yet.
                self.until(lambda: self.lines(running["n1"]), "the program runs")
                for _ in range(20):
                    running["n1"].signal(signal.SIGHUP)
                    time.sleep(0.001)
                time.sleep(0.2)
                self.assertIsNone(running["n1"].popen.poll())

    def begin_request(self, connection, path, length, sent, deadline_ms):
        """Sends the head of a request with a body of `length`, and `sent` of the body."""
        request = KeptRequest(self.next_number(), time.monotonic())
        head = [f"POST {path} HTTP/1.1", "Host: shop.example", f"{REQUEST_ID}: {request.number}",
                f"{PREFIX}Deadline-Milliseconds: {deadline_ms}", f"Content-Length: {length}"]
        connection.waiting.append(request)
        connection.socket.sendall("\r\n".join([*head, "", ""]).encode() + sent)
        return request

    def test_request_that_is_complete_late_is_answered_or_refused_unsent(self):
        self.allow_long_requests()
        for each in self.targets:
            each.seconds, each.ends_at_deadline = 0.8, True
        # Those that come by 4.4 s can use all their time before the host has to have answered.
        complete_at = [3.8, 4.0, 4.2, 4.3, 4.35, 4.4, 4.45, 4.6, 5.0, 5.2, 5.3, 5.4, 5.45, 5.5]
        connections = [self.connect() for _ in complete_at]
        requests = [self.begin_request(each, "/pay/a", 3, b"a", deadline_ms=1000) for each in connections]
        stopped = self.stop()
        for connection, at in zip(connections, complete_at):
            time.sleep(max(0, stopped + at - time.monotonic()))
            connection.socket.sendall(b"bc")
        self.receive_all(connections)
        arrivals = self.arrivals()
        self.assertEqual([each for each in requests if each.status is None], [])
        sent = [each for each in requests if each.number in arrivals]
        self.assertGreater(len(sent), 0)
        self.assertEqual([each for each in sent if not each.is_of_target], [])
        self.assertEqual([each for each in requests if each.number not in arrivals and each.status != 503], [])
        self.assert_exits()

    def test_callers_that_cross_the_end_of_the_time_for_callers_lose_no_payment(self):
        for each in self.targets:
            each.seconds = 0.05
        over = threading.Event()
        results = []

        def call(row):
            results.append(keep_calling(self.connect, self.next_number, random.Random(row), over.is_set, most_pause=0.02,
                                        make_path=lambda chance: "/pay/a"))

        callers = [threading.Thread(target=call, args=(row,)) for row in range(8)]
        for each in callers:
            each.start()
        time.sleep(0.5)
        stopped = self.stop()
        self.assert_exits()
        over.set()
        for each in callers:
            each.join()
        requests = list(itertools.chain(*results))
        self.assertGreater(len([each for each in requests if each.sent > stopped + TAKES_CALLERS_S - 0.5]), 0)
        self.assert_none_lost(requests)
        self.assertEqual([each for each in requests if each.status in (408, 421, 429, 503) and self.runs_of(each.number)], [])

    def test_answer_that_leaves_its_target_late_is_not_replaced(self):
        self.allow_long_requests()
        for each in self.targets:
            each.seconds, each.ends_at_deadline, each.late_s = 3, True, 0.13
        connections = [self.connect() for _ in range(3)]
        stopped = self.stop()
        time.sleep(max(0, stopped + TAKES_LONG_S - 0.3 - time.monotonic()))
        late = [each.send(self.next_number(), path="/pay/a", deadline_ms=8000) for each in connections]
        self.receive_all(connections)
        arrivals = self.arrivals()
        self.assertEqual([each for each in late if each.status is None], [])
        self.assertGreater(len([each for each in late if each.number in arrivals]), 0)
        # The stand-in wakes for all of them before the host exits. Where the machine woke it too late, no host could have waited.
        self.until(lambda: all(each.overran for each in arrivals.values() if each.number in [row.number for row in late]),
                   "the targets have woken")
        judged = [each for each in late if each.number in arrivals and arrivals[each.number].overran < 0.16]
        self.assertGreater(len(judged), 0)
        self.assertEqual([each for each in judged if not each.is_of_target], [])
        self.assert_exits()

    def test_request_that_may_outlast_the_stop_is_refused_in_its_second_half(self):
        """Estimates of the time that a request takes are of no help: these were short until now."""
        self.allow_long_requests()
        connections = [self.connect() for _ in range(4)]
        for each in connections:
            each.send(self.next_number())
            while each.waiting and each.receive(10):
                pass
        for each in self.targets:
            each.seconds = 3
        stopped = self.stop()
        time.sleep(max(0, stopped + TAKES_LONG_S + 0.2 - time.monotonic()))
        late = [each.send(self.next_number(), path=path, deadline_ms=8000) for each, path in zip(connections, ["/read/a", "/pay/a"] * 2)]
        self.receive_all(connections)
        arrivals = self.arrivals()
        self.assertEqual([each for each in late if each.status != 503 or each.number in arrivals], [])
        self.assertLess(max(each.ended - each.sent for each in late), 1)
        self.assert_exits()

    def test_long_request_that_comes_late_is_answered_before_the_exit(self):
        self.allow_long_requests()
        for each in self.targets:
            each.seconds, each.ends_at_deadline = 3, True
        connections = [self.connect() for _ in range(6)]
        stopped = self.stop()
        late = []
        for at, some in ((TAKES_LONG_S - 0.2, connections[:3]), (TAKES_CALLERS_S - 0.3, connections[3:])):
            time.sleep(max(0, stopped + at - time.monotonic()))
            late += [each.send(self.next_number(), deadline_ms=8000) for each in some]
        # Those refused at once first, so that their time is that of their answers.
        self.receive_all(connections[::-1])
        self.assert_none_lost(late)
        self.assertEqual([each for each in late if each.status == 503 and each.number in self.arrivals()], [])
        self.assertEqual([each for each in late if each.status is None], [])
        with self.subTest("no answer of the host's own while a target is at work"):
            self.assertEqual([each for each in late if each.status != 503 and not each.is_of_target], [])
        with self.subTest("refused at once"):
            self.assertEqual([each for each in late if each.status == 503 and each.ended - each.sent > 1], [])
        self.assert_exits()

    def test_answer_behind_a_request_that_outlasts_the_grace_time_is_not_cut(self):
        self.allow_long_requests()
        for each in self.targets:
            each.seconds = 7.5
        connection = self.connect()
        first = connection.send(self.next_number(), deadline_ms=8000)
        self.until(lambda: first.number in self.arrivals(), "the request is at a target")
        for each in self.targets:
            each.seconds = 0.05
        self.stop()
        second = connection.send(self.next_number(), deadline_ms=8000)
        self.receive_all([connection])
        self.assertIsNotNone(self.arrivals()[second.number].answered)
        self.assertEqual((first.status, second.status), (504, 200))
        self.assert_exits()

    def test_request_read_while_the_last_answer_is_written_is_not_lost(self):
        for each in self.targets:
            each.seconds = 0.3
            # More than the buffers of the connection hold.
            each.padding = b"x" * 12_000_000
        connection = self.connect(receive_buffer=65536)
        first = connection.send(self.next_number())
        self.until(lambda: first.number in self.arrivals(), "the request is at a target")
        self.stop()
        self.until(lambda: self.arrivals()[first.number].answered, "the target has answered")
        # The answer is long and the caller reads it slowly, so that it is still on its way.
        behind = []
        for _ in range(3):
            time.sleep(0.1)
            behind.append(connection.send(self.next_number()))
        while connection.receive(10, most=16384):
            time.sleep(0.001)
        connection.close()
        self.assertEqual(first.status, 200)
        self.assert_none_lost(behind)
        self.assert_exits()

    def test_connection_whose_answer_outlasts_the_time_for_callers_is_not_left_without_an_end(self):
        for each in self.targets:
            each.padding = b"x" * 12_000_000
        connection = self.connect(receive_buffer=65536)
        first = connection.send(self.next_number())
        self.until(lambda: first.number in self.arrivals() and self.arrivals()[first.number].answered, "the target has answered")
        # The answer is on its way before the signal, so that it doesn't say that the connection closes.
        time.sleep(0.5)
        stopped = self.stop()
        time.sleep(max(0, stopped + TAKES_CALLERS_S + 0.3 - time.monotonic()))
        while first.status is None and connection.receive(10):
            pass
        self.assertEqual(first.status, 200)
        got_first = time.monotonic()
        if not connection.is_closing:
            try:
                second = connection.send(self.next_number())
            except OSError:
                second = None
            while connection.receive(10) and (second is None or second.status is None):
                pass
            waited = time.monotonic() - got_first
            self.assertTrue((second is not None and second.status is not None) or waited < 0.5,
                            f"read, not answered, closed {waited:.2f}s after it was sent, {time.monotonic() - stopped:.2f}s after the signal")
        connection.close()
        self.assert_exits()

    def test_caller_that_leaves_late_in_a_stop_ends_its_request(self):
        for each in self.targets:
            each.seconds = 2.0
        stopped = self.stop()
        time.sleep(max(0, stopped + TAKES_CALLERS_S - 0.5 - time.monotonic()))
        connection = self.connect()
        request = connection.send(self.next_number())
        time.sleep(0.9)
        connection.close()
        self.assert_exits()
        lines = [line for line in self.lines(self.entries["n1"]) if request.number.encode() in line]
        with self.subTest("the request ends"):
            self.assertTrue(any(b"ended_by=caller_gone" in line for line in lines), lines)
        with self.subTest("it isn't told as cut"):
            self.assertEqual([line for line in lines if b"event=request_cut" in line], [])

    def test_100_continue_is_not_written_into_another_answer(self):
        for each in self.targets:
            each.padding = b"x" * 12_000_000
        connection = self.connect(receive_buffer=65536)
        first = connection.send(self.next_number())
        self.until(lambda: first.number in self.arrivals() and self.arrivals()[first.number].answered, "the target has answered")
        time.sleep(0.5)
        connection.socket.sendall(b"POST /read/a HTTP/1.1\r\nHost: shop.example\r\nExpect: 100-continue\r\n"
                                  b"Content-Length: 3\r\n\r\n")
        time.sleep(0.3)
        got = b""
        while len(got) < 12_000_000:
            got += connection.socket.recv(262144)
        connection.close()
        body = got[got.index(b"\r\n\r\n") + 4:][:12_000_000]
        self.assertNotIn(b"100 Continue", body)

    def test_input_behind_a_malformed_request_ends_no_answer(self):
        for each in self.targets:
            each.padding = b"x" * 1_000_000
        connection = self.connect(receive_buffer=65536)
        first = connection.send(self.next_number())
        self.until(lambda: first.number in self.arrivals() and self.arrivals()[first.number].answered, "the target has answered")
        connection.socket.sendall(b"no request\r\n\r\n" + b"y" * 10_000)
        refused = KeptRequest("", time.monotonic())
        connection.waiting.append(refused)
        # The caller reads nothing until the host has waited for the end of the connection.
        time.sleep(1.5)
        while connection.receive(10):
            pass
        connection.close()
        self.assertEqual((first.status, refused.status), (200, 400))


class PlatformShortStopTest(StopFleet):
    grace_s = 1

    def test_request_that_ends_before_the_last_sixth_of_a_short_grace_time_is_not_cut(self):
        self.allow_long_requests()
        for each in self.targets:
            each.seconds = 0.92
        connections = [self.connect() for _ in range(3)]
        requests = [each.send(self.next_number(), path="/pay/a", deadline_ms=8000) for each in connections]
        self.until(lambda: all(each.number in self.arrivals() for each in requests), "the requests are at targets")
        first = min(self.arrivals()[each.number].at for each in requests)
        time.sleep(max(0, first + 0.17 - time.monotonic()))
        self.entries["n1"].signal(signal.SIGTERM)
        signalled = time.monotonic()
        self.receive_all(connections)
        arrivals = self.arrivals()
        early = [each for each in requests if arrivals[each.number].at + 0.92 < signalled + self.grace_s * 0.78]
        self.assertGreater(len(early), 0)
        self.assertEqual([each for each in early if each.status != 200], [])
        self.assert_exits()


if __name__ == "__main__":
    harness.main()
