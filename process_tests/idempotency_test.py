"""Resends of a request that may not be repeated, judged by the targets' own counts of runs."""
import http.client
import json
import threading

import entry_case
import harness


class IdempotencyTest(entry_case.EntryCase):
    def key(self, row, ending="payment"):
        """A key whose prefix this entry host hands out."""
        answer = harness.call(self.site["hosts"][row]["http"], "GET", "/lookup?service=orders",
                              source=harness.caller_address(self, row))
        return json.loads(answer[2])["idempotency_prefix"] + ending

    def pay(self, row, key, path="/item/fee"):
        return self.call(row, path, "POST", {"Idempotency-Key": key}, b"fee")

    def total_runs(self, check):
        return sum(self.runs(row)["runs"].get(check, 0) for row in range(len(self.targets)))

    def test_a_resend_gets_the_first_answer_and_runs_nothing(self):
        self.start_site()
        key = self.key(0)
        first = self.pay(0, key)
        again = self.pay(0, key)
        self.assertEqual((first[0], again[0]), (200, 200))
        self.assertEqual(first[2], again[2])
        self.assertEqual(self.total_runs("fee"), 1)

    def test_a_resend_while_the_first_runs_gets_its_final_answer_at_once(self):
        self.start_site()
        # Every answer comes late, after its run was counted.
        self.behave(0, late_every=1, late_by_ms=1000)
        key = self.key(0)
        first = []
        sender = threading.Thread(target=lambda: first.append(self.pay(0, key)))
        sender.start()
        self.until(lambda: self.total_runs("fee") == 1, "the first runs")
        again = self.pay(0, key)
        sender.join()
        self.assertEqual(again[1]["bth-reason"], "already_run")
        self.assertEqual(again[1]["bth-run"], "unknown")
        self.assertIn("retry-after", again[1])
        self.assertEqual(first[0][0], 200)
        self.assertEqual(self.total_runs("fee"), 1)

    def test_a_host_killed_in_the_middle_never_lets_the_key_run_again(self):
        self.start_site()
        self.behave(0, late_every=1, late_by_ms=1000)
        key = self.key(0)

        def send():
            try:
                self.pay(0, key)
            except (OSError, http.client.HTTPException):
                pass
        sender = threading.Thread(target=send)
        sender.start()
        self.until(lambda: self.total_runs("fee") == 1, "the first runs")
        self.entries[0].kill()
        sender.join()
        elsewhere = self.pay(1, key)
        name = self.site["hosts"][0]["name"]
        self.assertEqual(elsewhere[1]["bth-run"], "unknown")
        self.assertEqual(elsewhere[1]["bth-key-host"], name)
        self.start_entry(self.folder / "site.json", name)
        self.until(lambda: self.served(0, "/item/back", "GET", None), "the host is back")
        again = self.pay(0, key)
        self.assertEqual(again[1]["bth-reason"], "already_run")
        self.assertEqual(again[1]["bth-run"], "unknown")
        self.assertEqual(self.total_runs("fee"), 1)

    def test_one_key_for_two_requests_is_refused(self):
        self.start_site()
        key = self.key(0)
        self.assertEqual(self.pay(0, key)[0], 200)
        other = self.pay(0, key, "/item/other")
        self.assertEqual(other[1]["bth-reason"], "bad_request")
        self.assertEqual(other[1]["bth-run"], "no")
        self.assertEqual(self.total_runs("other"), 0)

    def test_a_request_that_was_not_run_runs_on_its_resend(self):
        self.start_site()
        for target in self.targets:
            target.kill()
        key = self.key(0)
        refused = self.until(lambda: self.refused_as_not_run(key), "a refusal")
        self.assertEqual(refused[1]["bth-run"], "no")
        path = self.folder / "site.json"
        self.targets = [self.start("bth-target", "--text", path, "--target", each["name"])
                        for each in self.site["targets"]]
        self.until(lambda: self.pay(0, key)[0] == 200, "the target is back")
        self.assertEqual(self.total_runs("fee"), 1)

    def refused_as_not_run(self, key):
        answer = self.pay(0, key)
        return answer if answer[1].get("bth-run") == "no" else None


if __name__ == "__main__":
    harness.main()
