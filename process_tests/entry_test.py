"""bth-entry as a process: requests through one host and through a second failure domain."""
import json

import harness


class EntryTest(harness.ProcessTest):
    def start_entry(self, site_path, host, **more):
        settings = {"host": host, "text_file": str(site_path), **more}
        return self.start("bth-entry", "--settings", self.write(f"{host}.json", settings),
                          name=host)

    def start_site(self, without_targets_in=(), **changes):
        """Every entry host and target of a small site."""
        self.site = harness.small_site(self, **changes)
        self.site["targets"] = [each for each in self.site["targets"]
                                if each["failure_domain"] not in without_targets_in]
        path = self.write("site.json", self.site)
        self.start("bth-target", "--text", path)
        self.admin = {each["name"]: self.endpoint(200 + row)
                      for row, each in enumerate(self.site["hosts"])}
        self.entries = [self.start_entry(path, each["name"], admin=self.admin[each["name"]])
                        for each in self.site["hosts"]]
        return self.site

    def call(self, row, path="/item/a", method="GET", headers=None, body=None, source=None):
        headers = {"Host": "orders", **(headers or {})}
        return harness.call(self.site["hosts"][row]["http"], method, path, headers, body,
                            source or harness.caller_address(self, row))

    def metrics(self, row):
        text = harness.call(self.admin[self.site["hosts"][row]["name"]], "GET", "/metrics")[2]
        lines = [line.rsplit(" ", 1) for line in text.decode().splitlines() if line[0] != "#"]
        return {key: float(value) for key, value in lines}

    def runs(self, row):
        return json.loads(harness.call(self.site["targets"][row]["http"], "GET", "/runs")[2])

    def test_a_request_is_served_by_the_target_of_the_own_domain(self):
        self.start_site()
        status, headers, body = self.call(0, "/item/one")
        self.assertEqual(status, 200)
        self.assertTrue(body.startswith(b"orders one\n"))
        self.assertEqual(len(body), 1000)
        self.assertNotIn("bth-reason", headers)
        self.assertEqual(self.runs(0)["runs"], {"one": 1})
        self.assertEqual(self.metrics(0)["bth_answers_total"], 1)

    def test_a_request_is_served_by_another_domain_over_the_peer_link(self):
        self.start_site(without_targets_in=["one"])
        body = b"x" * 300_000
        status, _, answer = self.until(lambda: self.served(0, "/item/two", "POST", body),
                                       "the peer link carries a request")
        self.assertTrue(answer.startswith(b"orders two\n"))
        self.assertEqual(len(answer), 1000)
        self.assertEqual(self.metrics(1)["bth_forwarded_requests_total"],
                         self.metrics(1)["bth_answers_total"])

    def served(self, *arguments):
        """The answer, or nothing if the request was refused without being run."""
        row, path, method, body = arguments
        answer = self.call(row, path, method, None, body)
        if answer[0] == 200:
            return answer
        self.assertEqual(answer[1]["bth-run"], "no")
        return None

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
        self.assertRegex(headers["cache-control"], r"^max-age=[0-9]+$")
        self.assertEqual(answer["domain"], "two")
        self.assertEqual(answer["revision"], 1)
        self.assertIn(self.site["hosts"][1]["http"], answer["hosts"])
        self.assertEqual(harness.call(where, "GET", "/lookup?service=none")[0], 404)


if __name__ == "__main__":
    harness.main()
