"""Targets that ask for a rest, or say what is no rest, and are used again afterwards."""
import time

import harness
from platform_signals_test import USED_AGAIN_S, PlatformSignalsTest


class PlatformRestsTest(PlatformSignalsTest):
    # Only the tests of this class; the others run by their own file.
    for name in [each for each in dir(PlatformSignalsTest) if each.startswith("test_")]:
        locals()[name] = None
    del name

    def test_a_retry_after_that_says_no_seconds_harms_nothing(self):
        texts = ("", "-1", "nan", "1e400", "Wed, 21 Oct 2026 07:28:00 GMT", "0.5abc")
        for target, text in zip(self.targets, texts):
            target.rest = text
        with self.callers() as outcomes:
            time.sleep(1)
            for target in self.targets:
                target.rest = None
            ended = time.monotonic()
            unused = set(self.targets)
            while unused and time.monotonic() < ended + USED_AGAIN_S:
                time.sleep(0.05)
                unused = {target for target in unused
                          if not any(each.ran and each.at > ended for each in target.arrivals())}
        self.assert_outcomes(outcomes, {200, 503})
        self.assertEqual([each.name for each in unused], [])
        for each in self.entries.values():
            self.assertIsNone(each.popen.poll())

    # A test of its own: the targets above turn away enough requests to use up the retry budget of its window.
    def test_a_retry_after_that_is_too_large_harms_nothing(self):
        huge = self.target_of("n1")
        huge.rest = "99999999999999999999"
        with self.callers() as outcomes:
            time.sleep(1)
        self.assertTrue(any(each.rest for each in huge.arrivals()))
        self.assert_outcomes(outcomes, {200})
        for each in self.entries.values():
            self.assertIsNone(each.popen.poll())

    def test_a_target_that_wants_a_rest_gets_it_and_is_used_again(self):
        target = self.target_of("n1")
        with self.callers() as outcomes:
            target.rest = "2"
            time.sleep(2.2)
            target.rest = None
            ended = time.monotonic()
            users = set()
            while not users >= {"n1", "n2"} and time.monotonic() < ended + USED_AGAIN_S:
                time.sleep(0.05)
                users = {each.sender for each in target.arrivals() if each.ran and each.at > ended}
        self.assert_senders_known()
        self.assertTrue(any(each.rest for each in target.arrivals()))
        with self.subTest("the others serve all"):
            self.assert_outcomes(outcomes, {200})
        with self.subTest("used again"):
            self.assertGreaterEqual(users, {"n1", "n2"})
        with self.subTest("the rest is kept"):
            self.assertEqual(self.over_budget(target), [])


# The tests of the base class are run by its own file.
del PlatformSignalsTest

if __name__ == "__main__":
    harness.main()
