"""Stand-in for an application server, as a process of its own, for the cases of the second review.

It speaks what the users' PROTOCOL.md says of servers: it sends heartbeats to the control address of its machine, runs requests in
slots, answers with X-Server-Stamp and echoes X-Request-Id, answers 421 to a request that expects another instance, and 503 with
X-Not-Executed when it is full. What it sees goes to its standard output, one JSON object a line; orders come on standard input:

    drain SECONDS   report that it leaves, serve for SECONDS after the acknowledgement, deregister and exit

A request with /crash in its path ends the process as soon as it begins to run.

A POST below /import/ is answered before its long body has been read, without a length: the answer ends with its connection, after
the rest of the body has been read.
"""

import argparse
import asyncio
import json
import os
import random
import sys
import time

QUEUE = 72
CRASH_MARK = "/crash"
CRASHED = 3
# As `fleetbench wire` shows the answer of a server that sheds: without X-Request-Id.
SHED = b"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
IMPORT_PARTS = 20
IMPORT_PART_SECONDS = 0.05
READ_SIZE = 65536


def import_answer(path):
    """Returns the whole body with which an import is answered."""
    return b"".join(f"{path} part {number} of {IMPORT_PARTS}\n".encode() for number in range(1, IMPORT_PARTS + 1))


def tell(event, **fields):
    print(json.dumps({"event": event, "at": time.monotonic(), **fields}), flush=True)


async def post(address, path, body):
    """Sends a report; returns the status, or None if it is not answered within a second."""
    host, port = address.split(":")

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        data = json.dumps(body).encode()
        writer.write(f"POST {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n"
                     f"Content-Length: {len(data)}\r\nConnection: close\r\n\r\n".encode() + data)
        line = await reader.readline()
        writer.close()
        return int(line.split()[1])

    try:
        return await asyncio.wait_for(exchange(), 1)
    except (OSError, IndexError, ValueError, asyncio.TimeoutError):
        return None


class Server:
    def __init__(self, options):
        self.options = options
        self.state = "ready"
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.running = 0
        self.waiting = []
        self.random = random.Random(options.instance)

    def report(self):
        self.sequence += 1
        options = self.options
        return {"address": options.address, "born": self.born,
                "info": {"service": options.service, "version": "v1", "zone": options.zone, "slots": options.slots},
                "status": {"state": self.state, "seq": self.sequence, "cold_remaining": "0ms"}}

    async def send_heartbeat(self):
        report = self.report()
        status = await post(self.options.control, f"/api/instances/{self.options.instance}/heartbeat", report)
        if self.state == "draining" and status == 200:
            tell("acknowledged", seq=report["status"]["seq"])
        return status

    async def send_heartbeats(self):
        while True:
            await self.send_heartbeat()
            await asyncio.sleep(self.options.heartbeat)

    async def leave(self, seconds):
        self.state = "draining"
        tell("leaves", seq=self.sequence + 1, born=self.born)
        while await self.send_heartbeat() != 200:
            await asyncio.sleep(0.2)
        await asyncio.sleep(seconds)
        await post(self.options.control, f"/api/instances/{self.options.instance}/deregister", {"born": self.born})
        tell("exits", running=self.running)
        os._exit(0)

    async def slot(self):
        if self.running < self.options.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        await turn

    def free(self):
        if self.waiting:
            self.waiting.pop(0).set_result(None)
        else:
            self.running -= 1

    def head(self, status, name, fields=()):
        reasons = {200: "OK", 400: "Bad Request", 421: "Misdirected Request", 503: "Service Unavailable"}
        lines = [f"HTTP/1.1 {status} {reasons[status]}", f"X-Request-Id: {name}", *fields]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def whole(self, status, name, body=b"", fields=()):
        return self.head(status, name, [f"Content-Length: {len(body)}", *fields]) + body

    def stamp(self, name):
        return [f"X-Server-Stamp: {self.options.instance}.{name}", f"X-Server-Load: {self.running},{len(self.waiting)},{self.options.slots}"]

    async def serve(self, reader, writer):
        writer.second = b""
        try:
            while await self.serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def serve_one(self, reader, writer):
        try:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        except asyncio.IncompleteReadError:
            return False
        method, path, _ = lines[0].split(" ")
        fields = {name.strip().lower(): value.strip() for name, _, value in (line.partition(":") for line in lines[1:] if line)}
        name = fields.get("x-request-id", "")
        length = int(fields.get("content-length", 0))
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            writer.write(self.whole(status, name, fields=[f"X-Instance-Id: {self.options.instance}"]))
            return True
        if fields.get("x-expected-instance", self.options.instance) != self.options.instance:
            await reader.readexactly(length)
            writer.write(self.whole(421, name, fields=[f"X-Instance-Id: {self.options.instance}", "X-Not-Executed: 1"]))
            return True
        if path.startswith("/import/"):
            await self.answer_import(path, name, length, reader, writer)
            return False
        body = await reader.readexactly(length)
        tell("arrives", name=name, path=path)
        # A second answer that arrives late, at the point where the next one is expected.
        writer.write(writer.second)
        writer.second = b""
        if self.random.random() < self.options.sheds:
            shed = SHED if self.options.bare else self.whole(503, name, fields=["X-Not-Executed: 1"])
            writer.write(shed)
            writer.second = shed if self.random.random() < self.options.seconds else b""
            return True
        if self.running >= self.options.slots and len(self.waiting) >= QUEUE:
            writer.write(self.whole(503, name, fields=["X-Not-Executed: 1"]))
            return True
        await self.slot()
        try:
            tell("runs", name=name, method=method, path=path, bytes=len(body))
            if CRASH_MARK in path:
                tell("crashes", name=name, path=path)
                os._exit(CRASHED)
            await asyncio.sleep(self.options.work)
        finally:
            self.free()
        writer.write(self.whole(200, name, f"{method} {path} by {self.options.instance}\n".encode(), self.stamp(name)))
        await writer.drain()
        tell("answers", name=name)
        return True

    async def answer_import(self, path, name, length, reader, writer):
        await self.slot()
        try:
            tell("runs", name=name, method="POST", path=path)
            left = length - len(await reader.read(READ_SIZE))
            writer.write(self.head(200, name, [*self.stamp(name), "Connection: close"]))
            for part, line in enumerate(import_answer(path).splitlines(keepends=True), 1):
                writer.write(line)
                await writer.drain()
                tell("wrote", name=name, part=part)
                await asyncio.sleep(IMPORT_PART_SECONDS)
            while left > 0:
                left -= len(await reader.read(READ_SIZE))
            tell("answers", name=name)
        finally:
            self.free()

    async def take_orders(self):
        loop = asyncio.get_running_loop()
        reader = asyncio.StreamReader()
        await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
        while line := await reader.readline():
            order, seconds = line.split()
            if order == b"drain":
                self.leaving = asyncio.ensure_future(self.leave(float(seconds)))

    async def run(self):
        host, port = (self.options.listen or self.options.address).split(":")
        listener = await asyncio.start_server(self.serve, host, int(port), backlog=256)
        tell("starts", instance=self.options.instance, born=self.born)
        async with listener:
            await asyncio.gather(self.send_heartbeats(), self.take_orders())


def main():
    parser = argparse.ArgumentParser()
    for name in ("instance", "service", "zone", "address", "control"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=36)
    parser.add_argument("--work", type=float, default=0.29)
    parser.add_argument("--heartbeat", type=float, default=1.5)
    parser.add_argument("--listen", help="address to listen at, if a relay forwards from --address")
    parser.add_argument("--sheds", type=float, default=0.0, help="share of the requests that are rejected")
    parser.add_argument("--seconds", type=float, default=0.0, help="share of the rejections that are sent a second time")
    parser.add_argument("--bare", action="store_true", help="rejections name no request")
    asyncio.run(Server(parser.parse_args()).run())


if __name__ == "__main__":
    main()
