"""The platform's list writes heads that are no answer, and interim answers."""
import json
import time

import harness
from platform_fleet import DOMAINS, PlatformFleet

# Several readings of the list, which the leader reads every 1.2 s.
READINGS_S = 5
END = "Content-Length: {}\r\n\r\n"
FORGED = {
    "status 000": "HTTP/1.1 000 -\r\n" + END,
    "status 600": "HTTP/1.1 600 -\r\n" + END,
    "blank in a name": "HTTP/1.1 200 OK\r\nX Name: 1\r\n" + END,
    "blank behind a name": "HTTP/1.1 200 OK\r\nX-Name : 1\r\n" + END,
    "control byte in a name": "HTTP/1.1 200 OK\r\nX-\x01Name: 1\r\n" + END,
    "continued line": "HTTP/1.1 200 OK\r\nX-Name: 1\r\n 2\r\n" + END,
    "coding": "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n" + END,
    "coding in HTTP/1.0": "HTTP/1.0 200 OK\r\nTransfer-Encoding: gzip\r\n" + END,
    "list of lengths": "HTTP/1.1 200 OK\r\nContent-Length: {0}, {0}\r\n\r\n",
}


class PlatformListHeadsTest(PlatformFleet):
    def write_before(self, make_bytes):
        """From now on each call of the list is answered by these bytes, or, where there are none, as usual."""
        handler = self.listing.server.RequestHandlerClass
        usual = handler.do_GET

        def answer(request):
            written = make_bytes()
            if written is None:
                usual(request)
                return
            request.wfile.write(written)
            request.close_connection = True

        handler.do_GET = answer

    def targets_known(self):
        return [self.metric(domain, "bth_control_targets") for domain in DOMAINS]

    def test_list_behind_a_head_that_is_none_is_not_read(self):
        # A coded or otherwise unreadable page was taken for the list.
        self.assertEqual(self.targets_known(), [len(self.targets)] * len(DOMAINS))
        row = {**self.targets[0].entry(), "address": self.endpoint(190)}
        body = json.dumps({"instances": {"i-forged": row}, "nextPageToken": None}).encode()
        heads = iter(())

        def forge():
            nonlocal heads
            head = next(heads, None)
            if head is None:
                heads = iter(FORGED.values())
                head = next(heads)
            return head.format(len(body)).encode("latin-1") + body

        self.write_before(forge)
        end = time.monotonic() + READINGS_S
        while time.monotonic() < end:
            self.assertNotIn(1, self.targets_known())
            time.sleep(0.05)
        self.assertEqual(self.send("n1")[0], 200)

    def test_list_behind_an_interim_answer_is_read(self):
        # It failed each reading, so that a change of the list wasn't seen.
        handler = self.listing.server.RequestHandlerClass
        usual = handler.do_GET

        def answer(request):
            request.wfile.write(b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
            usual(request)

        handler.do_GET = answer
        gone = self.listing.targets.pop()
        self.until(lambda: self.targets_known() == [len(self.targets) - 1] * len(DOMAINS), f"{gone.name} is no longer known")


if __name__ == "__main__":
    harness.main()
