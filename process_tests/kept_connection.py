"""A caller that keeps its connection, and may send a request before the answer to the one before.

    connection = KeptConnection(endpoint)
    first, second = connection.send("1", "/read/a"), connection.send("2", "/read/b")
    while connection.receive(1.0):
        pass
    print(first.status, second.status)
"""
import dataclasses
import re
import select
import socket
import time

from platform_standins import PREFIX, RECEIPT, REQUEST_ID


@dataclasses.dataclass
class KeptRequest:
    """Times are monotonic; `status` stays empty if the connection ends before the whole answer, and `ended` tells when."""

    number: str
    sent: float
    status: int = None
    ended: float = None
    # Sent behind a request whose answer closes the connection.
    behind_close: bool = False
    # The answer is a target's own.
    is_of_target: bool = False


class KeptConnection:
    def __init__(self, endpoint, receive_buffer=None):
        host, port = endpoint.rsplit(":", 1)
        self.socket = socket.socket()
        if receive_buffer is not None:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.settimeout(1)
        self.socket.connect((host, int(port)))
        self.waiting = []
        self.got = b""
        # An answer said that the connection closes after it.
        self.is_closing = False

    def send(self, number, path="/read/a", deadline_ms=5000, fields=()):
        request = KeptRequest(number, time.monotonic())
        head = [f"GET {path} HTTP/1.1", "Host: shop.example", f"{REQUEST_ID}: {number}", f"{PREFIX}Affinity-Key: {path}",
                f"{PREFIX}Deadline-Milliseconds: {deadline_ms}", *[f"{name}: {value}" for name, value in dict(fields).items()]]
        self.waiting.append(request)
        self.socket.sendall("\r\n".join([*head, "", ""]).encode())
        return request

    def receive(self, timeout, most=65536):
        """Waits for more of the answers. Returns whether the connection is still open."""
        readable, _, _ = select.select([self.socket], [], [], timeout)
        if not readable:
            return True
        try:
            part = self.socket.recv(most)
        except OSError:
            part = b""
        self.got += part
        while self.waiting and self.take_answer():
            pass
        if not part:
            for each in self.waiting:
                each.ended = time.monotonic()
        return bool(part)

    def take_answer(self):
        end = self.got.find(b"\r\n\r\n") + 4
        if end < 4:
            return False
        head = self.got[:end]
        end += int(re.search(rb"(?i)content-length: *(\d+)", head).group(1))
        if len(self.got) < end:
            return False
        self.got = self.got[end:]
        request = self.waiting.pop(0)
        request.status, request.ended = int(head.split()[1]), time.monotonic()
        request.is_of_target = RECEIPT.lower().encode() in head.lower()
        if re.search(rb"(?i)connection: *close", head):
            self.is_closing = True
            for each in self.waiting:
                each.behind_close = True
        return True

    def close(self):
        self.socket.close()


def keep_calling(open_connection, next_number, chance, is_over, depth=1, most_pause=0.1, make_path=lambda chance: "/read/a", fields=()):
    """Calls on one connection after the other until `is_over()`, with up to `depth` requests in flight, and lets a connection end
    by itself. Returns all requests.
    """
    requests = []
    while not is_over():
        try:
            connection = open_connection()
        except OSError:
            time.sleep(0.05)
            continue
        next_at = time.monotonic()
        while True:
            now = time.monotonic()
            may_send = not connection.is_closing and len(connection.waiting) < depth and not is_over()
            if not may_send and not connection.waiting:
                break
            if may_send and now >= next_at:
                next_at = now + chance.uniform(0, most_pause)
                try:
                    connection.send(next_number(), make_path(chance), fields=fields)
                except OSError:
                    for each in connection.waiting:
                        each.ended = time.monotonic()
                    break
                finally:
                    requests.append(connection.waiting[-1])
            pause = min(0.05, max(0.0, next_at - time.monotonic())) if may_send else 0.05
            if not connection.receive(pause):
                break
        connection.close()
    return requests
