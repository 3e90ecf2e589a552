"""What the cases on memory share: the platform's bound, and callers that count the requests that they lose."""
import signal
import socket
import threading
import time

from fleet import MEMORY_MB, answer, head

# How long a request of the steady callers runs at its target.
WORK_S = 1.0


class MemoryBound:
    """The platform's bound on a process: one that uses more than MEMORY_MB is killed. `peak_mb` is the most that was seen,
    `killed_at` the monotonic time of the kill, if there was one.
    """

    def __init__(self, process, record):
        self.process, self.record = process, record
        self.peak_mb, self.killed_at, self.over = 0.0, None, False
        self.thread = threading.Thread(target=self.watch, daemon=True)
        self.thread.start()

    def watch(self):
        while not self.over:
            used = self.process.resident_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > MEMORY_MB:
                self.process.signal(signal.SIGKILL)
                self.killed_at = time.monotonic()
                self.record(f"platform: the process uses {used:.0f} MB, its machine has {MEMORY_MB} MB: killed")
                return
            time.sleep(0.005)

    def stop(self):
        self.over = True
        self.thread.join()


class SteadyCaller:
    """Sends one small request after the other on a kept connection to one entry host, until `over()`. `lost` holds the ids
    of the requests whose connection ended without an answer.
    """

    def __init__(self, fleet, zone, row, over):
        self.fleet, self.zone, self.row, self.over = fleet, zone, row, over
        self.answered, self.lost = 0, []
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        connection = self.fleet.connect(self.zone)
        connection.settimeout(10)
        while not self.over():
            number = self.fleet.next_number()
            got = b""
            try:
                connection.sendall(head("GET", f"/read/steady-{self.row}", number, object_key=f"steady-{self.row}"))
                while b"\r\n\r\n" not in got or not got.endswith(number.encode()):
                    part = connection.recv(65536)
                    if not part:
                        break
                    got += part
            except (OSError, socket.timeout):
                pass
            if not got.startswith(b"HTTP/1.1 200"):
                self.lost.append(number)
                self.fleet.record(f"steady caller {self.row} got no whole answer to {number}: {got[:40]!r}")
                break
            self.answered += 1
        connection.close()


def steady_work(target, connection, arrived):
    """What a target does with a request of a steady caller: works for WORK_S and names the request in its answer."""
    time.sleep(WORK_S)
    connection.sendall(answer(200, arrived.number, b"answer to " + arrived.number.encode()))


def lost_at_targets(callers, targets):
    """The ids of the requests that reached a target and whose kept connection ended without an answer."""
    reached = {each.number for target in targets for each in target.arrivals}
    return [number for caller in callers for number in caller.lost if number in reached]
