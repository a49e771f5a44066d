"""Faults of the soak that take the memory of all daemons at once, mislead a new one, or leave answers half read."""

import asyncio
import signal
import socket
import time

from .client import Answer
from .faults import EXCUSED
from .server import Fault

EXPORT = "export"
EXPORT_BYTES = 1_500_000
# Segments and a buffer as on a line, so that the daemon holds a part of each answer.
SEGMENT_BYTES = 1400
RECEIVE_BUFFER_BYTES = 16384
READ_BYTES = 65536


class ReviewFaults:
    """Faults and clients for a soak with `fleet`, `record`, `random` generators of its own and `keep` of servers that leave."""

    def review_faults(self):
        return [self.all_lost_after_departure, self.all_lost_after_departure, self.health_lies, self.health_lies, self.trailers_spoilt]

    async def take_all(self):
        """Waits until no fault holds a VM, and keeps others from taking one; returns false after some seconds."""
        for _ in range(40):
            if not any(getattr(vm, "is_taken", False) for vm in self.vms):
                for vm in self.vms:
                    vm.is_taken = True
                return True
            await asyncio.sleep(0.1)
        return False

    async def all_lost_after_departure(self):
        """Kills all daemons once the departure of a server is acknowledged; reports of before arrive at the new daemon in series."""
        if self.is_all_lost or not await self.take_all():
            return
        self.is_all_lost = True
        rng = self.review
        vm = rng.choice(self.vms)
        vm.heartbeat_task.cancel()
        vm.server.lies_about_health = rng.random() < 0.5
        is_deregistration = rng.random() < 0.5
        reports = rng.randint(1, 5)
        # Reports that were sent before the departure and are held up.
        first = vm.server.sequence + 1
        vm.server.sequence += reports
        self.note(vm, f"leaves, then all daemons are killed, then {reports} late reports; false health: {vm.server.lies_about_health}")
        if await self.acknowledge_departure(vm, is_deregistration):
            self.record.left(vm.server.instance)
            await self.restart_all(rng.uniform(0.0, 0.3), rng.uniform(0.0, 1.0))
            for number in range(reports):
                await asyncio.sleep(rng.uniform(0.05, 1.2))
                await vm.server.send_heartbeat(vm.reports, "ready", first + number)
            await asyncio.sleep(1.5)
        vm.server.lies_about_health = False
        vm.server.state = "ready"
        vm.server.sequence = 0
        await vm.server.crash()
        vm.heartbeat_task = asyncio.ensure_future(self.fleet.send_heartbeats(vm))
        for each in self.vms:
            each.is_taken = False
        self.is_all_lost = False

    async def acknowledge_departure(self, vm, is_deregistration):
        for _ in range(10):
            report = vm.server.deregister(vm.reports) if is_deregistration else vm.server.report(vm.reports, state="draining")
            if await report == 200:
                return True
            await asyncio.sleep(0.2)
        return False

    async def restart_all(self, before, between):
        await asyncio.sleep(before)
        for vm in self.vms:
            self.record.note_daemon_fault(vm, EXCUSED)
            self.expected_exits.add(vm.process.pid)
            vm.process.send_signal(signal.SIGKILL)
        for vm in self.vms:
            await asyncio.to_thread(vm.process.wait)
        await asyncio.sleep(between)
        for vm in self.vms:
            self.start_daemon(vm)

    async def health_lies(self):
        vm = self.review.choice(self.vms)
        self.note(vm, "false health checks")
        vm.server.lies_about_health = True
        await asyncio.sleep(self.review.uniform(1.0, 5.0))
        vm.server.lies_about_health = False

    async def trailers_spoilt(self):
        vm = self.review.choice(self.vms)
        self.note(vm, "spoilt trailers")
        vm.server.fault = Fault(spoilt_trailer=self.review.uniform(0.1, 0.6))
        await asyncio.sleep(self.review.uniform(0.5, 4.0))
        vm.server.fault = Fault()

    async def pausing_client(self, rng):
        """Sends one request for a large answer after the other, and pauses in the middle of each."""
        while not self.is_over:
            vm = rng.choice(self.vms)
            name, sent = self.next_export(vm)
            timeout = 8.0
            answer = await asyncio.to_thread(read_with_pause, vm.callers, name, sent.path, self.host, rng.uniform(0.0, 1.5), timeout)
            self.record.note_outcome(name, answer, False, timeout)
            await asyncio.sleep(rng.expovariate(2))


def read_with_pause(endpoint, name, path, host, pause, timeout):
    """Sends a request on a new connection, reads a part of the answer, pauses, and reads the rest."""
    address, port = endpoint.split(":")
    with socket.socket() as connection:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
        connection.settimeout(timeout)
        received = b""
        try:
            connection.connect((address, int(port)))
            connection.sendall(f"GET {path} HTTP/1.1\r\nHost: {host}\r\nX-Request-Id: {name}\r\nX-Deadline-Ms: 6000\r\n\r\n".encode())
            connection.recv(1, socket.MSG_PEEK)
            time.sleep(pause)
            while (answer := parse(name, received)) is None:
                data = connection.recv(READ_BYTES)
                if not data:
                    break
                received += data
        except OSError:
            answer = None
    return answer or Answer(name, None, {}, b"", 0.0)


def parse(name, received):
    """Returns the answer once it is whole."""
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {key.strip().lower(): value.strip() for key, _, value in (line.partition(":") for line in lines[1:])}
    if len(body) < int(fields.get("content-length", 0)):
        return None
    return Answer(name, int(lines[0].split(" ")[1]), fields, body, 0.0)
