"""The stand-ins themselves: a target counts its runs, the platform lists changes."""
import json

import harness


class StandinsTest(harness.ProcessTest):
    def test_target_answers_with_the_request_and_counts_it(self):
        site = harness.small_site(self)
        self.start("bth-target", "--text", self.write("site.json", site))
        target = site["targets"][0]["http"]
        status, _, body = harness.call(target, "GET", "/item/abc")
        self.assertEqual(status, 200)
        self.assertTrue(body.startswith(b"orders abc\n"))
        runs = json.loads(harness.call(target, "GET", "/runs")[2])
        self.assertEqual(runs["runs"], {"abc": 1})

    def test_platform_lists_a_leaving_target(self):
        site = harness.small_site(self)
        listen = self.endpoint(90)
        self.start("bth-platform", "--text", self.write("site.json", site), "--listen", listen)
        name = site["targets"][0]["name"]
        self.assertEqual(harness.call(listen, "POST", f"/set/{name}/leaving")[0], 200)
        listed = json.loads(harness.call(listen, "GET", "/list")[2])
        self.assertEqual(listed["leaving_targets"], [name])
        self.assertEqual(len(listed["live_hosts"]), 2)

    def test_a_taken_port_is_one_clear_line(self):
        site = harness.small_site(self)
        path = self.write("site.json", site)
        self.start("bth-target", "--text", path)
        code, _, error = self.run_program("bth-target", "--text", path)
        self.assertEqual(code, 1)
        self.assertIn("can't listen on", error)
        self.assertEqual(error.count("\n"), 1)


if __name__ == "__main__":
    harness.main()
