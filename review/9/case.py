"""A configuration gives all traffic of a split route to one of its two services; see claim.txt."""
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_2 import ZONES, Fleet, configuration, finish, route  # noqa: E402

APPLY_S = 2.5  # The bound configurationApplyS of the small deployments.
WAIT_S = 4.0  # From the acknowledgement to the next request; more than APPLY_S.
BEFORE = 25  # Requests to the first entry host before the change; each further one gets one more.
AFTER = 60  # Requests to each entry host after it.
FIRST, SECOND = (900, 100), (1, 0)  # The weights before and after the change.
MOST_OFF = 0.2  # The bound of the rule, for 200 requests or more.


def split(kept, taken_out):
    """The route with its split; the weights are those of its two services."""
    return route("/quotes/", None, trafficSplit=[{"service": "stable", "weight": kept},
                                                {"service": "trial", "weight": taken_out}])


def case(record, trouble):
    with Fleet(record) as fleet:
        for row, zone in enumerate(ZONES):
            fleet.add_target(f"i-stable-{zone}", "stable", zone, 100 + row)
            fleet.add_target(f"i-trial-{zone}", "trial", zone, 120 + row)
        routes = {"r-1": {key: value for key, value in split(*FIRST).items() if key != "service"}}
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
        weights = SECOND if trouble else FIRST
        routes = {"r-1": {key: value for key, value in split(*weights).items() if key != "service"}}
        fleet.until(lambda: fleet.put(configuration(2, routes, ["stable", "trial"])) == 200, "version 2 is acknowledged", 10)
        time.sleep(WAIT_S)
        at_trial = 0
        for name in fleet.entry_names():
            services = [send(name) for _ in range(AFTER)]
            at_trial += services.count("trial")
            record(f"{name}: {services.count('trial')} of {AFTER} requests ran at the service trial")
        sent = AFTER * len(fleet.entry_names())
        share, wanted = at_trial / sent, weights[1] / sum(weights)
        print(f"later than {APPLY_S} s after the acknowledgement: {at_trial} of {sent} requests ran at the service trial, "
              f"{share:.2f} where its weight's share is {wanted:.2f}")
        return abs(share - wanted) <= MOST_OFF


finish(case, __file__)
