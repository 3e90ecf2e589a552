"""An entry host whose way to all targets is cut again and again."""
import time

import harness
from platform_cut_off_test import PlatformCutOffTest
from platform_standins import CONTACT_S


class PlatformRepeatedCutsTest(PlatformCutOffTest):
    # Only the test of this class; the others run by their own file.
    for name in [each for each in dir(PlatformCutOffTest) if each.startswith("test_")]:
        locals()[name] = None
    del name

    def play_cuts(self, mended_s):
        with self.callers() as outcomes:
            begun = time.monotonic()
            for _ in range(4):
                self.cut("n1")
                time.sleep(1.5)
                self.mend("n1")
                time.sleep(mended_s)
        late = [each for each in outcomes if each.sent > begun + CONTACT_S]
        self.check_served(late, {"n1"})

    def test_callers_are_served_during_a_cut_that_comes_and_goes(self):
        self.play_cuts(0.7)

    def test_callers_are_served_during_a_cut_that_comes_back_right_after_the_host_saw_its_end(self):
        self.play_cuts(0.4)


# The tests of the base class are run by its own file.
del PlatformCutOffTest

if __name__ == "__main__":
    harness.main()
