"""The platform's list is down, and limits the calls of all hosts together, while the fleet starts again."""
import threading
import time

import harness
import platform_fleet

# As many failure domains, each with a control host, and calls a second as the platform's small deployments have.
platform_fleet.DOMAINS = {"n1": "north", "n2": "north", "s1": "south", "s2": "south", "e1": "east", "e2": "east"}
CALLS_PER_S = 47
RECOVERY_S = 15


class LimitedList:
    """Lets so many calls a second through, saved up for one second at most; answers 503 while it is down, else 429."""

    def __init__(self, listing):
        self.tokens, self.at, self.down, self.lock = CALLS_PER_S, time.monotonic(), False, threading.Lock()
        handler = listing.server.RequestHandlerClass
        answer = handler.do_GET

        def limited(request):
            status = self.take()
            if status == 200:
                answer(request)
            else:
                request.answer(status)

        handler.do_GET = limited

    def take(self):
        with self.lock:
            now = time.monotonic()
            self.tokens = min(CALLS_PER_S, self.tokens + (now - self.at) * CALLS_PER_S)
            self.at = now
            if self.tokens < 1:
                return 429
            self.tokens -= 1
            return 503 if self.down else 200


class PlatformListDownTest(platform_fleet.PlatformFleet):
    def test_all_hosts_that_start_again_while_the_list_is_down_serve_once_it_is_back(self):
        # The calls of all hosts together refused each other for ever.
        self.listing.PAGE = 50
        limited = LimitedList(self.listing)
        self.assertEqual(self.send("n1")[0], 200)
        limited.down = True
        for each in [*self.controls.values(), *self.entries.values()]:
            each.kill()
        for row, domain in enumerate(platform_fleet.DOMAINS):
            self.start_control(domain, row)
            self.start_entry(domain, row)
        time.sleep(2)
        limited.down = False
        back_at = time.monotonic()
        self.until(lambda: all(self.is_ready(each) and self.send(each)[0] == 200 for each in self.entries), "requests are served")
        self.assertLess(time.monotonic() - back_at, RECOVERY_S)


if __name__ == "__main__":
    harness.main()
