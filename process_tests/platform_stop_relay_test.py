"""Answers that a stopping entry host owes to another one, for which it sends requests to targets."""
import signal
import time

import harness
from kept_connection import KeptConnection
from platform_fleet import ROUTES
from platform_soak import ProxiedFleet
from platform_standins import Target, configuration

GRACE_S = 6
LOOK_UP_TTL_S = 1.2
TAKES_CALLERS_S = 3 * LOOK_UP_TTL_S
# Shorter than the silence after which the other host gives up the requests that it forwarded.
FREEZE_S = 0.33


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


class PlatformStopRelayTest(ProxiedFleet):
    def settings_of(self, domain, address, listen, **more):
        settings = super().settings_of(domain, address, listen, **more)
        settings["limits"].update(stop_grace_s=GRACE_S, look_up_ttl_s=LOOK_UP_TTL_S)
        return settings

    def arrivals(self):
        return {each.number: each for target in self.targets for each in target.arrivals()}

    def test_answers_for_another_host_are_out_before_the_exit(self):
        wanted = configuration(2, ROUTES, ["orders"])
        for route in wanted["routes"].values():
            route["timeoutS"], route["targetLatencyS"] = 8, 6
        self.put(wanted)
        self.wrap_targets()
        # n1 reaches no target, so that n2 sends its requests.
        self.entries["s1"].kill()
        self.cut("n1", how="refuse", keeps_open=False)
        warmed_up = time.monotonic() + 5
        while time.monotonic() < warmed_up:
            self.send("n1")
            time.sleep(0.05)
        self.until(lambda: self.send("n1")[0] == 200, "requests of n1 are relayed")
        HeldTarget.holds, HeldTarget.answer_at = True, None
        for each in self.targets:
            each.__class__ = HeldTarget
        connections = [KeptConnection(self.listen("entry-n1", "callers")) for _ in range(10)]
        requests = [each.send(self.next_number(), path="/pay/a", deadline_ms=7900) for each in connections]
        self.until(lambda: all(each.number in self.arrivals() for each in requests), "the requests are at targets")
        entry = self.entries["n2"]
        entry.signal(signal.SIGTERM)
        self.until(lambda: any(b"event=stop " in line for line in self.lines(entry)), "the host is stopping")
        stopped = time.monotonic()
        # All answers and the end of the time for callers are there in one turn of the event loop.
        HeldTarget.answer_at = stopped + TAKES_CALLERS_S - 0.08
        time.sleep(max(0, stopped + TAKES_CALLERS_S - 0.12 - time.monotonic()))
        entry.signal(signal.SIGSTOP)
        time.sleep(FREEZE_S)
        entry.signal(signal.SIGCONT)
        for each in connections:
            while each.waiting and each.receive(10):
                pass
            each.close()
        self.assertEqual([each.status for each in requests], [200] * len(requests))


if __name__ == "__main__":
    harness.main()
