"""Requests that crash the targets that run them, and targets that crash for other reasons."""
import contextlib
import itertools
import signal
import threading
import time

import harness
from platform_fleet import DOMAINS
from platform_signals_test import PlatformSignalsTest
from platform_standins import CONTACT_S, Target

# From CONTACT_S after a request has crashed its third target, all hosts together may send it so often.
MAX_LATER_SENDS = 3
REFUSED = "crashes_targets"
PATH = f"/read/{Target.CRASHING}"


class PlatformCrashesTest(PlatformSignalsTest):
    # Only the tests of this class; the others run by their own file.
    for name in [each for each in dir(PlatformSignalsTest) if each.startswith("test_")]:
        locals()[name] = None
    del name

    def setUp(self):
        super().setUp()
        # Long enough for other requests to be at a target that crashes.
        for each in self.targets:
            each.seconds = 0.05
        self.sources = itertools.count()

    def crashes(self):
        return sorted(at for each in self.targets for at in each.crashes)

    def sends(self, path=PATH):
        return sorted(each.at for target in self.targets for each in target.arrivals() if each.path == path)

    def try_once(self, domain, path=PATH, pays=False):
        """One request, from an address of the caller that differs each time; nothing if the host didn't answer."""
        with contextlib.suppress(OSError):
            return self.ask(domain, path=path, pays=pays, source=self.address(210 + next(self.sources) % 40))
        return None

    @contextlib.contextmanager
    def repeating(self, domains=tuple(DOMAINS), gap_s=0.1, path=PATH):
        """A caller of each of these hosts sends the same request all the time; yields the outcomes."""
        outcomes, stop = [], threading.Event()

        def keep_calling(domain):
            while not stop.is_set():
                outcomes.append(self.try_once(domain, path))
                stop.wait(gap_s)

        threads = [threading.Thread(target=keep_calling, args=(each,)) for each in domains]
        for each in threads:
            each.start()
        try:
            yield outcomes
        finally:
            stop.set()
            for each in threads:
                each.join()

    def check_contained(self):
        self.assertGreaterEqual(len(self.crashes()), 3)
        known = self.crashes()[2] + CONTACT_S
        later = [round(at - known, 2) for at in self.sends() if at > known]
        with self.subTest("sends after the third crash was known"):
            self.assertLessEqual(len(later), MAX_LATER_SENDS, later[:20])

    def refused(self, outcomes):
        return [each for each in outcomes if each and REFUSED in each.text]

    def convict(self):
        with self.repeating():
            self.until(lambda: len(self.crashes()) >= 3, "three targets have crashed")
            time.sleep(CONTACT_S)

    def test_request_that_crashes_targets_is_contained_and_others_are_served(self):
        with self.callers(keys=24) as others, self.repeating() as outcomes:
            self.until(lambda: len(self.crashes()) >= 3, "three targets have crashed")
            settled = time.monotonic() + CONTACT_S
            time.sleep(CONTACT_S + 4)
        self.check_contained()
        late = [each for each in outcomes if each and each.sent > settled]
        with self.subTest("it is refused at once, having run nowhere"):
            self.assertEqual({each.status for each in late}, {503})
            self.assert_held_by_no_host(late)
        with self.subTest("no other request is taken for it"):
            self.assertEqual(self.refused(others)[:3], [])
        with self.subTest("the others are served once it is known"):
            self.assert_outcomes([each for each in others if each.sent > settled], {200})
        with self.subTest("no payment runs twice"):
            self.assertEqual([each for each in others if each.pays and self.runs_of(each.number) > 1][:3], [])

    def test_payment_that_crashes_targets_is_contained(self):
        path = f"/pay/{Target.CRASHING}"
        ends = time.monotonic() + CONTACT_S + 6
        for domain in itertools.cycle(DOMAINS):
            self.try_once(domain, path, pays=True)
            time.sleep(0.05)
            if time.monotonic() > ends:
                break
        known = self.crashes()[2] + CONTACT_S
        self.assertLessEqual(len([at for at in self.sends(path) if at > known]), MAX_LATER_SENDS)

    def test_host_that_has_just_started_knows_such_a_request(self):
        self.convict()
        self.entries["s1"].kill()
        self.start_entry("s1", list(DOMAINS).index("s1"))
        self.until(lambda: self.is_ready("s1"), "the host is ready")
        time.sleep(1)
        before = len(self.sends())
        with self.repeating(["s1"]) as outcomes:
            time.sleep(2)
        self.assertEqual(len(self.sends()), before)
        self.assertEqual({each.status for each in outcomes if each}, {503})

    def test_host_that_was_frozen_meanwhile_knows_such_a_request(self):
        self.entries["s1"].signal(signal.SIGSTOP)
        with self.repeating(["n1", "n2"]):
            self.until(lambda: len(self.crashes()) >= 3, "three targets have crashed")
            time.sleep(CONTACT_S)
        self.entries["s1"].signal(signal.SIGCONT)
        time.sleep(1.5)
        before = len(self.sends())
        with self.repeating(["s1"]):
            time.sleep(2)
        self.assertEqual(len(self.sends()), before)

    def test_such_a_request_stays_known_when_all_control_hosts_start_again(self):
        self.convict()
        for domain in DOMAINS:
            self.controls[domain].kill()
        for domain in DOMAINS:
            self.start_control(domain, list(DOMAINS).index(domain))
        self.entries["s1"].kill()
        self.start_entry("s1", list(DOMAINS).index("s1"))
        self.until(lambda: self.is_ready("s1"), "the host is ready")
        time.sleep(2)
        before = len(self.sends())
        with self.repeating():
            time.sleep(2)
        self.assertEqual(len(self.sends()), before)

    def test_each_host_alone_contains_such_a_request_without_control_hosts(self):
        for each in self.controls.values():
            each.signal(signal.SIGSTOP)
        with self.repeating(["n1"]):
            self.until(lambda: len(self.crashes()) >= 3, "three targets have crashed")
            time.sleep(CONTACT_S + 3)
        self.check_contained()
        for each in self.controls.values():
            each.signal(signal.SIGCONT)

    def test_request_is_served_again_after_targets_that_hung_up_but_did_not_crash(self):
        for each in self.targets:
            each.mode = "cut"
        with self.repeating(path="/read/unlucky"):
            time.sleep(4)
        for each in self.targets:
            each.mode = "serve"
        time.sleep(1)
        with self.repeating(path="/read/unlucky") as outcomes:
            time.sleep(2)
        self.assertEqual(self.refused(outcomes), [])
        self.assertIn(200, {each.status for each in outcomes if each})


# The tests of the base class are run by its own file.
del PlatformSignalsTest

if __name__ == "__main__":
    harness.main()
