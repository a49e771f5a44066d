"""Stand-in for a backend server: slots and a queue, inner calls, and injectable faults."""

import asyncio
import collections
import json
import random
import time

from . import wire

STAMP = "x-server-stamp"
HEALTH_PATH = "/health"
SPOILT_TRAILER_BYTES = 70_000


class Fault:
    """Injected faults of a server: shares of its answers, a slowdown factor and a crash trigger."""

    def __init__(self, **shares):
        self.extra = shares.get("extra", 0.0)
        self.lost = shares.get("lost", 0.0)
        self.cut = shares.get("cut", 0.0)
        self.unsigned = shares.get("unsigned", 0.0)
        self.failed = shares.get("failed", 0.0)
        # Answers in chunks with a trailer field that is longer than any header may be.
        self.spoilt_trailer = shares.get("spoilt_trailer", 0.0)
        self.slowness = shares.get("slowness", 1.0)
        # Path substring of requests that crash the server when they start; it returns after `down` seconds.
        self.crash_on = shares.get("crash_on", "")
        # Service whose requests crash the server; those of any service if empty.
        self.crash_caller = shares.get("crash_caller", "")
        # A server that falls silent at its end keeps its connections and accepts new ones, but answers nothing.
        self.ends_silent = shares.get("ends_silent", False)
        self.down = shares.get("down", 1.0)
        # Requests a second that the server names as its limit in each answer; none if None.
        self.limit = shares.get("limit")
        # Says in each answer that the server is leaving.
        self.leaving = shares.get("leaving", False)

    def answer_fields(self):
        """Returns the header fields by which the server describes itself in its answers."""
        limit = {} if self.limit is None else {"Server-Limit": str(self.limit)}
        return {**limit, "Server-Leaving": "1"} if self.leaving else limit

    def crashes_on(self, request):
        is_caller = self.crash_caller in ("", request.fields.get("x-caller-service"))
        return bool(self.crash_on) and self.crash_on in request.target and is_caller


class Observer:
    """Receives the events of a server; this base class ignores them."""

    def arrived(self, server, name, request):
        """Called when a request arrives, before it is accepted or rejected."""

    def began(self, server, name, request):
        """Called when a request starts to run."""

    def called_inner(self, server, name, parent, path):
        """Called when a run makes an inner call."""

    def answered(self, server, name, status, body):
        """Called when a run has ended; its answer may still be lost or corrupted by a fault."""


class Server:
    """Runs requests for the `work` seconds of their kind; a kind may make inner calls through the daemon on the same VM."""

    def __init__(self, instance, service, address, slots, queue, kinds, seed=1):
        self.instance = instance
        self.service = service
        self.address = address
        # Address in its heartbeats; differs from `address` if a link forwards to it.
        self.announced = address
        self.slots = slots
        self.queue = queue
        self.kinds = kinds
        self.outbound = None
        self.random = random.Random(f"{seed}/{instance}")
        self.observer = Observer()
        self.fault = Fault()
        self.running = 0
        self.waiting = collections.deque()
        self.runs = collections.Counter()
        self.callers = set()
        self.arrivals = 0
        self.arrived_at = []
        self.rejected = 0
        self.cancelled = 0
        self.state = "ready"
        # Set if health checks answer wrongly: 200 from a server that leaves, 503 from one that is well.
        self.lies_about_health = False
        self.sequence = 0
        self.started_ms = int(time.time() * 1000)
        self.accepts_after_drain = None
        self.crashes = 0
        self.crashed_at = []
        self.is_down = False
        self.writers = set()

    async def start(self):
        host, port = self.address.split(":")
        self.server = await asyncio.start_server(self.serve, host, int(port), backlog=1024)

    async def stop(self):
        self.server.close()

    async def crash(self):
        """Simulates a crash: reports and answers nothing until it returns as a new instance, and accepts no connection unless it falls silent."""
        if self.is_down:
            return
        self.is_down = True
        self.crashes += 1
        self.crashed_at.append(time.monotonic())
        ends_silent = self.fault.ends_silent
        if not ends_silent:
            self.server.close()
            for writer in list(self.writers):
                writer.transport.abort()
        await asyncio.sleep(self.fault.down)
        self.instance = f"{self.instance.split('+')[0]}+{self.crashes}"
        self.started_ms = int(time.time() * 1000)
        self.running = 0
        self.waiting.clear()
        self.is_down = False
        if not ends_silent:
            await self.start()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                if not await self.take(request, reader, writer):
                    break
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def answer_health(self, writer):
        """Answers a health check: 200 while the server accepts requests, 503 once it leaves."""
        status = 200 if (self.state == "ready") != self.lies_about_health else 503
        writer.write(wire.response(status, {"X-Instance-Id": self.instance, "X-Server-Load": self.load()}))

    async def take(self, request, reader, writer):
        if self.is_down:
            await self.stay_silent(reader)
            return False
        incarnation = self.crashes
        if request.method == "GET" and request.target == HEALTH_PATH:
            self.answer_health(writer)
            return True
        name = request.fields.get("x-request-id", "")
        expected = request.fields.get("x-expected-instance")
        if expected not in (None, self.instance):
            writer.write(wire.response(421, {"X-Instance-Id": self.instance, "X-Request-Id": name, "X-Not-Executed": "1"}))
            return True
        self.arrivals += 1
        self.arrived_at.append(time.monotonic())
        self.observer.arrived(self, name, request)
        if self.state != "ready" and self.accepts_after_drain is None:
            self.accepts_after_drain = time.monotonic()
        if self.running >= self.slots and len(self.waiting) >= self.queue:
            self.rejected += 1
            writer.write(wire.response(503, {"X-Not-Executed": "1", "X-Request-Id": name, "X-Server-Load": self.load(), **self.fault.answer_fields()}))
            return True
        run = asyncio.ensure_future(self.run(request, name))
        disconnected = asyncio.ensure_future(reader.read(1))
        await asyncio.wait({run, disconnected}, return_when=asyncio.FIRST_COMPLETED)
        if not run.done():
            self.cancelled += 1
            run.cancel()
            return False
        # Nothing was read, so the reader is usable for the next request.
        disconnected.cancel()
        try:
            await disconnected
        except asyncio.CancelledError:
            pass
        if incarnation != self.crashes:
            await self.stay_silent(reader)
            return False
        return await self.send(run.result(), name, writer)

    @staticmethod
    async def stay_silent(reader):
        """Leaves a connection open without an answer until its other end closes it."""
        while await reader.read(65536):
            pass

    def load(self):
        return f"{self.running},{len(self.waiting)},{self.slots}"

    async def slot(self):
        if self.running < self.slots:
            self.running += 1
            return
        turn = asyncio.get_running_loop().create_future()
        self.waiting.append(turn)
        try:
            await turn
        except asyncio.CancelledError:
            if turn in self.waiting:
                self.waiting.remove(turn)
            elif turn.done():
                self.free()
            raise

    def free(self):
        while self.waiting:
            turn = self.waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        self.running -= 1

    async def run(self, request, name):
        await self.slot()
        incarnation = self.crashes
        try:
            self.runs[name] += 1
            self.observer.began(self, name, request)
            if self.fault.crashes_on(request):
                self.crashing = asyncio.ensure_future(self.crash())
            self.callers.add(request.fields.get("x-caller-service"))
            kind = self.kinds.get(request.target.strip("/").split("/")[0], {})
            deadline = time.monotonic() + int(request.fields.get("x-deadline-ms", 60000)) / 1000
            await asyncio.sleep(kind.get("work", 0.005) * self.fault.slowness * self.random.uniform(0.6, 1.4))
            for target in kind.get("calls", []):
                if not await self.call(target, name, deadline):
                    return 500, b"call failed"
            if self.random.random() < self.fault.failed:
                return 500, b"failed"
            padding = b"a" * kind.get("answer_bytes", 0)
            return 200, json.dumps({"name": name, "server": self.instance}).encode() + padding + request.body
        finally:
            # The slots of an earlier incarnation ended with it.
            if incarnation == self.crashes:
                self.free()

    async def call(self, target, parent, deadline):
        """Makes an inner call through the daemon on the same VM; returns whether it was answered 200."""
        host, path = target
        left = int((deadline - time.monotonic()) * 1000)
        if left <= 0:
            return False
        name = f"{parent}.{self.random.getrandbits(64):016x}"
        self.observer.called_inner(self, name, parent, path)
        address, port = self.outbound.split(":")
        try:
            reader, writer = await asyncio.open_connection(address, int(port))
            writer.write(wire.encode(f"GET {path} HTTP/1.1", {"Host": host, "X-Request-Id": name, "X-Deadline-Ms": left}))
            answer = await asyncio.wait_for(wire.read_message(reader), left / 1000)
            writer.close()
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False
        return answer is not None and answer.status == 200

    async def send(self, result, name, writer):
        status, body = result
        self.observer.answered(self, name, status, body)
        fields = {"X-Request-Id": name, "X-Server-Stamp": f"{self.instance}.{name}", "X-Server-Load": self.load(), **self.fault.answer_fields()}
        if self.random.random() < self.fault.lost:
            writer.transport.abort()
            return False
        if self.random.random() < self.fault.unsigned:
            del fields["X-Server-Stamp"]
        answer = wire.response(status, fields, body)
        if self.random.random() < self.fault.cut:
            writer.write(answer[:-3])
            return False
        if self.fault.spoilt_trailer > 0 and self.random.random() < self.fault.spoilt_trailer:
            writer.write(wire.chunked_response(status, fields, body, {"rot": "r" * SPOILT_TRAILER_BYTES}))
            return True
        writer.write(answer)
        if self.random.random() < self.fault.extra:
            writer.write(answer)
        await writer.drain()
        return True

    async def report(self, control, state=None):
        """Sends one heartbeat; returns the status of the acknowledgement, or None; a server that is down sends nothing."""
        if self.is_down:
            return None
        self.state = state or self.state
        self.sequence += 1
        return await self.send_heartbeat(control, self.state, self.sequence)

    async def report_late(self, control):
        """Sends a heartbeat with a sequence number from before the server announced that it leaves, as if delayed in the network."""
        return await self.send_heartbeat(control, "ready", max(self.sequence - 1, 0))

    async def send_heartbeat(self, control, state, sequence, without=()):
        body = {"address": self.announced, "born": self.started_ms,
                "info": {"service": self.service, "version": "v1", "zone": "z1", "slots": self.slots},
                "status": {"state": state, "seq": sequence, "cold_remaining": "0ms"}}
        sent = {name: value for name, value in body.items() if name not in without}
        return await post(control, f"/api/instances/{self.instance}/heartbeat", json.dumps(sent).encode())

    async def deregister(self, control):
        """Deregisters the server; returns the status of the acknowledgement, or None."""
        self.state = "left"
        return await post(control, f"/api/instances/{self.instance}/deregister", json.dumps({"born": self.started_ms}).encode())


async def post(endpoint, path, body, method="POST"):
    """Makes one HTTP request; returns the status, or None without an answer."""
    host, port = endpoint.split(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(wire.encode(f"{method} {path} HTTP/1.1", {"Host": endpoint, "Content-Type": "application/json"}, body))
        answer = await asyncio.wait_for(wire.read_message(reader), 2)
        writer.close()
        return None if answer is None else answer.status
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None
