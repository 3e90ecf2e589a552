"""The programs for the users' platform, as processes against stand-ins that speak its protocol."""
import http.client
import itertools
import json
import pathlib
import re
import signal
import subprocess
import threading
import time

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import PREFIX, RECEIPT, REQUEST_ID, Target, configuration


class PlatformTest(PlatformFleet):
    def test_answers_come_unchanged_from_the_targets(self):
        for domain in self.entries:
            status, headers, text, number = self.send(domain, "/read/x?q=1", object_key="k")
            self.assertEqual(status, 200)
            self.assertEqual(headers[RECEIPT.lower()], "seal-" + number)
            self.assertRegex(text.decode(), r"^i-\d-n?\w+ GET /read/x\?q=1 0$")
            status, _, text, number = self.send(domain, "/pay/x", "POST", b"0123456789")
            self.assertTrue(text.decode().endswith("POST /pay/x 10"))
            self.assertEqual(self.runs_of(number), 1)
        self.assertEqual(self.send("n1", "/none/x")[0], 404)

    def test_hosts_of_a_region_send_an_object_to_one_target(self):
        served = {self.send(domain, object_key="one object")[2].split()[0]
                  for domain in ("n1", "n2", "n1", "n2")}
        self.assertEqual(len(served), 1)

    def test_pipelined_requests_are_answered_in_order(self):
        host, port = self.listen("entry-n1", "callers").rsplit(":", 1)
        with harness.socket.create_connection((host, int(port)), timeout=10) as connection:
            for each in range(5):
                connection.sendall(
                    f"GET /read/{each} HTTP/1.1\r\nHost: shop.example\r\n"
                    f"{REQUEST_ID}: p{each}\r\n{PREFIX}Affinity-Key: {each}\r\n\r\n".encode())
            got = b""
            while got.count(b"HTTP/1.1 200") < 5 or not got.endswith(b"/read/4 0"):
                part = connection.recv(65536)
                self.assertTrue(part, got)
                got += part
        self.assertEqual(re.findall(rb"seal-p(\d)", got), [b"0", b"1", b"2", b"3", b"4"])

    def test_unknown_route_is_refused_for_now_while_no_control_host_is_in_contact(self):
        self.assertEqual(self.send("n1", "/none/x")[0], 404)
        for each in self.controls.values():
            each.signal(signal.SIGSTOP)
        time.sleep(1.5)
        status, headers, _, _ = self.send("n1", "/none/x")
        self.assertEqual(status, 503)
        self.assertGreater(float(headers["retry-after"]), 0)
        self.assertEqual(self.send("n1", "/read/x")[0], 200)
        for each in self.controls.values():
            each.signal(signal.SIGCONT)
        self.until(lambda: self.send("n1", "/none/x")[0] == 404, "the route is known to be missing again")

    def test_unknown_route_is_denied_while_only_the_list_of_targets_is_down(self):
        self.listing.close()
        # Control hosts are out of contact after five sixths of the drain time (3 s).
        time.sleep(4.5)
        self.assertEqual(self.send("n1", "/none/x")[0], 404)
        self.assertEqual(self.send("n1", "/read/x")[0], 200)

    def test_a_configuration_reaches_every_entry_host(self):
        self.put(configuration(5, {**ROUTES, "/new/": ("orders", "idempotent")}, ["orders"]))
        for domain in self.entries:
            self.until(lambda: self.send(domain, "/new/x")[0] == 200, "the new route is served")
        self.put(configuration(3, ROUTES, ["orders"]))
        status, text = self.operate("GET", "/-/configuration")
        self.assertEqual((status, json.loads(text)["version"]), (200, "r5"))

    def test_an_invalid_configuration_is_refused_and_not_in_force(self):
        bad = configuration(9, {"/read/": ("nowhere", "idempotent")}, ["orders"])
        self.assertEqual(self.operate("PUT", "/-/configuration", json.dumps(bad))[0], 400)
        self.assertEqual(self.operate("PUT", "/-/configuration", '{"version":"r9"')[0], 400)
        self.assertEqual(json.loads(self.operate("GET", "/-/configuration")[1])["version"], "r1")

    def test_a_control_host_that_lost_its_disk_comes_back_as_a_newcomer(self):
        self.put(configuration(6, ROUTES, ["orders"]))
        self.controls["n2"].kill()
        for each in (self.folder / "data-n2").iterdir():
            each.unlink()
        self.start_control("n2", 1)
        self.put(configuration(7, ROUTES, ["orders"]))
        self.until(lambda: any(b"agreed" in line and b"version=7" in line
                               for line in self.lines(self.controls["n2"])),
                   "the newcomer holds what was agreed")

    def test_all_control_hosts_killed_at_once_lose_nothing(self):
        self.put(configuration(8, ROUTES, ["orders"]))
        self.assertEqual(self.operate("POST", "/-/evacuation/s1")[0], 200)
        for each in self.controls.values():
            each.kill()
        for row, domain in enumerate(DOMAINS):
            self.start_control(domain, row)
        status, text = self.operate("GET", "/-/configuration")
        self.assertEqual((status, json.loads(text)["version"]), (200, "r8"))
        self.until(lambda: not self.send("s1")[2].split()[0].endswith(b"s1"), "still evacuated")

    def test_an_evacuated_domain_gets_nothing_until_it_is_taken_back(self):
        self.assertEqual(self.operate("POST", "/-/evacuation/n1")[0], 200)
        domains = lambda: {self.send("n1", object_key=str(key))[2].split()[0][-2:]
                           for key in range(12)}
        self.until(lambda: b"n1" not in domains(), "n1 gets nothing")
        self.assertEqual(self.operate("DELETE", "/-/evacuation/n1")[0], 200)
        self.until(lambda: b"n1" in domains(), "n1 gets requests again")

    def test_a_leaving_target_is_left_alone(self):
        status, _, text, _ = self.send("n1", object_key="z")
        name = text.split()[0].decode()
        target = next(each for each in self.targets if each.name == name)
        target.state = "draining"
        self.until(lambda: self.send("n1", object_key="z")[2].split()[0].decode() != name,
                   "another target serves the object")

    def test_a_refused_payment_has_not_run_and_a_lost_one_is_not_repeated(self):
        for each in self.targets:
            each.mode = "shed"
        status, headers, _, number = self.send("n1", "/pay/x", "POST", b"1")
        self.assertEqual((status, self.runs_of(number)), (503, 0))
        self.assertIn("retry-after", headers)
        for each in self.targets:
            each.mode = "cut"
        status, _, _, number = self.send("n1", "/pay/x", "POST", b"1")
        self.assertEqual((status, self.runs_of(number)), (502, 1))

    def test_targets_that_cannot_be_reached_take_no_attempt(self):
        class Dead(Target):
            def __init__(self, name, domain, endpoint):
                self.name, self.service, self.domain = name, "orders", domain
                self.endpoint, self.state, self.runs = endpoint, "ready", {}

            def close(self):
                pass

        self.listing.targets += [Dead(f"i-dead-{row}", "n1", self.endpoint(150 + row))
                                 for row in range(12)]
        self.until(lambda: any(b"event=targets" in line and b"known=18" in line
                               for line in self.lines(self.entries["n1"])), "the list is known")
        statuses = {self.send("n1", object_key=str(key))[0] for key in range(20)}
        self.assertEqual(statuses, {200})

    def test_a_host_that_stops_cuts_nothing_off(self):
        for each in self.targets:
            each.seconds = 0.3
        outcomes = []
        stop = threading.Event()

        def keep_calling():
            while not stop.is_set():
                outcomes.append(self.send("n1")[0])

        callers = [threading.Thread(target=keep_calling) for _ in range(4)]
        for each in callers:
            each.start()
        self.until(lambda: len(outcomes) > 8, "callers are served")
        self.entries["n1"].signal(signal.SIGTERM)
        self.until(lambda: all(len(self.look_up(each, "north")) == 1 for each in DOMAINS),
                   "look-ups leave the host out")
        self.assertFalse(self.is_ready("n1"))
        stop.set()
        for each in callers:
            each.join()
        self.assertEqual(self.entries["n1"].wait_exit(), 0)
        self.assertEqual(set(outcomes), {200})

    def test_a_killed_host_is_left_out_and_its_targets_are_served_on(self):
        self.entries["n2"].kill()
        self.until(lambda: all(len(self.look_up(each, "north")) == 1 for each in DOMAINS),
                   "look-ups leave the host out")
        for key in range(20):
            self.until(lambda: self.send("n1", object_key=str(key))[0] == 200, "served")

    def test_a_frozen_owner_is_passed_by(self):
        self.entries["n2"].signal(signal.SIGSTOP)
        for key in range(20):
            self.until(lambda: self.send("n1", object_key=str(key))[0] == 200, "served")

    def test_control_hosts_without_a_leader_part_no_entry_hosts(self):
        for each in self.targets:
            each.seconds = 0.2
        for domain in ("n1", "s1"):
            self.controls[domain].signal(signal.SIGSTOP)
        outcomes = []
        stop = threading.Event()

        def keep_paying(domain):
            while not stop.is_set():
                outcomes.append(self.send(domain, "/pay/x", "POST", b"1",
                                          object_key=str(len(outcomes)))[0])

        payers = [threading.Thread(target=keep_paying, args=(domain,))
                  for domain in ("n1", "n2") * 3]
        for each in payers:
            each.start()
        without_leader_s = 7
        stop.wait(without_leader_s)
        stop.set()
        for each in payers:
            each.join()
        lost = [line for domain in ("n1", "n2") for line in self.lines(self.entries[domain])
                if b"event=owner_lost" in line]
        self.assertEqual((set(outcomes), lost), ({200}, []))

    def test_a_caller_that_leaves_frees_its_target(self):
        for each in self.targets:
            each.seconds = 1.0
        host, port = self.listen("entry-n1", "callers").rsplit(":", 1)
        caller = http.client.HTTPConnection(host, int(port))
        caller.request("GET", "/read/a", headers={"Host": "shop.example", REQUEST_ID: "gone"})
        self.until(lambda: self.runs_of("gone") == 1, "the request runs")
        caller.close()
        self.until(lambda: any(b"request=gone" in line and b"caller_gone" in line
                               for line in self.lines(self.entries["n1"])),
                   "the send is given up")

    def test_settings_are_checked(self):
        settings = dict(self.settings["entry-n1"])
        code, _, _ = self.run_program("bth-platform-entry", "--check", "--settings",
                                      self.write("good.json", settings))
        self.assertEqual(code, 0)
        del settings["target_list"]
        code, _, errors = self.run_program("bth-platform-entry", "--check", "--settings",
                                           self.write("bad.json", settings))
        self.assertEqual(code, 1)
        self.assertIn("target_list", errors)

    def command(self, text):
        """What a command of docs/OPERATIONS.md prints, beside the logs of the entry hosts."""
        for domain, process in self.entries.items():
            (self.folder / f"entry-{domain}.log").write_bytes(b"\n".join(self.lines(process)))
        return subprocess.run(text, shell=True, cwd=self.folder, capture_output=True, text=True,
                              check=False).stdout

    def until_found(self, number, *wanted):
        self.until(lambda: all(any(all(part in line for part in each) for line in
                                   self.command(f"grep -h 'request={number}' entry-*.log").splitlines())
                               for each in wanted), f"lines of {number}: {wanted}")

    def test_a_request_refused_under_load_is_followed_from_its_id_to_its_cause(self):
        for each in self.targets:
            each.mode = "shed"
        status, _, _, number = self.send("n1")
        self.assertEqual(status, 503)
        self.until_found(number, ("event=refused", "reason=queue_full", "run=no", "retry_after_ms="))
        self.assertIn("at_target=", self.command("grep -h 'event=sent.*service=orders' entry-*.log"))

    def test_a_payment_that_ended_in_502_is_followed_from_its_id_to_its_cause(self):
        for each in self.targets:
            each.mode = "cut"
        status, _, _, number = self.send("n1", "/pay/x", "POST", b"1")
        self.assertEqual(status, 502)
        self.until_found(number, ("event=ended", "status=502", "ended_by=failure", "sends=1"),
                         ("event=sent", "outcome=broken"))

    def test_an_answer_through_a_lost_target_is_followed_from_its_id_to_its_cause(self):
        _, _, text, _ = self.send("n1", object_key="slow")
        home = next(each for each in self.targets if each.name == text.split()[0].decode())
        home.mode = "cut"
        status, _, text, number = self.send("n1", object_key="slow")
        self.assertEqual(status, 200)
        self.assertNotEqual(text.split()[0].decode(), home.name)
        self.until_found(number, ("event=sent", f"target={home.name}", "outcome=broken"),
                         ("event=retry", "reason=broken", "granted=true"),
                         ("event=ended", "status=200", "sends=2"))
        self.until(lambda: self.send("n1", object_key=str(next(self.numbers))) and
                   f"target={home.name}" in self.command("grep -h 'event=target_bad' entry-*.log"),
                   "the target is known to be bad")

    def test_metrics_are_served(self):
        self.send("n1")
        status, _, text = harness.call(self.listen("entry-n1", "metrics"), "GET", "/metrics")
        self.assertEqual(status, 200)
        self.assertIn(b"bth_gateway_requests_total", text)
        self.assertIn(b"bth_gateway_answer_seconds_bucket", text)

    def refuse_all(self, seconds):
        """Has many requests refused by all targets for a while, so that far more is logged than usual."""
        for each in self.targets:
            each.mode = "shed"
        end = time.monotonic() + seconds
        sent = itertools.count()

        def keep_calling():
            while time.monotonic() < end:
                self.send("n1", object_key=str(next(sent)))

        callers = [threading.Thread(target=keep_calling) for _ in range(8)]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
        return next(sent)

    def test_a_reader_that_is_stuck_neither_holds_up_nor_grows_a_process(self):
        # Nobody reads the standard output of the processes here; far more is logged than a pipe holds.
        def resident_kb():
            status = pathlib.Path(f"/proc/{self.entries['n1'].popen.pid}/status").read_text()
            return int(re.search(r"VmRSS:\s+(\d+)", status).group(1))
        self.refuse_all(seconds=2)
        before = resident_kb()
        requests = self.refuse_all(seconds=4)
        self.assertGreater(requests, 200)
        # A megabyte is room for what connections and tables hold, not for a log of this length.
        self.assertLess(resident_kb() - before, 1024)

    def test_a_flood_of_lines_keeps_to_the_bound_and_tells_what_was_left_out(self):
        lines_per_second, burst, essential = 60, 200, 40
        process = self.entries["n1"]
        reading = threading.Event()

        def keep_reading():
            while not reading.wait(0.01):
                self.lines(process)

        before = len(self.lines(process))
        reader = threading.Thread(target=keep_reading)
        reader.start()
        begun = time.monotonic()
        self.refuse_all(seconds=5)
        reading.set()
        reader.join()
        written = self.lines(process)[before:]
        took = time.monotonic() - begun
        self.assertLess(len(written), burst + lines_per_second * took + essential)
        self.assertTrue(any(b"event=lines_left_out" in each for each in written))
        _, _, text = harness.call(self.listen("entry-n1", "metrics"), "GET", "/metrics")
        left_out = re.search(rb"^bth_log_lines_left_out (\S+)", text, re.MULTILINE)
        self.assertGreater(float(left_out.group(1)), 0)


if __name__ == "__main__":
    harness.main()
