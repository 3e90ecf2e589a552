"""An upstream sends bytes that are no answer, once; see claim.txt."""
import contextlib
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_2 import HOST, PREFIX, REQUEST_ID, ZONES, Fleet, configuration, finish, harness, route  # noqa: E402

# No response in HTTP: the first digit of a status is 1 to 5 (RFC 9112, 4; RFC 9110, 15).
NO_RESPONSE = b"HTTP/1.1 000 -\r\nContent-Length: 6\r\n\r\nerror\n"


class Upstream:
    """An upstream that answers soundly, but for the requests with `spoiled` in their path while `is_faulty`."""

    def __init__(self, name, service, zone, endpoint, record):
        self.name, self.service, self.domain, self.endpoint, self.record = name, service, zone, endpoint, record
        self.is_faulty = False
        self.seals = {}
        host, port = endpoint.rsplit(":", 1)
        self.socket = socket.create_server((host, int(port)), backlog=100)
        threading.Thread(target=self.accept, daemon=True).start()

    def entry(self):
        return {"service": self.service, "address": self.endpoint, "zone": self.domain, "version": "v1", "slots": 3,
                "state": "ready", "coldRemainingS": 0}

    def close(self):
        self.socket.close()

    def accept(self):
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self.socket.accept()
                threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        with contextlib.suppress(OSError), connection, connection.makefile("rb") as reader:
            while line := reader.readline():
                path = line.split()[1].decode()
                fields = {}
                while (field := reader.readline()) not in (b"\r\n", b""):
                    key, value = field.decode().split(":", 1)
                    fields[key.lower()] = value.strip()
                number = fields[REQUEST_ID.lower()]
                echo = f"{REQUEST_ID}: {number}\r\n"
                if fields.get(f"{PREFIX}Expected-Instance".lower()) != self.name:
                    connection.sendall(f"HTTP/1.1 421 Misdirected\r\n{echo}Content-Length: 0\r\n\r\n".encode())
                    continue
                if self.is_faulty and "spoiled" in path:
                    self.record(f"{self.name}: {number} {path} <- {NO_RESPONSE!r}")
                    connection.sendall(NO_RESPONSE)
                    return
                text = f"{self.name} {number}"
                self.seals[number] = text
                self.record(f"{self.name}: ran {number} {path}")
                connection.sendall(f"HTTP/1.1 200 OK\r\n{echo}{PREFIX}Response-Seal: seal-{number}\r\n"
                                   f"Content-Length: {len(text)}\r\n\r\n{text}".encode())


def read_answer(reader):
    """One answer: the status line, the fields and the body, as a client reads them; None at the end of the connection."""
    line = reader.readline()
    if not line:
        return None
    fields = {}
    while (field := reader.readline()) not in (b"\r\n", b""):
        key, _, value = field.decode("latin-1").partition(":")
        fields[key.lower()] = value.strip()
    body = reader.read(int(fields.get("content-length", "0")))
    return line.decode("latin-1").strip(), fields, body.decode("latin-1")


def case(record, trouble):
    with Fleet(record) as fleet:
        upstreams = []
        for row, zone in enumerate(ZONES):
            endpoint = harness.free_endpoint(fleet.address(100 + row))
            upstreams.append(Upstream(f"i-{zone}", "statusdesk", zone, endpoint, record))
            fleet.targets.append(upstreams[-1])
        fleet.start(configuration(1, {"r-1": route("/read/", "statusdesk")}, ["statusdesk"]))
        time.sleep(3)
        for each in upstreams:
            each.is_faulty = trouble
        broken = 0
        for name in fleet.entry_names():
            # Clients may send further idempotent requests before the first one has been answered.
            numbers = [fleet.number(), fleet.number()]
            host, port = fleet.callers(name).rsplit(":", 1)
            with socket.create_connection((host, int(port)), timeout=3) as connection:
                connection.sendall(b"".join(
                    f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: {number}\r\n{PREFIX}Affinity-Key: 7\r\n"
                    f"{PREFIX}Deadline-Milliseconds: 2500\r\n\r\n".encode()
                    for number, path in zip(numbers, ("/read/spoiled", "/read/b"))))
                record(f"client: {numbers} at {name}")
                with connection.makefile("rb") as reader:
                    for number in numbers:
                        with contextlib.suppress(TimeoutError):
                            answer = read_answer(reader)
                            record(f"client: {number} <- {answer}")
                            if answer is None:
                                break
                            line, fields, _ = answer
                            words = line.split()
                            is_response = (len(words) >= 2 and words[0] == "HTTP/1.1" and len(words[1]) == 3
                                           and words[1][0] in "12345" and words[1].isdigit())
                            is_sealed = f"{PREFIX}Response-Seal".lower() in fields
                            if not is_response or (words[1][0] == "2" and not is_sealed):
                                broken += 1
                                record(f"MIXED: {number} at {name} got {line!r}, sealed: {is_sealed}")
        print(f"{broken} answers were no answer in the protocol, or a success without its seal")
        return broken == 0


finish(case, __file__)
