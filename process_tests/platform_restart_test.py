"""All control hosts of the users' platform killed at once; see KNOWN-RED.txt."""
import json

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import configuration


class PlatformRestartTest(PlatformFleet):
    def test_all_control_hosts_killed_at_once_lose_nothing(self):
        self.put(configuration(8, ROUTES, ["orders"]))
        self.assertEqual(self.operate("POST", "/-/evacuation/s1")[0], 200)
        for each in self.controls.values():
            each.kill()
        for row, domain in enumerate(DOMAINS):
            self.start_control(domain, row)
        status, text = self.operate("GET", "/-/configuration")
        self.assertEqual((status, json.loads(text)["version"]), (200, "r8"))
        self.until(lambda: not self.send("s1")[2].split()[0].endswith(b"s1"), "still evacuated")


if __name__ == "__main__":
    harness.main()
