"""Stand-ins for the users' platform on loopback: targets, the list of targets, and configurations.

    target = Target("i-1", "orders", "n1", endpoint)
    platform = TargetList(endpoint, [target])
"""
import bisect
import contextlib
import dataclasses
import http.server
import json
import math
import socket
import threading
import time
import urllib.parse

PREFIX = "X-Buckthornhatch-"
RECEIPT = PREFIX + "Response-Seal"
REQUEST_ID = PREFIX + "Request-Id"
# Without the prefix, as the platform wrote it.
LEAVING = "Server-Leaving"
LIMIT = "Server-Limit"


class Quiet(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def answer(self, status, body=b"", headers=()):
        self.send_response_only(status)
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Server(http.server.ThreadingHTTPServer):
    """Knows its open connections, so that it can end like a process that crashes."""

    daemon_threads = True

    def __init__(self, *arguments):
        self.open, self.lock = set(), threading.Lock()
        super().__init__(*arguments)

    def process_request(self, request, client_address):
        with self.lock:
            self.open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        with self.lock:
            self.open.discard(request)
        super().shutdown_request(request)

    def end_all(self):
        """Ends all connections; new ones are refused from now on."""
        self.end(self.socket)
        self.end_connections()

    def clean_up(self):
        self.shutdown()
        self.server_close()
        # Those that were accepted meanwhile.
        self.end_connections()

    def end_connections(self):
        with self.lock:
            ended = list(self.open)
        for each in ended:
            self.end(each)

    @staticmethod
    def end(ended):
        with contextlib.suppress(OSError):
            ended.shutdown(socket.SHUT_RDWR)


def serve(endpoint, handler):
    host, port = endpoint.rsplit(":", 1)
    server = Server((host, int(port)), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server


@dataclasses.dataclass
class Arrival:
    """A request that reached a target; times are monotonic."""

    at: float
    number: str
    # The target's name at that time.
    name: str
    # Address and port: on loopback the address may be the same for every entry host.
    peer: tuple
    # What `Target.sender_of` says about the peer.
    sender: str
    path: str = ""
    # All that came as header fields, names in lower case.
    headers: list = dataclasses.field(default_factory=list)
    ran: bool = False
    # Whether another target was expected, which isn't counted as an arrival.
    misdirected: bool = False
    # What the answer said besides its result.
    leaving: bool = False
    rest: str = None
    limit: str = None
    # By how much the target passed the time that it was told before it began its answer, if it did.
    overran: float = 0
    # When the answer had been written; nothing before that.
    answered: float = None


class Target:
    """A target that counts the runs of each request, and can be told to be slow, shed or cut off,
    to say in its answers that it leaves or takes only so many requests, and to turn all requests away for a rest.
    """

    # Until when the list shows it as cold.
    cold_until = 0
    # A request with this in its path crashes the target when it has run for `seconds`; it is back after DOWN_S.
    CRASHING = "crash-me"
    DOWN_S = 1.0

    def __init__(self, name, service, domain, endpoint):
        self.name, self.service, self.domain, self.endpoint = name, service, domain, endpoint
        self.state = "ready"
        self.seconds = 0.005
        self.mode = "serve"
        # Whether it answers 504 when the time that is left to a request is over.
        self.ends_at_deadline = False
        # How much later than that its answer leaves.
        self.late_s = 0
        # What follows the text of each answer.
        self.padding = b""
        self.leaving = False
        # The text of the limit in all answers; None: there is none.
        self.limit = None
        # The text of Retry-After in the answers that turn requests away; None: it serves.
        self.rest = None
        self.runs = {}
        self.sender_of = lambda peer: None
        self.lock = threading.Lock()
        self.reached = []
        # When it crashed, and the path of the request that was the cause; none if it crashed by chance.
        self.crashes, self.crash_causes = [], []
        # What stands before the target and ends and starts again with it, if anything does.
        self.front = None
        self.is_down = False
        target = self

        class Handler(Quiet):
            def do_GET(self):
                target.take(self)

            do_POST = do_GET

        self.handler, self.bound = Handler, endpoint
        self.server = serve(endpoint, Handler)

    def crash(self, cause=None):
        """Ends with all that runs here. Another target starts on the address after DOWN_S."""
        with self.lock:
            if self.is_down:
                return
            self.is_down = True
            self.crashes.append(time.monotonic())
            self.crash_causes.append(cause)
        if self.front:
            self.front.crash()
        self.server.end_all()
        threading.Thread(target=self.restart, args=(self.server,), daemon=True).start()

    def restart(self, ended):
        ended.clean_up()
        time.sleep(self.DOWN_S)
        self.start_again(f"{self.name}'-{self.domain}", 0)
        self.server = serve(self.bound, self.handler)
        if self.front:
            self.front.restart()
        self.is_down = False

    def take(self, request):
        body = request.rfile.read(int(request.headers.get("Content-Length", 0)))
        arrival = Arrival(time.monotonic(), request.headers[REQUEST_ID], self.name, request.client_address,
                          self.sender_of(request.client_address), request.path,
                          [(name.lower(), value) for name, value in request.headers.items()])
        with self.lock:
            self.reached.append(arrival)
        try:
            self.respond(request, body, arrival)
        except OSError:
            pass

    def respond(self, request, body, arrival):
        number = arrival.number
        echo = [(REQUEST_ID, number), (PREFIX + "Server-Load", "1,0,3")]
        if request.headers[PREFIX + "Expected-Instance"] != self.name:
            arrival.misdirected = True
            self.finish(request, arrival, 421, [(REQUEST_ID, number), (PREFIX + "Instance-Id", self.name)])
            return
        rest = self.rest
        if rest is not None:
            arrival.rest = rest
            self.finish(request, arrival, 503,
                        [*echo, (PREFIX + "Not-Executed", "1"), ("Retry-After", rest)])
            return
        if self.mode == "shed":
            self.finish(request, arrival, 503, [*echo, (PREFIX + "Not-Executed", "1")])
            return
        arrival.ran = True
        with self.lock:
            self.runs[number] = self.runs.get(number, 0) + 1
        left = int(request.headers[PREFIX + "Deadline-Milliseconds"] or 0) / 1000
        if self.ends_at_deadline and self.seconds > left:
            time.sleep(left + self.late_s)
            arrival.overran = time.monotonic() - arrival.at - left
            self.finish(request, arrival, 504, [*echo, (RECEIPT, "seal-" + number)])
            return
        time.sleep(self.seconds)
        if self.CRASHING in request.path:
            request.close_connection = True
            self.crash(request.path)
            return
        if self.mode == "cut":
            request.close_connection = True
            request.connection.close()
            return
        text = f"{self.name} {request.command} {request.path} {len(body)}".encode() + self.padding
        self.finish(request, arrival, 200, [*echo, (RECEIPT, "seal-" + number)], text)

    def finish(self, request, arrival, status, headers, text=b""):
        arrival.leaving = self.leaving
        # An answer that another target was expected says nothing of this one.
        arrival.limit = self.limit if status != 421 else None
        said = [(LEAVING, "1")] if arrival.leaving else []
        if arrival.limit is not None:
            said.append((LIMIT, arrival.limit))
        request.answer(status, text, [*headers, *said])
        arrival.answered = time.monotonic()

    def arrivals(self):
        with self.lock:
            return list(self.reached)

    def entry(self):
        return {"service": self.service, "address": self.endpoint, "zone": self.domain,
                "version": "v1", "slots": 3, "state": self.state,
                "coldRemainingS": round(max(0, self.cold_until - time.monotonic()), 3)}

    def start_again(self, name, cold_s):
        """The target is another one from now on, at the same address, and cold."""
        self.cold_until = time.monotonic() + cold_s
        self.name = name

    def close(self):
        while self.is_down:
            time.sleep(0.01)
        self.server.shutdown()
        self.server.server_close()


class TargetList:
    """The platform's list, two targets a page."""

    PAGE = 2

    def __init__(self, endpoint, targets):
        self.endpoint, self.targets = endpoint, list(targets)
        self.calls = 0
        listing = self

        class Handler(Quiet):
            def do_GET(self):
                listing.calls += 1
                query = urllib.parse.parse_qs(urllib.parse.urlsplit(self.path).query)
                start = int(query.get("pageToken", ["0"])[0])
                zone = query.get("zone", [None])[0]
                listed = [each for each in listing.targets if zone in (None, each.domain)]
                rows = listed[start:start + listing.PAGE]
                end = start + listing.PAGE
                body = {"instances": {each.name: each.entry() for each in rows},
                        "nextPageToken": str(end) if end < len(listed) else None}
                if start == 0:
                    body["instances"]["unreadable"] = {"service": 7}
                self.answer(200, json.dumps(body).encode(),
                            [("Content-Type", "application/json")])

        self.server = serve(endpoint, Handler)

    def close(self):
        self.server.shutdown()
        self.server.server_close()


def configuration(version, routes, services, tenants=None):
    """A configuration; `routes` maps a prefix to a service and a kind, `tenants` a name to its keys, requests per second
    and burst.
    """
    customers = {} if tenants is None else {"tenants": {
        name: {"accessKeys": keys, "priority": 0, "requestsPerS": rate, "burst": burst, "allowedRegions": []}
        for name, (keys, rate, burst) in tenants.items()}}
    return {
        **customers,
        "version": f"r{version}",
        "routes": {f"route{row}": {
            "host": "shop.example", "pathPrefix": prefix, "kind": kind, "timeoutS": 2,
            "targetLatencyS": 0.5, "priority": 1, "service": service, "maxAttempts": 2,
            "stickySessions": True, "allowedRegions": []}
            for row, (prefix, (service, kind)) in enumerate(sorted(routes.items()))},
        "services": {name: {"healthCheckPath": "/health", "connectionLimit": 330,
                            "coldStartS": 1, "coldPerS": 5} for name in services},
        "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutS": 3,
                   "idleTimeoutS": 15}}


def most_in_a_window(times, window):
    """The most of these times that lie within one window."""
    times = sorted(times)
    return max((bisect.bisect_left(times, start + window) - row for row, start in enumerate(times)), default=0)


# What all hosts together may send to a target that named a limit, in any LIMIT_WINDOW_S: from CONTACT_S after it first did,
# counting the hosts that it told TOLD_S ago or earlier.
CONTACT_S = 3
TOLD_S = 0.5
LIMIT_WINDOW_S = 4


def limit_bound(limit):
    return 1.5 * limit * LIMIT_WINDOW_S + 5


def most_within_limit(arrivals, until=math.inf):
    """The most requests in a window that reached a limited target from hosts that it had told."""
    told = {}
    for each in arrivals:
        if each.limit is not None and each.answered:
            told[each.sender] = min(each.answered, told.get(each.sender, each.answered))
    first = min(told.values(), default=math.inf)
    return most_in_a_window([each.at for each in arrivals if first + CONTACT_S <= each.at <= until
                             and each.at >= told.get(each.sender, math.inf) + TOLD_S], LIMIT_WINDOW_S)
