"""Starts a small site with its entry hosts and targets, for the tests of bth-entry."""
import json

import harness


class EntryCase(harness.ProcessTest):
    def start_entry(self, site_path, host, **more):
        settings = {"host": host, "text_file": str(site_path), **more}
        return self.start("bth-entry", "--settings", self.write(f"{host}.json", settings),
                          name=host)

    def start_site(self, answer_bytes=None, **changes):
        """Every entry host and target of a small site."""
        self.site = harness.small_site(self, **changes)
        if answer_bytes is not None:
            self.site["services"][0]["answer_bytes"] = answer_bytes
        path = self.write("site.json", self.site)
        self.targets = [self.start("bth-target", "--text", path, "--target", each["name"])
                        for each in self.site["targets"]]
        self.admin = {each["name"]: self.endpoint(200 + row)
                      for row, each in enumerate(self.site["hosts"])}
        self.entries = [self.start_entry(path, each["name"], admin=self.admin[each["name"]])
                        for each in self.site["hosts"]]
        # Services are owned, reports are in and grants are held some seconds after a start.
        for row in range(len(self.site["hosts"])):
            self.until(lambda: self.served(row, f"/item/warm-{row}", "GET", None), "the start")
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

    def served(self, *arguments):
        """The answer, or nothing if the request was refused without being run."""
        row, path, method, body = arguments
        answer = self.call(row, path, method, None, body)
        if answer[0] == 200:
            return answer
        self.assertEqual(answer[1]["bth-run"], "no")
        return None

    def behave(self, row, **behaviour):
        """Changes how a running target behaves."""
        status, _, text = harness.call(self.site["targets"][row]["http"], "POST", "/behaviour",
                                       body=json.dumps(behaviour))
        self.assertEqual(status, 200, text)
