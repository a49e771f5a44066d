"""Servers in trouble that send bytes without end, in a head or a body, with real daemon processes."""

import asyncio
import unittest

from fleet_case import HOST, FleetCase
from memory import MIB, own_share, resident, without_quarantine

from fleet.client import Client

CALLS = 12
# Of the largest daemon, above what it uses idle.
MEMORY_BYTES = 80 * MIB
PIECE = b"x" * 65536
CHUNK = b"10000\r\n" + PIECE + b"\r\n"


def head(name, *fields):
    return "\r\n".join(["HTTP/1.1 200 OK", f"X-Request-Id: {name}", f"X-Server-Stamp: {name}", *fields, "", ""]).encode()


# What a server sends first, and then for as long as its caller takes it.
ENDLESS = {
    "body": (lambda name: head(name), PIECE),
    "chunks": (lambda name: head(name, "Transfer-Encoding: chunked"), CHUNK),
    "head": (lambda name: b"HTTP/1.1 200 OK\r\nX-Rot: ", PIECE),
    "fields": (lambda name: b"HTTP/1.1 200 OK\r\n", b"X-Rot: rot\r\n" * 100),
    "junk": (lambda name: b"\x00\xff", PIECE),
    "chunk-extension": (lambda name: head(name, "Transfer-Encoding: chunked") + b"1;", PIECE),
    "trailer": (lambda name: head(name, "Transfer-Encoding: chunked") + b"0\r\nX-Rot: ", PIECE),
    "after-the-answer": (lambda name: head(name, "Content-Length: 2") + b"ok", PIECE),
    "later-than-the-answer": (lambda name: head(name, "Content-Length: 2") + b"ok", PIECE),
}
BEHIND_ANSWERS = {"after-the-answer", "later-than-the-answer"}
# The daemon has the answer by then, and may have sent the next request on the connection.
LATER_SECONDS = 0.1


class EndlessServer:
    """Answers each request with the bytes without end that its path names, or with a body of the length that its path names."""

    def __init__(self, address):
        self.host, self.port = address.split(":")
        self.sending = 0
        self.answered = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, int(self.port))

    async def serve(self, reader, writer):
        try:
            while True:
                lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                name = next(line.partition(": ")[2] for line in lines if line.lower().startswith("x-request-id"))
                await self.answer(lines[0].split(" ")[1].split("/")[2], name, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, kind, name, writer):
        if kind.isdigit():
            writer.write(head(name, f"Content-Length: {kind}") + b"s" * int(kind))
            await writer.drain()
            return
        first, piece = ENDLESS[kind]
        self.sending += 1
        try:
            writer.write(first(name))
            self.answered.add(name)
            if kind == "later-than-the-answer":
                await asyncio.sleep(LATER_SECONDS)
            while True:
                writer.write(piece)
                await writer.drain()
        finally:
            self.sending -= 1


class EndlessAnswers(FleetCase):
    async def asyncSetUp(self):
        with without_quarantine():
            await super().asyncSetUp()
        self.endless = []
        for vm in self.fleet.vms:
            if vm.server.service == "roster":
                await vm.server.stop()
                for writer in list(vm.server.writers):
                    writer.transport.abort()
                self.endless.append(EndlessServer(vm.server.address))
                await self.endless[-1].start()

    async def asyncTearDown(self):
        for server in self.endless:
            server.server.close()
        await super().asyncTearDown()

    async def send_all(self, kinds):
        vms = self.fleet.vms
        return await asyncio.gather(*(Client(vms[number % len(vms)].callers).send(f"{kind}-{number}", HOST, f"/read/{kind}/", timeout=10.0)
                                      for number, kind in enumerate(kinds)))

    async def test_bytes_without_end_are_no_answer_and_take_a_bounded_memory(self):
        # Guards against a daemon that its kernel ends for its memory, with all its connections.
        idle = {vm.name: resident(vm.process) for vm in self.fleet.vms}
        for kind in ENDLESS:
            answers = await self.send_all([kind] * CALLS)
            answered = set().union(*(server.answered for server in self.endless)) if kind in BEHIND_ANSWERS else set()
            # Refusals are due too: each answer holds one of the few slots for long.
            others = {answer.status for answer in answers if answer.name not in answered}
            self.assertLessEqual(others, {429, 502, 503, 504}, kind)
            # A request may have been sent on the connection of a whole answer, before the bytes behind that came.
            self.assertLessEqual({answer.status for answer in answers if answer.name in answered}, {200}, kind)
            self.assertEqual(kind in BEHIND_ANSWERS, bool(answered), kind)
        await asyncio.sleep(1)
        self.assertEqual([0] * len(self.endless), [server.sending for server in self.endless])
        grown = {vm.name: int((resident(vm.process) - idle[vm.name]) * own_share()) for vm in self.fleet.vms}
        self.assertLess(max(grown.values()), MEMORY_BYTES, grown)

    async def test_sound_answers_are_delivered_beside_bytes_without_end(self):
        sizes = [100, 200_000, 5 * MIB]
        for kind in ("body", "chunks"):
            answers = await self.send_all([kind, *map(str, sizes), kind, *map(str, sizes)])
            sound = [answer for answer in answers if kind not in answer.name]
            self.assertEqual([(200, size) for size in sizes * 2], [(answer.status, len(answer.body)) for answer in sound])


if __name__ == "__main__":
    unittest.main()
