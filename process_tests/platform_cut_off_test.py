"""Entry hosts that can't reach any target, while callers, control hosts and other entry hosts reach them."""
import time

import harness
from platform_fleet import DOMAINS
from platform_signals_test import PlatformSignalsTest
from platform_soak import ProxiedFleet
from platform_standins import CONTACT_S

# First tries at hosts that are cut off must be served at least so much as often as those at the others, unless few fail.
LEAST_SHARE = 2 / 3
FEW_FAILURES = 10
FEW_FAILURES_SHARE = 1 / 50
CUT_S = 4
# Time in which a host must send directly again.
RETURN_S = 3


class PlatformCutOffTest(ProxiedFleet, PlatformSignalsTest):
    # Only the tests of this class; the others run by their own file.
    for name in [each for each in dir(PlatformSignalsTest) if each.startswith("test_")]:
        locals()[name] = None
    del name

    def setUp(self):
        super().setUp()
        self.wrap_targets()

    def arrivals_from(self, domain, since):
        return [each for target in self.targets for each in target.arrivals()
                if each.sender == domain and each.at > since]

    def play_cut(self, *domains, how="refuse", keeps_open=False):
        """Cuts these hosts off; returns the outcomes from CONTACT_S after that to the end of the cut, and that end."""
        with self.callers() as outcomes:
            time.sleep(1)
            begun = time.monotonic()
            self.cut(*domains, how=how, keeps_open=keeps_open)
            time.sleep(CONTACT_S + CUT_S)
            ended = time.monotonic()
            ready = {each: self.is_ready(each) for each in domains}
            self.mend(*domains)
            time.sleep(RETURN_S)
        with self.subTest("no payment runs twice, and none that was refused runs"):
            self.assertEqual([each for each in outcomes if each.pays and self.runs_of(each.number) > 1][:3], [])
            self.assertEqual([each for each in outcomes if each.pays and each.status == 503
                              and self.runs_of(each.number) > 0][:3], [])
        with self.subTest("the hosts stay ready"):
            self.assertNotIn(False, ready.values())
        return [each for each in outcomes if begun + CONTACT_S < each.sent < ended], ended

    def check_served(self, outcomes, domains):
        here = [each for each in outcomes if each.domain in domains]
        elsewhere = [each for each in outcomes if each.domain not in domains]
        failed = [each for each in here if each.status != 200]
        self.assertGreater(len(here), 20)

        def share(of):
            return sum(each.status == 200 for each in of) / len(of)

        with self.subTest("first tries are served like elsewhere"):
            few = len(failed) <= FEW_FAILURES + FEW_FAILURES_SHARE * len(here)
            self.assertTrue(few or share(here) >= LEAST_SHARE * share(elsewhere),
                            f"{len(here) - len(failed)} of {len(here)}; {failed[:2]}")
        with self.subTest("none is held"):
            self.assert_held_by_no_host(here)

    def check_returns(self, domain, ended):
        with self.subTest("it sends directly again"):
            self.assertTrue(self.arrivals_from(domain, ended))

    def test_callers_of_a_host_that_is_cut_off_from_all_targets_are_served(self):
        outcomes, ended = self.play_cut("n1")
        self.check_served(outcomes, {"n1"})
        self.check_returns("n1", ended)

    def test_callers_are_served_where_kept_connections_live_on(self):
        outcomes, ended = self.play_cut("n1", keeps_open=True)
        self.check_served(outcomes, {"n1"})
        self.check_returns("n1", ended)

    def test_callers_are_served_where_new_connections_hang(self):
        outcomes, ended = self.play_cut("n1", how="hang")
        self.check_served(outcomes, {"n1"})
        self.check_returns("n1", ended)

    def test_callers_of_a_region_that_is_cut_off_are_served(self):
        outcomes, ended = self.play_cut("n1", "n2")
        self.check_served(outcomes, {"n1", "n2"})
        self.check_returns("n2", ended)

    def test_callers_hear_at_once_if_no_host_reaches_targets(self):
        outcomes, ended = self.play_cut(*DOMAINS)
        self.assertTrue(outcomes)
        self.assert_held_by_no_host(outcomes)
        with self.subTest("refused with a time to come back"):
            self.assertEqual([each for each in outcomes if each.status != 503
                              or not float(each.headers.get("retry-after", 0)) > 0][:3], [])
        for domain in DOMAINS:
            self.check_returns(domain, ended)


# The tests of the base class are run by its own file.
del PlatformSignalsTest

if __name__ == "__main__":
    harness.main()
