"""bth-control and bthctl: submit, race, resend, bad texts, and starts that must fail."""
import http.client
import json
import signal
import socket
import threading

import harness

OK, FAILED, USAGE, NOT_ACCEPTED, FINDINGS, UNKNOWN, UNAVAILABLE, NOT_EVERYWHERE = range(8)
SHORT_MS = "600"


class AnswerLoser:
    """Passes requests on to a control host and closes before any answer comes back."""

    def __init__(self, address, control):
        self.control = control
        self.listener = socket.socket()
        self.listener.bind((address, 0))
        self.listener.listen()
        self.endpoint = "%s:%d" % self.listener.getsockname()
        self.lost = {}
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        while True:
            try:
                caller, _ = self.listener.accept()
            except OSError:
                return
            with caller, caller.makefile("rb") as request:
                method, path, _ = request.readline().decode().split()
                length = 0
                while (line := request.readline().strip()):
                    key, _, value = line.partition(b":")
                    length = int(value) if key.lower() == b"content-length" else length
                body = request.read(length)
                try:
                    answer = harness.call(self.control, method, path, body=body)[2]
                except (OSError, http.client.HTTPException):
                    continue
                self.lost[json.loads(body)["edit_id"]] = answer

    def close(self):
        self.listener.close()


class ControlTest(harness.ProcessTest):
    def setUp(self):
        super().setUp()
        self.site = harness.small_site(self)
        self.text = self.write("site.json", self.site)
        self.http = self.endpoint(5)
        self.peer = self.endpoint(6)
        (self.folder / "data").mkdir()

    def settings(self, **changes):
        member = {"host": "c1", "http": self.http, "peer": self.peer}
        return self.write("control.json", {
            "host": "c1", "data_folder": str(self.folder / "data"), "http": self.http,
            "peer": self.peer, "members": [member], **changes})

    def start_control(self):
        return self.start("bth-control", self.settings())

    def ctl(self, command, *arguments, control=None):
        code, out, error = self.run_program("bthctl", command, *arguments, "--control",
                                            control or self.http)
        return code, out, error

    def submit(self, edit_id, version, *arguments, text=None, control=None):
        return self.ctl("submit", text or self.text, "--expect-version", version, "--edit-id",
                        edit_id, "--author", "ada", *arguments, control=control)

    def role(self):
        return json.loads(harness.call(self.http, "GET", "/status")[2])["role"]

    def write_with_slots(self, name, slots):
        changed = json.loads(json.dumps(self.site))
        changed["targets"][0]["slots"] = slots
        return self.write(name, changed)

    def test_submit_show_status_and_drains(self):
        control = self.start_control()
        code, out, _ = self.submit("first", 0)
        self.assertEqual((code, out), (OK, "accepted as 1\n"))
        self.assertEqual(self.ctl("show")[1], self.text.read_text())
        name = self.site["targets"][0]["name"]
        code, out, _ = self.ctl("drain", "target", name, "--from", "2027-01-15T08:00:00Z")
        self.assertEqual((code, out), (OK, "accepted as 2\n"))
        self.assertIn('"from_unix_ms": 1800000000000', self.ctl("show")[1])
        self.assertEqual(self.ctl("undrain", "target", name)[0], OK)
        code, out, _ = self.ctl("undrain", "target", name)
        self.assertEqual(code, FINDINGS)
        self.assertIn("is not drained", out)
        status = json.loads(self.ctl("status", "--json")[1])
        self.assertEqual(status[0]["status"]["version"], 3)
        metrics = harness.call(self.http, "GET", "/metrics")[2].decode()
        self.assertIn('bth_control_edits_total{outcome="accepted"} 3\n', metrics)
        self.assertIn('bth_control_edits_total{outcome="text_refused"} 1\n', metrics)
        control.signal(signal.SIGTERM)
        self.assertEqual(control.wait_exit(), 0)

    def test_a_folder_that_takes_writes_again_is_used_without_a_restart(self):
        control = self.start_control()
        self.assertEqual(self.submit("first", 0)[0], OK)
        text = self.write_with_slots("second.json", 4)
        obstacle = self.folder / "data" / "edits.snapshot.new"
        obstacle.mkdir()
        code, out, _ = self.submit("second", 1, "--timeout-ms", SHORT_MS, text=text)
        self.assertEqual(code, UNKNOWN, out)
        self.assertEqual(self.role(), "stopped")
        obstacle.rmdir()
        self.until(lambda: self.role() == "leader", "lead again without a request")
        code, out, _ = self.submit("second", 1, text=text)
        self.assertEqual((code, out), (OK, "accepted as 2\n"))
        lines = control.error_text()
        self.assertEqual(lines.count("Can't save the edit second: "), 1, lines)
        self.assertEqual(lines.count("Saves edits again. "), 1, lines)

    def test_of_two_submits_on_one_version_one_wins(self):
        self.start_control()
        self.assertEqual(self.submit("base", 0)[0], OK)
        results = {}

        def race(name, slots):
            text = self.write_with_slots(f"{name}.json", slots)
            results[name] = self.submit(name, 1, "--json", text=text)

        racers = [threading.Thread(target=race, args=each) for each in (("ada", 4), ("ben", 5))]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        winner, loser = sorted(results, key=lambda name: results[name][0])
        self.assertEqual((results[winner][0], results[loser][0]), (OK, NOT_ACCEPTED))
        answer = json.loads(results[loser][1])
        self.assertEqual(answer["winner"], {"author": "ada", "edit_id": winner, "version": 2})
        self.assertEqual(answer["version"], 2)
        row = answer["changes"][0]["rows"][0]
        self.assertEqual((row["change"], row["section"], row["name"]),
                         ("changed", "targets", self.site["targets"][0]["name"]))

    def test_a_lost_answer_is_unknown_and_the_resend_gets_it(self):
        control = self.start_control()
        loser = AnswerLoser(self.address(7), self.http)
        self.addCleanup(loser.close)
        code, out, _ = self.submit("first", 0, "--timeout-ms", SHORT_MS, control=loser.endpoint)
        self.assertEqual(code, UNKNOWN)
        self.assertIn("unknown: resend with the same id", out)
        self.assertEqual(json.loads(loser.lost["first"])["answer"], "accepted as 1")
        control.kill()
        self.start_control()
        code, out, _ = self.submit("first", 0, "--json")
        self.assertEqual((code, out.encode()), (OK, loser.lost["first"]))
        both = f"{loser.endpoint},{self.http}"
        text = self.write_with_slots("second.json", 4)
        code, out, _ = self.submit("second", 1, "--json", text=text, control=both)
        self.assertEqual((code, out.encode()), (OK, loser.lost["second"]))
        self.assertEqual(json.loads(out)["version"], 2)
        status = json.loads(harness.call(self.http, "GET", "/status")[2])
        self.assertEqual(status["version"], 2)

    def test_a_refusal_is_repeated_word_for_word_after_a_restart(self):
        control = self.start_control()
        self.assertEqual(self.submit("first", 0)[0], OK)
        late = self.submit("late", 0, "--json", text=self.write_with_slots("late.json", 4))
        self.assertEqual(late[0], NOT_ACCEPTED)
        text = self.write_with_slots("second.json", 5)
        self.assertEqual(self.submit("second", 1, text=text)[0], OK)
        control.kill()
        self.start_control()
        again = self.submit("late", 0, "--json", text=self.folder / "late.json")
        self.assertEqual(again, late)

    def test_a_bad_text_is_refused_with_its_findings(self):
        self.start_control()
        self.assertEqual(self.submit("base", 0)[0], OK)
        bad = self.write("bad.json", self.text.read_text().replace('"slots"', '"slot"', 1))
        code, out, _ = self.submit("bad", 1, text=bad)
        self.assertEqual(code, FINDINGS)
        self.assertIn('unknown key "slot"', out)
        code, out, _ = self.run_program("bthctl", "check", bad, "--json")
        self.assertEqual(code, FINDINGS)
        found = json.loads(out)["findings"]
        self.assertTrue(all(each["line"] > 0 and each["column"] > 0 for each in found))
        self.assertEqual(self.run_program("bthctl", "check", self.text)[0], OK)
        self.assertEqual(self.submit("next", 1, text=self.write_with_slots("n.json", 4))[1],
                         "accepted as 2\n")

    def test_malformed_requests_never_stop_the_process(self):
        self.start_control()
        for body in (b"", b"{", b"\xff\x00", b"[" * 5000, b'{"edit_id": "a"}'):
            self.assertEqual(harness.call(self.http, "POST", "/edits", body=body)[0], 400)
        host, port = self.http.split(":")
        with socket.create_connection((host, int(port))) as raw:
            raw.sendall(b"\x00\x01 nonsense\r\n\r\n")
            raw.recv(100)
        self.assertEqual(harness.call(self.http, "GET", "/nowhere")[0], 404)
        self.assertEqual(self.submit("first", 0)[0], OK)

    def test_starts_that_fail_print_one_clear_line(self):
        missing = str(self.folder / "none")
        taken = socket.socket()
        taken.bind((self.address(9), 0))
        taken.listen()
        self.addCleanup(taken.close)
        taken_http = "%s:%d" % taken.getsockname()
        for changes, said in (({"data_folder": missing}, "can't open the data folder"),
                              ({"data_folder": str(self.text)}, "can't open the data folder"),
                              ({"http": taken_http}, "can't listen on"),
                              ({"http": "192.0.2.1:80"}, "can't listen on"),
                              ({"members": []}, '"members" names this host 0 times')):
            code, out, error = self.run_program("bth-control", self.settings(**changes))
            self.assertEqual((code, out), (1, ""))
            self.assertIn(said, error)
            self.assertEqual(len(error.strip().split("\n")), 1, error)
        self.start_control()
        code, _, error = self.run_program("bth-control", self.settings(http=self.endpoint(8)))
        self.assertEqual(code, 1)
        self.assertIn("another process uses the data folder", error)

    def test_a_damaged_snapshot_is_refused_and_left_alone(self):
        snapshot = self.folder / "data" / "edits.snapshot"
        snapshot.write_bytes(b"damaged")
        code, _, error = self.run_program("bth-control", self.settings())
        self.assertEqual(code, 1)
        self.assertIn("no snapshot", error)
        self.assertEqual(snapshot.read_bytes(), b"damaged")

    def test_exit_codes_without_a_control_host(self):
        nobody = self.endpoint(99)
        code, out, _ = self.submit("a", 0, "--timeout-ms", SHORT_MS, control=nobody)
        self.assertEqual(code, UNAVAILABLE)
        self.assertIn("not accepted: no control host could decide", out)
        self.assertEqual(self.ctl("show", "--timeout-ms", SHORT_MS, control=nobody)[0],
                         UNAVAILABLE)
        self.assertEqual(self.ctl("status", control=nobody)[0], UNAVAILABLE)
        for wrong in (["nonsense"], ["submit", self.text], ["drain", "moon", "x"],
                      ["drain", "host", "x", "--from", "tomorrow"], ["show"], []):
            self.assertEqual(self.run_program("bthctl", *wrong)[0], USAGE, wrong)
        self.assertEqual(self.run_program("bthctl", "check", self.folder / "none")[0], FAILED)
        self.assertEqual(self.run_program("bthctl", "--help")[0], OK)

    def test_wait_without_word_of_the_hosts_is_not_everywhere(self):
        self.start_control()
        code, out, _ = self.submit("first", 0, "--wait", "--timeout-ms", SHORT_MS)
        self.assertEqual(code, NOT_EVERYWHERE)
        self.assertTrue(out.startswith("accepted as 1\n"))


if __name__ == "__main__":
    harness.main()
