"""A configuration takes all traffic of a split route from one of its services; see claim.txt."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_2 import ZONES, Fleet, configuration, finish, route  # noqa: E402

APPLY_S = 2.5  # The bound configurationApplyS of the small deployments.
WAIT_S = 4.0  # From the acknowledgement to the next request; more than APPLY_S.
BEFORE = 25  # Requests to the first entry host before the change; each further one gets one more.
AFTER = 60  # Requests to each entry host after it.


def split(kept, taken_out):
    """The route with its split; the weights are those of its two services."""
    return route("/quotes/", None, trafficSplit=[{"service": "stable", "weight": kept},
                                                {"service": "trial", "weight": taken_out}])


def case(record, trouble):
    with Fleet(record) as fleet:
        for row, zone in enumerate(ZONES):
            fleet.add_target(f"i-stable-{zone}", "stable", zone, 100 + row)
            fleet.add_target(f"i-trial-{zone}", "trial", zone, 120 + row)
        routes = {"r-1": {key: value for key, value in split(90, 10).items() if key != "service"}}
        fleet.start(configuration(1, routes, ["stable", "trial"]))
        time.sleep(3)
        ran = {}

        def send(name):
            status, _, text, number = fleet.call(name, "GET", "/quotes/a")
            service = text.decode().split("-")[1] if status == 200 else "none"
            record(f"client: {number} at {name} -> {status or 'no answer'}, run by {service}")
            return service

        for row, name in enumerate(fleet.entry_names()):
            for _ in range(BEFORE + row):
                service = send(name)
                ran[service] = ran.get(service, 0) + 1
        print(f"before the change: {ran}")
        weights = (1, 0) if trouble else (90, 10)
        routes = {"r-1": {key: value for key, value in split(*weights).items() if key != "service"}}
        fleet.until(lambda: fleet.put(configuration(2, routes, ["stable", "trial"])) == 200, "version 2 is acknowledged", 10)
        time.sleep(WAIT_S)
        broken = 0
        for name in fleet.entry_names():
            services = [send(name) for _ in range(AFTER)]
            broken += services.count("trial")
            record(f"{name}: {services.count('trial')} of {AFTER} requests ran at the service trial")
        print(f"later than {APPLY_S} s after the acknowledgement: {broken} of {AFTER * len(fleet.entry_names())} requests ran "
              "at the service trial")
        return not trouble or broken == 0


finish(case, __file__)
