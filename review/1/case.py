"""Payments reach an entry host that is cut off from all targets, and go through others to a target that is full for a moment
and writes some of its refusals once more, late.
"""
import contextlib
import os
import pathlib
import re
import socket
import struct
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet import NOT_EXECUTED, REQUEST_ID, RawTarget, answer, configuration, head, main, route  # noqa: E402

PAYMENTS = 10
WORK_S = 0.2
# How long after a refusal it is written once more. At most 3 in 100 answers of a target may be, for 5 s, and at most 55 in 100
# requests be rejected: other requests between two payments keep within that.
LATE_S = 0.03
OTHERS_AT_FAULTY = 37
OTHERS_AT_SOUND = 2
# In which an entry host finds out that it is cut off.
CUT_S = 2.5
CALLERS = 4


def ports_of(pid):
    """The local ports of the process's TCP sockets."""
    inodes, ports = set(), set()
    for name in os.listdir(f"/proc/{pid}/fd"):
        try:
            inodes.add(os.readlink(f"/proc/{pid}/fd/{name}"))
        except OSError:
            pass
    with open("/proc/net/tcp", encoding="ascii") as file:
        next(file)
        for line in file:
            fields = line.split()
            if f"socket:[{fields[9]}]" in inodes:
                ports.add(int(fields[1].split(":")[1], 16))
    return ports


class Kept:
    """A caller that keeps its connection to an entry host, so that few sockets linger when `ports_of` looks."""

    def __init__(self, fleet, host):
        self.fleet, self.host, self.connection = fleet, host, None

    def get(self, path, key):
        """Sends one request and returns status and body; status 0 stands for a connection that ended."""
        try:
            if self.connection is None:
                self.connection = self.fleet.connect(self.host)
            self.connection.sendall(head("GET", path, self.fleet.next_number(), 3000, key))
            got = b""
            while True:
                end = got.find(b"\r\n\r\n") + 4
                found = re.search(rb"(?i)content-length: *(\d+)", got[:end]) if end >= 4 else None
                if found and len(got) >= end + int(found.group(1)):
                    return int(got.split(b" ")[1]), got[end:]
                part = self.connection.recv(65536)
                if not part:
                    raise OSError("ended")
                got += part
        except OSError:
            if self.connection is not None:
                self.connection.close()
            self.connection = None
            return 0, b""


class CutTarget(RawTarget):
    """A target that one entry host doesn't reach while `cut_from()` names its process: its connections are reset."""

    cut_from = staticmethod(lambda: None)

    def serve(self, connection, peer):
        pid = self.cut_from()
        if pid is not None and peer[1] in ports_of(pid):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            connection.close()
            return
        with self.lock:
            self.__dict__.setdefault("open", {})[connection] = peer[1]
        super().serve(connection, peer)
        with self.lock:
            self.open.pop(connection, None)

    def end_connections_to(self, ports):
        """Ends the connections that come from these ports."""
        with self.lock:
            known = list(self.__dict__.get("open", {}).items())
        for connection, port in known:
            if port in ports:
                with contextlib.suppress(OSError):
                    connection.shutdown(socket.SHUT_RDWR)


def case(fleet, record, trouble):
    cut, faulty = {"pid": None}, {"now": False}
    ran, refused, counts, lock = {}, set(), {}, threading.Lock()

    def count(what):
        if faulty["now"]:
            with lock:
                counts[what] = counts.get(what, 0) + 1

    CutTarget.cut_from = staticmethod(lambda: cut["pid"])

    def behave(target, connection, arrived):
        number = arrived.number
        is_payment = "/pay/" in arrived.line
        count(f"answers of {target.name}")
        if faulty["now"] and is_payment and (target.name != "i-0" or number not in refused):
            # i-0 has room again at the second try, the other one has none.
            refused.add(number)
            count(f"rejected by {target.name}")
            text = f"HTTP/1.1 503 X\r\n{REQUEST_ID}: {number}\r\n{NOT_EXECUTED}: 1\r\nContent-Length: 0\r\n\r\n".encode()
            connection.sendall(text)
            record(f"{target.name} is full and rejects {number}")

            if target.name != "i-0":
                return

            def again():
                time.sleep(LATE_S)
                try:
                    connection.sendall(text)
                    record(f"{target.name} writes its refusal of {number} once more")
                except OSError as error:
                    record(f"{target.name} can't write its refusal of {number} once more: {error}")

            count("written once more by i-0")
            threading.Thread(target=again, daemon=True).start()
            return
        if is_payment:
            with lock:
                ran[number] = ran.get(number, 0) + 1
            record(f"{target.name} runs {number}")
            time.sleep(WORK_S)
        connection.sendall(answer(200, number, target.name.encode()))

    # Two targets take payments; one of them is faulty.
    targets = [CutTarget(fleet, f"i-{row}", service, zone, behave)
               for row, (service, zone) in enumerate((("payments", "n2"), ("payments", "n1"), ("orders", "n1"), ("orders", "n2"),
                                                      ("orders", "s1")))]
    fleet.start(targets, configuration(1, {"read": route("/read/", "orders"), "state": route("/state/", "payments"),
                                           "pay": route("/pay/", "payments", "non_idempotent", regions=["north"])}))
    # The orders by the target to which the other entry host of the region sends them.
    other = Kept(fleet, "n2")
    orders = {b"i-0": [], b"i-1": []}
    for row in range(100):
        orders.setdefault(other.get(f"/state/order-{row}", f"order-{row}")[1], []).append(f"order-{row}")
    if min(len(orders[b"i-0"]), len(orders[b"i-1"])) < PAYMENTS:
        raise RuntimeError("too few orders have their home at one of the targets")
    over, statuses = threading.Event(), []

    def call_on(row):
        caller = Kept(fleet, "n1")
        while not over.is_set():
            statuses.append(caller.get(f"/read/{row}", f"{row}-{len(statuses)}")[0])
            time.sleep(0.005)

    callers = [threading.Thread(target=call_on, args=(row,), daemon=True) for row in range(CALLERS)]
    for each in callers:
        each.start()
    began = time.monotonic()
    if trouble:
        cut["pid"] = fleet.entries["n1"].pid
        for each in targets:
            each.end_connections_to(ports_of(cut["pid"]))
        record("n1 is cut off from all targets")
    time.sleep(max(0.0, began + CUT_S - time.monotonic()))
    faulty["now"] = trouble
    began_faulty = time.monotonic()
    broken = []
    for key in orders[b"i-0"][:PAYMENTS]:
        for row in range(OTHERS_AT_SOUND):
            other.get("/state/" + orders[b"i-1"][row], orders[b"i-1"][row])
        for _ in range(OTHERS_AT_FAULTY):
            other.get("/state/" + key, key)
        number = fleet.next_number()
        record(f"caller sends POST /pay/{key} {number} to n1")
        status = fleet.call("n1", "POST", f"/pay/{key}", b"pay", number, 2000, key, 6)[0]
        time.sleep(0 if status == 200 else WORK_S + 0.1)
        record(f"caller got {status} for {number}, which ran {ran.get(number, 0)} times")
        if status in (408, 421, 429, 503) and ran.get(number, 0) > 0:
            broken.append(number)
            record(f"BROKEN: {status} says that {number} has not run and never will")
    faulty["now"] = False
    record(f"the cut lasted {time.monotonic() - began:.1f} s, the targets were faulty for {time.monotonic() - began_faulty:.1f} s: "
           f"{counts}; callers of n1 got {statuses.count(200)} of {len(statuses)} answers 200")
    over.set()
    for each in callers:
        each.join()
    record(f"{len(broken)} of {PAYMENTS} payments were refused though they ran")
    return f"REFUSED, {len(broken)} of {PAYMENTS} payments were refused though they ran, first {broken[0]}" if broken else None


main(case)
