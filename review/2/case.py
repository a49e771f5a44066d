"""A daemon is stopped while members download their season's archive over slow lines; their answers are cut off.

The archive servers have given their whole answers within a tenth of a second. The daemon that took the requests holds what
the members have not read yet. It gets SIGTERM, finds that no request is in flight, and ends long before `grace`.
"""

import asyncio
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import support  # noqa: E402
from support import GRACE, HOST, has_trouble, route  # noqa: E402

DOWNLOADS = 6
ANSWER_BYTES = 4_000_000
# 6.4 Mbit/s: an answer takes 5 s, within the route's timeout and `grace`.
BYTES_A_SECOND = 800_000
# As between two machines on Ethernet; loopback's own segments of 64 KB would let the kernel take 4 MB ahead of the reader.
SEGMENT = 1400
RECEIVE_BUFFER = 16384
TIMEOUT = 6.0
# Half of the downloads are sent before SIGTERM, half after it, before the platform can have noticed that the daemon is not ready.
SIGTERM_AFTER = 0.5
LATE_AFTER = 0.7
SERVICES = {"history": (2, 8, 8), "archive": (2, 8, 8)}
KINDS = {"lookup": {"work": 0.02}, "export": {"work": 0.05}}


def routes():
    return {"lookup": {**route(HOST, "history"), "prefix": "/lookup/"},
            "export": {**route(HOST, "archive", kind="download", timeout=int(TIMEOUT * 1000), target=5000), "prefix": "/export/"}}


def enlarge(server, record):
    """Makes a server's answers as large as an archive; notes when an answer has left it whole."""
    plain_send = server.send

    async def send(result, name, writer):
        if not name.startswith("export"):
            return await plain_send(result, name, writer)
        sent = await plain_send((200, b"a" * ANSWER_BYTES), name, writer)
        record.note(f"the server has sent the whole answer of {name}")
        server.whole.add(name)
        return sent

    server.whole = set()
    server.send = send


class Download:
    """One download by a member who reads at the speed of the line."""

    def __init__(self, name, outbound, record):
        self.name = name
        self.address = outbound.split(":")
        self.record = record
        self.received = 0
        self.expected = None
        self.status = None
        self.end = "is open"

    async def play(self):
        loop = asyncio.get_running_loop()
        member = socket.socket()
        member.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        member.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT)
        member.setblocking(False)
        await loop.sock_connect(member, (self.address[0], int(self.address[1])))
        request = f"GET /export/{self.name} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {self.name}\r\nX-Deadline-Ms: {int(TIMEOUT * 1000)}\r\n\r\n"
        await loop.sock_sendall(member, request.encode())
        self.began = time.monotonic()
        self.record.note(f"sent {self.name}")
        try:
            await asyncio.wait_for(self.read(loop, member), TIMEOUT)
        except asyncio.TimeoutError:
            self.end = "reached its deadline"
        except OSError as reason:
            self.end = f"ended: {reason!r}"
        self.seconds = time.monotonic() - self.began
        member.close()
        self.record.note(f"{self.name}: status {self.status}, {self.received} of {self.expected} bytes after {self.seconds:.2f} s, the connection {self.end}")

    async def read(self, loop, member):
        head = b""
        while b"\r\n\r\n" not in head:
            data = await loop.sock_recv(member, 4096)
            if not data:
                self.end = "ended"
                return
            head += data
        head, _, body = head.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").lower().split("\r\n")
        self.status = int(lines[0].split(" ")[1])
        self.expected = next(int(line.split(":")[1]) for line in lines if line.startswith("content-length"))
        self.received = len(body)
        while self.received < self.expected:
            data = await loop.sock_recv(member, 8192)
            if not data:
                self.end = "ended"
                return
            self.received += len(data)
            ahead = self.received / BYTES_A_SECOND - (time.monotonic() - self.began)
            await asyncio.sleep(max(0.0, ahead))

    def is_cut(self):
        return self.end not in ("is open", "reached its deadline") and self.received < (self.expected or 1)


async def case(record):
    async with support.Fleet(support.binary(), SERVICES, KINDS, bounds=support.BOUNDS, heartbeat=0.5) as fleet:
        await support.start(fleet, routes(), SERVICES, ["/lookup/", "/export/"])
        await asyncio.sleep(4)
        for server in fleet.servers("archive"):
            enlarge(server, record)
        stopped = next(vm for vm in fleet.vms if vm.server.service == "history")
        downloads = [Download(f"export-{number}", stopped.callers, record) for number in range(DOWNLOADS)]
        began = time.monotonic()
        tasks = [asyncio.ensure_future(download.play()) for download in downloads[:DOWNLOADS // 2]]
        await asyncio.sleep(SIGTERM_AFTER)
        signalled = time.monotonic()
        if has_trouble():
            record.note("SIGTERM to the daemon that took the requests")
            fleet.signal(stopped, signal.SIGTERM)
        await asyncio.sleep(LATE_AFTER - SIGTERM_AFTER)
        tasks += [asyncio.ensure_future(download.play()) for download in downloads[DOWNLOADS // 2:]]
        ended = None
        while not all(task.done() for task in tasks):
            if ended is None and stopped.process.poll() is not None:
                ended = time.monotonic() - signalled
                record.note(f"the daemon has ended {ended:.2f} s after SIGTERM, of {GRACE:.0f} s")
            await asyncio.sleep(0.02)
        whole = set().union(*(server.whole for server in fleet.servers("archive")))
        violations = []
        for download in downloads:
            record.note(f"{download.name}: ran {fleet.runs(download.name)} times")
            at = download.began + download.seconds - signalled
            if download.is_cut() and download.name in whole and at < GRACE + 1:
                violations.append(f"LOST: {download.name} ran, its server sent {ANSWER_BYTES} bytes, the connection ended {at:.2f} s after SIGTERM "
                                  f"and {download.seconds:.2f} s of {TIMEOUT:.0f} s with {download.received} of {download.expected} bytes")
        if not has_trouble() and any(download.received != download.expected for download in downloads):
            violations.append("a download was not whole without a disruption")
        return violations


if __name__ == "__main__":
    sys.exit(support.play(pathlib.Path(__file__).resolve().parent, case))
