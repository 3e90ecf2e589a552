"""Random losses of six control hosts, one at a time, each when the hosts before are back; BTH_SOAK_SEED draws others."""
import os
import random
import shutil
import signal
import time

import harness
import platform_fleet

platform_fleet.DOMAINS = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "e1": "east", "e2": "east"}
import platform_replaced_test  # noqa: E402  It takes the failure domains from above.
from platform_replaced_test import CATCH_UP_S, RECOVERY_S  # noqa: E402

LOSSES = 9
KINDS = ["replaced", "disk", "frozen", "all", "all and again", "all, one replaced", "all, one replaced", "all, one disk"]


class PlatformLossesTest(platform_replaced_test.ReplacedHosts):
    def lose(self, kind, lost, draw):
        """Brings a loss about that `lost` bears, and ends it."""
        hosts = list(platform_fleet.DOMAINS)
        if kind == "frozen":
            self.controls[lost].signal(signal.SIGSTOP)
            time.sleep(draw.uniform(0.5, 3))
            self.controls[lost].signal(signal.SIGCONT)
            return
        self.kill(hosts if kind.startswith("all") else [lost])
        time.sleep(draw.uniform(0, 0.9))
        if kind.startswith("all"):
            for each in draw.sample(hosts, len(hosts)):
                if each != lost or kind in ("all", "all and again"):
                    self.start_again(each)
        if kind.endswith("again"):
            time.sleep(draw.uniform(0.2, 1.5))
            self.lose("all", lost, draw)
        elif kind.endswith("replaced"):
            self.start_successor(lost)
        elif kind.endswith("disk"):
            folder = self.settings[f"control-{lost}"]["data_folder"]
            shutil.rmtree(folder)
            os.mkdir(folder)
            self.start_again(lost)

    def test_random_losses_leave_a_majority(self):
        # Hosts that were gone for good went on counting, and ended the majority.
        seed = int(os.environ.get("BTH_SOAK_SEED", "2"))
        draw = random.Random(seed)
        done = []
        for _ in range(LOSSES):
            done.append((draw.choice(KINDS), draw.choice(list(platform_fleet.DOMAINS))))
            self.lose(*done[-1], draw)
            time.sleep(CATCH_UP_S)
            self.assertLess(self.acknowledge(), RECOVERY_S, f"seed {seed}: {done}")
        self.check_voters(f"seed {seed}: {done}")


if __name__ == "__main__":
    harness.main()
