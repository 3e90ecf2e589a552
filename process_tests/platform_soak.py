"""Random faults against the programs for the users' platform, as processes on loopback.

Usage: platform_soak.py [--first SEED] [--count N] [--jobs N]

A seed gives one schedule of faults, one after the other and overlapping: entry and control hosts are killed, frozen,
stopped and started again by signals; connections to targets pass through a proxy that delays, silences, cuts one way or
resets them; targets shed and hang up; domains are evacuated and taken back; configurations change, one by one and in
series; the disk of a control host takes no bytes. Callers go on all the time, and what they and the targets see is
checked against what was promised:

- a payment runs at most once, and not at all if its answer says so;
- an answer 200 is that of the target that ran the request;
- a request has its final answer by its timeout, unless its entry host was killed, frozen or stopped meanwhile;
- an evacuated domain runs nothing that was sent 5 s after the acknowledgement;
- acknowledged configurations are in force, and none is lost;
- a route of a configuration that was acknowledged 2.5 s before isn't denied while a majority of control hosts is well;
- a target that says in its answers that it leaves gets nothing sent later than the drain time from the hosts it told, and
  one that asks for rest gets at most two requests from a host in that time;
- a target that names a limit gets no more than it allows from all hosts together that it has told;
- a request that crashes the targets that run it is contained, and no other is refused for it;
- a host that is cut off from all targets serves its callers like the others, through them;
- no target ever gets a key, and a key that was withdrawn by an acknowledged configuration 2.5 s before is served by no host
  in touch, restarts included;
- a customer that sends more than its allowance gets no more than the bound, from all hosts together, in touch or not;
- a target that starts again cold gets no more than the bound in any second, from all hosts together, whatever befalls them;
- a request that reached a target isn't cut by the stop of its entry host, whatever signals come meanwhile; its callers keep their
  connections until the process is gone, and some have several requests in flight;
- once the faults have ended, every host serves again, and every control host takes part in the group.
"""
import argparse
import contextlib
import json
import math
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import threading
import time

import harness
import platform_fleet
from kept_connection import KeptConnection, keep_calling
from platform_fleet import DOMAINS, ROUTES, PlatformFleet
from platform_standins import (
    CONTACT_S, LIMIT_WINDOW_S, PREFIX, RECEIPT, Target, configuration, limit_bound, most_in_a_window, most_within_limit)

# Seeds that have failed once, each with its cause. They are played again with every run in CI.
KEPT = {
    2: "without control hosts, each entry host admitted a customer's requests by its own demand, above the allowance together",
    6: "a control host whose disk had been full, before it resumed: its entry host denied routes in force",
    7: "the first seed that CI plays; it has not failed so far",
    417: "beside load, two entry hosts didn't serve for 20 s after the faults; the thread of a proxy had ended; cause not known",
    444: "all targets were crashed by a request: hosts that took themselves for cut off didn't tell of it, others blamed another one",
    4403: "a target rested and crashed; its successor's requests on the same address were counted against the rest, a fault of the check",
    103: "beside load, callers 8 s late: the soak's own main thread stood still from 2.3 s to after 9 s; cause not known",
}
FAULT_SECONDS = 9
TIMEOUT = 2.0
# A busy machine may hold up a caller's own thread this long without any fault of ours.
SLACK = 1.5
EVACUATION_SECONDS = 5.0
# Time in which an acknowledged configuration must be in force (configurationApplyS of the users' deployments), and time
# for which a majority of control hosts must have been well for that to hold.
APPLY_SECONDS = 2.5
STEADY_SECONDS = 3.0
DRAIN_SECONDS = 3.0
# From here to the end of its rest a target gets at most so many requests from a host.
REST_BEGINS_SECONDS = 0.5
REST_BUDGET = 2
# The most requests a second that a cold target takes, by the fleet's settings and the configuration.
COLD_BOUND = 5 * 1.5 + 5
RECOVERY_SECONDS = 20
# Requests per second and burst of the customer with an allowance, and how far it may exceed them in a window.
ALLOWANCE = 15
ALLOWANCE_TERMS = {"allowance_window_s": 5, "allowance_overshoot": 0.1, "allowance_slack": 20}
ALLOWANCE_BOUND = (ALLOWANCE * 5 + ALLOWANCE) * 1.1 + 20
TENANT = PREFIX + "Tenant"
# How often hosts in touch may send a request later than CONTACT_S after it has crashed its third target.
MAX_LATER_SENDS = 3


class SilentListener:
    """Connections to it hang: its queue is full, and it accepts none."""

    def __init__(self, listen):
        self.listen = listen
        host, port = listen.rsplit(":", 1)
        self.server = socket.create_server((host, int(port)), backlog=0)
        self.fillers = []
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((host, int(port)))
            self.fillers.append(filler)

    def close(self):
        for each in [*self.fillers, self.server]:
            each.close()


class Proxy:
    """Passes connections on to a target; `mode` is pass, delay, silence, one_way or reset."""

    def __init__(self, listen, to, find_sender):
        self.listen, self.to, self.mode = listen, to, "pass"
        self.find_sender, self.senders = find_sender, {}
        # The open connections, each with its entry host.
        self.open = []
        self.restart()

    def restart(self):
        host, port = self.listen.rsplit(":", 1)
        self.server = socket.create_server((host, int(port)))
        threading.Thread(target=self.accept, args=(self.server,), daemon=True).start()

    def crash(self):
        """New connections are refused until the restart, and open ones end."""
        self.server.shutdown(socket.SHUT_RDWR)
        self.server.close()
        ended, self.open = self.open, []
        for _, connection in ended:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def accept(self, server):
        while True:
            try:
                near, _ = server.accept()
                host, port = self.to.rsplit(":", 1)
                far = socket.create_connection((host, int(port)), timeout=5)
            except OSError:
                if server.fileno() < 0:
                    return
                continue
            far.settimeout(None)
            sender = self.find_sender(near.getpeername())
            self.senders[far.getsockname()] = sender
            self.open.append((sender, near))
            for come, go, outward in ((near, far, True), (far, near, False)):
                threading.Thread(target=self.pump, args=(come, go, outward), daemon=True).start()

    def pump(self, come, go, outward):
        try:
            while part := come.recv(65536):
                mode = self.mode
                if mode == "delay":
                    time.sleep(0.15)
                if mode == "reset":
                    break
                if mode == "silence" or (mode == "one_way" and not outward):
                    continue
                go.sendall(part)
        except OSError:
            pass
        for each in (come, go):
            try:
                each.shutdown(harness.socket.SHUT_RDWR)
            except OSError:
                pass

    def reset_connections_of(self, sender):
        for each, connection in self.open:
            if each == sender:
                self.reset(connection)
        self.open = [each for each in self.open if each[0] != sender]

    @staticmethod
    def reset(connection):
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            # Another thread may be reading; only this ends its wait.
            connection.shutdown(socket.SHUT_RD)
            connection.close()

    def close(self):
        self.server.close()


class ProxiedFleet(PlatformFleet):
    """A fleet whose targets are reached through proxies, and whose entry hosts can be cut off from them."""

    entry_program = "bth-test-entry-with-connect-filter"

    def setUp(self):
        self.proxies = []
        super().setUp()
        self.silent = SilentListener(self.endpoint(240))

    def tearDown(self):
        super().tearDown()
        for each in [*self.proxies, self.silent]:
            each.close()

    def filter_of(self, domain):
        return self.folder / f"connect-filter-{domain}"

    def entry_environment(self, domain):
        return {**super().entry_environment(domain), "BTH_CONNECT_FILTER": str(self.filter_of(domain))}

    def cut(self, *domains, how="refuse", keeps_open=False):
        """New connections of these entry hosts to targets are refused or hang; open ones are reset, or live on."""
        text = "refuse" if how == "refuse" else f"hang {self.silent.listen}"
        for domain in domains:
            new = self.folder / f"new-filter-{domain}"
            new.write_text("\n".join([text, *[each.listen for each in self.proxies]]))
            new.replace(self.filter_of(domain))
            for proxy in self.proxies:
                if not keeps_open:
                    proxy.reset_connections_of(domain)

    def delay_connections(self, domain, milliseconds):
        """The entry host stands still for this long before each new connection to a target; open ones are reset."""
        new = self.folder / f"new-filter-{domain}"
        new.write_text("\n".join([f"delay {milliseconds}", *[each.listen for each in self.proxies]]))
        new.replace(self.filter_of(domain))
        for proxy in self.proxies:
            proxy.reset_connections_of(domain)

    def mend(self, *domains):
        for domain in domains:
            self.filter_of(domain).unlink()

    def wrap_targets(self):
        for row, each in enumerate(self.targets):
            proxy = Proxy(self.endpoint(170 + row), each.endpoint, self.find_sender)
            self.proxies.append(proxy)
            each.endpoint, each.sender_of, each.front = proxy.listen, proxy.senders.get, proxy
            # Connections that are kept to a target under its old name don't go through the proxy.
            each.name = f"{each.name}-{each.domain}"
        self.until(lambda: all(self.is_served_by_proxy(domain) for domain in self.entries), "the proxies are listed")

    def is_served_by_proxy(self, domain):
        number = self.send(domain)[3]
        return any(each.number == number and each.sender for target in self.targets for each in target.arrivals())


def key_fields(key):
    return {"Authorization": f"Token {key}"}


class SoakFleet(ProxiedFleet):
    maxDiff = None

    def settings_of(self, domain, address, listen, **more):
        settings = super().settings_of(domain, address, listen, **more)
        settings["limits"].update(ALLOWANCE_TERMS)
        return settings

    def runTest(self):
        seed = int(os.environ["BTH_SOAK_SEED"])
        self.wrap_targets()
        self.fields = key_fields("usual-key")
        play = Play(self, random.Random(seed))
        play.run()
        print(f"seed {seed}: {play.judged_stops} of {len(play.stops)} stops judged, {len(play.kept_requests)} requests on kept connections")
        self.assertEqual(play.findings, [], f"seed {seed}; faults: {play.told}")


class Play:
    """One seed: callers, faults, and what was found."""

    def __init__(self, fleet, chance):
        self.fleet, self.chance = fleet, chance
        self.findings, self.told = [], []
        self.begun = time.monotonic()
        self.ended = threading.Event()
        self.disturbed = {name: [] for domain in DOMAINS for name in (domain, f"control-{domain}")}
        self.one_disk, self.numbering, self.starting = threading.Lock(), threading.Lock(), threading.Lock()
        self.disturbed["links"], self.disturbed["targets"] = [], []
        self.begun_of = {}
        self.routes = dict(ROUTES)
        self.acknowledged, self.denied = [], set()
        self.evacuated = {}
        self.version = 1
        self.limited, self.chilled = [], []
        self.crashing_paths, self.cuts, self.outcomes = [], [], []
        # When entry hosts were told to stop and had stopped, and the requests of callers who keep their connections.
        self.stops, self.kept_requests, self.judged_stops = [], [], 0
        # The keys of the customer whose key changes, each with when its withdrawal was acknowledged.
        self.keys, self.withdrawn = ["changing-key-0"], {}

    def customers(self):
        return {"usual": (["usual-key"], 0, 0), "limited": (["limited-key"], ALLOWANCE, ALLOWANCE),
                "changing": (self.keys[-1:], 0, 0)}

    def run(self):
        self.configure(0, 0)
        self.fleet.until(lambda: all(self.fleet.send(domain, fields={})[0] == 401 for domain in DOMAINS), "keys are needed")
        self.begun = time.monotonic()
        callers = [threading.Thread(target=self.call, args=(domain, number))
                   for domain in DOMAINS for number in range(3)]
        callers += [threading.Thread(target=self.call_with_old_keys, args=(domain,)) for domain in DOMAINS]
        callers += [threading.Thread(target=self.keep_calling, args=(domain, depth)) for domain in DOMAINS for depth in (1, 3)]
        for each in callers:
            each.start()
        faults = [self.kill_entry, self.freeze_entry, self.stop_entry, self.kill_control,
                  self.freeze_control, self.kill_all_controls, self.disturb_links, self.shed, self.hang_up,
                  self.evacuate, self.configure]
        # Disks are twice as likely as the others.
        faults += 2 * [self.crash_by_request, self.cut_off] + [self.crash_by_chance]
        faults += [self.configuration_series, self.leave, self.rest, self.limit, self.limit, self.chill, self.chill] + 2 * [self.fill_control_disk]
        faults += 2 * [self.exceed_allowance, self.withdraw_key]
        busy = []
        while time.monotonic() - self.begun < FAULT_SECONDS:
            fault = self.chance.choice(faults)
            length = self.chance.uniform(0.3, 3.0)
            self.told.append(f"{time.monotonic() - self.begun:.1f}s {fault.__name__} {length:.1f}s")
            busy.append(threading.Thread(target=self.guard, args=(fault, length, self.chance.random())))
            busy[-1].start()
            time.sleep(self.chance.uniform(0.2, 1.5))
        for each in busy:
            each.join()
        self.check_recovery()
        self.ended.set()
        for each in callers:
            each.join()
        self.check_evacuations()
        self.check_signals()
        self.check_crashing_requests()
        self.check_cuts()
        self.check_customers()
        self.check_stops()

    def guard(self, fault, length, pick):
        try:
            fault(length, pick)
        except (OSError, AssertionError) as problem:
            self.findings.append(f"{fault.__name__}: {problem}")

    # Faults. `pick` in [0, 1) chooses among hosts, so that a seed gives one schedule.
    def some(self, among, pick):
        return list(among)[int(pick * len(among))]

    @contextlib.contextmanager
    def disturbing(self, *names):
        span = [time.monotonic(), math.inf]
        for each in names:
            self.disturbed[each].append(span)
        try:
            yield
        finally:
            span[1] = time.monotonic()

    def was_disturbed(self, name, since, until):
        return any(start < until and since < end for start, end in list(self.disturbed[name]))

    def with_entry(self, pick, act):
        domain = self.some(DOMAINS, pick)
        with self.disturbing(domain):
            act(domain)
            self.fleet.until(lambda: self.fleet.is_ready(domain), f"{domain} is ready again")

    def restart_entry(self, domain, length):
        time.sleep(length)
        settings = self.fleet.settings[f"entry-{domain}"]
        self.fleet.entries[domain] = self.fleet.launch(
            self.fleet.entry_program, "--settings", self.fleet.write(f"entry-{domain}.json", settings),
            name=f"entry-{domain}-{time.monotonic_ns()}", environment=self.fleet.entry_environment(domain))

    def kill_entry(self, length, pick):
        def act(domain):
            self.fleet.entries[domain].kill()
            self.restart_entry(domain, length)
        self.with_entry(pick, act)

    def stop_entry(self, length, pick):
        def act(domain):
            entry, begun = self.fleet.entries[domain], time.monotonic()
            entry.signal(signal.SIGTERM)
            for number in (signal.SIGHUP, signal.SIGTERM):
                time.sleep(length * pick)
                # The process may have ended meanwhile.
                entry.signal(number)
            entry.wait_exit()
            self.stops.append((domain, begun, time.monotonic()))
            self.restart_entry(domain, length / 4)
        self.with_entry(pick, act)

    def freeze_entry(self, length, pick):
        def act(domain):
            self.fleet.entries[domain].signal(signal.SIGSTOP)
            time.sleep(length)
            self.fleet.entries[domain].signal(signal.SIGCONT)
        self.with_entry(pick, act)

    def restart_control(self, domain):
        # Two kills may overlap; a second process on the same data would be no fault of a host.
        with self.starting:
            if self.fleet.controls[domain].popen.poll() is not None:
                self.fleet.start_control(domain, list(DOMAINS).index(domain))

    def kill_control(self, length, pick):
        domain = self.some(DOMAINS, pick)
        with self.disturbing(f"control-{domain}"):
            self.fleet.controls[domain].kill()
            time.sleep(length)
            self.restart_control(domain)

    def freeze_control(self, length, pick):
        domain = self.some(DOMAINS, pick)
        with self.disturbing(f"control-{domain}"):
            process = self.fleet.controls[domain]
            process.signal(signal.SIGSTOP)
            time.sleep(length)
            process.signal(signal.SIGCONT)

    def kill_all_controls(self, length, pick):
        with self.disturbing(*[f"control-{domain}" for domain in DOMAINS]):
            for each in list(self.fleet.controls.values()):
                each.kill()
            time.sleep(length * pick)
            for domain in DOMAINS:
                self.restart_control(domain)

    def fill_control_disk(self, length, pick):
        domain = self.some(DOMAINS, pick)
        # A majority must be able to write: the next disk waits until this one is free.
        with self.one_disk, self.disturbing(f"control-{domain}"):
            self.change_disk(self.fleet.fill_disk, domain)
            try:
                # A full disk shows only when something is written.
                self.configure(length, pick)
                time.sleep(length)
            finally:
                self.change_disk(self.fleet.free_disk, domain)

    def change_disk(self, change, domain):
        # The limit belongs to the process; one that was killed meanwhile has none.
        with contextlib.suppress(ProcessLookupError):
            if self.fleet.controls[domain].popen.poll() is None:
                change(domain)

    def disturb_links(self, length, pick):
        mode = self.some(["delay", "silence", "one_way", "reset"], pick)
        chosen = [each for row, each in enumerate(self.fleet.proxies) if (int(pick * 64) >> row) & 1]
        with self.disturbing("links"):
            for each in chosen:
                each.mode = mode
            time.sleep(length)
            for each in chosen:
                each.mode = "pass"

    def change_target(self, mode, length, pick):
        target = self.some(self.fleet.targets, pick)
        with self.disturbing("targets"):
            target.mode = mode
            time.sleep(length)
            target.mode = "serve"

    def shed(self, length, pick):
        self.change_target("shed", length, pick)

    def hang_up(self, length, pick):
        self.change_target("cut", length, pick)

    def leave(self, length, pick):
        """A target says in its answers that it leaves, before the list does; another one takes its address."""
        target = self.some(self.fleet.targets, pick)
        if target.leaving:
            return
        target.leaving = True
        time.sleep(DRAIN_SECONDS + length)
        target.name = f"{target.name}+-{target.domain}"
        target.leaving = False

    def rest(self, length, pick):
        target = self.some(self.fleet.targets, pick)
        target.rest = f"{length:.2f}"
        time.sleep(length)
        target.rest = None

    def limit(self, length, pick):
        target = self.some(self.fleet.targets, pick)
        if target.limit is not None:
            return
        target.limit = f"{0.5 + 2 * pick:.2f}"
        time.sleep(CONTACT_S + LIMIT_WINDOW_S / 2 + length)
        self.limited.append((target, float(target.limit), time.monotonic()))
        target.limit = None

    def crash_by_request(self, length, pick):
        """A request that crashes each target that runs it comes again at any host."""
        path = f"/read/{Target.CRASHING}-{len(self.crashing_paths)}"
        self.crashing_paths.append(path)
        ends = time.monotonic() + CONTACT_S + length
        chance = random.Random(pick)
        with self.disturbing("targets"):
            while time.monotonic() < ends:
                with contextlib.suppress(OSError, harness.http.client.HTTPException):
                    self.fleet.send(chance.choice(list(DOMAINS)), path, timeout=8)
                time.sleep(0.1)
            time.sleep(Target.DOWN_S)

    def crash_by_chance(self, _length, pick):
        with self.disturbing("targets"):
            for target in random.Random(pick).sample(self.fleet.targets, len(self.fleet.targets) // 2):
                target.crash()
            time.sleep(Target.DOWN_S)

    def cut_off(self, length, pick):
        domain = self.some(DOMAINS, pick)
        if self.fleet.filter_of(domain).exists():
            return
        begun = time.monotonic()
        self.fleet.cut(domain, how="hang" if pick * 64 % 1 < 0.5 else "refuse", keeps_open=pick * 128 % 1 < 0.3)
        time.sleep(CONTACT_S + length)
        self.cuts.append((domain, begun, time.monotonic()))
        self.fleet.mend(domain)

    def chill(self, length, pick):
        """A target ends, and another one starts on its address, cold; others may follow at once."""
        for target in self.fleet.targets[int(pick * len(self.fleet.targets))::2]:
            if target.leaving or target.cold_until > time.monotonic():
                continue
            target.start_again(f"{target.name}*-{target.domain}", 1 + length)
            self.chilled.append((target, target.name, time.monotonic(), target.cold_until))

    def evacuate(self, length, pick):
        domain = self.some(DOMAINS, pick)
        if domain in self.evacuated:
            return
        self.evacuated[domain] = None
        if self.fleet.operate("POST", f"/-/evacuation/{domain}")[0] == 200:
            since = time.monotonic()
            time.sleep(EVACUATION_SECONDS + length)
            self.evacuated[domain] = (since + EVACUATION_SECONDS, time.monotonic())
        self.fleet.operate("DELETE", f"/-/evacuation/{domain}")

    def configure(self, _length, _pick):
        # The highest version wins, so that each one has the routes of all before it.
        with self.numbering:
            self.version += 1
            version = self.version
            self.routes[f"/v{version}/"] = ("orders", "idempotent")
            keys = list(self.keys)
            wanted = json.dumps(configuration(version, self.routes, ["orders"], self.customers()))
        status, _ = self.fleet.operate("PUT", "/-/configuration", wanted)
        if status == 200:
            self.acknowledged.append((time.monotonic(), version))
            for each in keys[:-1]:
                self.withdrawn.setdefault(each, time.monotonic())
        else:
            self.findings.append(f"configuration {version}: {status}")

    def configuration_series(self, length, pick):
        for _ in range(8 + int(pick * 13)):
            self.configure(length, pick)

    def withdraw_key(self, length, pick):
        with self.numbering:
            self.keys.append(f"changing-key-{len(self.keys)}")
        self.configure(length, pick)

    def exceed_allowance(self, length, pick):
        """A customer sends several times its allowance through all hosts."""
        chance = random.Random(pick)
        ends = time.monotonic() + 2 * length

        def send():
            while time.monotonic() < ends:
                with contextlib.suppress(OSError, harness.http.client.HTTPException):
                    self.fleet.send(chance.choice(list(DOMAINS)), object_key="1", timeout=8, fields=key_fields("limited-key"))
                time.sleep(0.05)

        senders = [threading.Thread(target=send) for _ in range(3)]
        for each in senders:
            each.start()
        for each in senders:
            each.join()

    # Callers.
    def call_with_old_keys(self, domain):
        chance = random.Random(domain)
        while not self.ended.is_set():
            key, begun = chance.choice(self.keys), time.monotonic()
            try:
                status = self.fleet.send(domain, timeout=8, fields=key_fields(key))[0]
            except (OSError, harness.http.client.HTTPException):
                status = None
            due = self.withdrawn.get(key, math.inf) + APPLY_SECONDS + SLACK
            names = [domain, *[f"control-{each}" for each in DOMAINS]]
            in_touch = not any(self.was_disturbed(each, begun - CONTACT_S, time.monotonic()) for each in names)
            if status == 200 and begun > due and in_touch:
                self.findings.append(f"{begun - self.begun:.1f}s {domain} serves {key}, withdrawn at "
                                     f"{self.withdrawn[key] - self.begun:.1f}s")
            time.sleep(0.1)

    def call(self, domain, number):
        chance = random.Random(number)
        while not self.ended.is_set():
            pays = chance.random() < 0.5
            begun = time.monotonic()
            path = "/pay/x" if pays else self.path_in_force(begun)
            try:
                got = self.fleet.send(domain, path, "POST" if pays else "GET",
                                      b"1" if pays else None, object_key=str(chance.randrange(20)), timeout=8)
            except (OSError, harness.http.client.HTTPException) as problem:
                self.note_end(domain, begun, f"no answer: {problem!r}")
                time.sleep(0.05)
                continue
            self.note_end(domain, begun, None)
            self.outcomes.append((domain, begun, got[0] == 200))
            if got[0] == 503 and b"crashes_targets" in got[2]:
                self.findings.append(f"{begun - self.begun:.1f}s at {domain}: {path} is refused for crashes")
            self.check_known(domain, path, begun, got[0])
            self.check_answer(pays, begun, *got)

    def keep_calling(self, domain, depth):
        requests = keep_calling(lambda: KeptConnection(self.fleet.listen(f"entry-{domain}", "callers")), self.fleet.next_number,
                                random.Random(depth), self.ended.is_set, depth, most_pause=0.2,
                                make_path=lambda chance: f"/read/{chance.randrange(20)}", fields=self.fleet.fields)
        self.kept_requests += [(domain, each) for each in requests]

    def path_in_force(self, now):
        due = [version for at, version in list(self.acknowledged) if now - at > APPLY_SECONDS + SLACK]
        return f"/v{max(due)}/x" if due else "/read/x"

    def check_known(self, domain, path, begun, status):
        now = time.monotonic()
        well = sum(not self.was_disturbed(f"control-{each}", begun - STEADY_SECONDS, now) for each in DOMAINS)
        if status == 404 and 2 * well > len(DOMAINS) and not self.was_disturbed(domain, begun - 0.5, now):
            if (domain, path) not in self.denied:
                self.findings.append(f"{begun - self.begun:.1f}s at {domain}: 404 for {path}, which is in force")
            self.denied.add((domain, path))

    def note_end(self, domain, begun, problem):
        now = time.monotonic()
        late = now - begun > TIMEOUT + SLACK
        # A frozen or stopping host may be noticed a little after its fault has ended.
        if (problem or late) and not self.was_disturbed(domain, begun - 0.5, now):
            self.findings.append(f"{begun - self.begun:.1f}s at {domain}: {problem or 'late'} after {now - begun:.2f}s")

    def check_answer(self, pays, begun, status, headers, text, number):
        self.begun_of[number] = begun
        runs = self.fleet.runs_of(number)
        if pays and runs > 1:
            self.findings.append(f"payment {number} ran {runs} times")
        if status in (408, 421, 429, 503) and pays and runs > 0:
            self.findings.append(f"payment {number} ran though its answer {status} says it did not")
        if status == 200:
            if headers.get(RECEIPT.lower()) != "seal-" + number or runs < 1:
                self.findings.append(f"answer {number} isn't that of a target")

    # Checks at the end.
    def check_recovery(self):
        deadline = time.monotonic() + RECOVERY_SECONDS
        path = f"/v{self.version}/x" if self.version > 1 else "/read/x"
        waiting, seen = set(DOMAINS), {}
        while waiting and time.monotonic() < deadline:
            for domain in list(waiting):
                try:
                    status, _, text, _ = self.fleet.send(domain, path, timeout=3)
                    seen[domain] = f"{status} {text.decode(errors='replace').strip()}"
                    if status == 200:
                        waiting.discard(domain)
                except OSError as problem:
                    seen[domain] = repr(problem)
            time.sleep(0.1)
        if waiting:
            self.findings.append(f"{sorted(waiting)} do not serve {path} {RECOVERY_SECONDS} s after the faults: {seen}")
        for domain in DOMAINS:
            for name, wanted in (("bth_control_version", self.version), ("bth_control_group_running", 1)):
                while (held := self.fleet.metric(domain, name)) != wanted and time.monotonic() < deadline:
                    time.sleep(0.1)
                if held != wanted:
                    self.findings.append(f"control host in {domain}: {name} {held}, not {wanted}, "
                                         f"{RECOVERY_SECONDS} s after the faults")
        status, text = self.fleet.operate("GET", "/-/configuration")
        if (status, json.loads(text)["version"]) != (200, f"r{self.version}"):
            self.findings.append(f"configuration r{self.version} was acknowledged; held: {text[:40]}")

    def check_evacuations(self):
        for domain, span in self.evacuated.items():
            reached = [each for target in self.fleet.targets if target.domain == domain
                       for each in target.arrivals() if each.ran and span and span[0] < each.at < span[1]]
            if reached:
                first = min(reached, key=lambda each: each.at)
                self.findings.append(f"{first.at - self.begun:.1f}s a request reached {first.name} in {domain} from {first.sender}, "
                                     f"evacuated since {span[0] - EVACUATION_SECONDS - self.begun:.1f}s until "
                                     f"{span[1] - self.begun:.1f}s; {len(reached)} in all; path {first.path}")


    def check_signals(self):
        for target in self.fleet.targets:
            arrivals = target.arrivals()
            for sender in DOMAINS:
                mine = [each for each in arrivals if each.sender == sender and each.number]
                self.check_leaving(sender, mine)
                self.check_rests(sender, mine)
        self.check_limits()
        self.check_cold()

    def check_limits(self):
        for target, limit, until in self.limited:
            begun = min((each.at for each in target.arrivals() if each.limit is not None and each.at <= until),
                        default=until)
            # A restart, freeze or cut of a host excuses it.
            arrivals = [each for each in target.arrivals() if each.number and begun <= each.at <= until and not (
                self.was_disturbed(each.sender or "links", begun, each.at) or self.was_disturbed("links", begun, each.at))]
            most = most_within_limit(arrivals, until)
            if most > limit_bound(limit):
                self.findings.append(f"{begun - self.begun:.1f}s {target.name} names {limit} a second and gets {most} "
                                     f"in {LIMIT_WINDOW_S} s, {limit_bound(limit):.1f} allowed")

    def check_cold(self):
        for target, name, begun, until in self.chilled:
            most = most_in_a_window([each.at for each in target.arrivals() if each.number and not each.misdirected
                                     and each.name == name and begun <= each.at < until], 1)
            if most > COLD_BOUND:
                self.findings.append(f"{begun - self.begun:.1f}s {name}, cold, gets {most} in a second, "
                                     f"{COLD_BOUND} allowed")

    def is_in_touch(self, sender, now):
        """Whether this entry host and the control hosts were well for CONTACT_S."""
        names = [sender or "links", "links", *[f"control-{each}" for each in DOMAINS]]
        return not any(self.was_disturbed(each, now - CONTACT_S, now) for each in names)

    def check_crashing_requests(self):
        for path in self.crashing_paths:
            crashes = sorted(at for target in self.fleet.targets
                             for at, cause in zip(target.crashes, target.crash_causes) if cause == path)
            if len(crashes) < 3:
                continue
            late = [each for target in self.fleet.targets for each in target.arrivals()
                    if each.path == path and each.at > crashes[2] + CONTACT_S and self.is_in_touch(each.sender, each.at)]
            if len(late) > MAX_LATER_SENDS:
                self.findings.append(f"{crashes[2] - self.begun:.1f}s {path} has crashed three targets; sent {len(late)} "
                                     f"times more by hosts in touch")

    def check_cuts(self):
        for domain, begun, ended in self.cuts:
            since = begun + CONTACT_S
            names = ["links", *DOMAINS, *[f"control-{each}" for each in DOMAINS]]
            others_cut = any(other != domain and start < ended and begun < end for other, start, end in self.cuts)
            if others_cut or any(self.was_disturbed(each, begun - CONTACT_S, ended) for each in names):
                continue
            tries = [each for each in self.outcomes if since < each[1] < ended]
            here = [ok for each, _, ok in tries if each == domain]
            others = [ok for each, _, ok in tries if each != domain]
            failed = here.count(False)
            if here and others and failed > 10 + len(here) / 50 and \
                    failed / len(here) > 1 - 2 / 3 * others.count(True) / len(others):
                self.findings.append(f"{begun - self.begun:.1f}s {domain}, cut off from all targets, serves "
                                     f"{len(here) - failed} of {len(here)}, the others {others.count(True)} of {len(others)}")

    def check_stops(self):
        if not any(each.status for _, each in self.kept_requests):
            self.findings.append("no caller that keeps its connection got an answer")
        arrived = {each.number for target in self.fleet.targets for each in target.arrivals()}
        lost = [(domain, each) for domain, each in self.kept_requests if each.status is None and each.number in arrived]
        for domain, begun, ended in self.stops:
            since = begun - CONTACT_S
            faults = [each for each in self.disturbed[domain] if each[0] < ended and since < each[1]]
            # The stop itself is one of them.
            if len(faults) > 1 or self.was_disturbed("links", since, ended):
                continue
            cut = [each for each_domain, each in lost if each_domain == domain and begun <= each.ended <= ended + SLACK]
            self.judged_stops += 1
            if cut:
                self.findings.append(f"{begun - self.begun:.1f}s the stop of {domain} cuts {len(cut)} requests that reached a target, "
                                     f"the first sent {cut[0].sent - begun:.2f}s after the signal")
            if any(self.was_disturbed(each, since, ended) for each in ("targets", *DOMAINS) if each != domain):
                continue
            given_up = [each for each_domain, each in self.kept_requests
                        if each_domain == domain and each.status in (502, 504) and not each.is_of_target and each.number in arrived
                        and begun <= each.ended <= ended + SLACK and each.ended - each.sent < TIMEOUT]
            if given_up:
                self.findings.append(f"{begun - self.begun:.1f}s {domain}, which stops, gives up {len(given_up)} requests at targets, "
                                     f"the first after {given_up[0].ended - given_up[0].sent:.2f}s")

    def check_customers(self):
        arrivals = [each for target in self.fleet.targets for each in target.arrivals()]
        told = [each for each in arrivals if any(name == "authorization" or "-key" in value for name, value in each.headers)]
        if told:
            self.findings.append(f"{told[0].at - self.begun:.1f}s a key reached {told[0].name}: {told[0].headers}")
        most = most_in_a_window([each.at for each in arrivals if each.ran and (TENANT.lower(), "limited") in each.headers],
                                ALLOWANCE_TERMS["allowance_window_s"])
        if most > ALLOWANCE_BOUND:
            self.findings.append(f"a customer with an allowance ran {most} requests in a window, {ALLOWANCE_BOUND:.0f} allowed")

    def check_leaving(self, sender, arrivals):
        told = {}
        for each in arrivals:
            if each.leaving and each.answered:
                told[each.name] = min(each.answered, told.get(each.name, math.inf))
        for each in arrivals:
            since, begun = told.get(each.name, math.inf), self.begun_of.get(each.number, 0)
            # A restart or a freeze of the host since then excuses it, and what was told may be lost on its way.
            excused = self.was_disturbed(sender, since, each.at) or self.was_disturbed("links", since - 0.5, since + 0.5)
            if each.ran and begun > since + DRAIN_SECONDS and not excused:
                self.findings.append(f"{begun - self.begun:.1f}s {sender} sends to {each.name}, which leaves since "
                                     f"{since - self.begun:.1f}s")
                return

    def check_rests(self, sender, arrivals):
        for turned in arrivals:
            if turned.rest is None or turned.answered is None:
                continue
            begin, end = turned.answered + REST_BEGINS_SECONDS, turned.answered + float(turned.rest)
            # Another target on the same address has asked for nothing.
            count = sum(begin < each.at < end and each.name == turned.name for each in arrivals)
            excused = any(self.was_disturbed(each, turned.answered - 0.5, end) for each in (sender, "links"))
            if count > REST_BUDGET and not excused:
                self.findings.append(f"{turned.answered - self.begun:.1f}s {sender} sends {count} requests in the rest of "
                                     f"{turned.name}")
                return


def play_seed(seed):
    environment = {**os.environ, "BTH_SOAK_SEED": str(seed)}
    return subprocess.run([sys.executable, __file__, "--one"], env=environment, capture_output=True, text=True,
                          check=False)


def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--count", type=int, default=0, help="fresh seeds; 0: the kept ones alone")
    parser.add_argument("--jobs", type=int, default=2)
    parser.add_argument("--one", action="store_true", help="one seed, of BTH_SOAK_SEED")
    given = parser.parse_args()
    if given.one:
        platform_fleet.harness.unittest.main(argv=[sys.argv[0], "SoakFleet"])
    seeds = list(KEPT) + [given.first + each for each in range(given.count)]
    failed = []
    lock = threading.Lock()

    def work():
        while True:
            with lock:
                if not seeds:
                    return
                seed = seeds.pop(0)
            done = play_seed(seed)
            with lock:
                print(f"seed {seed}: {'ok' if done.returncode == 0 else 'FAILED'}", flush=True)
                if done.returncode != 0:
                    failed.append(seed)
                    print(done.stderr[-3000:], flush=True)
                print(*re.findall(r"seed .* judged.*", done.stdout), flush=True)

    workers = [threading.Thread(target=work) for _ in range(given.jobs)]
    for each in workers:
        each.start()
    for each in workers:
        each.join()
    print(f"failed seeds: {failed or 'none'}; replay: scripts/soak platform --first SEED --count 1")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
