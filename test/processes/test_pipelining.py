"""Callers that pipeline requests, with real daemons against the platform stand-in."""

import asyncio
import json
import signal
import time
import unittest

from fleet_case import HOST, FleetCase

from fleet.client import Pipeline
from fleet.server import Fault


class Pipelining(FleetCase):
    async def test_requests_behind_a_slow_one_run_concurrently_and_each_gets_its_own_answer(self):
        # Guards against pipelined requests that run in sequence, so that the last answer takes the sum of all their times.
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=50)
        pipeline = Pipeline(self.fleet.vms[0].callers)
        await pipeline.send([(f"p-{number}", HOST, "/read/") for number in range(4)])
        await asyncio.sleep(0.1)
        self.assertEqual(4, sum(server.running for server in self.fleet.servers("roster")))
        answers = await pipeline.receive()
        self.assertEqual([200] * 4, [answer.status for answer in answers])
        self.assertEqual([f"p-{number}" for number in range(4)], [json.loads(answer.body)["name"] for answer in answers])

    async def test_an_entry_behind_a_read_waits_for_it_and_runs_once(self):
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=50)
        pipeline = Pipeline(self.fleet.vms[0].callers)
        await pipeline.send([("p-read", HOST, "/read/"), ("p-entry", HOST, "/entry/", "POST"), ("p-last", HOST, "/read/")])
        await asyncio.sleep(0.1)
        self.assertEqual(0, self.fleet.runs("p-entry"))
        answers = await pipeline.receive()
        self.assertEqual([200] * 3, [answer.status for answer in answers])
        self.assertEqual(1, self.fleet.runs("p-entry"))

    async def test_the_time_of_a_route_counts_from_reading(self):
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=500)
        pipeline = Pipeline(self.fleet.vms[0].callers)
        await pipeline.send([(f"p-{number}", HOST, "/read/", "GET", b"", 0.4) for number in range(4)])
        answers = await pipeline.receive()
        self.assertEqual([504] * 4, [answer.status for answer in answers])
        self.assertLess(answers[-1].seconds, 0.8)

    async def test_a_caller_that_leaves_ends_all_that_it_has_under_way(self):
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=500)
        pipeline = Pipeline(self.fleet.vms[0].callers)
        await pipeline.send([(f"p-{number}", HOST, "/read/") for number in range(5)])
        started = await self.count_started(5)
        # The fifth may still wait at a daemon whose server has no free slot; it never starts.
        self.assertGreaterEqual(started, 4)
        pipeline.close()
        await asyncio.sleep(0.5)
        self.assertEqual(started, sum(server.cancelled for server in self.fleet.servers("roster")))
        self.assertEqual(started, sum(self.fleet.runs(f"p-{number}") for number in range(5)))

    async def count_started(self, count):
        """Returns how many of `count` requests have started, once all have or none has started for a second."""
        started, since = 0, time.monotonic()
        while started < count and time.monotonic() - since < 1:
            await asyncio.sleep(0.02)
            now = sum(self.fleet.runs(f"p-{number}") for number in range(count))
            started, since = (now, time.monotonic()) if now > started else (started, since)
        return started

    async def test_a_shutdown_answers_all_that_was_taken_and_closes_with_the_last(self):
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=50)
        vm = self.fleet.vms[0]
        pipeline = Pipeline(vm.callers)
        await pipeline.send([(f"p-{number}", HOST, "/read/") for number in range(4)])
        await asyncio.sleep(0.05)
        self.fleet.signal(vm, signal.SIGTERM)
        await asyncio.sleep(0.05)
        await pipeline.send([("p-behind", HOST, "/entry/", "POST")])
        answers = await pipeline.receive()
        self.assertEqual([200] * 4, [answer.status for answer in answers])
        self.assertEqual([None] * 3 + ["close"], [answer.fields.get("connection") for answer in answers])
        self.assertEqual(0, self.fleet.runs("p-behind"))


if __name__ == "__main__":
    unittest.main()
