"""Soak test: real daemons under a seeded series of external faults, with the invariants checked while it runs.

Faults overlap: daemons are killed, paused, terminated and restarted; servers crash, leave, lose and corrupt answers; links
between all processes delay, fall silent, break or forward one direction only; the store is down, loses answers or forgets
its history; operators change the configuration. Clients keep using open connections until a process has exited.
"""

import asyncio
import json
import random
import signal
import time
import urllib.request

from .client import Answer, Client, Pipeline
from .faults import ANSWER_MARGIN, FaultySoak
from .fleet import Fleet, configuration, route
from .link import Link
from .ports import free_ports
from .record import Attempt, Record
from .review_faults import EXPORT, EXPORT_BYTES, ReviewFaults
from .second_review_faults import SecondReviewFaults
from .server import Fault

HOST = "soak.example"
KINDS = {"lookup": {"work": 0.03, "calls": [(HOST, "/winch/"), (HOST, "/winch/")]}, "winch": {"work": 0.02},
         "entry": {"work": 0.04, "calls": [(HOST, "/winch/")]}, "read": {"work": 0.02}}
ROUTES = {"lookup": ("history", {"priority": 2}), "winch": ("roster", {"priority": 2, "timeout": 700}),
          "read": ("roster", {"priority": 1, "timeout": 600}), "entry": ("log", {"priority": 0, "kind": "non_idempotent"})}
# Weights of the requests by kind; "added" stands for the routes that were added during the run.
MIX = {"lookup": 4, "entry": 3, "read": 3, "added": 1}
BOUNDS = {"grace": "4s", "drain": "1s", "retry_budget_ratio": "0.2", "budget_slack": "40"}
# Seconds.
DRAIN = 1.0
GRACE = 4.0
# Seconds in which a fleet must serve every route again after the last fault; the bound is the documented one.
RECOVERY = 15.0
LONGEST_TIMEOUT = 1.2


class FaultyFleet(Fleet):
    """A fleet whose links between daemons, to servers and to the store can fail."""

    async def prepare(self, vm):
        ports = free_ports(3)
        vm.links = {"peer": Link(ports[0], vm.peer), "backend": Link(ports[1], vm.server.address), "store": Link(ports[2], self.store_address)}
        for link in vm.links.values():
            await link.start()
        vm.server.announced = vm.links["backend"].address

    def settings_of(self, vm):
        return {**super().settings_of(vm), "announcedPeer": vm.links["peer"].address, "backend": vm.links["backend"].address,
                "store": vm.links["store"].address}

    async def __aexit__(self, *ended):
        for vm in self.vms:
            for link in vm.links.values():
                link.stop()
        await super().__aexit__(*ended)


class Leaving:
    """Describes how a server leaves: by deregistration or draining heartbeats, and whether its daemon is killed before or after."""

    def __init__(self, is_deregistration=False, restart=None, pause=0.0, late_at=None):
        self.is_deregistration = is_deregistration
        self.restart = restart
        self.pause = pause
        # Time of the late heartbeat, in steps of 0.3 s after the acknowledgement.
        self.late_at = late_at

    @classmethod
    def draw(cls, rng):
        if rng is None:
            return cls()
        return cls(rng.random() < 0.5, rng.choice([None, "before", "after"]), rng.uniform(0.0, 0.8), rng.randrange(8))

    def __str__(self):
        method = "deregistered" if self.is_deregistration else "draining"
        return f"{method}, daemon killed: {self.restart or 'no'}, late heartbeat at step {self.late_at}"


class Soak(ReviewFaults, SecondReviewFaults, FaultySoak):
    """Runs one soak: `daemons` per service, `seconds` of faults, every choice drawn from the seed."""

    def __init__(self, binary, seed, seconds=20.0, daemons=3, clients=24, pipelining=4, leaves_around_restarts=True, pausing=4, long=2):
        record = Record(float(BOUNDS["retry_budget_ratio"]), float(BOUNDS["budget_slack"]), DRAIN)
        super().__init__(seed, seconds, record, GRACE)
        self.clients = clients
        self.pipelining = pipelining
        # A separate generator, so that seeds from before this fault existed still play the same.
        self.leaving = random.Random(f"{seed}/leaving") if leaves_around_restarts else None
        services = {"history": (daemons, 12, 24), "log": (daemons, 12, 24), "roster": (daemons, 12, 24)}
        self.services = services
        # Clients that pause; with them come the faults of ReviewFaults. A generator of their own, as above.
        self.pausing = pausing
        self.review = random.Random(f"{seed}/review")
        self.is_all_lost = False
        # Clients with long bodies; with them come the faults of SecondReviewFaults.
        self.long = long
        self.second = random.Random(f"{seed}/second")
        self.host = HOST
        kinds = {**KINDS, EXPORT: {"work": 0.02, "answer_bytes": EXPORT_BYTES}}
        self.fleet = FaultyFleet(binary, services, kinds, heartbeat=0.3, bounds=BOUNDS, seed=seed)
        self.version = 0
        self.added = []
        self.request_count = 0

    @property
    def vms(self):
        return self.fleet.vms

    def start_daemon(self, vm):
        self.fleet.start_daemon(vm)

    def log(self, vm):
        return self.fleet.log(vm)

    # The run.

    async def play(self):
        async with self.fleet:
            for vm in self.fleet.vms:
                vm.server.observer = self.record
            self.change_configuration()
            if not await self.fleet.ready(20) or not await self.all_served(RECOVERY):
                self.record.report_violation("START", "the fleet did not become ready")
                return self.result()
            clients = [asyncio.ensure_future(self.client(number)) for number in range(self.clients)]
            clients += [asyncio.ensure_future(self.pipelining_client(number)) for number in range(self.pipelining)]
            clients += [asyncio.ensure_future(self.pausing_client(random.Random(f"{self.seed}/pausing/{number}"))) for number in range(self.pausing)]
            clients += [asyncio.ensure_future(self.long_client(random.Random(f"{self.seed}/long/{number}"))) for number in range(self.long)]
            watcher = asyncio.ensure_future(self.watch_exits())
            await self.inject_faults(self.faults())
            self.heal()
            if not await self.all_served(RECOVERY):
                self.record.report_violation("RECOVER", f"not every route is served {RECOVERY:.0f} s after the last fault")
            self.is_over = True
            await asyncio.gather(*clients)
            await self.check_rest()
            watcher.cancel()
            return self.result()

    def result(self):
        result = {"seed": self.seed, "story": self.story, **self.record.summary()}
        if result["broken"]:
            result["logs"] = {vm.name: self.fleet.log(vm) for vm in self.fleet.vms}
        return result

    def routes(self):
        made = {name: {**route(HOST, service, **more), "prefix": f"/{name}/"} for name, (service, more) in ROUTES.items()}
        made.update({name: {**route(HOST, "roster", timeout=600), "prefix": f"/{name}/"} for name in self.added})
        if self.pausing:
            made[EXPORT] = {**route(HOST, "log", kind="download", timeout=1200), "prefix": f"/{EXPORT}/"}
        return made

    def change_configuration(self):
        self.version += self.random.randint(1, 3)
        if self.version > 3:
            self.added.append(f"added{self.version}")
        self.fleet.store.put_configuration(configuration(self.version, self.routes(), self.services))

    # Clients.

    async def client(self, number):
        """Sends one request after another to random VMs, on kept or new connections."""
        vm = None
        client = None
        rng = random.Random(f"{self.seed}/{number}")
        while not self.is_over:
            if client is None or rng.random() < 0.1:
                vm = rng.choice(self.fleet.vms)
                client = Client(vm.callers)
            await self.request(vm, client, rng)
            if rng.random() < 0.4:
                client.close()
                client = None
            await asyncio.sleep(rng.expovariate(8))

    async def pipelining_client(self, number):
        """Pipelines batches of requests on a connection, some of them not idempotent."""
        rng = random.Random(f"{self.seed}/pipelining/{number}")
        while not self.is_over:
            vm = rng.choice(self.fleet.vms)
            pipeline = Pipeline(vm.callers)
            for _ in range(rng.randint(1, 4)):
                if not await self.batch(vm, pipeline, rng):
                    break
                await asyncio.sleep(rng.expovariate(4))
            pipeline.close()

    async def batch(self, vm, pipeline, rng):
        """Sends a batch and records the outcome of each request; returns false once the connection has ended."""
        requests = [self.next_request(vm, rng) for _ in range(rng.randint(2, 6))]
        timeout = LONGEST_TIMEOUT * len(requests) + ANSWER_MARGIN
        try:
            await pipeline.send([(name, HOST, sent.path, sent.method, sent.body, timeout) for name, sent in requests])
            answers = await pipeline.receive(timeout)
        except OSError:
            answers = []
        for (name, _), answer in zip(requests, answers):
            self.record.note_outcome(name, answer, False, timeout)
        for name, _ in requests[len(answers):]:
            self.record.note_outcome(name, Answer(name, None, {}, b"", 0.0), False, timeout)
        return len(answers) == len(requests) and answers[-1].fields.get("connection") != "close"

    def next_request(self, vm, rng):
        kind = rng.choices(list(MIX), list(MIX.values()))[0]
        name = rng.choice(self.added) if kind == "added" and self.added else kind
        is_unsafe = name == "entry"
        self.request_count += 1
        request = f"s{self.seed}-{self.request_count}"
        body = bytes(rng.getrandbits(8) for _ in range(rng.choice((0, 10, 3000)))) if is_unsafe else b""
        sent = Attempt(vm, name, f"/{name}/{request}", "POST" if is_unsafe else "GET", body)
        self.record.note_sent(request, sent)
        return request, sent

    def next_export(self, vm):
        self.request_count += 1
        request = f"s{self.seed}-{self.request_count}"
        sent = Attempt(vm, EXPORT, f"/{EXPORT}/{request}", "GET", b"")
        self.record.note_sent(request, sent)
        return request, sent

    async def request(self, vm, client, rng):
        request, sent = self.next_request(vm, rng)
        timeout = LONGEST_TIMEOUT + ANSWER_MARGIN
        answer = await client.send(request, HOST, sent.path, method=sent.method, body=sent.body, timeout=timeout)
        self.record.note_outcome(request, answer, client.has_more(), timeout)

    async def all_served(self, seconds):
        """Waits until each VM serves each route, with probe requests that are recorded like all others."""
        end = time.monotonic() + seconds
        missing = [(vm, name) for vm in self.fleet.vms for name in self.routes()]
        while missing and time.monotonic() < end:
            answers = await asyncio.gather(*(self.probe(vm, name) for vm, name in missing))
            missing = [pair for pair, is_served in zip(missing, answers) if not is_served]
            await asyncio.sleep(0.2)
        if missing:
            self.story.append("not served: " + ", ".join(f"{name} at {vm.name}" for vm, name in missing[:8]))
        return not missing

    async def probe(self, vm, name):
        self.request_count += 1
        request = f"s{self.seed}-{self.request_count}"
        sent = Attempt(vm, name, f"/{name}/", "POST" if name == "entry" else "GET", b"")
        self.record.note_sent(request, sent)
        client = Client(vm.callers)
        answer = await client.send(request, HOST, sent.path, method=sent.method, timeout=LONGEST_TIMEOUT + ANSWER_MARGIN)
        self.record.note_outcome(request, answer, client.has_more(), LONGEST_TIMEOUT + ANSWER_MARGIN)
        client.close()
        return answer.status == 200

    # Faults.

    def faults(self):
        return [self.kill, self.kill, self.pause, self.end_and_start, self.end_and_start, self.reload, self.server_fails, self.server_fails,
                self.server_crashes, self.server_leaves, self.server_leaves, self.link_fails, self.link_fails, self.link_fails,
                self.store_fails, self.configure, self.configure,
                *(self.review_faults() if self.pausing else []), *(self.second_review_faults() if self.long else [])]

    def heal(self):
        self.fleet.store.fault = None
        for vm in self.fleet.vms:
            vm.server.fault = Fault()
            vm.server.lies_about_health = False
            for link in vm.links.values():
                link.heal()

    def begin(self):
        return next(iter(self.record.sent.values())).began

    async def pause(self):
        vm = self.pick_vm()
        if vm is not None:
            await self.pause_for(vm, self.random.uniform(0.2, 3.0))

    async def reload(self):
        vm = self.pick_vm()
        if vm is None:
            return
        self.note(vm, "settings change, SIGHUP")
        vm.settings_path.write_text(json.dumps({**self.fleet.settings_of(vm), "note": str(time.monotonic())}))
        vm.process.send_signal(signal.SIGHUP)

    async def server_fails(self):
        vm = self.pick_vm()
        if vm is None:
            return
        share = self.random.uniform(0.1, 0.6)
        fault = self.random.choice([{"extra": share}, {"lost": share}, {"cut": share}, {"unsigned": share}, {"failed": share}, {"slowness": 8.0}])
        self.note(vm, f"server {fault}")
        vm.server.fault = Fault(**fault)
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        vm.server.fault = Fault()

    async def server_crashes(self):
        vm = self.pick_vm()
        if vm is None:
            return
        vm.is_taken = True
        self.note(vm, "server crashes")
        await vm.server.crash()
        vm.is_taken = False

    async def server_leaves(self):
        """Lets a server announce that it leaves, run on for a while and exit; a new one then takes its address."""
        vm = self.pick_vm()
        if vm is None:
            return
        vm.is_taken = True
        vm.heartbeat_task.cancel()
        how = Leaving.draw(self.leaving)
        self.note(vm, f"server leaves: {how}")
        if how.restart == "before":
            await self.kill_and_start(vm, how.pause)
        if await self.announce_leaving(vm, how):
            self.record.left(vm.server.instance)
            if how.restart == "after":
                await self.kill_and_start(vm, how.pause)
            await self.keep_running(vm, how, DRAIN + self.random.uniform(0.5, 2.0))
        vm.server.state = "ready"
        vm.server.sequence = 0
        await vm.server.crash()
        vm.heartbeat_task = asyncio.ensure_future(self.fleet.send_heartbeats(vm))
        vm.is_taken = False

    async def announce_leaving(self, vm, how):
        """Announces that a server leaves until its daemon acknowledges it; returns whether it did."""
        for _ in range(20):
            report = vm.server.deregister(vm.reports) if how.is_deregistration else vm.server.report(vm.reports, state="draining")
            if await report == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def keep_running(self, vm, how, seconds):
        """Keeps a leaving server running; once deregistered it sends no heartbeats, but a delayed earlier one may still arrive."""
        for step in range(int(seconds / 0.3)):
            if not how.is_deregistration:
                await vm.server.report(vm.reports)
            if step == how.late_at:
                await vm.server.report_late(vm.reports)
            await asyncio.sleep(0.3)

    async def link_fails(self):
        vm = self.pick_vm()
        if vm is None:
            return
        kind = self.random.choice(list(vm.links))
        link = vm.links[kind]
        how = self.random.choice(["delay", "reset", "silence", "there", "back", "both", "refuse"])
        seconds = self.random.uniform(0.3, 3.0)
        self.note(vm, f"link to {kind}: {how} for {seconds:.2f} s")
        if kind == "backend":
            self.record.note_link_fault(vm, seconds)
        if how == "delay":
            link.delay = self.random.uniform(0.02, 0.3)
        elif how == "reset":
            link.reset()
        elif how == "silence":
            link.silence()
        elif how == "refuse":
            link.refuses = True
            link.reset()
        else:
            link.blocked = frozenset(("there", "back")) if how == "both" else frozenset((how,))
        await asyncio.sleep(seconds)
        link.heal()

    async def store_fails(self):
        how = self.random.choice(["refuse", "silent", "lose", "forget"])
        seconds = self.random.uniform(0.5, 5.0)
        self.note(None, f"{how} for {seconds:.2f} s")
        if how == "forget":
            self.fleet.store.forget_history()
            return
        self.fleet.store.fault = how
        await asyncio.sleep(seconds)
        self.fleet.store.fault = None

    async def configure(self):
        self.change_configuration()
        self.note(None, f"configuration {self.version}")

    # Checks that concern no single request.

    async def check_rest(self):
        """Checks, without requests in flight, that nothing is left running or queued, that retries kept their budget and that logs are JSON."""
        for _ in range(50):
            left = [vm.name for vm in self.fleet.vms if vm.server.running > 0 or vm.server.waiting] + self.busy_daemons()
            if not left:
                break
            await asyncio.sleep(0.2)
        else:
            self.record.report_violation("LEFT", f"runs remain at {left} although no client waits for them")
        self.record.check_budget()
        for vm in self.fleet.vms:
            self.check_log(vm)

    def busy_daemons(self):
        return [vm.name for vm in self.fleet.vms if not self.has_nothing_in_flight(vm)]

    @staticmethod
    def has_nothing_in_flight(vm):
        with urllib.request.urlopen(f"http://{vm.readiness}/metrics", timeout=10) as page:
            lines = page.read().decode().splitlines()
        return {"egretlatch_in_flight 0", "egretlatch_queued 0"} <= set(lines)
