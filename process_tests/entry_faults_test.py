"""bth-entry under faults: late and cut answers, callers that leave, bad input, stops, bad starts."""
import concurrent.futures
import contextlib
import http.client
import itertools
import json
import random
import signal
import socket
import threading

import entry_case
import harness


class EndlessTarget:
    """A target whose answers state no length: their end looks like a broken connection."""

    def __init__(self, where):
        host, port = where.rsplit(":", 1)
        self.listener = socket.socket()
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.listener.bind((host, int(port)))
        self.listener.listen()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            head = sock.recv(65536)
            if head.startswith(b"GET /load"):
                body = b'{"in_flight":0,"slots":3,"leaving":false}'
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" %
                             (len(body), body))
            else:
                sock.sendall(b"HTTP/1.1 200 OK\r\n\r\nhalf of an answer")
            sock.close()

    def close(self):
        self.listener.close()


class KeptConnectionsTarget:
    """A target that keeps its connections; answer(path) returns the bytes with which it answers a request."""

    def __init__(self, where):
        host, port = where.rsplit(":", 1)
        self.listener = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept_all, daemon=True).start()

    def accept_all(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        answer = self.new_connection()
        with connection, connection.makefile("rb") as reader, contextlib.suppress(OSError):
            while line := reader.readline():
                while reader.readline() not in (b"\r\n", b""):
                    pass
                connection.sendall(answer(line.split()[1].decode()))

    def close(self):
        self.listener.close()

    @staticmethod
    def success(body):
        return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)

    @classmethod
    def load(cls):
        return cls.success(b'{"in_flight":0,"slots":3,"leaving":false}')


class RepeatingTarget(KeptConnectionsTarget):
    """A target that refuses some requests, and writes a refusal once more when the next request comes on its connection."""

    REFUSAL = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 5\r\n\r\nbusy\n"

    def __init__(self, where):
        self.answered = set()
        super().__init__(where)

    def new_connection(self):
        repeated = b""

        def answer(path):
            nonlocal repeated
            if path.startswith("/item/refused"):
                repeated = self.REFUSAL
                return self.REFUSAL
            before, repeated = repeated, b""
            if path == "/load":
                return before + self.load()
            self.answered.add(path)
            return before + self.success(path.encode())

        return answer


class ScriptedTarget(KeptConnectionsTarget):
    """A target that answers a request for /item/N with the Nth of `answers`."""

    def __init__(self, where, answers):
        self.answers, self.asked = answers, set()
        super().__init__(where)

    def new_connection(self):
        def answer(path):
            if path == "/load":
                return self.load()
            number = int(path.rsplit("/", 1)[1])
            self.asked.add(number)
            return self.answers[number]

        return answer


class EntryFaultsTest(entry_case.EntryCase):
    def connection(self, row=0):
        host, port = self.site["hosts"][row]["http"].rsplit(":", 1)
        return http.client.HTTPConnection(host, int(port), timeout=harness.GIVE_UP_SECONDS,
                                          source_address=(harness.caller_address(self, row), 0))

    def raw(self, data):
        """Sends bytes and returns everything that comes back until the connection closes."""
        host, port = self.site["hosts"][0]["http"].rsplit(":", 1)
        with socket.create_connection((host, int(port)), timeout=harness.GIVE_UP_SECONDS) as sock:
            answer = b""
            try:
                sock.sendall(data)
                sock.shutdown(socket.SHUT_WR)
                while part := sock.recv(65536):
                    answer += part
            except OSError:
                pass
            return answer

    def test_a_late_answer_reaches_nobody_else(self):
        self.start_site(slots=1)
        self.behave(0, late_every=2, late_by_ms=300)
        late = 0
        for number in range(20):
            path = f"/item/n{number}"
            status, headers, body = self.call(0, path, "POST", {"Bth-Timeout-Ms": "150"}, b"x")
            if status == 200:
                self.assertTrue(body.startswith(b"orders " + path[6:].encode() + b"\n"), body[:40])
            else:
                late += headers["bth-run"] == "unknown"
        self.assertGreater(late, 0)

    def test_a_cut_answer_never_looks_whole(self):
        self.start_site()
        self.behave(0, cut_every=1)
        for _ in range(3):
            with self.assertRaises((http.client.IncompleteRead, ConnectionResetError)):
                self.call(0, "/item/cut", "POST")
        self.assertEqual(self.metrics(0)["bth_cut_answers_total"], 3)

    def test_a_target_killed_in_the_middle_of_an_answer(self):
        self.start_site(answer_bytes=50_000_000)
        connection = self.connection()
        connection.request("GET", "/item/killed", headers={"Host": "orders"})
        response = connection.getresponse()
        self.assertEqual(response.status, 200)
        self.targets[0].kill()
        with self.assertRaises((http.client.IncompleteRead, ConnectionResetError)):
            response.read()
        connection.close()

    def test_an_answer_without_a_length_is_not_taken_for_whole(self):
        self.start_site()
        self.targets[0].kill()
        target = EndlessTarget(self.site["targets"][0]["http"])
        status, headers, _ = self.until(lambda: self.refused_by_target(), "the target is asked")
        self.assertEqual(headers["bth-run"], "unknown")
        target.close()

    def test_a_refusal_that_is_written_once_more_is_no_answer_to_the_next_request(self):
        self.start_site()
        for each in self.targets:
            each.kill()
        target = RepeatingTarget(self.site["targets"][0]["http"])
        refused, wrong = 0, []

        def ask_after_refusal(number):
            nonlocal refused
            status, headers, _ = self.call(0, f"/item/refused-{number}")
            if status != 503 or "bth-reason" in headers:
                return
            refused += 1
            path = f"/item/next-{number}"
            status, _, text = self.call(0, path)
            if path in target.answered and (status, text) != (200, path.encode()):
                wrong.append((status, path, text))

        numbers = itertools.count()
        self.until(lambda: ask_after_refusal(next(numbers)) or (refused >= 5 and target.answered), "requests are refused")
        target.close()
        self.assertEqual(wrong[:3], [])

    def answers_of(self, scripted):
        """What callers get for each of these answers of a target."""
        self.start_site()
        for each in self.targets:
            each.kill()
        target = ScriptedTarget(self.site["targets"][0]["http"], scripted)
        self.addCleanup(target.close)
        got = []
        for number in range(len(scripted)):
            def ask(number=number):
                answer = self.call(0, f"/item/{number}", "POST")
                return answer if number in target.asked else None
            got.append(self.until(ask, f"the target is asked for answer {number}"))
        return got

    def test_an_answer_whose_head_is_none_reaches_no_caller(self):
        end = b"Content-Length: 5\r\n\r\nwrong"
        forged = [b"HTTP/1.1 " + status + b" -\r\n" + end for status in (b"000", b"099", b"600", b"999")]
        forged += [b"HTTP/1.1 200 OK\r\n" + line + b"\r\n" + end
                   for line in (b"X Name: 1", b"X-Name : 1", b" X-Name: 1", b"X-\x01Name: 1", b"X-Name\x7f: 1", b"X-Name: \x02",
                                b"Transfer-Encoding: gzip")]
        forged += [b"HTTP/1.1 200 OK\r\nContent-Length: 5, 5\r\n\r\nwrong",
                   b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n",
                   b"HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + end]
        for answer, (status, fields, text) in zip(forged, self.answers_of(forged)):
            self.assertEqual((status, fields.get("bth-run")), (502, "unknown"), answer)
            self.assertNotIn(b"wrong", text, answer)

    def test_an_interim_answer_is_not_taken_for_the_final_one(self):
        whole = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nright"
        interim = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        answers = self.answers_of([interim + whole, b"HTTP/1.1 100 Continue\r\n\r\n" + interim + whole])
        self.assertEqual([(status, text) for status, _, text in answers], [(200, b"right")] * 2)

    def test_a_field_behind_the_body_is_no_part_of_the_head(self):
        start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        end = b"0\r\nX-Late: 1\r\n\r\n"
        got = self.answers_of([start + end, start + b"5\r\nright\r\n" + end])
        self.assertEqual([(status, fields.get("x-late"), text) for status, fields, text in got],
                         [(200, None, b""), (200, None, b"right")])

    def refused_by_target(self):
        answer = self.call(0, "/item/endless", "POST")
        self.assertNotEqual(answer[0], 200, answer)
        return answer if answer[1]["bth-reason"] == "target_failed" and \
            answer[1]["bth-run"] == "unknown" else None

    def test_a_caller_that_leaves_ends_the_try(self):
        self.start_site(service_time_us=1_500_000)
        connection = self.connection()
        connection.request("POST", "/item/left", headers={"Host": "orders",
                                                          "Bth-Timeout-Ms": "30000"})
        self.until(lambda: "left" in self.runs(0)["runs"], "the request runs")
        connection.close()
        self.until(lambda: self.runs(0)["cancelled"] == 1, "the target's connection is closed")
        self.until(lambda: self.metrics(0)["bth_in_flight"] == 0, "the request ends")
        self.assertEqual(self.metrics(0)["bth_callers_gone_total"], 1)

    def test_a_graceful_stop_cuts_no_request(self):
        self.start_site(service_time_us=1_000_000)
        idle = self.connection()
        idle.connect()
        with concurrent.futures.ThreadPoolExecutor() as pool:
            calls = [pool.submit(self.call, 0, f"/item/stop{number}", "POST",
                                 {"Bth-Timeout-Ms": "20000"}, b"x") for number in range(3)]
            self.until(lambda: self.metrics(0)["bth_in_flight"] == 3, "three are in flight")
            self.entries[0].signal(signal.SIGTERM)
            for number, call in enumerate(calls):
                status, _, body = call.result()
                self.assertEqual(status, 200)
                self.assertTrue(body.startswith(f"orders stop{number}\n".encode()))
        self.assertEqual(self.entries[0].wait_exit(), 0)
        self.assertEqual(idle.sock.recv(1), b"")
        idle.close()

    def test_bad_requests_are_refused_and_stop_nothing(self):
        self.start_site()
        table = [
            (b"\r\n\r\n", b" 400 "),
            (b"GET\r\n\r\n", b" 400 "),
            (b"GET / HTTP/1.1\r\n\r\n", b" 400 "),
            (b"GET / HTTP/1.1\r\nHost: orders\r\nHost: orders\r\n\r\n", b" 400 "),
            (b"GET http://orders/ HTTP/1.1\r\nHost: orders\r\n\r\n", b" 400 "),
            (b"CONNECT orders:80 HTTP/1.1\r\nHost: orders\r\n\r\n", b" 400 "),
            (b"GET / HTTP/1.1\r\nHost: nobody\r\n\r\n", b" 404 "),
            (b"GET / HTTP/1.1\r\nHost: orders\r\nBth-Timeout-Ms: soon\r\n\r\n", b" 400 "),
            (b"GET / HTTP/1.1\r\nHost: orders\r\nBth-Timeout-Ms: 0\r\n\r\n", b" 400 "),
            (b"GET / HTTP/1.1\r\nHost orders\r\n\r\n", b" 400 "),
            (b"GET / HTTP/9.9\r\nHost: orders\r\n\r\n", b" 400 "),
            (b"POST / HTTP/1.1\r\nHost: orders\r\nContent-Length: -1\r\n\r\n", b" 400 "),
            (b"POST / HTTP/1.1\r\nHost: orders\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
             b" 400 "),
            (b"POST / HTTP/1.1\r\nHost: orders\r\nContent-Length: 3\r\n"
             b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b" 400 "),
            (b"POST / HTTP/1.1\r\nHost: orders\r\nContent-Length: 99999999999\r\n\r\n", b" 413 "),
            (b"GET / HTTP/1.1\r\nHost: orders\r\nX: " + b"y" * 20_000 + b"\r\n\r\n", b" 413 "),
        ]
        for data, expected in table:
            first_line = self.raw(data).split(b"\r\n")[0]
            self.assertIn(expected, first_line + b" ", data[:80])
        self.assertEqual(self.call(0, "/item/after")[0], 200)

    def test_random_bytes_stop_nothing(self):
        self.start_site()
        rng = random.Random(20261203)
        good = (b"POST /item/r HTTP/1.1\r\nHost: orders\r\nTransfer-Encoding: chunked\r\n\r\n"
                b"3\r\nabc\r\n0\r\n\r\n")
        for _ in range(150):
            data = bytearray(good)
            for _ in range(rng.randint(1, 4)):
                data[rng.randrange(len(data))] = rng.randrange(256)
            self.raw(bytes(data))
            peer = self.site["hosts"][0]["peer"].rsplit(":", 1)
            with socket.create_connection((peer[0], int(peer[1]))) as sock:
                sock.sendall(rng.randbytes(rng.randint(1, 64)))
        self.assertEqual(self.call(0, "/item/after")[0], 200)

    def test_starts_that_must_fail_say_why_in_one_line(self):
        self.start_site()
        taken = self.site["hosts"][0]
        path = str(self.folder / "site.json")
        table = [
            ({"host": taken["name"], "text_file": path}, "can't listen on " + taken["http"]),
            ({"host": "nobody", "text_file": path}, 'no host "nobody"'),
            ({"host": taken["name"], "text_file": path + ".none"}, "can't read"),
            ({"host": taken["name"], "text_file": path, "hots": 1}, 'unknown key "hots"'),
            ({"host": taken["name"]}, "neither \"text_file\" nor \"failure_domain\""),
            ({"text_file": path}, 'key "host" is missing'),
        ]
        for number, (settings, expected) in enumerate(table):
            settings_path = self.write(f"bad-{number}.json", settings)
            code, out, error = self.run_program("bth-entry", "--settings", settings_path)
            self.assertEqual(code, 1, error)
            self.assertEqual(out, "")
            self.assertIn(expected, error)
            self.assertEqual(error.count("\n"), 1, error)

    def test_an_unreadable_text_is_a_finding_with_its_place(self):
        path = self.write("bad.json", '{"regions": [,]}')
        settings = self.write("settings.json", {"host": "a", "text_file": str(path)})
        code, _, error = self.run_program("bth-entry", "--settings", settings)
        self.assertEqual(code, 1)
        self.assertIn("bad.json:1:", error)


if __name__ == "__main__":
    harness.main()
