"""Long bodies that are allowed, with real daemon processes: whole answers, and a bounded memory."""

import asyncio
import unittest

from fleet_case import HOST, SERVICES, FleetCase, routes, spec
from memory import MIB, own_share, resident, without_quarantine

from fleet import wire
from fleet.client import Client
from fleet.fleet import configuration

LIMITS = {"max_header_bytes": 16384, "max_body_bytes": 64 * MIB, "header_timeout": "3000ms", "idle_timeout": "15000ms"}
TIMEOUT_SECONDS = 9.0
# Of the largest daemon, above what it uses idle.
ONE_BODY_BYTES = 100 * MIB
SIX_BODIES_BYTES = 140 * MIB


class LongServer:
    """Reads the body of each request, and answers with one of the size that its path names."""

    def __init__(self, address):
        self.host, self.port = address.split(":")
        self.received = {}

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, int(self.port))

    async def serve(self, reader, writer):
        try:
            while (request := await wire.read_message(reader)) is not None:
                name = request.fields["x-request-id"]
                self.received[name] = len(request.body)
                size = int(request.target.split("/")[2])
                writer.write(wire.response(200, {"X-Request-Id": name, "X-Server-Stamp": name}, b"s" * size))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class LongBodies(FleetCase):
    async def asyncSetUp(self):
        with without_quarantine():
            await super().asyncSetUp()
        long = {"timeout": int(TIMEOUT_SECONDS * 1000), "priority": 0}
        self.fleet.store.put_configuration(configuration(2, routes(**spec("read", "roster", **long), **spec("entry", "log", kind="non_idempotent", **long)),
                                                         SERVICES, LIMITS))
        self.long = []
        for vm in self.fleet.vms:
            if vm.server.service in ("roster", "log"):
                await vm.server.stop()
                for writer in list(vm.server.writers):
                    writer.transport.abort()
                self.long.append(LongServer(vm.server.address))
                await self.long[-1].start()
        await asyncio.sleep(2)
        self.idle = {vm.name: resident(vm.process) for vm in self.fleet.vms}

    async def asyncTearDown(self):
        for server in self.long:
            server.server.close()
        await super().asyncTearDown()

    def grown(self):
        """Returns the peak above idle of each daemon, in MiB."""
        return {vm.name: int((resident(vm.process) - self.idle[vm.name]) * own_share()) // MIB for vm in self.fleet.vms}

    async def send_all(self, vms, count, **sent):
        clients = [Client(vms[number % len(vms)].callers) for number in range(count)]
        return await asyncio.gather(*(client.send(f"b-{number}", HOST, timeout=TIMEOUT_SECONDS, **sent) for number, client in enumerate(clients)))

    async def expect(self, bound, vms, count, *, answer=0, request=0):
        path, method = (f"/entry/{answer}", "POST") if request else (f"/read/{answer}", "GET")
        answers = await self.send_all(vms, count, path=path, method=method, body=b"c" * request)
        grown = self.grown()
        print(f"{self.id().rsplit('.', 1)[1]}: MiB above idle {grown}", flush=True)
        self.assertEqual([(200, answer)] * count, [(each.status, len(each.body)) for each in answers])
        received = {name: size for server in self.long for name, size in server.received.items()}
        self.assertEqual([request] * count, [received[f"b-{number}"] for number in range(count)])
        self.assertLess(max(grown.values()) * MIB, bound, grown)

    async def test_an_answer_of_60_mib(self):
        await self.expect(ONE_BODY_BYTES, self.fleet.vms[:1], 1, answer=60 * MIB)

    async def test_a_request_of_60_mib(self):
        await self.expect(ONE_BODY_BYTES, self.fleet.vms[:1], 1, request=60 * MIB)

    async def test_six_answers_of_30_mib_at_six_daemons(self):
        await self.expect(SIX_BODIES_BYTES, self.fleet.vms, 6, answer=30 * MIB)

    async def test_six_answers_of_30_mib_at_one_daemon(self):
        await self.expect(SIX_BODIES_BYTES, self.fleet.vms[:1], 6, answer=30 * MIB)

    async def test_six_requests_of_30_mib_at_six_daemons(self):
        await self.expect(SIX_BODIES_BYTES, self.fleet.vms, 6, request=30 * MIB)

    async def test_six_requests_of_30_mib_at_one_daemon(self):
        await self.expect(SIX_BODIES_BYTES, self.fleet.vms[:1], 6, request=30 * MIB)


if __name__ == "__main__":
    unittest.main()
