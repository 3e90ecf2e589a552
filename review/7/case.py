"""Core machines are replaced by others at power failures; see claim.txt.

TROUBLE=replace replaces the same machines while all others go on running: that is borne.
"""
import json
import os
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_2 import Fleet, configuration, finish, harness, route  # noqa: E402

FAILURES = ["fagge", "emene", "lekki", "ngwo"]  # The zones whose core machine doesn't come back, one at each power failure.
LAST = "nassarawa"  # The zone whose core machine is lost at the end, alone.
BACK_S = 0.8  # The processes are back after so long.
SUCCESSOR_S = 1.0  # A lost machine's successor comes so long after it was lost, as replace_core has it.
BETWEEN_S = 9.0  # From one failure to the next; a lost machine counts until its successor has had catchUpS, 4 s.
ACK_S = 4.0  # The bound ackTimeoutS of the small deployments.
CONTACT_S = 3.0  # The bound contactWindowS.
RECOVERY_S = 15.0  # The bound recoveryS.


def config(version):
    return configuration(version, {"r-1": route("/read/", "statusdesk")}, ["statusdesk"])


class Core:
    """The core machines in use, by zone."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.names = {zone: f"control-{zone}" for zone in fleet.zones}
        fleet.control_names = lambda: list(self.names.values())
        self.address = 150

    def add_successor(self, zone):
        """An empty machine at a new address, with the seeds of now."""
        fleet, old = self.fleet, self.names[zone]
        name = f"control-{zone}-{self.address}"
        address = fleet.address(self.address)
        self.address += 1
        data = fleet.folder / f"data-{name}"
        data.mkdir()
        settings = json.loads(json.dumps(fleet.settings[old]))
        seeds = [fleet.addresses[each] for each in self.names.values() if each != old][:3]
        settings.update(host=f"{name}-host", address=address, data_folder=str(data),
                        seeds=[f"{each}:{fleet.operators_port}" for each in seeds])
        settings["listen"].update(operators=f"{address}:{fleet.operators_port}", look_ups=harness.free_endpoint(address),
                                  metrics=harness.free_endpoint(address))
        fleet.settings[name], fleet.addresses[name] = settings, address
        self.names[zone] = name
        fleet.run(name)

    def kill(self, zones):
        for zone in zones:
            self.fleet.signal(self.names[zone], signal.SIGKILL)
        for zone in zones:
            self.fleet.running[self.names[zone]].wait()


def acknowledge(fleet, version, limit):
    """Sends a version until it is acknowledged; how long that took, or None after `limit` seconds."""
    began = time.monotonic()
    while time.monotonic() - began < limit:
        if fleet.put(config(version)) == 200:
            return time.monotonic() - began
        time.sleep(0.3)
    return None


def read_back(fleet, record, seconds):
    """Reads the configuration back again and again; the versions that came."""
    seen = []
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        status, text = fleet.operate("GET", "/-/configuration")
        record(f"operator: GET -> {status or 'no answer'} {text[:60]}")
        if status == 200:
            seen.append(json.loads(text)["version"])
        time.sleep(0.5)
    return seen


def case(record, trouble):
    with Fleet(record, entries={"ikeja": 1}) as fleet:
        fleet.add_target("i-ikeja-0", "statusdesk", "ikeja", 100)
        fleet.start(config(1))
        core = Core(fleet)
        time.sleep(4)
        alone = os.environ.get("TROUBLE", "1") == "replace"
        version = 1
        for zone in FAILURES if trouble else []:
            lost = [zone] if alone else list(core.names)
            core.kill(lost)
            time.sleep(BACK_S)
            for each in lost:
                if each != zone:
                    fleet.run(core.names[each])
            time.sleep(SUCCESSOR_S - BACK_S)
            core.add_successor(zone)
            time.sleep(BETWEEN_S)
            version += 1
            took = acknowledge(fleet, version, 3 * ACK_S)
            record(f"after the loss of the core machine in {zone}: version {version} is acknowledged after {took} s")
            print(f"loss in {zone}: acknowledged after {took if took is None else round(took, 2)} s")
            if took is None:
                version -= 1
                break
        if trouble:
            core.kill([LAST])
            time.sleep(SUCCESSOR_S)
            core.add_successor(LAST)
            time.sleep(RECOVERY_S)
        took = acknowledge(fleet, version + 1, 2 * ACK_S)
        seen = read_back(fleet, record, 2 * CONTACT_S)
        print(f"after the last loss: version {version + 1} is acknowledged after {took if took is None else round(took, 2)} s; "
              f"version {version}, acknowledged before, is read back {len(seen)} times")
        # The last version had no clear answer, so that either may be in force.
        return bool(seen) and all(int(each[1:]) >= version for each in seen)


finish(case, __file__)
