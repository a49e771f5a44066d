"""Reports of another writer about a server that is well or leaves, with real daemon processes against the platform stand-in."""

import asyncio
import json
import signal
import unittest

from fleet_case import HOST, FleetCase

from fleet.client import Client
from fleet.server import post

MISSING = object()
# Fields of a heartbeat, each missing or of another type; a path of names, and the value.
SPOILT = [(("born",), value) for value in (MISSING, 0, -1, 1.5, None, "1790000000000", [], {})]
SPOILT += [(path, value) for path in (("address",), ("info",), ("status",), ("info", "service"), ("info", "slots"), ("status", "state"), ("status", "seq"))
           for value in (MISSING, None, [], "")]
LATER_BORN_MS = 60_000


def heartbeat(server, state="ready", later=0):
    return {"address": server.announced, "born": server.started_ms + later,
            "info": {"service": server.service, "version": "v1", "zone": "z1", "slots": server.slots},
            "status": {"state": state, "seq": server.sequence + 1, "cold_remaining": "0ms"}}


def spoil(report, path, value):
    *folders, name = path
    place = report
    for folder in folders:
        place = place[folder]
    if value is MISSING:
        del place[name]
    else:
        place[name] = value
    return report


class OtherWriters(FleetCase):
    def leaving_vm(self):
        vm = next(vm for vm in self.fleet.vms if vm.server.service == "log")
        vm.heartbeat_task.cancel()
        return vm

    async def report(self, vm, body):
        return await post(vm.reports, f"/api/instances/{vm.server.instance}/heartbeat", json.dumps(body).encode())

    async def send_entries(self, count, prefix):
        caller = next(vm for vm in self.fleet.vms if vm.server.service == "history")
        return [(await Client(caller.callers).send(f"{prefix}-{number}", HOST, "/entry/", method="POST")).status for number in range(count)]

    async def test_no_spoilt_report_brings_a_leaving_server_back(self):
        # Guards against launches for a server that has announced that it leaves.
        vm = self.leaving_vm()
        self.assertEqual(200, await vm.server.report(vm.reports, state="draining"))
        await asyncio.sleep(1.2)
        before = vm.server.arrivals
        for number, (path, value) in enumerate(SPOILT):
            for later in (0, LATER_BORN_MS):
                body = spoil(heartbeat(vm.server, later=later), path, value)
                self.assertEqual(400, await self.report(vm, body), body)
            await self.send_entries(2, f"n-{number}")
        self.assertEqual(before, vm.server.arrivals)

    async def test_no_spoilt_report_takes_servers_out_that_are_well(self):
        # Guards against a service that is away for good after one report about each of its servers.
        for path, value in SPOILT:
            for vm in self.fleet.vms:
                for state in ("ready", "draining"):
                    self.assertEqual(400, await self.report(vm, spoil(heartbeat(vm.server, state), path, value)))
        for vm in self.fleet.vms:
            self.assertEqual(400, await post(vm.reports, f"/api/instances/{vm.server.instance}/deregister", b""))
            self.assertEqual(400, await post(vm.reports, f"/api/instances/{vm.server.instance}/deregister", b'{"born":0}'))
        for _ in range(6):
            await asyncio.sleep(1)
            self.assertEqual([200] * 4, await self.send_entries(4, "n"))

    async def test_a_report_without_a_start_brings_no_server_back_to_a_daemon_that_has_restarted(self):
        vm = self.leaving_vm()
        self.assertEqual(200, await vm.server.report(vm.reports, state="draining"))
        self.fleet.signal(vm, signal.SIGKILL)
        await asyncio.to_thread(vm.process.wait)
        self.fleet.start_daemon(vm)
        self.assertTrue(await self.fleet.ready(15))
        before = vm.server.arrivals
        for number in range(6):
            await self.report(vm, spoil(heartbeat(vm.server), ("born",), MISSING))
            await self.send_entries(4, f"n-{number}")
            await asyncio.sleep(0.4)
        self.assertEqual(before, vm.server.arrivals)


if __name__ == "__main__":
    unittest.main()
