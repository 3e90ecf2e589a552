"""bth-entry as a process: requests through one host and through a second failure domain."""
import concurrent.futures
import json

import entry_case
import harness


class EntryTest(entry_case.EntryCase):
    batch = 0

    def test_a_request_is_served_by_the_target_of_the_own_domain(self):
        self.start_site()
        status, headers, body = self.call(0, "/item/one")
        self.assertEqual(status, 200)
        self.assertTrue(body.startswith(b"orders one\n"))
        self.assertEqual(len(body), 1000)
        self.assertNotIn("bth-reason", headers)
        self.assertEqual(self.runs(0)["runs"]["one"], 1)
        self.assertEqual(self.metrics(0)["bth_answers_total"], 2)

    def test_requests_spill_to_another_domain_over_the_peer_link(self):
        self.start_site(slots=1, service_time_us=200_000)
        self.until(self.spilled, "the other domain grants room")
        self.assertEqual(self.metrics(1)["bth_forwarded_requests_total"] + 1,
                         self.metrics(1)["bth_answers_total"])

    def spilled(self):
        """Sends more than one slot serves in time; whether a part went to the other domain."""
        with concurrent.futures.ThreadPoolExecutor() as pool:
            sent = [(f"/item/s{self.batch}-{number}",
                     pool.submit(self.call, 0, f"/item/s{self.batch}-{number}", "POST",
                                 {"Bth-Timeout-Ms": "500"}, b"x" * 300_000))
                    for number in range(8)]
        self.batch += 1
        for path, answer in sent:
            status, headers, body = answer.result()
            if status == 200:
                self.assertTrue(body.startswith(b"orders " + path[6:].encode() + b"\n"))
                self.assertEqual(len(body), 1000)
            else:
                self.assertIn("bth-reason", headers)
        return self.metrics(1)["bth_forwarded_requests_total"] > 0

    def test_a_long_body_reaches_the_target_of_the_own_domain(self):
        self.start_site()
        status, _, answer = self.call(0, "/item/long", "POST", None, b"x" * 300_000)
        self.assertEqual(status, 200)
        self.assertTrue(answer.startswith(b"orders long\n"))

    def test_a_lookup_names_the_callers_domain_and_its_hosts(self):
        self.start_site()
        where = self.site["hosts"][0]["http"]
        status, headers, body = harness.call(where, "GET", "/lookup?service=orders",
                                             source=harness.caller_address(self, 1))
        answer = json.loads(body)
        self.assertEqual(status, 200)
        self.assertRegex(headers["cache-control"], r"^private, max-age=[0-9]+$")
        self.assertEqual(answer["domain"], "two")
        self.assertEqual(answer["revision"], 1)
        self.assertIn(self.site["hosts"][1]["http"], answer["hosts"])
        self.assertEqual(harness.call(where, "GET", "/lookup?service=none")[0], 404)


if __name__ == "__main__":
    harness.main()
