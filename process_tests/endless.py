"""Messages that have no end, what writes them, and what judges a process that is flooded with them.

    class MyTest(endless.Judge, harness.ProcessTest):
        def test_requests(self):
            with self.judged(process, 160, lambda: self.send()[0], "chunks"):
                self.write_to(where, *endless.forms(start)["chunks"], 60)
"""
import contextlib
import pathlib
import socket
import threading
import time

FLOOD_S = 1.5
# Within the timeout of the route.
SERVED_WITHIN_S = 2.0
BLOCK = b"x" * 65536
FIELDS = b"X-More: yyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyyy\r\n" * 900


def forms(start):
    """What is written once, and then again and again, by the form of the message; `start` is its first line and fields."""
    chunked = start + b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        "line of the head": (start + b"X-Long: ", BLOCK),
        "fields of the head": (start, FIELDS),
        "length": (start + b"Content-Length: 99999999999\r\n\r\n", BLOCK),
        "chunks": (chunked, b"10000\r\n" + BLOCK + b"\r\n"),
        "chunk extension": (chunked + b"5;", BLOCK),
        "chunk extensions": (chunked, b"1;" + BLOCK[:4000] + b"\r\nx\r\n"),
        "trailer": (chunked + b"0\r\n", FIELDS),
        "no message": (b"", BLOCK),
    }


def answer_forms(start):
    """The forms of an answer, which may also end with its connection, or never begin."""
    return {
        **forms(start),
        "body that ends with its connection": (start + b"\r\n", BLOCK),
        "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    }


class EndlessServer:
    """Answers whatever connects with `first`, and then with `rest` until that closes."""

    def __init__(self, endpoint):
        self.first, self.rest = b"", BLOCK
        self.over = threading.Event()
        host, port = endpoint.rsplit(":", 1)
        self.endpoint = endpoint
        self.listener = socket.create_server((host, int(port)), backlog=1024)
        self.connections = 0
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.listener.accept()
                self.connections += 1
                threading.Thread(target=self.answer, args=(connection,), daemon=True).start()

    def answer(self, connection):
        with connection, contextlib.suppress(OSError):
            connection.settimeout(FLOOD_S)
            connection.recv(65536)
            write_endlessly(connection, self.first, self.rest, self.over)

    def close(self):
        self.over.set()
        # Wakes accept(), too.
        with contextlib.suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()


def write_endlessly(connection, first, rest, over):
    connection.sendall(first)
    while not over.is_set():
        connection.sendall(rest)


class Judge:
    def resident_mb(self, process):
        status = pathlib.Path(f"/proc/{process.popen.pid}/status").read_text(encoding="ascii")
        return int(status.split("VmRSS:")[1].split()[0]) / 1024

    @contextlib.contextmanager
    def judged(self, process, memory_mb, ask, what):
        """Runs a flood against a process; checks its memory, and that `ask` gets status 200 meanwhile."""
        over, most, outcomes = threading.Event(), [0.0], []
        self.flood_over = threading.Event()

        def measure():
            while not over.is_set():
                most[0] = max(most[0], self.resident_mb(process))
                if most[0] > memory_mb:
                    self.flood_over.set()
                time.sleep(0.01)

        def call():
            while not over.is_set():
                begun = time.monotonic()
                try:
                    status = ask()
                except OSError as error:
                    status = repr(error)
                outcomes.append((status, time.monotonic() - begun))
                time.sleep(0.05)

        threads = [threading.Thread(target=each, daemon=True) for each in (measure, call)]
        for each in threads:
            each.start()
        try:
            yield
        finally:
            self.flood_over.set()
            over.set()
            for each in threads:
                each.join()
        with self.subTest(what):
            self.assertIsNone(process.popen.poll())
            self.assertLessEqual(most[0], memory_mb, "MB of memory")
            self.assertTrue(outcomes)
            self.assertEqual([each for each in outcomes if each[0] != 200 or each[1] > SERVED_WITHIN_S][:3], [],
                             f"{len(outcomes)} requests of others")

    def write_to(self, where, first, rest, count):
        """Writes a message without an end on so many connections until they are closed or the flood is over."""
        host, port = where.rsplit(":", 1)
        until = time.monotonic() + FLOOD_S

        def write():
            while not self.flood_over.is_set() and time.monotonic() < until:
                with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=1) as connection:
                    connection.sendall(first)
                    while not self.flood_over.is_set() and time.monotonic() < until:
                        connection.sendall(rest)
                time.sleep(0.05)

        threads = [threading.Thread(target=write, daemon=True) for _ in range(count)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
