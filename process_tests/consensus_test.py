"""Three bth-control processes that agree: leaders killed and frozen, disks lost, hosts far behind."""
import http.client
import json
import shutil
import signal
import threading

import harness

HOSTS = ("c1", "c2", "c3")
CALL_SECONDS = 10


class ConsensusTest(harness.ProcessTest):
    def setUp(self):
        super().setUp()
        self.site = harness.small_site(self)
        self.members = [{"host": host, "http": self.endpoint(5 + row), "peer": self.endpoint(25 + row)}
                        for row, host in enumerate(HOSTS)]
        self.running = {}
        for host in HOSTS:
            self.data(host).mkdir()
            self.start_host(host, "--found")
        self.leader()

    def data(self, host):
        return self.folder / f"data-{host}"

    def http(self, host):
        return next(each["http"] for each in self.members if each["host"] == host)

    def start_host(self, host, *arguments):
        member = next(each for each in self.members if each["host"] == host)
        settings = self.write(f"{host}.json", {
            "host": host, "data_folder": str(self.data(host)), "http": member["http"],
            "peer": member["peer"], "members": self.members,
            "log": {"file": str(self.folder / f"{host}.log")}})
        name = f"{host}-{len(self.processes)}"
        self.running[host] = self.start("bth-control", settings, *arguments, name=name)

    def kill(self, host):
        self.running.pop(host).kill()

    def ask(self, host, method, path, body=None):
        """Status and body, or None if the host gives no answer."""
        try:
            status, _, answer = harness.call(self.http(host), method, path, body=body,
                                             timeout=CALL_SECONDS)
            return status, answer.decode()
        except (OSError, http.client.HTTPException):
            return None

    def status(self, host):
        answer = self.ask(host, "GET", "/status")
        return json.loads(answer[1]) if answer else {}

    def leader(self, but=None):
        def find():
            for host in self.running:
                if host != but and self.status(host).get("role") == "leader":
                    return host
            return None
        return self.until(find, "a leader")

    def edit(self, edit_id, version, slots):
        site = json.loads(json.dumps(self.site))
        site["targets"][0]["slots"] = 1 + slots % 9
        return json.dumps({"edit_id": edit_id, "expected_version": version, "author": "ada",
                           "text": json.dumps(site)})

    def submit(self, edit_id, version, hosts=None):
        """Sends the edit to one host after the other until it is decided: the answer's body."""
        body = self.edit(edit_id, version, version)

        def once():
            for host in hosts or list(self.running):
                answer = self.ask(host, "POST", "/edits", body)
                if answer and answer[0] in (200, 409):
                    return answer
            return None
        return self.until(once, f"a decision on {edit_id}")

    def accept(self, count, start=0):
        for version in range(start, start + count):
            status, answer = self.submit(f"edit-{version}", version)
            self.assertEqual((status, json.loads(answer)["version"]), (200, version + 1), answer)

    def wait_for(self, host, version):
        return self.until(lambda: self.status(host).get("version") == version
                          and self.status(host).get("caught_up"), f"{host} at {version}")

    def follower(self):
        return next(host for host in self.running if host != self.leader())

    def test_any_host_takes_edits_and_reads(self):
        for version, host in enumerate(HOSTS):
            status, _ = self.submit(f"edit-{version}", version, [host])
            self.assertEqual(status, 200)
        for host in HOSTS:
            self.assertEqual(self.ask(host, "GET", "/text")[0], 200)
            self.wait_for(host, 3)

    def test_wait_asks_the_leader_whichever_control_host_stands_first(self):
        text = self.write("site.json", self.site)
        followers = [host for host in HOSTS if host != self.leader()]
        control = ",".join(self.http(host) for host in [*followers, self.leader()])
        code, out, _ = self.run_program("bthctl", "submit", text, "--expect-version", "0",
                                        "--control", control, "--wait", "--timeout-ms", "5000")
        self.assertEqual(code, 7, out)
        self.assertIn("not confirmed by:\n  entry-one\n  entry-two\n", out)

    def test_leader_killed_during_submits_loses_no_accepted_edit(self):
        done = threading.Event()

        def work():
            self.accept(40)
            done.set()
        worker = threading.Thread(target=work)
        worker.start()
        for _ in range(2):
            old = self.leader()
            self.kill(old)
            self.leader()
            self.start_host(old)
        worker.join()
        self.assertTrue(done.is_set())
        for host in HOSTS:
            self.wait_for(host, 40)

    def test_frozen_leader_neither_accepts_nor_reads_when_it_wakes(self):
        self.accept(3)
        old = self.leader()
        self.running[old].signal(signal.SIGSTOP)
        new = self.leader(but=old)
        status, _ = self.submit("edit-3", 3, [new])
        self.assertEqual(status, 200)
        self.running[old].signal(signal.SIGCONT)
        # Whatever it answers on waking, it is never the state of its own time in charge.
        answer = self.ask(old, "GET", "/text")
        if answer and answer[0] == 200:
            self.assertEqual(answer[1], self.ask(new, "GET", "/text")[1])
        self.wait_for(old, 4)
        metrics = self.ask(old, "GET", "/metrics")[1]
        self.assertIn("bth_control_leader 0\n", metrics)

    def test_leader_alone_says_that_it_is_not_in_charge(self):
        self.accept(1)
        alone = self.leader()
        for host in HOSTS:
            if host != alone:
                self.running[host].signal(signal.SIGSTOP)
        self.until(lambda: self.status(alone)["role"] != "leader", "the lease to run out")
        self.assertEqual(self.status(alone)["leader"], "")
        metrics = self.ask(alone, "GET", "/metrics")[1]
        self.assertIn("bth_control_leader 0\n", metrics)
        self.assertIn("bth_control_leader_known 0\n", metrics)
        status, body = self.ask(alone, "POST", "/edits", self.edit("lonely", 1, 1))
        self.assertEqual((status, json.loads(body)["outcome"]), (503, "not_accepted"))
        self.assertEqual(self.ask(alone, "GET", "/text")[0], 503)

    def test_second_disk_is_lost_right_after_the_first_host_was_readmitted(self):
        self.accept(5)
        first = self.follower()
        self.lose_disk(first)
        self.wait_for(first, 5)
        self.until(lambda: self.is_voter(first), f"{first} to be let in")
        second = self.leader()
        self.lose_disk(second, restart=False)
        status, _ = self.submit("edit-5", 5)
        self.assertEqual(status, 200)
        self.start_host(second)
        self.wait_for(second, 6)
        self.until(lambda: self.is_voter(second), f"{second} to be let in")
        self.assertEqual(len(self.status(self.leader())["members"]), 3)

    def lose_disk(self, host, restart=True):
        self.kill(host)
        shutil.rmtree(self.data(host))
        self.data(host).mkdir()
        if restart:
            self.start_host(host)

    def is_voter(self, host):
        rows = self.status(self.leader())["members"]
        return [each["role"] for each in rows if each["host"] == host] == ["follower"]

    def test_follower_comes_back_five_hundred_edits_late(self):
        self.accept(1)
        late = self.follower()
        self.kill(late)
        self.accept(500, start=1)
        self.start_host(late)
        self.wait_for(late, 501)

    def test_resend_after_failover_gets_the_first_answer(self):
        first = self.submit("edit-0", 0)
        self.submit("edit-1", 1)
        old = self.leader()
        self.kill(old)
        self.leader()
        for host in self.running:
            self.assertEqual(self.submit("edit-0", 0, [host]), first)
        self.start_host(old)
        self.wait_for(old, 2)
        self.assertEqual(self.submit("edit-0", 0, [old]), first)

    def test_member_is_taken_out_and_let_in_again(self):
        self.accept(1)
        gone = self.follower()
        remaining = self.leader()
        body = json.dumps({"action": "remove", "host": gone})
        self.assertEqual(self.ask(remaining, "POST", "/members", body)[0], 200)
        self.until(lambda: len([each for each in self.status(self.leader())["members"]
                                if each["role"] != "newcomer"]) == 2, "two members")
        add = json.dumps({"action": "add", "host": gone})
        self.until(lambda: self.ask(self.leader(), "POST", "/members", add)[0] == 200, "add")
        self.until(lambda: self.is_voter(gone), f"{gone} to be let in")

    def test_folder_of_another_host_and_damaged_log_are_refused(self):
        self.accept(1)
        self.kill("c1")
        self.kill("c2")
        shutil.rmtree(self.data("c1"))
        shutil.copytree(self.data("c2"), self.data("c1"))
        refused = self.launch("bth-control", self.folder / "c1.json", name="foreign")
        self.assertEqual(refused.wait_exit(), 1)
        self.assertIn("belongs to the host c2", refused.error_text())
        log = self.data("c2") / "log"
        content = bytearray(log.read_bytes())
        content[40] ^= 1
        log.write_bytes(content)
        refused = self.launch("bth-control", self.folder / "c2.json", name="damaged")
        self.assertEqual(refused.wait_exit(), 1)
        self.assertIn("log at byte ", refused.error_text())
        self.assertEqual(log.read_bytes(), bytes(content))


if __name__ == "__main__":
    harness.main()
