"""End-to-end tests of departures that the daemons have forgotten, with real daemon processes against the platform stand-in."""

import asyncio
import signal
import unittest

from fleet_case import HOST, FleetCase

from fleet.client import Client

# Reports that were sent before the departure and arrive after it, in seconds after the restart of the daemons.
LATE_REPORTS = (1.0, 1.3, 1.8, 3.3, 4.8)


class Departures(FleetCase):
    def leaving_vm(self):
        vm = next(vm for vm in self.fleet.vms if vm.server.service == "log")
        vm.heartbeat_task.cancel()
        return vm

    async def kill_and_restart_all(self):
        for vm in self.fleet.vms:
            self.fleet.signal(vm, signal.SIGKILL)
        for vm in self.fleet.vms:
            await asyncio.to_thread(vm.process.wait)
        for vm in self.fleet.vms:
            self.fleet.start_daemon(vm)
        self.assertTrue(await self.fleet.ready(15))

    async def send_entries(self, count, prefix):
        caller = next(vm for vm in self.fleet.vms if vm.server.service == "history")
        for number in range(count):
            await Client(caller.callers).send(f"{prefix}-{number}", HOST, "/entry/", method="POST")

    async def expect_no_arrivals_after_late_reports(self, vm):
        """Delivers the reports of before the departure one after the other, and sends entries between them."""
        first = vm.server.sequence + 1
        vm.server.sequence += len(LATE_REPORTS)
        before = vm.server.arrivals
        elapsed = 0.0
        for number, moment in enumerate(LATE_REPORTS):
            await asyncio.sleep(moment - elapsed)
            elapsed = moment
            await vm.server.send_heartbeat(vm.reports, "ready", first + number)
            await self.send_entries(6, f"n-{number}")
        self.assertEqual(before, vm.server.arrivals)

    async def test_late_reports_in_series_bring_no_requests_after_the_loss_of_all_daemons(self):
        # Guards against requests for a server that left, after two reports of before were taken for one that is alive.
        vm = self.leaving_vm()
        self.assertEqual(200, await vm.server.deregister(vm.reports))
        await self.kill_and_restart_all()
        await self.expect_no_arrivals_after_late_reports(vm)

    async def test_a_health_check_that_is_wrong_brings_no_requests_after_the_loss_of_all_daemons(self):
        # Guards against requests for a server that left and whose health check still answers 200.
        vm = self.leaving_vm()
        vm.server.lies_about_health = True
        self.assertEqual(200, await vm.server.report(vm.reports, state="draining"))
        await self.kill_and_restart_all()
        await self.expect_no_arrivals_after_late_reports(vm)

    async def test_a_departure_is_not_forgotten_when_all_daemons_are_lost_twice(self):
        vm = self.leaving_vm()
        vm.server.lies_about_health = True
        self.assertEqual(200, await vm.server.deregister(vm.reports))
        await self.kill_and_restart_all()
        await self.kill_and_restart_all()
        await self.expect_no_arrivals_after_late_reports(vm)

    async def test_a_server_that_is_well_returns_after_the_loss_of_all_daemons_though_its_health_check_says_otherwise(self):
        # Guards against a service that stays away for as long as its health checks are wrong.
        for server in self.fleet.servers("log"):
            server.lies_about_health = True
        await self.kill_and_restart_all()
        await asyncio.sleep(self.fleet.heartbeat + 0.7)
        statuses = [(await Client(vm.callers).send("n-1", HOST, "/entry/", method="POST")).status for vm in self.fleet.vms]
        self.assertEqual([200] * len(self.fleet.vms), statuses)

    async def test_a_departure_is_acknowledged_once_the_store_has_it(self):
        # Guards against an acknowledgement that no later daemon knows of, given while the store was away.
        for fault in ("refuse", "lose", "silent"):
            vm = self.leaving_vm()
            self.fleet.store.fault = fault
            self.assertNotEqual(200, await vm.server.report(vm.reports, state="draining"), fault)
            self.fleet.store.fault = None
            # A call to the silent store ends after two seconds.
            await asyncio.sleep(3.5)
            self.assertEqual(200, await vm.server.report(vm.reports), fault)
            self.assertIn("departure not acknowledged", self.fleet.log(vm))
            vm.server.state = "ready"
            vm.server.started_ms += 1
            self.assertEqual(200, await vm.server.report(vm.reports))

    async def test_a_server_gets_requests_again_though_its_daemon_starts_while_the_store_is_away(self):
        # Guards against a server that is well and kept out for as long as the store is away.
        vm = next(vm for vm in self.fleet.vms if vm.server.service == "log")
        # Others confirm only a daemon that they knew while it served.
        await self.wait_for_arrivals(vm, 0)
        self.fleet.store.fault = "refuse"
        self.fleet.signal(vm, signal.SIGKILL)
        await asyncio.to_thread(vm.process.wait)
        self.fleet.start_daemon(vm)
        self.assertTrue(await self.fleet.ready(15))
        await self.wait_for_arrivals(vm, vm.server.arrivals)
        # The daemon writes its log every 100 ms.
        await asyncio.sleep(0.5)
        self.assertIn('"learnedFrom":"peers"', self.fleet.log(vm))

    async def wait_for_arrivals(self, vm, before):
        """Sends entries until more than the given number have reached the server of a VM."""
        for _ in range(100):
            await self.send_entries(4, "n")
            if vm.server.arrivals > before:
                break
            await asyncio.sleep(0.1)
        self.assertGreater(vm.server.arrivals, before)

    async def test_a_departure_is_told_to_a_daemon_that_starts_while_the_store_is_away(self):
        vm = self.leaving_vm()
        self.assertEqual(200, await vm.server.deregister(vm.reports))
        await asyncio.sleep(1)
        self.fleet.store.fault = "refuse"
        self.fleet.signal(vm, signal.SIGKILL)
        await asyncio.to_thread(vm.process.wait)
        self.fleet.start_daemon(vm)
        self.assertTrue(await self.fleet.ready(15))
        await self.expect_no_arrivals_after_late_reports(vm)


if __name__ == "__main__":
    unittest.main()
