"""Answers without a length to requests that the server has not read, and the ways in which their connections end, with real daemons."""

import asyncio
import ctypes
import socket
import struct
import unittest

from fleet_case import HOST, SERVICES, FleetCase, routes, spec

from fleet.client import Client
from fleet.fleet import configuration
from fleet.store import BPF_RETURN, SO_ATTACH_FILTER
from fleet.wire import encode

MIB = 1024 * 1024
LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 64 * MIB, "header_timeout": "3000ms", "idle_timeout": "15000ms"}
# Small, so that most of a long request is unsent while it is answered.
RECEIVE_BUFFER_BYTES = 65536
PARTS = 20
PART_SECONDS = 0.01
RESET_AT_CLOSE = struct.pack("ii", 1, 0)
TIMEOUT_SECONDS = 8


def part(number):
    return f"part {number} of {PARTS}\n".encode()


WHOLE = b"".join(part(number) for number in range(1, PARTS + 1))


class EarlyServer:
    """Answers each request when it has read its head; the path says how many parts it sends, and how the connection ends then."""

    def __init__(self, address):
        self.host, self.port = address.split(":")

    async def start(self):
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listener.bind((self.host, int(self.port)))
        self.server = await asyncio.start_server(self.serve, sock=listener)

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            await self.answer(head, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, head, reader, writer):
        path = head.split(" ")[1]
        name = next(line.partition(": ")[2] for line in head.split("\r\n") if line.lower().startswith("x-request-id"))
        _, _, end, parts = path.split("/")
        writer.write(encode("HTTP/1.1 200 OK", {"X-Request-Id": name, "X-Server-Stamp": name, "Connection": "close"}, has_length=False))
        for number in range(1, int(parts) + 1):
            writer.write(part(number))
            await asyncio.sleep(PART_SECONDS)
        connection = writer.get_extra_info("socket")
        if end == "reset":
            connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
            writer.transport.abort()
        elif end == "silent":
            program = ctypes.create_string_buffer(struct.pack("HBBI", BPF_RETURN, 0, 0, 0))
            connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, struct.pack("HL", 1, ctypes.addressof(program)))
            await asyncio.sleep(TIMEOUT_SECONDS)
        else:
            writer.write_eof()
            while await reader.read(RECEIVE_BUFFER_BYTES):
                pass


class EarlyAnswers(FleetCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        for vm in self.fleet.vms:
            if vm.server.service == "log":
                await vm.server.stop()
                vm.early = EarlyServer(vm.server.address)
                await vm.early.start()
        entry = spec("entry", "log", kind="non_idempotent", timeout=TIMEOUT_SECONDS * 1000)
        self.fleet.store.put_configuration(configuration(2, routes(**entry), SERVICES, LIMITS))
        await asyncio.sleep(1)

    async def asyncTearDown(self):
        for vm in self.fleet.vms:
            if hasattr(vm, "early"):
                vm.early.server.close()
        await super().asyncTearDown()

    def caller(self, service):
        return Client(next(vm for vm in self.fleet.vms if vm.server.service == service).callers)

    async def send(self, end, parts, body_bytes, service="history"):
        answer = await self.caller(service).send(f"{end}-{parts}-{body_bytes}-{service}", HOST, f"/entry/{end}/{parts}", "POST", b"x" * body_bytes,
                                                 TIMEOUT_SECONDS)
        return answer.status, answer.body

    async def expect_no_success(self, end, parts, body_bytes, service="history"):
        status, body = await self.send(end, parts, body_bytes, service)
        self.assertEqual(502, status, f"{end} after part {parts}, request of {body_bytes} bytes at {service}: {len(body)} of {len(WHOLE)} bytes")

    async def test_a_reset_after_any_part_of_an_answer_is_no_success(self):
        # Guards against a part of an answer that passes for the whole one: the daemon sees the reset while it sends the request.
        for parts in (1, 10, 19, 20):
            await self.expect_no_success("reset", parts, 8 * MIB)

    async def test_a_reset_is_no_success_at_a_daemon_of_the_same_service(self):
        await self.expect_no_success("reset", 10, 8 * MIB, "log")

    async def test_a_reset_is_no_success_for_a_request_of_any_length(self):
        for body_bytes in (0, 1000, 2 * MIB, 40 * MIB):
            await self.expect_no_success("reset", 10, body_bytes)

    async def test_a_connection_that_falls_silent_is_no_success(self):
        await self.expect_no_success("silent", 10, 8 * MIB)

    async def test_an_orderly_end_completes_an_answer_to_a_request_that_is_unsent(self):
        # Guards against a failure in place of a whole answer.
        for body_bytes in (0, 1000, 8 * MIB):
            self.assertEqual((200, WHOLE), await self.send("end", PARTS, body_bytes))


if __name__ == "__main__":
    unittest.main()
