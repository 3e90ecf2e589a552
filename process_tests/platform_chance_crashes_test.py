"""Targets that crash by chance, half of them at a time, beside requests that are repeated at once."""
import itertools
import random
import threading
import time

import harness
from platform_fleet import DOMAINS
from platform_crashes_test import PlatformCrashesTest


class PlatformChanceCrashesTest(PlatformCrashesTest):
    # Only the test of this class; the others run by their own file.
    for name in [each for each in dir(PlatformCrashesTest) if each.startswith("test_")]:
        locals()[name] = None
    del name

    def test_requests_at_targets_that_crash_by_chance_are_not_refused(self):
        chance = random.Random(1)
        outcomes, stop = [], threading.Event()

        def repeat_at_once(domain, row):
            for turn in itertools.count():
                if stop.is_set():
                    return
                path = f"/read/{domain}-{row}-{turn}"
                for _ in range(4):
                    outcome = self.try_once(domain, path)
                    outcomes.append(outcome)
                    if outcome and outcome.status == 200:
                        break

        threads = [threading.Thread(target=repeat_at_once, args=(domain, row))
                   for domain in DOMAINS for row in range(4)]
        for each in threads:
            each.start()
        for _ in range(8):
            for each in chance.sample(self.targets, len(self.targets) // 2):
                each.crash()
            time.sleep(1.5)
        stop.set()
        for each in threads:
            each.join()
        self.assertGreaterEqual(len(self.crashes()), 20)
        self.assertTrue([each for each in outcomes if each and each.status == 502])
        self.assertEqual(self.refused(outcomes)[:3], [])


# The tests of the base class are run by its own file.
del PlatformCrashesTest

if __name__ == "__main__":
    harness.main()
