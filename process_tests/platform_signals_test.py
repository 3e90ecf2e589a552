"""What targets say about themselves in their answers: that they leave, and that they want a rest."""
import contextlib
import dataclasses
import itertools
import signal
import threading
import time

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import LEAVING, PREFIX, REQUEST_ID, Target, configuration

DRAIN_S = 3
# An answer "at once" on a busy machine; the route's timeout is 2 s.
AT_ONCE_S = 1.0
# From here on a target that rests gets only so many requests from an entry host.
REST_BEGINS_S = 0.5
REST_BUDGET = 2
# Others are preferred for 5 s to a target that turned a request away.
USED_AGAIN_S = 7


@dataclasses.dataclass
class Outcome:
    domain: str
    sent: float
    took: float
    status: int
    headers: dict
    server: str
    pays: bool
    number: str
    # The text of an answer that isn't 200.
    text: str = ""


class PlatformSignalsTest(PlatformFleet):
    # Its connections tell which host they come from.
    entry_program = "bth-test-entry-with-connect-filter"

    def setUp(self):
        super().setUp()
        for each in self.targets:
            self.watch(each)

    def watch(self, target):
        target.sender_of = self.find_sender
        # What came before has no known sender.
        with target.lock:
            target.reached.clear()

    def ask(self, domain, key="7", pays=False, deadline_ms=5000, path=None, source=None):
        number = f"{next(self.numbers):016x}"
        headers = {"Host": "shop.example", REQUEST_ID: number, PREFIX + "Affinity-Key": key,
                   PREFIX + "Deadline-Milliseconds": str(deadline_ms)}
        sent = time.monotonic()
        status, got, text = harness.call(
            self.listen(f"entry-{domain}", "callers"), "POST" if pays else "GET",
            path or ("/pay/a" if pays else "/read/a"), headers, b"1" if pays else None,
            source=source, timeout=10)
        server = text.split()[0].decode() if status == 200 else ""
        return Outcome(domain, sent, time.monotonic() - sent, status, got, server, pays, number,
                       "" if status == 200 else text.decode(errors="replace"))

    @contextlib.contextmanager
    def callers(self, keys=12):
        """Two callers of each entry host, one of them paying; yields the list of their outcomes."""
        outcomes, stop = [], threading.Event()

        def keep_calling(domain, pays):
            for row in itertools.count():
                if stop.is_set():
                    return
                try:
                    outcomes.append(self.ask(domain, str(row % keys), pays))
                except OSError as problem:
                    outcomes.append(Outcome(domain, time.monotonic(), 0, 0, {}, repr(problem), pays, ""))
                stop.wait(0.01)

        threads = [threading.Thread(target=keep_calling, args=(domain, pays))
                   for domain in DOMAINS for pays in (False, True)]
        for each in threads:
            each.start()
        try:
            yield outcomes
        finally:
            stop.set()
            for each in threads:
                each.join()

    def target_of(self, domain, key="7"):
        name = self.ask(domain, key).server
        return next(each for each in self.targets if each.name == name)

    def told(self, target, sender):
        """When the target has first answered this entry host that it leaves; nothing if it hasn't."""
        times = [each.answered for each in target.arrivals()
                 if each.sender == sender and each.leaving and each.answered]
        return min(times, default=None)

    def too_late(self, targets):
        """Requests that reached a target more than the drain time after it had told their sender."""
        found = []
        for target in targets:
            for sender in DOMAINS:
                told = self.told(target, sender)
                found += [(target.name, sender, round(each.at - told, 2)) for each in target.arrivals()
                          if told and each.sender == sender and each.at > told + DRAIN_S]
        return found

    def over_budget(self, target):
        """Senders that a resting target got too much from, with how many requests."""
        found = []
        for sender in DOMAINS:
            mine = [each for each in target.arrivals() if each.sender == sender]
            for turned in (each for each in mine if each.rest is not None and each.answered):
                begin, end = turned.answered + REST_BEGINS_S, turned.answered + float(turned.rest)
                count = sum(begin < each.at < end for each in mine)
                if count > REST_BUDGET:
                    found.append((target.name, sender, count))
                    break
        return found

    def assert_senders_known(self):
        for target in self.targets:
            self.assertNotIn(None, [each.sender for each in target.arrivals() if each.number])

    def assert_outcomes(self, outcomes, statuses):
        self.assertTrue(outcomes)
        self.assertEqual([each for each in outcomes if each.status not in statuses][:3], [])
        ran = [each for each in outcomes
               if each.pays and self.runs_of(each.number) != (1 if each.status == 200 else 0)]
        self.assertEqual(ran[:3], [])

    def assert_held_by_no_host(self, outcomes):
        """Each answer came at once, apart from the time that the request was at a target."""
        at_targets = {}
        for target in self.targets:
            for each in target.arrivals():
                until = each.answered or time.monotonic()
                at_targets[each.number] = at_targets.get(each.number, 0) + until - each.at
        held = [(round(each.took - at_targets.get(each.number, 0), 3), each) for each in outcomes]
        self.assertEqual([each for each in held if each[0] > AT_ONCE_S][:3], [])

    def check_left_alone(self):
        for domain in DOMAINS:
            target = self.target_of(domain)
            target.leaving = True
            first = self.ask(domain)
            self.assertEqual((first.server, first.headers.get(LEAVING.lower())), (target.name, "1"))
            with self.subTest(f"from the next request on, entry host {domain}"):
                servers = [self.ask(domain, pays=row % 2 == 1).server for row in range(10)]
                self.assertNotIn(target.name, servers)
                self.assertNotIn("", servers)
            # One may leave at a time, so that every domain has others.
            target.leaving = False
        leaving = self.target_of("n1")
        leaving.leaving = True
        with self.callers() as outcomes:
            time.sleep(DRAIN_S + 2)
        leaving.leaving = False
        self.assert_senders_known()
        with self.subTest("the others serve all"):
            self.assert_outcomes(outcomes, {200})
        with self.subTest("nothing after the drain time"):
            self.assertEqual(self.too_late(self.targets)[:3], [])

    def test_a_target_that_says_it_leaves_is_left_alone_though_the_list_says_ready(self):
        calls = self.listing.calls
        self.check_left_alone()
        self.assertGreater(self.listing.calls, calls + 2)

    def test_a_target_that_says_it_leaves_is_left_alone_while_control_hosts_are_frozen(self):
        for each in self.controls.values():
            each.signal(signal.SIGSTOP)
        time.sleep(1)
        self.check_left_alone()

    def test_a_new_target_on_the_address_of_one_that_left_is_used(self):
        old = self.target_of("n1")
        old.leaving = True
        for domain in DOMAINS:
            self.ask(domain)
        self.assertIsNotNone(self.told(old, "n1"))
        old.close()
        new = Target("i-new", "orders", old.domain, old.endpoint)
        self.watch(new)
        self.listing.targets[self.listing.targets.index(old)] = new
        self.targets.append(new)
        keys = itertools.cycle(range(40))
        for domain in ("n1", "n2"):
            self.until(lambda: self.ask(domain, str(next(keys))).server == new.name,
                       f"{domain} uses the new target")

    def test_sender_of_a_request_that_was_given_up_is_known(self):
        # As on a busy machine: the stand-in finds out who sent a request when the connection is closed already.
        for each in self.targets:
            each.sender_of = lambda peer, known=each.sender_of: time.sleep(1.5) or known(peer)
        for domain in DOMAINS:
            number = self.ask(domain, deadline_ms=300).number
            senders = self.until(lambda: [each.sender for target in self.targets for each in target.arrivals()
                                          if each.number == number], "the request is at a target")
            self.assertEqual(set(senders), {domain})

    def test_targets_that_all_leave_get_nothing_after_the_drain_time(self):
        for each in self.targets:
            each.leaving = True
        begun = time.monotonic()
        with self.callers() as outcomes:
            def all_told():
                times = [self.told(target, sender) for target in self.targets for sender in DOMAINS]
                last = max((each for each in times if each), default=begun)
                return time.monotonic() > last + DRAIN_S + 0.3
            self.until(all_told, "the drain time of every target has passed")
            time.sleep(0.3)
            settled = time.monotonic()
            time.sleep(1.5)
        self.assert_senders_known()
        with self.subTest("served or refused for now, and never hanging"):
            self.assert_outcomes(outcomes, {200, 503})
            self.assert_held_by_no_host(outcomes)
            self.assertEqual([each for each in outcomes if each.status == 503
                              and not float(each.headers.get("retry-after", 0)) > 0][:3], [])
        with self.subTest("nothing after the drain time"):
            self.assertEqual(self.too_late(self.targets)[:3], [])
        with self.subTest("refused in the end"):
            self.assertEqual({each.status for each in outcomes if each.sent > settled}, {503})

    def test_callers_are_told_to_come_back_after_the_rest_of_all_targets(self):
        # A refusal's Retry-After is bound to a third of the time that is left to the request.
        wanted = configuration(2, ROUTES, ["orders"])
        for route in wanted["routes"].values():
            route["timeoutS"] = 60
        self.put(wanted)
        self.until(lambda: all(any(b"version=2" in line for line in self.lines(each))
                               for each in self.entries.values()), "the timeouts are in force")
        rest_s = 3
        for each in self.targets:
            each.rest = str(rest_s)
        refused, early = [], []
        end = time.monotonic() + 1.5
        for row in itertools.count():
            if time.monotonic() > end:
                break
            for domain in DOMAINS:
                outcome = self.ask(domain, str(row), row % 2 == 0, deadline_ms=60000)
                refused.append(outcome)
                told = [max(times) for times in (
                    [each.answered for each in target.arrivals()
                     if each.sender == domain and each.rest and each.answered]
                    for target in self.targets) if times]
                # A target that hasn't turned this host away may serve at once.
                all_known = len(told) == len(self.targets)
                left = min(told) + rest_s - time.monotonic() if all_known else 0
                got = float(outcome.headers.get("retry-after", 0))
                if got < left - 0.2:
                    early.append((domain, round(got, 2), round(left, 2)))
        for each in self.targets:
            each.rest = None
        self.assert_senders_known()
        with self.subTest("refused at once, and no payment has run"):
            self.assert_outcomes(refused, {503})
            self.assert_held_by_no_host(refused)
        with self.subTest("callers come back after the rest"):
            self.assertEqual((len(early), early[:3]), (0, []))
        with self.subTest("the rest is kept"):
            self.assertEqual([each for target in self.targets for each in self.over_budget(target)], [])
        for domain in DOMAINS:
            self.until(lambda: self.ask(domain).status == 200, f"{domain} serves again")


if __name__ == "__main__":
    harness.main()
