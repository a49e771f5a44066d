"""All daemons are killed right after one acknowledged that its server leaves; a heartbeat from before comes after their start.

The server deregisters and gets its acknowledgement. All daemons are killed and start again: nobody is left who was told. A
heartbeat that the server sent before, held up on its way, arrives. The new daemon takes the server for a serving one, and it
gets entries seconds after `drain`; what runs there is lost when the server ends.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import support  # noqa: E402
from fleet.server import Observer  # noqa: E402
from support import HOST, Client, has_trouble, route  # noqa: E402

DRAIN = 2.0
IN_TOUCH = 3.0
KILL_AFTER = 0.05
RESTART_AFTER = 0.5
HEARTBEAT_AT = 4.5
SERVER_ENDS_AT = 8.0
ENTRIES = 60
SERVICES = {"history": (2, 8, 8), "log": (3, 8, 8)}
KINDS = {"lookup": {"work": 0.02}, "entry": {"work": 0.8}}


def routes():
    return {"lookup": {**route(HOST, "history"), "prefix": "/lookup/"},
            "entry": {**route(HOST, "log", kind="non_idempotent", priority=0, timeout=4000, target=3000), "prefix": "/entry/"}}


class Arrivals(Observer):
    """Notes when requests arrive at a server; those that it answers 421 are not seen here."""

    def __init__(self):
        self.at = {}

    def arrived(self, server, name, request):
        self.at[name] = time.monotonic()


async def send_entry(vm, name, record):
    record.note(f"sent {name}")
    answer = await Client(vm.callers).send(name, HOST, "/entry/", method="POST", timeout=5.0)
    record.note(f"{name}: {answer.status} after {answer.seconds:.2f} s")
    return answer


async def case(record):
    async with support.Fleet(support.binary(), SERVICES, KINDS, bounds=support.BOUNDS, heartbeat=0.5) as fleet:
        await support.start(fleet, routes(), SERVICES, ["/lookup/", "/entry/"])
        await asyncio.sleep(4)
        vm = next(vm for vm in fleet.vms if vm.server.service == "log")
        caller = next(vm for vm in fleet.vms if vm.server.service == "history")
        vm.heartbeat_task.cancel()
        # The heartbeat that is held up on its way: the last one that the server sent as a ready one.
        server = vm.server
        server.sequence += 1
        held = server.sequence
        status = await server.deregister(vm.reports)
        acknowledged = time.monotonic()
        if status != 200:
            raise support.NotRun(f"the deregistration was answered {status}")
        record.note(f"{server.instance} has deregistered and got its acknowledgement")

        def since():
            return time.monotonic() - acknowledged

        await asyncio.sleep(KILL_AFTER)
        if has_trouble():
            record.note("SIGKILL to all daemons")
            for each in fleet.vms:
                fleet.signal(each, signal.SIGKILL)
            for each in fleet.vms:
                await asyncio.to_thread(each.process.wait)
            await asyncio.sleep(RESTART_AFTER - since())
            for each in fleet.vms:
                fleet.start_daemon(each)
            restarted = time.monotonic()
        if not await fleet.ready(4):
            raise support.NotRun("the daemons did not get ready again")
        await asyncio.sleep(HEARTBEAT_AT - since())
        status = await server.send_heartbeat(vm.reports, "ready", held)
        record.note(f"the heartbeat from before arrives: {status}")
        arrivals = Arrivals()
        server.observer = arrivals
        await asyncio.sleep(0.2)
        entries = []
        for number in range(ENTRIES):
            entries.append(asyncio.ensure_future(send_entry(caller, f"entry-{number}", record)))
            await asyncio.sleep(0.05)
        await asyncio.sleep(max(0.0, SERVER_ENDS_AT - since()))
        record.note(f"{server.instance} ends")
        server.server.close()
        for writer in list(server.writers):
            writer.transport.abort()
        answers = {answer.name: answer for answer in await asyncio.gather(*entries)}
        violations = []
        lost = []
        for name, at in arrivals.at.items():
            record.note(f"{name} reached {server.instance} {at - acknowledged:.2f} s after the acknowledgement; answered {answers[name].status}")
            if at - acknowledged > DRAIN and (not has_trouble() or at - restarted > IN_TOUCH):
                violations.append(f"DRAIN: {name} reached the server that left {at - acknowledged:.2f} s after the acknowledgement, answered {answers[name].status}")
            if answers[name].status != 200 and fleet.runs(name) > 0:
                lost.append(name)
        record.note(f"{len(arrivals.at)} entries reached the server that left; {len(lost)} of them ran there and were lost with it: {lost}")
        return violations


if __name__ == "__main__":
    sys.exit(support.play(pathlib.Path(__file__).resolve().parent, case))
