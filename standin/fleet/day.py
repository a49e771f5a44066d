"""Plays a day file of deploy/days/ (load and faults) against real daemons, and counts the outcomes."""

import asyncio
import collections
import json
import pathlib
import random
import signal
import time

from .client import Client
from .fleet import Fleet, configuration, route
from .processor import processor_seconds
from .server import Fault

HOST = "day.example"
REFUSALS = (429, 503)


class Tally:
    """Counts the outcomes of the requests of one route."""

    def __init__(self):
        self.sent = 0
        self.served = 0
        self.in_time = 0
        self.refused = 0
        self.failed = 0
        self.seconds = []

    def document(self):
        times = sorted(self.seconds)
        return {"sent": self.sent, "served": self.served, "inTime": self.in_time, "refused": self.refused, "failed": self.failed,
                "p50Ms": round(times[len(times) // 2] * 1000, 1) if times else None,
                "p99Ms": round(times[len(times) * 99 // 100] * 1000, 1) if times else None}


class Day:
    """Plays one day; `policy` overrides the daemons' default, to compare it with a baseline."""

    def __init__(self, binary, path, policy=None, seed=1):
        self.plan = json.loads(pathlib.Path(path).read_text())
        self.seed = seed
        self.random = random.Random(seed)
        self.policy = policy
        services = {name: tuple(shape) for name, shape in self.plan["services"].items()}
        kinds = {name: {"work": kind["work"], "calls": [(HOST, f"/{inner}/") for inner in kind.get("calls", [])]}
                 for name, kind in self.plan["kinds"].items()}
        settings = {"policy": policy} if policy else {}
        self.fleet = Fleet(binary, services, kinds, heartbeat=0.5, bounds=self.plan.get("bounds"), settings=settings, seed=seed)
        self.services = services
        self.tallies = collections.defaultdict(Tally)
        self.unsafe = []
        self.factor = 1.0
        self.request_count = 0

    def configuration(self):
        routes = {name: {**route(HOST, **spec), "prefix": f"/{name}/"} for name, spec in self.plan["routes"].items()}
        return configuration(1, routes, self.services)

    async def play(self):
        async with self.fleet:
            self.fleet.store.put_configuration(self.configuration())
            if not await self.fleet.ready():
                raise RuntimeError("the daemons are not ready:\n" + "\n".join(self.fleet.log(vm)[-500:] for vm in self.fleet.vms))
            await asyncio.sleep(1.5)
            before = self.processor_seconds()
            calls = [asyncio.ensure_future(self.load(load)) for load in self.plan["load"]]
            faults = [asyncio.ensure_future(self.inject(event)) for event in self.plan.get("events", [])]
            await asyncio.gather(*calls, *faults)
            return self.result(self.processor_seconds() - before)

    async def load(self, load):
        """Sends requests of one route open-loop, with exponential intervals, regardless of earlier outcomes."""
        end = time.monotonic() + self.plan["seconds"]
        sent = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.expovariate(load["perSecond"] * self.factor))
            sent.append(asyncio.ensure_future(self.request(load)))
        await asyncio.gather(*sent)

    async def request(self, load):
        """Sends one request with the retries that clients of the platform make."""
        name = load["route"]
        spec = self.plan["routes"][name]
        tally = self.tallies[name]
        tally.sent += 1
        began = time.monotonic()
        deadline = began + load.get("deadlineMs", 3000) / 1000
        is_safe = spec.get("kind", "idempotent") != "non_idempotent"
        for attempt in range(1 + load.get("retries", 1)):
            self.request_count += 1
            answer = await self.attempt(f"d{self.seed}-{self.request_count}", name, is_safe, deadline - time.monotonic())
            if answer.status == 200:
                tally.served += 1
                tally.seconds.append(time.monotonic() - began)
                tally.in_time += time.monotonic() - began <= spec.get("target", 800) / 1000
                return
            if not is_safe and answer.status not in REFUSALS:
                break
            left = deadline - time.monotonic()
            if left <= 0 or attempt == load.get("retries", 1):
                break
            if answer.status in REFUSALS:
                await asyncio.sleep(min(float(answer.fields.get("retry-after", 0)), left / 3))
        if answer.status in REFUSALS:
            tally.refused += 1
        else:
            tally.failed += 1

    async def attempt(self, request, name, is_safe, left):
        if not is_safe:
            self.unsafe.append(request)
        vm = self.random.choice([vm for vm in self.fleet.vms if vm.process.poll() is None])
        client = Client(vm.callers)
        answer = await client.send(request, HOST, f"/{name}/{request}", method="GET" if is_safe else "POST", timeout=max(left, 0.001))
        client.close()
        return answer

    async def inject(self, event):
        """Applies one event of the plan and reverts it after its duration."""
        await asyncio.sleep(event["at"])
        do = event["do"]
        if do == "load":
            self.factor = event["factor"]
        elif do == "store":
            self.fleet.store.fault = event["trouble"]
        elif do == "fault":
            affected = self.select_vms(event)
            for vm in affected:
                vm.server.fault = Fault(**event["fault"])
        elif do == "kill":
            affected = self.select_vms(event)
            for vm in affected:
                self.fleet.signal(vm, signal.SIGKILL)
                vm.process.wait()
        else:
            raise ValueError(f"unknown event {do}: expected load, store, fault or kill")
        await asyncio.sleep(event.get("seconds", 1))
        if do == "load":
            self.factor = 1.0
        elif do == "store":
            self.fleet.store.fault = None
        elif do == "fault":
            for vm in affected:
                vm.server.fault = Fault()
        else:
            for vm in affected:
                self.fleet.start_daemon(vm)

    def select_vms(self, event):
        vms = [vm for vm in self.fleet.vms if event.get("service") in (None, vm.server.service)]
        return self.random.sample(vms, max(1, round(len(vms) * event.get("share", 0.5))))

    def processor_seconds(self):
        return sum(processor_seconds(vm.process.pid) for vm in self.fleet.vms if vm.process.poll() is None)

    def result(self, processor_seconds):
        runs = collections.Counter()
        for vm in self.fleet.vms:
            runs.update(vm.server.runs)
        arrivals = {name: sum(server.arrivals for server in self.fleet.servers(name)) for name in self.services}
        return {
            "story": self.plan["story"],
            "policy": self.policy or "adaptive",
            "seed": self.seed,
            "routes": {name: self.tallies[name].document() for name in sorted(self.tallies)},
            "arrivals": arrivals,
            "rejected": {name: sum(server.rejected for server in self.fleet.servers(name)) for name in self.services},
            # Requests that are not idempotent and ran more than once; must be empty on every day.
            "ranTwice": [name for name in self.unsafe if runs[name] > 1],
            "processorMsAnArrival": round(processor_seconds * 1000 / max(1, sum(arrivals.values())), 3),
        }
