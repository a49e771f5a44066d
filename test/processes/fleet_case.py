"""Base class for end-to-end tests with a small fleet of real daemons against the platform stand-in."""

import asyncio
import sys
import unittest

from support import BUILD, ROOT

sys.path.insert(0, str(ROOT / "standin"))

from fleet.client import Client  # noqa: E402
from fleet.fleet import Fleet, configuration, route  # noqa: E402

HOST = "mesh.example"
SERVICES = {"history": (2, 8, 8), "log": (2, 8, 8), "roster": (2, 4, 8)}
# A retry budget that no test exhausts; the budget itself has its own tests.
BOUNDS = {"grace": "4s", "drain": "1s", "retry_budget_ratio": "0.2", "budget_slack": "1000"}
KINDS = {"lookup": {"work": 0.004, "calls": [(HOST, "/winch/")]}, "winch": {"work": 0.004}, "entry": {"work": 0.01}, "read": {"work": 0.004}}


def spec(name, service, **more):
    return {name: {**route(HOST, service, **more), "prefix": f"/{name}/"}}


def routes(**changed):
    made = {**spec("lookup", "history"), **spec("winch", "roster"), **spec("read", "roster", priority=0),
            **spec("entry", "log", kind="non_idempotent", priority=0)}
    made.update(changed)
    return made


class FleetCase(unittest.IsolatedAsyncioTestCase):
    kinds = KINDS
    bounds = BOUNDS

    async def asyncSetUp(self):
        self.fleet = await Fleet(str(BUILD / "egretlatch"), SERVICES, self.kinds, bounds=self.bounds).__aenter__()
        self.fleet.store.put_configuration(configuration(1, routes(), SERVICES))
        self.assertTrue(await self.fleet.ready(), "\n".join(self.fleet.log(vm) for vm in self.fleet.vms if vm.process.poll() is not None))
        await self.all_known()

    async def asyncTearDown(self):
        await self.fleet.__aexit__()

    async def all_known(self):
        """Waits until each VM reaches each service."""
        for _ in range(100):
            answers = [await Client(vm.callers).send("probe", HOST, f"/{name}/") for vm in self.fleet.vms for name in ("lookup", "read")]
            if all(answer.status == 200 for answer in answers):
                return
            await asyncio.sleep(0.1)
        self.fail("the daemons did not discover each other: " + "\n".join(self.fleet.log(vm) for vm in self.fleet.vms))
