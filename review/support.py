"""Shared by the cases of the review: the program under test, the small deployment, the record and the exit codes."""

import asyncio
import os
import pathlib
import sys
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT / "standin"))

from fleet.client import Client  # noqa: E402
from fleet import fleet as standin  # noqa: E402
from fleet.fleet import configuration, route  # noqa: E402

# run.sh turns BROKEN into 1; an error of Python itself ends with 1 and means that the case could not run.
HELD, BROKEN, NOT_RUN = 0, 10, 2
HOST = "mesh.example"
# The bounds of the users' small sites.
BOUNDS = {"grace": "6s", "drain": "2s", "retry_budget_ratio": "0.2", "budget_slack": "47", "loss_slack": "200ms",
          "config_apply": "2000ms", "stability_window": "3000ms"}
GRACE = 6.0


def has_trouble():
    return os.environ.get("TROUBLE", "1") != "0"


def binary():
    """Returns the newest build of the program: the users' build in target/, or the developers' one in build/."""
    built = [path for path in (ROOT / "target/egretlatch", ROOT / "build/egretlatch") if path.exists()]
    return str(max(built, key=lambda path: path.stat().st_mtime)) if built else None


class Record:
    """Writes what was sent, answered and run, with the seconds since its start."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.began = time.monotonic()

    def note(self, text):
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()


class Fleet(standin.Fleet):
    """A small deployment that ends its processes also when it fails to start."""

    async def __aenter__(self):
        try:
            return await super().__aenter__()
        except BaseException:
            await self.__aexit__()
            raise


class NotRun(Exception):
    """The case could not be played."""


async def until(condition, seconds, what):
    """Waits until the asynchronous condition is true; the case has not run otherwise."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise NotRun(f"{what} was not reached within {seconds} s")


async def start(fleet, routes, services, paths):
    """Sends the first configuration and waits until each daemon is ready and serves each of the paths."""
    fleet.store.put_configuration(configuration(1, routes, services, LIMITS))
    if not await fleet.ready(20):
        raise NotRun("the daemons did not get ready")

    async def all_served():
        clients = [(Client(vm.callers), path) for vm in fleet.vms for path in paths]
        answers = [await client.send(f"probe-{time.monotonic_ns()}", HOST, path) for client, path in clients]
        return all(answer.status == 200 for answer in answers)

    await until(all_served, 30, "a fleet that serves each route")


LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": "3000ms", "idle_timeout": "15000ms"}


def play(folder, case):
    """Plays a case; `case` takes the record and returns the violations of the rule."""
    record = Record(folder)
    if binary() is None:
        record.note("not run: the program is not built")
        return NOT_RUN
    record.note(f"the disruption is {'on' if has_trouble() else 'off'}")
    try:
        violations = asyncio.run(asyncio.wait_for(case(record), 100))
    except Exception as reason:  # noqa: BLE001: whatever fails here is no verdict on the rule
        record.note(f"not run: {reason!r}")
        print(f"not run: {reason!r}")
        return NOT_RUN
    for violation in violations:
        record.note(f"BROKEN {violation}")
    verdict = f"{len(violations)} violations" if violations else "held"
    record.note(verdict)
    print(verdict)
    return BROKEN if violations else HELD


__all__ = ["BOUNDS", "BROKEN", "Client", "Fleet", "GRACE", "HELD", "HOST", "NOT_RUN", "NotRun", "Record", "binary", "configuration",
           "has_trouble", "play", "route", "start", "until"]
