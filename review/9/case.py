"""A large body on its way to a cold upstream; see claim.txt."""
import contextlib
import http.client
import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_2 import ZONES, Fleet, MEMORY_MB, configuration, finish, resident_mb, route  # noqa: E402

BODY_BYTES = 60 * 1024 * 1024  # maxBodyBytes is 64 MiB.
COLD_S = 3.0  # coldStartS of the small deployments.
WORK_S = 0.6  # How long the other requests take at their upstreams.
KEPT = 8  # Clients with a kept connection to each entry host.


def case(record, trouble):
    # Each zone has the entry host that the site may add during a day.
    with Fleet(record, entries={zone: 2 for zone in ZONES}) as fleet:
        for row, zone in enumerate(z for z in ZONES for _ in range(2)):
            fleet.add_target(f"i-{zone}-{row}", "depositbook", zone, 100 + row)
            fleet.add_target(f"j-{zone}-{row}", "statusdesk", zone, 130 + row).seconds = WORK_S
        fleet.start(configuration(1, {"r-1": route("/pay/", "depositbook", "non_idempotent"),
                                      "r-2": route("/read/", "statusdesk")}, ["depositbook", "statusdesk"]))
        time.sleep(4)
        fleet.watch_memory()
        body = b"x" * BODY_BYTES
        most = {}
        stop = threading.Event()
        cut = []

        def keep(name, key):
            """One client: requests on a kept connection, one after the other."""
            host, port = fleet.callers(name).rsplit(":", 1)
            while not stop.is_set():
                connection = http.client.HTTPConnection(host, int(port), timeout=3)
                with contextlib.suppress(OSError):
                    connection.connect()
                sent = 0
                while connection.sock is not None and not stop.is_set():
                    number = fleet.number()
                    try:
                        connection.request("GET", "/read/a", headers=fleet.headers(number, str(key)))
                        response = connection.getresponse()
                        response.read()
                        sent += 1
                    except (OSError, http.client.HTTPException):
                        arrived = [each for target in fleet.targets for each in target.arrivals()
                                   if each.number == number and each.ran]
                        if arrived and sent and not stop.is_set():
                            cut.append(number)
                            record(f"client: {number} at {name} had run at {arrived[0].name} and ends without an answer")
                        break
                connection.close()
                time.sleep(0.2)

        def watch():
            while not stop.is_set():
                for name, process in list(fleet.running.items()):
                    most[name] = max(most.get(name, 0), resident_mb(process.pid))
                time.sleep(0.01)

        threads = [threading.Thread(target=watch)]
        for name in fleet.entry_names():
            threads += [threading.Thread(target=keep, args=(name, key)) for key in range(KEPT)]
        for each in threads:
            each.start()
        time.sleep(2)
        for round_ in range(3):
            if trouble:
                # The upstreams of one service start anew, as in a release.
                for target in fleet.targets:
                    if target.service == "depositbook":
                        target.start_again(f"{target.name}'", COLD_S + 1.5)
                record("the upstreams of depositbook start anew, cold")
            time.sleep(2.2)
            for name in fleet.entry_names()[round_ % 2::2]:
                status, _, text, number = fleet.call(name, "POST", "/pay/a", body, left_ms=3000, key=str(round_))
                record(f"client: {number} at {name}, {BODY_BYTES} bytes -> {status or 'no answer'} {text[:40]}")
            time.sleep(3)
        stop.set()
        for each in threads:
            each.join()
        highest = max(most, key=most.get)
        record(f"most memory: {most[highest]:.0f} MB at {highest}, which has {MEMORY_MB['entry']} MB")
        print(f"{len(fleet.ended_by_platform)} times a process used more memory than its machine has; "
              f"{len(cut)} requests that had run ended without an answer")
        return len(cut) <= 3


finish(case, __file__)
