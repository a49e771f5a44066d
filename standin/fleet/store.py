"""Stand-in for the platform's store: rows in tables, transactions and a change feed, with injectable faults."""

import asyncio
import base64
import ctypes
import json
import socket
import struct
import time
import urllib.parse

from . import wire

SO_ATTACH_FILTER = 26
BPF_RETURN = 0x06


class Store:
    """Keeps rows in memory. `fault` is None, "refuse" (503), "silent" (no answer) or "lose" (applied, but not answered)."""

    def __init__(self):
        self.rows = {}
        self.version = 0
        self.oldest = 0
        self.calls = 0
        self.fault = None
        self.changed = asyncio.Event()
        self.connections = set()
        self.silent = set()

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, backlog=1024)

    def put(self, table, key, value, part=""):
        """Writes a row, as operators do."""
        self.version += 1
        self.rows[(table, part, key)] = (value, self.version)
        self.announce()

    def put_configuration(self, document):
        self.put("op", "config", json.dumps(document).encode())

    def forget_history(self):
        self.oldest = self.version + 1
        self.version += 1
        self.announce()

    def silence(self):
        """Keeps all open connections open but drops their incoming packets, so that keep-alive probes fail too; new ones work."""
        drop_all = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
        program = struct.pack("HL", 1, ctypes.addressof(drop_all))
        for writer in self.connections:
            writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)
        self.silent |= self.connections

    def announce(self):
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await wire.read_message(reader)) is not None:
                self.calls += 1
                if self.fault == "silent":
                    await asyncio.sleep(30)
                    break
                status, body = (503, {}) if self.fault == "refuse" else await self.answer(request)
                if self.fault == "lose":
                    break
                if writer in self.silent:
                    await asyncio.sleep(30)
                    break
                writer.write(wire.response(status, {"Content-Type": "application/json"}, json.dumps(body).encode()))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            self.silent.discard(writer)
            writer.close()

    async def answer(self, request):
        if "host" not in request.fields:
            return 400, {"error": "not exactly one Host"}
        path, _, query = request.target.partition("?")
        arguments = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        if path == "/api/rows-get":
            return 200, self.page(arguments)
        if path == "/api/rows-feed":
            return await self.feed(arguments)
        if path == "/api/rows-tx":
            return self.transact(json.loads(request.body))
        return 404, {}

    def row(self, place):
        value, version = self.rows[place]
        table, part, key = place
        return {"table": table, "part": part, "key": key, "value": base64.b64encode(value).decode(), "ver": version}

    def footer(self):
        return {"ver": self.version, "now": f"{int(time.monotonic() * 1000)}ms"}

    def page(self, arguments):
        places = sorted(place for place in self.rows
                        if place[0] == arguments["table"] and place[1] == arguments.get("part", "") and place[2] >= arguments.get("from", ""))
        limit = int(arguments.get("limit", 500))
        return {"rows": [self.row(place) for place in places[:limit]], "has_more": len(places) > limit, **self.footer()}

    async def feed(self, arguments):
        after = int(arguments["after"])
        deadline = time.monotonic() + int(arguments.get("wait_ms", 0)) / 1000
        while True:
            if after < self.oldest:
                return 410, {}
            places = [place for place in self.rows if place[0] == arguments["table"] and self.rows[place][1] > after]
            left = deadline - time.monotonic()
            if places or left <= 0:
                places.sort(key=lambda place: self.rows[place][1])
                return 200, {"rows": [self.row(place) for place in places], **self.footer()}
            event = self.changed
            try:
                await asyncio.wait_for(event.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transact(self, body):
        for condition in body.get("expected_rev", []):
            place = (condition["table"], condition["part"], condition["key"])
            if self.rows.get(place, (b"", 0))[1] != condition["ver"]:
                return 412, {"rows": []}
        self.version += 1
        for row in body.get("writes", []):
            self.rows[(row["table"], row["part"], row["key"])] = (base64.b64decode(row["value"]), self.version)
        for row in body.get("remove", []):
            self.rows.pop((row["table"], row["part"], row["key"]), None)
        self.announce()
        return 200, self.footer()
