"""Control hosts whose disks take no bytes for a while, as processes."""
import json
import time

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import configuration

# Time in which an acknowledged configuration must be in force (configurationApplyS of the users' deployments).
APPLY_SECONDS = 2.5
# Time after which a host that can write again must hold what the others agreed on.
CATCH_UP_SECONDS = 4
# Time in which a change must be acknowledged (ackTimeoutS).
ACKNOWLEDGE_SECONDS = 4
# Time after which a stopped host whose disk has room again takes part: two attempts and the reading of its metric.
RESUME_SECONDS = 0.6


class PlatformDiskTest(PlatformFleet):
    def leader(self):
        return self.until(lambda: next((each for each in DOMAINS if self.metric(each, "bth_control_leader") == 1), None),
                          "a control host leads")

    def put_version(self, version):
        """Returns when the configuration with the route /vVERSION/ was acknowledged."""
        routes = {**ROUTES, f"/v{version}/": ("orders", "idempotent")}
        self.put(configuration(version, routes, ["orders"]))
        return time.monotonic()

    def assert_in_force(self, version, acknowledged_at):
        for domain in self.entries:
            while (status := self.send(domain, f"/v{version}/x")[0]) != 200:
                self.assertLess(time.monotonic() - acknowledged_at, APPLY_SECONDS,
                                f"entry host in {domain} answers {status} for configuration {version}")
                time.sleep(0.02)

    def assert_catches_up(self, domain, version):
        deadline = time.monotonic() + CATCH_UP_SECONDS
        while (held := self.metric(domain, "bth_control_version")) != version:
            self.assertLess(time.monotonic(), deadline,
                            f"control host in {domain} can write again and holds {held}, not {version}")
            time.sleep(0.05)

    def run_with_full_disk(self, full):
        self.fill_disk(full)
        for version in range(2, 6):
            acknowledged_at = self.put_version(version)
        self.assert_in_force(5, acknowledged_at)
        self.free_disk(full)
        self.assert_catches_up(full, 5)
        # The host counts in a majority again.
        other = next(each for each in DOMAINS if each != full)
        self.fill_disk(other)
        acknowledged_at = self.put_version(6)
        self.assert_in_force(6, acknowledged_at)
        self.free_disk(other)
        self.assert_catches_up(other, 6)

    def test_entry_hosts_leave_a_follower_whose_disk_is_full_and_it_comes_back(self):
        leader = self.leader()
        self.run_with_full_disk(next(each for each in DOMAINS if each != leader))

    def test_entry_hosts_leave_a_leader_whose_disk_is_full_and_it_comes_back(self):
        self.run_with_full_disk(self.leader())

    def test_order_at_a_leader_whose_disk_is_full_is_answered_at_once(self):
        leader = self.leader()
        self.fill_disk(leader)
        begun = time.monotonic()
        status, _, _ = harness.call(self.listen(f"control-{leader}", "operators"), "POST", "/-/evacuation/s1")
        self.assertEqual(status, 503)
        # Operators' clients turn to another control host after a second.
        self.assertLess(time.monotonic() - begun, 1)

    def stop_by_full_disk(self, domain):
        """Fills the disk and returns once the host takes no part in the group."""
        self.fill_disk(domain)
        self.put_version(2)
        self.until(lambda: self.metric(domain, "bth_control_group_running") == 0, "the host has stopped")

    def test_host_takes_part_soon_after_its_disk_has_room(self):
        leader = self.leader()
        full = next(each for each in DOMAINS if each != leader)
        self.stop_by_full_disk(full)
        # Later than an attempt at a whole second after the stop.
        time.sleep(1.15)
        self.free_disk(full)
        begun = time.monotonic()
        self.until(lambda: self.metric(full, "bth_control_group_running") == 1, "the host takes part again")
        self.assertLess(time.monotonic() - begun, RESUME_SECONDS)

    def test_changes_are_agreed_after_all_disks_were_full_one_after_another(self):
        version = 2
        for _ in range(2):
            for _ in DOMAINS:
                full = self.leader()
                self.fill_disk(full)
                self.put_version(version)
                version += 1
                self.free_disk(full)
        begun = time.monotonic()
        acknowledged_at = self.put_version(version)
        self.assertLess(acknowledged_at - begun, ACKNOWLEDGE_SECONDS)
        self.assert_in_force(version, acknowledged_at)
        for domain in DOMAINS:
            self.assert_catches_up(domain, version)
        status, text = self.operate("GET", "/-/configuration")
        self.assertEqual((status, json.loads(text)["version"]), (200, f"r{version}"))


if __name__ == "__main__":
    harness.main()
