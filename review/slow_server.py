"""Not a case: a fault of part one beyond the three, kept so that it can be played again. Exits with 10 if the rule was broken.

A daemon is stopped while a server reads long requests slowly; the requests are broken off although the server is at work.

The log servers take the head of a long entry, begin to work on it, and read the rest of its body four seconds later. The daemon
beside the server gives the connection up after three seconds without room for more bytes. The caller, whose daemon is in an
orderly shutdown, gets an answer of the daemon's own, 502, in place of the server's.
"""

import asyncio
import pathlib
import signal
import sys
import tempfile
import time

import support  # noqa: E402
from fleet import wire  # noqa: E402
from support import GRACE, HOST, Client, has_trouble, route  # noqa: E402

ENTRIES = 4
BODY = b"e" * 900_000
PAUSE = 4.0
WORK = 0.1
SIGTERM_AFTER = 0.5
TIMEOUT = 6.0
SERVICES = {"history": (2, 8, 8), "log": (2, 8, 8)}
KINDS = {"lookup": {"work": 0.02}, "entry": {"work": 0.02}}


def routes():
    return {"lookup": {**route(HOST, "history"), "prefix": "/lookup/"},
            "entry": {**route(HOST, "log", kind="non_idempotent", priority=0, timeout=int(TIMEOUT * 1000), target=5000), "prefix": "/entry/"}}


class LongEntries:
    """Makes a server read the bodies of long entries `pause` seconds after their heads."""

    def __init__(self, server, pause, record):
        self.server = server
        self.pause = pause
        self.record = record
        self.at_work = {}
        self.plain_serve = server.serve

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                lines = head.split("\r\n")
                fields = {name.lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
                name = fields["x-request-id"]
                length = int(fields.get("content-length", 0))
                if fields.get("x-expected-instance") not in (None, self.server.instance):
                    writer.write(wire.response(421, {"X-Request-Id": name, "X-Not-Executed": "1"}))
                    return
                self.server.runs[name] += 1
                is_long = length > 100_000
                if is_long:
                    self.record.note(f"the server begins {name}, {length} bytes")
                    self.at_work[name] = "at work"
                    writer.transport.pause_reading()
                    await asyncio.sleep(self.pause)
                    writer.transport.resume_reading()
                try:
                    body = await reader.readexactly(length)
                except asyncio.IncompleteReadError as cut:
                    self.record.note(f"the server found {name} broken off: {len(cut.partial)} of {length} bytes")
                    return
                await asyncio.sleep(WORK)
                answer = {"X-Request-Id": name, "X-Server-Stamp": f"{self.server.instance}.{name}"}
                writer.write(wire.response(200, answer, str(len(body)).encode()))
                await writer.drain()
                if is_long:
                    self.at_work[name] = "answered"
                    self.record.note(f"the server has answered {name}")
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


async def send_entry(vm, name, record):
    record.note(f"sent {name}")
    answer = await Client(vm.callers).send(name, HOST, "/entry/", method="POST", body=BODY, timeout=TIMEOUT)
    answer.at = time.monotonic()
    record.note(f"{name}: {answer.status} {answer.body[:100]!r} after {answer.seconds:.2f} s")
    return answer


async def case(record):
    fleet = support.Fleet(support.binary(), SERVICES, KINDS, bounds=support.BOUNDS, heartbeat=0.5)
    async with fleet:
        await support.start(fleet, routes(), SERVICES, ["/lookup/", "/entry/"])
        slow = {}
        for server in fleet.servers("log"):
            server.server.close()
            slow[server.instance] = LongEntries(server, PAUSE if has_trouble() else 0.0, record)
            server.serve = slow[server.instance].serve
            await server.start()
        await asyncio.sleep(4)
        stopped = next(vm for vm in fleet.vms if vm.server.service == "history")
        entries = [asyncio.ensure_future(send_entry(stopped, f"entry-{number}", record)) for number in range(ENTRIES)]
        await asyncio.sleep(SIGTERM_AFTER)
        signalled = time.monotonic()
        if has_trouble():
            record.note("SIGTERM to the daemon that took the requests")
            fleet.signal(stopped, signal.SIGTERM)
        answers = await asyncio.gather(*entries)
        violations = []
        for answer in answers:
            runs = fleet.runs(answer.name)
            states = [entries.at_work[answer.name] for entries in slow.values() if answer.name in entries.at_work]
            record.note(f"{answer.name}: ran {runs} times, answered {answer.status}, its server was then {states}")
            is_in_time = answer.at - signalled < GRACE + 1 and answer.seconds < TIMEOUT - 0.5
            if is_in_time and runs > 0 and "answered" not in states and answer.status != 200:
                violations.append(f"LOST: {answer.name} was broken off {answer.at - signalled:.2f} s after SIGTERM, {answer.seconds:.2f} s of {TIMEOUT:.0f} s, "
                                  f"while its server was at work; the answer in its place was {answer.status}")
        await asyncio.sleep(1.5)
        return violations


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as folder:
        verdict = support.play(folder, case)
        print((pathlib.Path(folder) / "record.txt").read_text(encoding="utf-8"))
    sys.exit(verdict)
