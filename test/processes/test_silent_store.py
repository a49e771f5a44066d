"""Changes of the configuration after silences of the store, with real daemon processes against the platform stand-in."""

import asyncio
import unittest

from fleet_case import HOST, SERVICES, FleetCase, routes, spec

from fleet.client import Client
from fleet.fleet import configuration

# Times of the users' platform: a change is due two seconds after its acknowledgement if the store has been sound for three.
APPLY_SECONDS = 2.0
STABILITY_SECONDS = 3.0
POLL_SECONDS = 14.0
START_SECONDS = 4.0


class SilentStore(FleetCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        # Daemons that have just started do not count themselves among the readers yet.
        await asyncio.sleep(START_SECONDS)

    async def change(self, version):
        fresh = spec(f"fresh-{version}", "log")
        self.fleet.store.put_configuration(configuration(version, routes(**fresh), SERVICES))

    async def be_silent(self, seconds):
        self.fleet.store.fault = "silent"
        await asyncio.sleep(seconds)
        self.fleet.store.fault = None

    async def expect_in_force(self, version):
        await asyncio.sleep(APPLY_SECONDS)
        statuses = [(await Client(vm.callers).send("n", HOST, f"/fresh-{version}/")).status for vm in self.fleet.vms]
        self.assertEqual([200] * len(self.fleet.vms), statuses)

    async def test_a_change_is_in_force_in_time_after_a_silence_as_the_polls_end(self):
        # Guards against polls that a silent store lost, and that all daemons wait for while it answers again.
        await self.change(2)
        await asyncio.sleep(POLL_SECONDS + 0.1)
        await self.be_silent(1.0)
        await asyncio.sleep(STABILITY_SECONDS)
        await self.change(3)
        await self.expect_in_force(3)

    async def test_a_change_is_in_force_in_time_after_a_silence_that_loses_all_calls(self):
        await self.change(2)
        for version, pause in ((3, 0.05), (4, 1.7), (5, 3.3)):
            await asyncio.sleep(pause)
            await self.be_silent(2.2)
            await asyncio.sleep(STABILITY_SECONDS)
            await self.change(version)
            await self.expect_in_force(version)


if __name__ == "__main__":
    unittest.main()
