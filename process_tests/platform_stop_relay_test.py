"""Answers that a stopping entry host owes to another one, for which it sends requests to targets."""
import signal
import time

import harness
from kept_connection import KeptConnection
from platform_fleet import ROUTES
from platform_soak import ProxiedFleet
from platform_standins import PREFIX, Target, configuration

GRACE_S = 6
LOOK_UP_TTL_S = 1.2
TAKES_CALLERS_S = 3 * LOOK_UP_TTL_S
# Until then a stopping host takes requests that may outlast its stop.
TAKES_LONG_S = GRACE_S / 2
# Shorter than the silence after which the other host gives up the requests that it forwarded.
FREEZE_S = 0.33
# Longer than that silence.
PAUSE_S = 1.2


class HeldTarget(Target):
    """Holds all answers back until `answer_at`, if `holds` is set."""

    holds = False
    answer_at = None

    @property
    def seconds(self):
        if not HeldTarget.holds:
            return 0.005
        while HeldTarget.answer_at is None or time.monotonic() < HeldTarget.answer_at:
            time.sleep(0.002)
        return 0

    @seconds.setter
    def seconds(self, value):
        pass


class TargetHeldBySender(Target):
    """Runs requests of the entry hosts in `free`, and holds those of all others."""

    free = set()

    def respond(self, request, body, arrival):
        while arrival.sender not in TargetHeldBySender.free:
            time.sleep(0.002)
        super().respond(request, body, arrival)


class PlatformStopRelayTest(ProxiedFleet):
    def settings_of(self, domain, address, listen, **more):
        settings = super().settings_of(domain, address, listen, **more)
        settings["limits"].update(stop_grace_s=GRACE_S, look_up_ttl_s=LOOK_UP_TTL_S)
        return settings

    def arrivals(self):
        return {each.number: each for target in self.targets for each in target.arrivals()}

    def relay_requests_of_n1(self):
        """From now on n1 reaches no target, and n2 sends its requests."""
        self.cut_off_n1("s1")
        HeldTarget.holds, HeldTarget.answer_at = True, None
        for each in self.targets:
            each.__class__ = HeldTarget

    def cut_off_n1(self, *ended):
        """From now on n1 reaches no target, and other entry hosts send its requests; those in `ended` have ended before."""
        wanted = configuration(2, ROUTES, ["orders"])
        for route in wanted["routes"].values():
            route["timeoutS"], route["targetLatencyS"] = 8, 6
        self.put(wanted)
        self.wrap_targets()
        for each in ended:
            self.entries[each].kill()
        self.cut("n1", how="refuse", keeps_open=False)
        warmed_up = time.monotonic() + 5
        while time.monotonic() < warmed_up:
            self.send("n1")
            time.sleep(0.05)
        self.until(lambda: self.send("n1")[0] == 200, "requests of n1 are relayed")

    def send_all(self, paths):
        """Sends requests to n1, each on a connection of its own, and waits until all of them are at targets."""
        connections = [KeptConnection(self.listen("entry-n1", "callers")) for _ in paths]
        requests = [each.send(self.next_number(), path=path, deadline_ms=7900) for each, path in zip(connections, paths)]
        self.until(lambda: all(each.number in self.arrivals() for each in requests), "the requests are at targets")
        return connections, requests

    def receive_all(self, connections):
        for each in connections:
            while each.waiting and each.receive(10):
                pass
            each.close()

    def stop(self, domain):
        entry = self.entries[domain]
        entry.signal(signal.SIGTERM)
        self.until(lambda: any(b"event=stop " in line for line in self.lines(entry)), "the host is stopping")
        return time.monotonic()

    def pause(self, domain, seconds):
        self.entries[domain].signal(signal.SIGSTOP)
        time.sleep(seconds)
        self.entries[domain].signal(signal.SIGCONT)

    def test_answers_for_another_host_are_out_before_the_exit(self):
        self.relay_requests_of_n1()
        connections, requests = self.send_all(["/pay/a"] * 10)
        stopped = self.stop("n2")
        # All answers and the end of the time for callers are there in one turn of the event loop.
        HeldTarget.answer_at = stopped + TAKES_CALLERS_S - 0.08
        time.sleep(max(0, stopped + TAKES_CALLERS_S - 0.12 - time.monotonic()))
        self.pause("n2", FREEZE_S)
        self.receive_all(connections)
        self.assertEqual([each.status for each in requests], [200] * len(requests))

    def test_late_answer_that_another_host_awaits_is_not_replaced(self):
        self.relay_requests_of_n1()
        for each in self.targets:
            each.__class__ = Target
            each.seconds, each.ends_at_deadline, each.late_s = 3, True, 0.13
        connections = [KeptConnection(self.listen("entry-n1", "callers")) for _ in range(3)]
        stopped = self.stop("n1")
        time.sleep(max(0, stopped + TAKES_LONG_S - 0.3 - time.monotonic()))
        late = [each.send(self.next_number(), path="/pay/a", deadline_ms=7900) for each in connections]
        self.receive_all(connections)
        arrivals = self.arrivals()
        at_targets = [arrivals[each.number] for each in late if each.number in arrivals]
        self.assertGreater(len(at_targets), 0)
        self.until(lambda: all(each.overran for each in at_targets), "the targets have woken")
        judged = [each for each in late if each.number in arrivals and arrivals[each.number].overran < 0.16]
        self.assertGreater(len(judged), 0)
        self.assertEqual([each for each in judged if not each.is_of_target], [])

    def test_target_whose_connection_took_long_is_told_what_is_left(self):
        wanted = configuration(2, ROUTES, ["orders"])
        for route in wanted["routes"].values():
            route["timeoutS"], route["targetLatencyS"] = 8, 4
        self.put(wanted)
        self.wrap_targets()
        connections = [KeptConnection(self.listen("entry-n1", "callers")) for _ in range(3)]
        self.delay_connections("n1", 150)
        stopped = self.stop("n1")
        for each in self.targets:
            each.seconds, each.ends_at_deadline = 3, True
        time.sleep(max(0, stopped + TAKES_LONG_S - 0.3 - time.monotonic()))
        late = [each.send(self.next_number(), path="/pay/a", deadline_ms=7900) for each in connections]
        self.receive_all(connections)
        arrivals = self.arrivals()
        self.assertEqual([each for each in late if each.status is None], [])
        at_targets = [each for each in late if each.number in arrivals]
        self.assertGreater(len(at_targets), 0)
        due = max(arrivals[each.number].at + self.stated_seconds(arrivals[each.number]) for each in at_targets)
        self.assertLess(due - stopped, GRACE_S - 0.5)

    def stated_seconds(self, arrival):
        return int(dict(arrival.headers)[f"{PREFIX}Deadline-Milliseconds".lower()]) / 1000

    def run_beside_a_pause(self, path):
        self.relay_requests_of_n1()
        connections, requests = self.send_all([path] * 5)
        self.stop("n1")
        self.pause("n2", PAUSE_S)
        HeldTarget.answer_at = time.monotonic()
        self.receive_all(connections)
        self.assertEqual([each.status for each in requests], [200] * len(requests))
        return requests

    def test_request_at_a_host_that_stood_still_is_not_given_up(self):
        requests = self.run_beside_a_pause("/pay/a")
        self.assertEqual([self.runs_of(each.number) for each in requests], [1] * len(requests))

    def test_answer_of_a_host_that_stood_still_is_delivered_while_another_one_tries(self):
        self.cut_off_n1()
        TargetHeldBySender.free = set()
        for each in self.targets:
            each.__class__ = TargetHeldBySender
        connections, requests = self.send_all(["/read/a"] * 8)
        first = {each.number: each.sender for target in self.targets for each in target.arrivals()}
        at_n2 = [each for each in requests if first[each.number] == "n2"]
        self.assertGreater(len(at_n2), 0)
        self.pause("n2", PAUSE_S)
        numbers = {each.number for each in at_n2}
        self.until(lambda: numbers <= {each.number for target in self.targets for each in target.arrivals() if each.sender == "s1"},
                   "another host tries the requests")
        freed = time.monotonic()
        TargetHeldBySender.free = {"n2"}
        for each, request in zip(connections, requests):
            while request in at_n2 and request.status is None and time.monotonic() < freed + 2:
                each.receive(0.1)
        self.assertEqual([each.status for each in at_n2], [200] * len(at_n2))
        TargetHeldBySender.free = {"n1", "n2", "s1"}
        self.receive_all(connections)
        self.assertEqual([each.status for each in requests], [200] * len(requests))

    def test_request_that_no_other_host_can_send_is_not_given_up(self):
        self.run_beside_a_pause("/read/a")

    def test_stopping_host_that_reaches_targets_again_needs_no_other_host(self):
        self.relay_requests_of_n1()
        HeldTarget.answer_at = time.monotonic()
        self.stop("n1")
        self.mend("n1")
        time.sleep(1)
        self.entries["n2"].kill()
        self.assertEqual([self.send("n1")[0] for _ in range(5)], [200] * 5)


if __name__ == "__main__":
    harness.main()
