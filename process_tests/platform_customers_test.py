"""Customers' keys and allowances: who is served, what targets and logs get to see, and when a withdrawn key ends."""
import collections
import http.client
import threading
import time

import harness
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import PREFIX, REQUEST_ID, configuration, most_in_a_window

KEYS = {"bakery": ["bakery-key-1", "bakery-key-2"], "dairy": ["dairy-key-1"]}
TENANT = PREFIX + "Tenant"
# Time after its acknowledgement in which a configuration must be in force.
APPLY_S = 2.5
# How far requests of a customer may exceed its limit: (rate * window + burst) * (1 + overshoot) + slack.
TERMS = {"allowance_window_s": 2, "allowance_overshoot": 0.1, "allowance_slack": 10}


class PlatformCustomersTest(PlatformFleet):
    def settings_of(self, domain, address, listen, **more):
        settings = super().settings_of(domain, address, listen, **more)
        settings["limits"].update(TERMS)
        return settings

    def setUp(self):
        super().setUp()
        self.put_customers(2, KEYS)
        self.until(lambda: all(self.send(domain)[0] == 401 for domain in DOMAINS), "keys are needed at every entry host")

    def put_customers(self, version, keys, limits=None, public=()):
        tenants = {name: (held, *(limits or {}).get(name, (0, 0))) for name, held in keys.items()}
        wanted = configuration(version, ROUTES, ["orders"], tenants)
        for each in wanted["routes"].values():
            each["public"] = each["pathPrefix"] in public
        self.put(wanted)
        return time.monotonic()

    def ask(self, domain, fields, path="/read/a", connection=None):
        """The status of a request with these header fields, its other fields, and its number."""
        number = f"{next(self.numbers):016x}"
        opened = connection or http.client.HTTPConnection(self.listen(f"entry-{domain}", "callers"), timeout=5)
        opened.putrequest("GET", path, skip_host=True, skip_accept_encoding=True)
        for name, value in [("Host", "shop.example"), (REQUEST_ID, number), (PREFIX + "Affinity-Key", "7"),
                            (PREFIX + "Deadline-Milliseconds", "2000"), *fields]:
            opened.putheader(name, value)
        opened.endheaders()
        answer = opened.getresponse()
        answer.read()
        if connection is None:
            opened.close()
        return answer.status, answer.headers, number

    def arrival_of(self, number):
        return next(each for target in self.targets for each in target.arrivals() if each.number == number)

    def arrivals_since(self, since):
        return [each for target in self.targets for each in target.arrivals() if each.at > since and each.ran]

    def test_targets_see_the_customer_and_never_a_key(self):
        for domain in DOMAINS:
            for name, keys in KEYS.items():
                for key in keys:
                    forged = [(TENANT, "dairy"), (TENANT.upper(), "other"), ("Authorization", f"token  {key} ")]
                    status, _, number = self.ask(domain, forged)
                    self.assertEqual(status, 200)
                    fields = self.arrival_of(number).headers
                    self.assertEqual([value for field, value in fields if field == TENANT.lower()], [name])
                    self.assertEqual([field for field, value in fields if "authorization" in field or key in value], [])

    def test_requests_without_a_known_key_get_401_and_reach_no_target(self):
        known = KEYS["bakery"][0]
        for fields in ([], [("Authorization", "Token other")], [("Authorization", known)], [("Authorization", "Token")],
                       [("Authorization", f"Bearer {known}")], [("Authorization", f"Token {known}")] * 2,
                       [("Authorization", f"Token {known} {known}")], [(TENANT, "bakery")]):
            status, answered, number = self.ask("n1", fields)
            self.assertEqual((status, self.runs_of(number)), (401, 0), fields)
            self.assertEqual(answered["WWW-Authenticate"], "Token")

    def test_public_routes_need_no_key_and_pass_none_on(self):
        self.put_customers(3, KEYS, public=["/read/"])
        self.until(lambda: self.ask("n1", [])[0] == 200, "the route is public")
        _, _, number = self.ask("n1", [(TENANT, "dairy")])
        self.assertNotIn(TENANT.lower(), dict(self.arrival_of(number).headers))
        _, _, number = self.ask("n1", [("Authorization", f"Token {KEYS['bakery'][0]}")])
        fields = dict(self.arrival_of(number).headers)
        self.assertEqual((fields.get(TENANT.lower()), "authorization" in fields), ("bakery", False))

    def test_a_key_that_is_withdrawn_under_load_ends_on_open_connections_and_stays_away_after_restarts(self):
        withdrawn, kept = KEYS["bakery"]
        outcomes, ended = [], threading.Event()

        def call(domain, key):
            connection = http.client.HTTPConnection(self.listen(f"entry-{domain}", "callers"), timeout=5)
            while not ended.is_set():
                sent = time.monotonic()
                try:
                    status, _, number = self.ask(domain, [("Authorization", f"Token {key}")], connection=connection)
                    outcomes.append((key, sent, status, number))
                except (OSError, http.client.HTTPException):
                    connection.close()
                    connection = http.client.HTTPConnection(self.listen(f"entry-{domain}", "callers"), timeout=5)
                time.sleep(0.01)

        callers = [threading.Thread(target=call, args=each) for domain in DOMAINS
                   for each in ((domain, withdrawn), (domain, kept))]
        for each in callers:
            each.start()
        time.sleep(1)
        acknowledged = self.put_customers(3, {**KEYS, "bakery": [kept]})
        time.sleep(APPLY_S + 1)
        # What held the key before must not bring it back.
        for domain, row in zip(DOMAINS, range(len(DOMAINS))):
            self.controls[domain].kill()
            self.start_control(domain, row)
            self.entries[domain].kill()
            self.start_entry(domain, row)
        self.until(lambda: all(self.is_ready(each) for each in self.entries), "entry hosts ready again")
        time.sleep(1)
        ended.set()
        for each in callers:
            each.join()
        self.assertTrue(any(each[0] == withdrawn and each[2] == 200 for each in outcomes))
        late = [each for each in outcomes if each[0] == withdrawn and each[1] > acknowledged + APPLY_S]
        self.assertGreater(len(late), 50)
        self.assertEqual([each for each in late if each[2] not in (401, 503) or self.runs_of(each[3])][:3], [])
        self.assertNotIn(401, {each[2] for each in outcomes if each[0] == kept})

    def test_a_customer_runs_only_in_its_regions_and_those_of_the_route(self):
        wanted = configuration(3, ROUTES, ["orders"], {name: (keys, 0, 0) for name, keys in KEYS.items()})
        wanted["tenants"]["bakery"]["allowedRegions"] = ["south"]
        next(each for each in wanted["routes"].values() if each["pathPrefix"] == "/pay/")["allowedRegions"] = ["north"]
        self.put(wanted)
        time.sleep(APPLY_S)
        fields = [("Authorization", f"Token {KEYS['bakery'][0]}")]
        for domain in DOMAINS:
            for _ in range(5):
                status, _, number = self.ask(domain, fields)
                self.assertEqual(status, 200)
                runs = [target.domain for target in self.targets if target.runs.get(number)]
                self.assertEqual({DOMAINS[each] for each in runs}, {"south"})
            with self.subTest("no region in common"):
                status, _, number = self.ask(domain, fields, path="/pay/a")
                self.assertEqual((status, self.runs_of(number)), (503, 0))

    def test_no_log_line_and_no_metric_holds_a_key(self):
        for domain in DOMAINS:
            for key in (KEYS["bakery"][0], "unknown-key"):
                self.ask(domain, [("Authorization", f"Token {key}")])
        self.operate("PUT", "/-/configuration", "{\"version\":\"r9\",\"tenants\":{\"a\":{\"accessKeys\":[\"bakery-key-1\"]}")
        texts = [b"\n".join(self.lines(each)) for each in [*self.entries.values(), *self.controls.values()]]
        texts += [harness.call(self.listen(f"entry-{domain}", "metrics"), "GET", "/metrics")[2] for domain in DOMAINS]
        self.assertTrue(any(b'customer="bakery"' in each for each in texts))
        for text in texts:
            self.assertNotRegex(text.decode(), "-key")

    def test_an_allowance_holds_for_all_hosts_together_and_another_customer_is_served(self):
        rate, burst, length = 20, 20, 8
        self.put_customers(3, KEYS, {"bakery": (rate, burst)})
        time.sleep(APPLY_S)
        begun, statuses = time.monotonic(), collections.Counter()
        refusals = []

        def call(domain, name, pause):
            while time.monotonic() < begun + length:
                status, headers, _ = self.ask(domain, [("Authorization", f"Token {KEYS[name][0]}")])
                statuses[name, status] += 1
                if status == 429:
                    refusals.append(float(headers["Retry-After"]))
                time.sleep(pause)

        callers = [threading.Thread(target=call, args=each) for domain in DOMAINS
                   for each in ((domain, "bakery", 0.02), (domain, "bakery", 0.02), (domain, "dairy", 0.1))]
        for each in callers:
            each.start()
        for each in callers:
            each.join()
        runs = [each.at for each in self.arrivals_since(begun) if (TENANT.lower(), "bakery") in each.headers]
        window = TERMS["allowance_window_s"]
        bound = (rate * window + burst) * (1 + TERMS["allowance_overshoot"]) + TERMS["allowance_slack"]
        self.assertLessEqual(most_in_a_window(runs, window), bound)
        # It gets most of what it may have, and hears when to come back.
        self.assertGreater(len(runs), 0.7 * (rate * length + burst))
        self.assertTrue(refusals and min(refusals) > 0, statuses)
        self.assertEqual({status for name, status in statuses if name == "dairy"}, {200}, statuses)


if __name__ == "__main__":
    harness.main()
