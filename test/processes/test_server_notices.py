"""What backend servers say of themselves in their answers, at real daemons: the requests a second that they take, and that they leave."""

import asyncio
import time
import unittest

from fleet_case import HOST, FleetCase

from fleet.client import Client
from fleet.server import Fault

# Bounds of the platform.
STABILITY_WINDOW = 3.0
WINDOW = 4.0
DRAIN = 1.0


def most_in_window(times, since):
    """Returns the largest number of arrivals in any window that begins at `since` or later."""
    late = [at for at in times if at >= since]
    return max((sum(1 for other in late if at <= other < at + WINDOW) for at in late), default=0)


class ServerNotices(FleetCase):
    async def send(self, seconds, per_second, path="/read/x", vms=None):
        """Sends requests at a constant rate through all daemons in turn; returns the statuses."""
        vms = vms or self.fleet.vms
        calls = []
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            vm = vms[len(calls) % len(vms)]
            calls.append(asyncio.ensure_future(Client(vm.callers).send(f"n-{time.monotonic_ns()}", HOST, path, timeout=2.0)))
            await asyncio.sleep(1 / per_second)
        return [answer.status for answer in await asyncio.gather(*calls)]

    def expect_limit(self, server, limit, named_at):
        most = most_in_window(server.arrived_at, named_at + STABILITY_WINDOW)
        print(f"{self.id().rsplit('.', 1)[1]}: {most} requests in {WINDOW} s, limit {limit}", flush=True)
        self.assertLessEqual(most, 1.5 * limit * WINDOW + 5)
        self.assertGreaterEqual(most, 0.9 * limit * WINDOW)

    async def test_one_server_that_names_a_limit_gets_no_more_and_the_other_takes_the_rest(self):
        # Guards against requests beyond the limit that a server names in its answers.
        limited, other = self.fleet.servers("roster")
        limited.fault = Fault(limit=5)
        began = time.monotonic()
        statuses = await self.send(10, 60)
        self.expect_limit(limited, 5, began)
        self.assertGreater(statuses.count(200), 0.9 * len(statuses))
        self.assertGreater(len(other.arrived_at), len(limited.arrived_at))

    async def test_inner_calls_count_for_the_limit_and_what_fits_nowhere_is_refused(self):
        for server in self.fleet.servers("roster"):
            server.fault = Fault(limit=5)
        began = time.monotonic()
        statuses = await self.send(10, 40, "/lookup/x")
        for server in self.fleet.servers("roster"):
            self.expect_limit(server, 5, began)
        self.assertIn(429, statuses)
        self.assertGreater(statuses.count(200), 50)

    async def test_a_limit_below_one_a_second_that_ends(self):
        # Guards against a server that is shut out for good, as no request of its asks whether its limit still holds.
        limited = self.fleet.servers("roster")[0]
        limited.fault = Fault(limit=0.3)
        began = time.monotonic()
        await self.send(9, 40)
        most = most_in_window(limited.arrived_at, began + STABILITY_WINDOW)
        self.assertLessEqual(most, 1.5 * 0.3 * WINDOW + 5)
        limited.fault = Fault()
        before = limited.arrivals
        await self.send(8, 40)
        self.assertGreater(limited.arrivals - before, 40)

    async def test_a_daemon_that_is_killed_and_started_holds_the_limit(self):
        limited = self.fleet.servers("roster")[0]
        limited.fault = Fault(limit=5)
        began = time.monotonic()
        vm = next(vm for vm in self.fleet.vms if vm.server is limited)
        sending = asyncio.ensure_future(self.send(14, 60, vms=[each for each in self.fleet.vms if each is not vm]))
        await asyncio.sleep(5)
        vm.process.kill()
        vm.process.wait()
        self.fleet.start_daemon(vm)
        await sending
        self.expect_limit(limited, 5, began)

    async def test_a_server_that_says_in_its_answers_that_it_leaves_gets_no_more_requests(self):
        # Guards against requests to a server whose reports still say that it is ready.
        leaving, other = self.fleet.servers("roster")
        leaving.fault = Fault(leaving=True)
        began = time.monotonic()
        statuses = await self.send(6, 40)
        # One request tells; those on the way when it is answered may still arrive.
        late = [at for at in leaving.arrived_at if at > began + 2 * DRAIN]
        self.assertEqual([], late)
        self.assertEqual(len(statuses), statuses.count(200))
        leaving.fault = Fault()
        before = leaving.arrivals
        await self.send(2, 20)
        self.assertEqual(before, leaving.arrivals, "the server does not return within the same incarnation")


if __name__ == "__main__":
    unittest.main()
