"""Control hosts that are gone for good and replaced by others at new addresses."""
import time

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import configuration

# From a host's start until the one that it replaces must not count any more (catchUpS of the platform's small deployments).
CATCH_UP_S = 4
# From the end of a loss until changes must be acknowledged again (recoveryS).
RECOVERY_S = 15


class ReplacedHosts(PlatformFleet):
    def setUp(self):
        super().setUp()
        self.addresses = {domain: self.control_address(row) for row, domain in enumerate(DOMAINS)}
        self.next_address = 150

    def start_successor(self, domain):
        """An empty control host at a new address, with the seeds of now."""
        self.addresses[domain] = address = self.address(self.next_address)
        self.next_address += 1
        data = self.folder / f"data-{address}"
        data.mkdir()
        settings = self.settings_of(
            domain, address, {"operators": f"{address}:{self.operators_port}", "look_ups": harness.free_endpoint(address)},
            data_folder=str(data), seeds=[f"{each}:{self.operators_port}" for each in self.addresses.values()])
        self.settings[f"control-{domain}"] = settings
        self.controls[domain] = self.launch("bth-platform-control", "--settings",
                                            self.write(f"control-{address}.json", settings), name=f"control-{address}")

    def kill(self, domains):
        for each in domains:
            self.controls[each].kill()

    def start_again(self, domain):
        settings = {**self.settings[f"control-{domain}"], "first_start": False}
        self.controls[domain] = self.launch("bth-platform-control", "--settings",
                                            self.write(f"again-{len(self.processes)}.json", settings),
                                            name=f"control-{domain}-{len(self.processes)}")

    def acknowledge(self):
        """The time until a change is acknowledged."""
        began = time.monotonic()
        self.version += 1
        self.put(configuration(self.version, ROUTES, ["orders"]))
        return time.monotonic() - began

    def check_voters(self, done):
        """Waits until each host knows that only those that run count."""
        self.until(lambda: all(self.metric(each, "bth_control_voters") == len(DOMAINS) for each in DOMAINS),
                   f"only those that run count ({done})")


class PlatformReplacedTest(ReplacedHosts):
    def test_hosts_that_are_replaced_while_all_are_killed_stop_counting(self):
        # Each stayed a voter for ever, so that the second one ended the majority for good.
        for lost in ("s1", "n2", "n1", "s1", "n2"):
            self.kill(DOMAINS)
            for each in DOMAINS:
                if each != lost:
                    self.start_again(each)
            time.sleep(1)
            self.start_successor(lost)
            time.sleep(CATCH_UP_S)
            self.assertLess(self.acknowledge(), RECOVERY_S)
            self.check_voters(f"lost {lost}")
        # One more, alone.
        self.kill(["n1"])
        self.start_successor("n1")
        self.assertLess(self.acknowledge(), RECOVERY_S)


if __name__ == "__main__":
    harness.main()
