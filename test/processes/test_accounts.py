"""End-to-end tests of client accounts, with real daemon processes against the platform stand-in."""

import asyncio
import signal
import subprocess
import unittest
import urllib.request

from fleet_case import HOST, KINDS, SERVICES, routes, spec
from support import BUILD

from fleet.client import Client
from fleet.fleet import Fleet, account, configuration
from fleet.server import Observer

KEY, OTHER_KEY, HOT_KEY = "maj3nr26tta828m82thh", "kmgjqnirth5mgjy5rcpi", "zqv81ntt0w5kb2dqsr4e"
FORGED = "never-held-by-anyone"
BOUNDS = {"grace": "4s", "drain": "1s", "retry_budget_ratio": "0.2", "budget_slack": "1000", "config_apply": "2500ms",
          "revoke_strict": "true", "revoke": "3000ms", "quota_window": "5s", "quota_overage": "0.1", "quota_slack": "20"}
ACCOUNTS = {"club": account([KEY, OTHER_KEY], priority=1), "hot": account([HOT_KEY], priority=2, rate=5, burst=5)}


class Received(Observer):
    """Keeps the header fields of each request that a server received."""

    def __init__(self):
        self.fields = {}

    def arrived(self, server, name, request):
        self.fields[name] = request.fields


class Accounts(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = await Fleet(str(BUILD / "egretlatch"), SERVICES, KINDS, bounds=BOUNDS).__aenter__()
        self.put(1, ACCOUNTS)
        self.received = Received()
        for vm in self.fleet.vms:
            vm.server.observer = self.received
        self.assertTrue(await self.fleet.ready())
        await self.until_served(KEY)

    async def asyncTearDown(self):
        await self.fleet.__aexit__()

    def put(self, version, accounts):
        made = routes(**spec("open", "roster", public=True))
        self.fleet.store.put_configuration(configuration(version, made, SERVICES, accounts=accounts))

    async def send(self, name, path="/read/", key=None, vm=None, fields=None, method="GET"):
        fields = {**({"X-Key": key} if key else {}), **(fields or {})}
        return await Client((vm or self.fleet.vms[0]).callers).send(name, HOST, path, method=method, fields=fields)

    async def until_served(self, key):
        for _ in range(100):
            answers = [await self.send("probe", "/lookup/", key, vm) for vm in self.fleet.vms]
            if all(answer.status == 200 for answer in answers):
                return
            await asyncio.sleep(0.1)
        self.fail("the daemons did not discover each other")

    async def test_servers_learn_the_account_and_never_the_key(self):
        answer = await self.send("n-1", "/lookup/", KEY, fields={"X-Tenant-Id": "forged", "x-tenant-id": "forged too"})
        self.assertEqual(200, answer.status)
        self.assertEqual("club", self.received.fields["n-1"]["x-tenant-id"])
        # Its inner call has no key and no account.
        inner = [fields for name, fields in self.received.fields.items() if name.startswith("n-1.")]
        self.assertEqual(1, len(inner))
        self.assertNotIn("x-tenant-id", inner[0])
        for fields in self.received.fields.values():
            self.assertNotIn("x-key", fields)

    async def test_keys_that_nobody_holds_are_refused_and_public_routes_need_none(self):
        # Runs from before the start of a daemon may still call without a key, so a missing one is refused for good only later.
        self.assertEqual(401, (await self.send("n-1", key=FORGED)).status)
        self.assertEqual(503, (await self.send("n-2")).status)
        self.assertEqual(400, (await self.send("n-3", key="k" * 2000)).status)
        self.assertEqual(200, (await self.send("n-4", "/open/")).status)
        self.assertEqual(200, (await self.send("n-5", "/open/", FORGED)).status)
        self.assertEqual(0, sum(self.fleet.runs(f"n-{number}") for number in (1, 2, 3)))
        self.assertNotIn("x-key", self.received.fields["n-5"])

    async def test_a_withdrawn_key_stops_working_everywhere_also_when_the_store_falls_silent(self):
        # Guards against a withdrawn key that still works at daemons that did not hear of it: the store falls silent for all
        # connections right after the change, and refuses new calls.
        self.put(2, {"club": account([OTHER_KEY])})
        self.fleet.store.silence()
        self.fleet.store.fault = "refuse"
        await asyncio.sleep(3.1)
        answers = await asyncio.gather(*(self.send(f"n-{index}", key=KEY, vm=vm) for index, vm in enumerate(self.fleet.vms)))
        self.assertTrue({answer.status for answer in answers} <= {401, 503}, [answer.status for answer in answers])
        self.assertEqual(0, sum(self.fleet.runs(f"n-{index}") for index in range(len(self.fleet.vms))))
        self.fleet.store.fault = None
        await self.until_served(OTHER_KEY)

    async def test_a_daemon_that_stood_still_admits_no_withdrawn_key_right_after(self):
        vm = self.fleet.vms[0]
        vm.process.send_signal(signal.SIGSTOP)
        self.put(2, {"club": account([OTHER_KEY])})
        sent = asyncio.ensure_future(asyncio.sleep(3.2))
        await sent
        answer = asyncio.ensure_future(self.send("n-1", key=KEY, vm=vm))
        await asyncio.sleep(0.2)
        vm.process.send_signal(signal.SIGCONT)
        self.assertIn((await answer).status, (401, 503))
        self.assertEqual(0, self.fleet.runs("n-1"))

    async def test_keys_keep_working_for_longer_than_one_proof_lasts(self):
        for _ in range(8):
            answers = await asyncio.gather(*(self.send("n", key=KEY, vm=vm) for vm in self.fleet.vms))
            self.assertEqual({200}, {answer.status for answer in answers})
            await asyncio.sleep(0.5)

    async def test_an_account_that_asks_for_more_than_its_quota_gets_its_quota(self):
        served = refused = 0
        for number in range(120):
            answer = await self.send(f"hot-{number}", key=HOT_KEY, vm=self.fleet.vms[number % len(self.fleet.vms)])
            served += answer.status == 200
            refused += answer.status == 429
            if answer.status == 429:
                self.assertGreater(float(answer.fields["retry-after"]), 0)
            await asyncio.sleep(0.01)
        self.assertEqual(120, served + refused)
        self.assertLessEqual(served, (5 * 5 + 5) * 1.1 + 20)
        self.assertGreaterEqual(served, 5)
        self.assertEqual(200, (await self.send("calm", key=KEY)).status)

    async def test_no_key_is_found_in_logs_or_metrics(self):
        spoilt = f"GET /read/ HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Key: {FORGED}\r\nX-Request-Id: s-1\r\n\r\n"
        chunked = (f"POST /read/ HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\nX-Request-Id: s-2\r\nTransfer-Encoding: chunked\r\n\r\n"
                   f"1\r\na\r\n0\r\nX-Key: {FORGED}\r\n\r\n")
        broken = f"GET /read/ HTTP/1.1\r\nX-Key: {KEY}\r\n: {FORGED}\r\n\r\n"
        for text in (spoilt, chunked, broken):
            host, port = self.fleet.vms[0].callers.split(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(text.encode())
            await asyncio.wait_for(reader.read(4096), 3)
            writer.close()
        for key in (FORGED, HOT_KEY):
            for number in range(40):
                await self.send(f"w-{number}", key=key)
        for path in ("/nowhere/", "/lookup/"):
            await self.send("w", path, KEY, fields={"x-kEY": KEY})
        await asyncio.sleep(0.5)
        texts = [self.fleet.log(vm) for vm in self.fleet.vms]
        for vm in self.fleet.vms:
            page = await asyncio.to_thread(lambda address: urllib.request.urlopen(f"http://{address}/metrics").read().decode(), vm.readiness)
            texts.append(page)
        texts += [str(fields) for fields in self.received.fields.values()]
        for text in texts:
            for key in (KEY, OTHER_KEY, HOT_KEY, FORGED):
                self.assertNotIn(key, text)


class Digest(unittest.TestCase):
    def test_the_digest_of_a_key_is_printed_and_an_empty_key_is_an_error(self):
        binary = str(BUILD / "egretlatch")
        done = subprocess.run([binary, "key-digest"], input=KEY + "\n", capture_output=True, text=True)
        self.assertEqual(0, done.returncode)
        self.assertRegex(done.stdout, "^[0-9a-f]{64}\n$")
        self.assertEqual(2, subprocess.run([binary, "key-digest"], input="", capture_output=True, text=True).returncode)
