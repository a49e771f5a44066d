"""Callers, and daemons in the place of callers, that pause in the middle of an answer, with real daemon processes."""

import asyncio
import signal
import socket
import unittest
import urllib.request

from fleet_case import HOST, KINDS, SERVICES, FleetCase, routes, spec
from memory import without_quarantine

from fleet.fleet import configuration

ANSWER_BYTES = 4_000_000
# Segments and a buffer as on a line, or the kernel would take most of an answer ahead of the caller.
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 16384
# The grace period of the test fleet, after which the platform kills.
GRACE_SECONDS = 6
# Memory of the users' VMs.
VM_MEMORY_BYTES = 260 * 1024 * 1024
# Together their answers are larger than the memory; each batch is within the slots of the servers.
CALLER_BATCH = 12
CALLER_BATCHES = 10


class PausingCaller:
    """Caller of one large answer on a raw socket."""

    def __init__(self, vm, name, pipelined=0):
        host, port = vm.callers.split(":")
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self.socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        self.socket.connect((host, int(port)))
        self.socket.settimeout(10)
        for number in range(pipelined + 1):
            self.socket.sendall(f"GET /export/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {name}.{number}\r\nX-Deadline-Ms: 20000\r\n\r\n".encode())
        self.answers = pipelined + 1

    def begin(self):
        """Waits for the first bytes of the first answer."""
        return self.socket.recv(1, socket.MSG_PEEK)

    def read_all(self):
        """Reads until the whole bodies have come or the connection ends; returns the number of bytes."""
        received = 0
        while received < self.answers * ANSWER_BYTES:
            try:
                data = self.socket.recv(65536)
            except OSError:
                break
            if not data:
                break
            received += len(data)
        return received

    def close(self):
        self.socket.close()


class PausedCallers(FleetCase):
    kinds = {**KINDS, "export": {"work": 0.05, "answer_bytes": ANSWER_BYTES}}
    bounds = {"grace": f"{GRACE_SECONDS}s", "drain": "1s", "retry_budget_ratio": "0.2", "budget_slack": "1000"}

    async def asyncSetUp(self):
        with without_quarantine():
            await super().asyncSetUp()
        self.fleet.store.put_configuration(configuration(2, routes(**spec("export", "log", kind="download", timeout=20000, target=5000)),
                                                         SERVICES))
        await asyncio.sleep(1)
        self.vm = next(vm for vm in self.fleet.vms if vm.server.service == "history")

    async def begin(self, count, pipelined=0):
        callers = [PausingCaller(self.vm, f"n-{number}", pipelined) for number in range(count)]
        for caller in callers:
            self.addCleanup(caller.close)
        await asyncio.gather(*(asyncio.to_thread(caller.begin) for caller in callers))
        return callers

    async def expect_whole(self, callers):
        received = await asyncio.gather(*(asyncio.to_thread(caller.read_all) for caller in callers))
        for caller, count in zip(callers, received):
            self.assertGreaterEqual(count, caller.answers * ANSWER_BYTES)

    async def test_callers_that_pause_in_their_answers_get_them_whole_at_a_shutdown(self):
        # Guards against downloads that are cut off because their callers took nothing for some seconds.
        callers = await self.begin(3)
        self.fleet.signal(self.vm)
        await asyncio.sleep(0.2)
        callers += await self.begin(3)
        await asyncio.sleep(3.5)
        await self.expect_whole(callers)
        self.assertEqual(0, await asyncio.to_thread(self.vm.process.wait, GRACE_SECONDS))

    async def test_pipelined_answers_behind_one_in_which_the_caller_pauses_come_whole_at_a_shutdown(self):
        callers = await self.begin(2, pipelined=1)
        await asyncio.sleep(0.5)
        self.fleet.signal(self.vm)
        await asyncio.sleep(3.5)
        await self.expect_whole(callers)

    async def test_callers_that_pause_without_a_shutdown_get_their_answers_whole(self):
        # Guards against the kernel's limit on unacknowledged bytes, which also ends connections whose callers only pause.
        callers = await self.begin(3)
        await asyncio.sleep(17)
        await self.expect_whole(callers)

    async def test_many_callers_that_never_read_on_hold_up_neither_memory_nor_the_end(self):
        # Guards against a daemon that is killed for its memory, or at the end of its grace period, because of callers that pause.
        for _ in range(CALLER_BATCHES):
            await self.begin(CALLER_BATCH)
        await asyncio.sleep(0.5)
        with await asyncio.to_thread(urllib.request.urlopen, f"http://{self.vm.readiness}/metrics", None, 10) as page:
            text = page.read().decode()
        resident = next(float(line.split()[1]) for line in text.splitlines() if line.startswith("egretlatch_resident_memory_bytes"))
        self.assertLess(resident, VM_MEMORY_BYTES)
        self.assertTrue('"event":"answer not delivered","reason":"memory"' in self.fleet.log(self.vm))
        self.fleet.signal(self.vm)
        self.assertEqual(0, await asyncio.to_thread(self.vm.process.wait, GRACE_SECONDS))

    async def test_a_daemon_that_pauses_gets_the_answers_of_one_that_ends(self):
        # Guards against answers that a serving daemon has given and that are lost with it, since the entry was paused.
        others = [vm for vm in self.fleet.vms if vm.server.service == "log"]
        for vm in others:
            vm.server.fault.slowness = 20
        callers = [PausingCaller(self.vm, f"n-{number}") for number in range(4)]
        for caller in callers:
            self.addCleanup(caller.close)
        await asyncio.sleep(0.3)
        self.fleet.signal(self.vm, signal.SIGSTOP)
        try:
            for vm in others:
                self.fleet.signal(vm)
            await asyncio.sleep(4.5)
        finally:
            self.fleet.signal(self.vm, signal.SIGCONT)
        await self.expect_whole(callers)


if __name__ == "__main__":
    unittest.main()
