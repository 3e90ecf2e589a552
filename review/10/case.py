"""An upstream sends bytes that are no answer, once; see claim.txt."""
import contextlib
import pathlib
import socket
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))
from fleet_2 import CannotRun, HOST, PREFIX, REQUEST_ID, ZONES, Fleet, configuration, finish, harness, route  # noqa: E402

SPOILED_SHARE = 0.023  # Of the answers of a faulty upstream, as the site's garble has it.
FAULTY = 2  # Of six upstreams; the site's garble has a share of 0.38 of them.
LENGTH_S = 4.7  # As the site's garble.
CLIENTS = 2  # At each entry host.
PAUSE_S = 0.25  # Of a client between two requests and the next two.


def no_response(number):
    """Bytes that are no response: the first digit of a status is 1 to 5 (RFC 9112, 4; RFC 9110, 15)."""
    return f"HTTP/1.1 000 -\r\n{REQUEST_ID}: {number}\r\nContent-Length: 6\r\n\r\nerror\n".encode()


class Upstream:
    """An upstream that answers soundly, but for SPOILED_SHARE of its answers while `is_faulty`. It never breaks off."""

    def __init__(self, name, service, zone, endpoint, record):
        self.name, self.service, self.domain, self.endpoint, self.record = name, service, zone, endpoint, record
        self.is_faulty = False
        self.answers = self.spoiled = 0
        self.lock = threading.Lock()
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
                with self.lock:
                    self.answers += self.is_faulty
                    spoils = self.is_faulty and self.spoiled + 1 <= SPOILED_SHARE * self.answers
                    self.spoiled += spoils
                if spoils:
                    self.record(f"{self.name}: {number} {path} <- {no_response(number)!r}")
                    connection.sendall(no_response(number))
                    continue
                text = f"{self.name} {number}"
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


def is_sound(answer):
    """Whether a client can take this for an answer: a status line of HTTP, and a success only with its seal."""
    line, fields, _ = answer
    words = line.split()
    is_response = (len(words) >= 2 and words[0] == "HTTP/1.1" and len(words[1]) == 3 and words[1].isdigit()
                   and words[1][0] in "12345")
    return is_response and (words[1][0] != "2" or f"{PREFIX}Response-Seal".lower() in fields)


def send_pairs(fleet, name, key, until, record, wrong):
    """A client: two idempotent requests, the second before the first is answered, again and again on a kept connection."""
    host, port = fleet.callers(name).rsplit(":", 1)
    while time.monotonic() < until:
        with contextlib.suppress(OSError), socket.create_connection((host, int(port)), timeout=3) as connection, \
                connection.makefile("rb") as reader:
            is_usable = True
            while is_usable and time.monotonic() < until:
                key += 1
                numbers = [fleet.number(), fleet.number()]
                connection.sendall(b"".join(
                    f"GET /read/{number[-1]} HTTP/1.1\r\nHost: {HOST}\r\n{REQUEST_ID}: {number}\r\n{PREFIX}Affinity-Key: {key}\r\n"
                    f"{PREFIX}Deadline-Milliseconds: 2500\r\n\r\n".encode() for number in numbers))
                for number in numbers:
                    answer = read_answer(reader)
                    record(f"client: {number} at {name} <- {answer}")
                    if answer is None or not is_sound(answer):
                        is_usable = False
                    if answer is not None and not is_sound(answer):
                        wrong.append(number)
                        record(f"MIXED: {number} at {name} got {answer[0]!r}")
                    if answer is None:
                        break
                time.sleep(PAUSE_S)


def case(record, trouble):
    with Fleet(record) as fleet:
        upstreams = []
        for row, zone in enumerate(ZONES):
            endpoint = harness.free_endpoint(fleet.address(100 + row))
            upstreams.append(Upstream(f"i-{zone}", "statusdesk", zone, endpoint, record))
            fleet.targets.append(upstreams[-1])
        fleet.start(configuration(1, {"r-1": route("/read/", "statusdesk")}, ["statusdesk"]))
        time.sleep(3)
        for each in upstreams[1::3][:FAULTY]:
            each.is_faulty = trouble
        wrong = []
        until = time.monotonic() + LENGTH_S
        threads = [threading.Thread(target=send_pairs, args=(fleet, name, 1000 * row + 100 * client, until, record, wrong))
                   for row, name in enumerate(fleet.entry_names()) for client in range(CLIENTS)]
        for each in threads:
            each.start()
        for each in threads:
            each.join()
        spoiled, answers = sum(each.spoiled for each in upstreams), sum(each.answers for each in upstreams)
        print(f"{spoiled} of {answers} answers of faulty upstreams were spoiled; clients got {len(wrong)} that are no answer in the "
              "protocol, or a success without its seal")
        if trouble and spoiled == 0:
            raise CannotRun("no answer was spoiled")
        return not wrong


finish(case, __file__)
