"""Requests whose end can't be told, as RFC 9112 says: what callers hear, and that nothing behind them is run."""
import random
import re
import socket

import harness
from platform_fleet import PlatformFleet
from platform_standins import PREFIX, REQUEST_ID

SEED = 55


def head(number, fields=(), version="1.1", path="/pay/a"):
    lines = [f"POST {path} HTTP/{version}", "Host: shop.example", f"{REQUEST_ID}: {number}",
             f"{PREFIX}Affinity-Key: 7", f"{PREFIX}Deadline-Milliseconds: 5000", *fields]
    return "\r\n".join([*lines, "", ""])


def cuts(size, pieces, generator):
    """Where to cut `size` bytes: not at all, after each one, or at a few random places."""
    if pieces == "whole":
        return [size]
    if pieces == "bytes":
        return list(range(1, size + 1))
    return sorted({*generator.sample(range(1, size), 5), size})


class PlatformFramingTest(PlatformFleet):
    def setUp(self):
        super().setUp()
        self.random = random.Random(SEED)

    def exchange(self, data, pieces, answers):
        """Sends the bytes and returns the status of each answer, at most `answers`, and whether the host closed then."""
        host, port = self.listen("entry-n1", "callers").rsplit(":", 1)
        with socket.create_connection((host, int(port)), timeout=8) as caller:
            caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            begin = 0
            try:
                for end in cuts(len(data), pieces, self.random):
                    caller.sendall(data[begin:end])
                    begin = end
            except OSError:
                pass  # The host may close before it has everything.
            got = b""
            try:
                while len(re.findall(rb"HTTP/1\.[01] \d+", got)) < answers:
                    part = caller.recv(65536)
                    if not part:
                        break
                    got += part
                caller.settimeout(3)
                while part := caller.recv(65536):
                    got += part
                closed = True
            except TimeoutError:
                closed = False
            except OSError:
                closed = True
        return [int(each) for each in re.findall(rb"HTTP/1\.[01] (\d+)", got)], closed

    def check_refused(self, name, status, fields, version="1.1", body=""):
        for pieces in ("whole", "bytes", "random"):
            with self.subTest(name, pieces=pieces):
                first, hidden = self.next_number(), self.next_number()
                data = head(first, fields, version) + body + head(hidden, ["Content-Length: 0"])
                statuses, closed = self.exchange(data.encode(), pieces, 1)
                self.assertEqual((statuses, closed), ([status], True))
                self.assertEqual((self.runs_of(first), self.runs_of(hidden)), (0, 0))

    # The body of such a request was run as a request of its own.
    def test_request_whose_transfer_coding_hides_its_end_is_refused(self):
        self.check_refused("not chunked", 400, ["Transfer-Encoding: gzip"])
        self.check_refused("not chunked at last", 400, ["Transfer-Encoding: chunked, gzip"])
        self.check_refused("not chunked in a second field", 400,
                           ["Transfer-Encoding: chunked", "Transfer-Encoding: identity"])
        self.check_refused("unknown before chunked", 501, ["Transfer-Encoding: gzip, chunked"], body="0\r\n\r\n")
        self.check_refused("unknown before chunked, in two fields", 501,
                           ["Transfer-Encoding: gzip", "Transfer-Encoding: chunked"], body="0\r\n\r\n")

    def test_request_with_two_readings_of_its_length_is_refused(self):
        self.check_refused("two lengths", 400, ["Content-Length: 0", "Content-Length: 5"], body="12345")
        self.check_refused("a list of lengths", 400, ["Content-Length: 0, 5"], body="12345")
        self.check_refused("length before coding", 400, ["Content-Length: 5", "Transfer-Encoding: chunked"],
                           body="0\r\n\r\n")
        self.check_refused("coding before length", 400, ["Transfer-Encoding: chunked", "Content-Length: 5"],
                           body="0\r\n\r\n")

    # RFC 9112, 6.1: proxies that speak HTTP/1.0 don't know the coding, and take the body for further requests.
    def test_request_with_a_coding_in_http_1_0_is_refused(self):
        self.check_refused("a coding in HTTP/1.0", 400, ["Transfer-Encoding: chunked"], version="1.0", body="0\r\n\r\n")

    def test_request_with_an_unreadable_length_is_refused(self):
        for value in ("-1", "+1", "1a", "0x1", "1 1", "", "18446744073709551616"):
            self.check_refused(f"Content-Length: {value!r}", 400, [f"Content-Length: {value}"], body="1")
        for size in ("x", "-1", "", "10000000000000000"):
            self.check_refused(f"chunk size {size!r}", 400, ["Transfer-Encoding: chunked"], body=f"{size}\r\n1\r\n0\r\n\r\n")

    def test_requests_that_end_as_they_say_are_each_run_once(self):
        bodies = ((["Content-Length: 3"], "abc"),
                  (["Transfer-Encoding: chunked"], "3\r\nabc\r\n0\r\n\r\n"),
                  (["Transfer-Encoding: Chunked"], "3;a=b\r\nabc\r\n0\r\nX-Trailer: 1\r\n\r\n"),
                  (["Content-Length: 0"], ""))
        for pieces in ("whole", "bytes", "random"):
            with self.subTest(pieces=pieces):
                numbers = [self.next_number() for _ in bodies]
                data = "".join(head(number, fields) + body for number, (fields, body) in zip(numbers, bodies))
                statuses, closed = self.exchange(data.encode(), pieces, len(bodies))
                self.assertEqual((statuses, closed), ([200] * len(bodies), False))
                self.assertEqual([self.runs_of(each) for each in numbers], [1] * len(bodies))


if __name__ == "__main__":
    harness.main()
