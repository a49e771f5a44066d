"""End-to-end tests of the sidecar, with real daemon processes against the platform stand-in."""

import asyncio
import json
import signal
import subprocess
import tempfile
import unittest
import urllib.request

from support import BUILD
from fleet_case import HOST, SERVICES, FleetCase, routes, spec

from fleet.client import Client
from fleet.fleet import configuration
from fleet.server import Fault, post

# Time from the store's acknowledgement of a configuration to its effect at each daemon.
CONFIG_APPLY_SECONDS = 2


class Sidecar(FleetCase):
    async def test_a_request_comes_back_whole_and_signed_with_its_inner_call(self):
        client = Client(self.fleet.vms[0].callers)
        answer = await client.send("n-1", HOST, "/lookup/x?y", method="POST", body=b"abc")
        self.assertEqual(200, answer.status)
        self.assertEqual("n-1", answer.fields["x-request-id"])
        self.assertIn("x-server-stamp", answer.fields)
        self.assertTrue(answer.body.endswith(b"abc"))
        self.assertEqual(1, self.fleet.runs("n-1"))
        self.assertLessEqual({"history"}, set().union(*(server.callers for server in self.fleet.servers("roster"))))

    async def test_an_unknown_route_is_answered_404_and_a_new_one_is_in_force_within_seconds(self):
        client = Client(self.fleet.vms[0].callers)
        self.assertEqual(404, (await client.send("n-1", HOST, "/fresh/")).status)
        self.fleet.store.put_configuration(configuration(2, routes(**spec("fresh", "log")), SERVICES))
        await asyncio.sleep(1)
        statuses = [(await Client(vm.callers).send("n-2", HOST, "/fresh/")).status for vm in self.fleet.vms]
        self.assertEqual([200] * len(self.fleet.vms), statuses)

    async def test_an_older_configuration_and_one_that_cannot_be_read_change_nothing(self):
        # The row holds only the newest version, so each must be seen before the next is written.
        self.fleet.store.put_configuration(configuration(3, routes(**spec("fresh", "log")), SERVICES))
        await asyncio.sleep(1)
        self.fleet.store.put_configuration(configuration(2, routes(), SERVICES))
        await asyncio.sleep(1)
        self.fleet.store.put("op", "config", b"{")
        await asyncio.sleep(1)
        self.assertEqual(200, (await Client(self.fleet.vms[0].callers).send("n-1", HOST, "/fresh/")).status)
        self.assertIn("configuration not taken", self.fleet.log(self.fleet.vms[0]))

    async def test_a_kept_connection_follows_the_limits_in_force(self):
        # Guards against 413 for a body that the configuration has allowed for long.
        limits = {"max_header_bytes": 16384, "max_body_bytes": 65536, "header_timeout": "3000ms", "idle_timeout": "15000ms"}
        self.fleet.store.put_configuration(configuration(2, routes(), SERVICES, limits))
        await asyncio.sleep(1)
        client = Client(self.fleet.vms[0].callers)
        self.assertEqual(200, (await client.send("n-1", HOST, "/lookup/", "POST", b"x")).status)
        self.fleet.store.put_configuration(configuration(3, routes(), SERVICES, {**limits, "max_body_bytes": 1048576}))
        await asyncio.sleep(1)
        self.assertEqual(200, (await client.send("n-2", HOST, "/lookup/", "POST", b"x" * 200_000)).status)
        self.fleet.store.put_configuration(configuration(4, routes(), SERVICES, {**limits, "max_body_bytes": 1000}))
        await asyncio.sleep(1)
        self.assertEqual(413, (await client.send("n-3", HOST, "/lookup/", "POST", b"x" * 2000)).status)

    async def test_a_route_may_have_a_timeout_of_hours(self):
        # Guards against a configuration that is in force nowhere for one long timeout.
        self.fleet.store.put_configuration(configuration(2, routes(**spec("fresh", "log", timeout=4 * 3_600_000)), SERVICES))
        await asyncio.sleep(1)
        self.assertEqual(200, (await Client(self.fleet.vms[0].callers).send("n-1", HOST, "/fresh/")).status)

    async def test_a_configuration_that_cannot_be_used_is_named_with_its_field_in_the_log(self):
        limits = {"max_header_bytes": 16 * 1024 * 1024, "max_body_bytes": 1048576, "header_timeout": "3000ms", "idle_timeout": "15000ms"}
        self.fleet.store.put_configuration(configuration(2, routes(), SERVICES, limits))
        await asyncio.sleep(CONFIG_APPLY_SECONDS)
        for vm in self.fleet.vms:
            lines = [line for line in self.fleet.log(vm).splitlines() if "configuration not usable" in line]
            self.assertTrue(any("headerBytes" in line and '"version":"2"' in line for line in lines), vm.name)

    async def test_a_request_that_lasts_past_its_route_gets_its_final_answer_then(self):
        self.fleet.store.put_configuration(configuration(2, routes(**spec("read", "roster", timeout=300)), SERVICES))
        await asyncio.sleep(1)
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=500)
        answer = await Client(self.fleet.vms[0].callers).send("n-1", HOST, "/read/")
        self.assertEqual(504, answer.status)
        self.assertLess(answer.seconds, 1)
        # The run is cancelled at the server too.
        await asyncio.sleep(0.4)
        self.assertGreater(sum(server.cancelled for server in self.fleet.servers("roster")), 0)

    async def test_a_caller_that_leaves_ends_its_run(self):
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=500)
        client = Client(self.fleet.vms[0].callers)
        answer = await client.send("n-1", HOST, "/read/", disconnect_after=0.2)
        self.assertIsNone(answer.status)
        await asyncio.sleep(0.5)
        self.assertGreater(sum(server.cancelled for server in self.fleet.servers("roster")), 0)

    async def test_a_launch_entry_whose_answer_is_lost_runs_once_and_no_refusal_says_otherwise(self):
        # Guards against a launch that is billed twice, or refused as not run, after the server ran the entry and reset the
        # connection instead of answering.
        for server in self.fleet.servers("log"):
            server.fault = Fault(lost=1)
        for number in range(20):
            answer = await Client(self.fleet.vms[0].callers).send(f"n-{number}", HOST, "/entry/", method="POST")
            self.assertEqual(502, answer.status)
            self.assertEqual(1, self.fleet.runs(f"n-{number}"))

    async def test_a_read_whose_answer_is_lost_is_made_again_elsewhere(self):
        broken = self.fleet.servers("roster")[0]
        broken.fault = Fault(lost=1)
        statuses = [(await Client(self.fleet.vms[0].callers).send(f"n-{number}", HOST, "/read/")).status for number in range(20)]
        self.assertEqual([200] * 20, statuses)

    async def test_a_request_that_crashes_servers_is_quarantined_and_others_are_served(self):
        # Guards against a request that crashes each server that runs it, with all other runs there, and is resent to the other
        # VMs of the service until no server is left.
        servers = self.fleet.servers("roster")
        for server in servers:
            server.fault = Fault(crash_on="poison", down=0.3)
        unrelated = Client(self.fleet.vms[1].callers)
        statuses = []
        for number in range(24):
            poison = await Client(self.fleet.vms[number % 2].callers).send(f"p-{number}", HOST, "/read/poison")
            statuses.append(poison.status)
            for _ in range(20):
                if (await unrelated.send(f"i-{number}-{_}", HOST, "/read/well")).status == 200:
                    break
                await asyncio.sleep(0.2)
            else:
                self.fail("nothing else is served")
        # All daemons know of the third crash within a second; requests in that second may crash both servers again.
        self.assertLessEqual(sum(server.crashes for server in servers), 6)
        self.assertEqual([503] * 10, statuses[-10:])
        refusal = await Client(self.fleet.vms[0].callers).send("p-last", HOST, "/read/poison")
        self.assertIn(b"quarantined", refusal.body)

    async def test_explain_reconstructs_a_failed_request_from_the_logs_alone(self):
        # An operator on call has only the name of the failed request and the logs of all VMs.
        for server in self.fleet.servers("roster"):
            server.fault = Fault(slowness=500)
        answer = await Client(self.fleet.vms[0].callers).send("story-1", HOST, "/lookup/x")
        self.assertEqual(504, answer.status)
        await asyncio.sleep(0.5)
        logs = [argument for vm in self.fleet.vms for argument in ("--log", str(vm.log_path))]
        command = [str(BUILD / "egretlatch"), "explain", "story-1", *logs]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60)
        self.assertEqual(0, result.returncode, result.stderr)
        self.assertIn("story-1: A request history/", result.stdout)
        self.assertIn("    20", result.stdout, "the inner call is indented below its request")
        self.assertIn("A request roster/", result.stdout)
        document = json.loads(subprocess.run([*command, "--json"], capture_output=True, text=True, timeout=60).stdout)
        self.assertEqual({0, 1}, {line["depth"] for line in document["lines"]})
        self.assertEqual("refused", document["lines"][-1]["event"])
        for vm in self.fleet.vms:
            for line in self.fleet.log(vm).splitlines():
                self.assertIsInstance(json.loads(line), dict)

    @staticmethod
    def metrics(vm):
        with urllib.request.urlopen(f"http://{vm.readiness}/metrics", timeout=10) as page:
            return page.read().decode()

    async def test_metrics_show_the_state_of_a_daemon(self):
        vm = self.fleet.vms[0]
        for number in range(5):
            await Client(vm.callers).send(f"n-{number}", HOST, "/lookup/x")
        # No request here calls the two log servers, so they may become known slightly later than the others.
        for _ in range(100):
            text = self.metrics(vm)
            if 'egretlatch_members{state="serving"} 6' in text:
                break
            await asyncio.sleep(0.1)
        self.assertIn('egretlatch_members{state="serving"} 6', text)
        self.assertIn("egretlatch_slots 8", text)
        self.assertIn("egretlatch_configuration_version 1", text)
        self.assertIn('egretlatch_call_duration_seconds_bucket{service="history",le="+Inf"}', text)
        self.assertIn('egretlatch_run_duration_seconds_count{service="history"}', text)
        self.assertRegex(text, r"egretlatch_resident_memory_bytes \d+")

    async def expect_metric(self, vm, line):
        """Polls until a daemon shows a line of metrics; the time limit only keeps a failed run from hanging."""
        for _ in range(600):
            if line in (await asyncio.to_thread(self.metrics, vm)).splitlines():
                return
            await asyncio.sleep(0.1)
        self.fail(f"{line} was not shown: {self.fleet.log(vm)}")

    async def test_a_daemon_that_hears_nobody_says_so_until_it_hears_others_again(self):
        # Guards against a VM that is cut off from all others, refuses the calls of its callers and names the cause nowhere.
        isolated, *others = self.fleet.vms
        # A daemon expects only those that it knows, and the last ones may become known after all services are reached.
        await self.expect_metric(isolated, f'egretlatch_members{{state="serving"}} {len(self.fleet.vms)}')
        await self.expect_metric(isolated, "egretlatch_isolated 0")
        try:
            for vm in others:
                self.fleet.signal(vm, signal.SIGSTOP)
            await self.expect_metric(isolated, "egretlatch_isolated 1")
        finally:
            for vm in others:
                self.fleet.signal(vm, signal.SIGCONT)
        await self.expect_metric(isolated, "egretlatch_isolated 0")
        await asyncio.sleep(0.5)
        lines = [json.loads(line) for line in self.fleet.log(isolated).splitlines()]
        changes = [(line["event"], line["level"], line["expected"]) for line in lines if "isolated" in line["event"]]
        expected = str(len(others))
        self.assertEqual([("isolated", "warning", expected), ("no longer isolated", "info", expected)], changes)
        for vm in others:
            self.assertNotIn("isolated", self.fleet.log(vm), "a pause is no isolation")

    async def test_corrupt_and_extra_answers_reach_no_caller(self):
        # Guards against callers that get bytes no server sent for them: an answer sent twice, truncated or without a signature.
        for server in self.fleet.servers("roster"):
            server.fault = Fault(extra=0.3, cut=0.2, unsigned=0.2)
        client = Client(self.fleet.vms[0].callers)
        for number in range(100):
            answer = await client.send(f"n-{number}", HOST, "/read/")
            if answer.status == 200:
                self.assertEqual(f"n-{number}", json.loads(answer.body)["name"])
                self.assertIn("x-server-stamp", answer.fields)
            else:
                self.assertIn(answer.status, (502, 504))

    async def test_a_server_that_leaves_gets_nothing_new_after_its_acknowledgement(self):
        vm = next(vm for vm in self.fleet.vms if vm.server.service == "roster")
        vm.heartbeat_task.cancel()
        self.assertEqual(200, await vm.server.report(vm.reports, state="draining"))
        await asyncio.sleep(self.drain_seconds())
        before = vm.server.arrivals
        statuses = [(await Client(other.callers).send(f"n-{number}", HOST, "/read/")).status
                    for number in range(5) for other in self.fleet.vms]
        self.assertEqual({200}, set(statuses))
        self.assertEqual(before, vm.server.arrivals)

    async def test_a_late_heartbeat_does_not_undo_a_deregistration_at_a_restarted_daemon(self):
        vm = await self.restart_without_heartbeats()
        self.assertEqual(200, await vm.server.deregister(vm.reports))
        await self.expect_no_arrivals_after_late_heartbeat(vm)

    async def test_a_server_that_leaves_gets_nothing_though_its_daemon_starts_again(self):
        vm = next(vm for vm in self.fleet.vms if vm.server.service == "roster")
        vm.heartbeat_task.cancel()
        self.assertEqual(200, await vm.server.report(vm.reports, state="draining"))
        await asyncio.sleep(0.1)
        await self.restart(vm)
        await self.expect_no_arrivals_after_late_heartbeat(vm)

    async def restart_without_heartbeats(self):
        """Kills and restarts a daemon whose server keeps running but sends no heartbeats."""
        vm = next(vm for vm in self.fleet.vms if vm.server.service == "roster")
        vm.heartbeat_task.cancel()
        await self.restart(vm)
        return vm

    async def restart(self, vm):
        self.fleet.signal(vm, signal.SIGKILL)
        await asyncio.to_thread(vm.process.wait, 5)
        self.fleet.start_daemon(vm)
        self.assertTrue(await self.fleet.ready(), self.fleet.log(vm))

    async def expect_no_arrivals_after_late_heartbeat(self, vm):
        await asyncio.sleep(self.drain_seconds())
        self.assertEqual(200, await vm.server.report_late(vm.reports))
        before = vm.server.arrivals
        statuses = [(await Client(other.callers).send(f"n-{number}", HOST, "/read/")).status
                    for number in range(5) for other in self.fleet.vms]
        self.assertEqual({200}, set(statuses))
        self.assertEqual(before, vm.server.arrivals)

    def drain_seconds(self):
        return float(self.fleet.bounds["drain"].rstrip("s"))

    async def test_a_shutdown_cuts_off_no_request_and_ends_in_time(self):
        vm = self.fleet.vms[0]
        for server in self.fleet.servers("log"):
            server.fault = Fault(slowness=60)
        open_requests = [asyncio.ensure_future(Client(vm.callers).send(f"n-{number}", HOST, "/entry/", method="POST")) for number in range(4)]
        await asyncio.sleep(0.2)
        self.fleet.signal(vm, signal.SIGTERM)
        await asyncio.sleep(0.1)
        self.assertEqual(503, await post(vm.readiness, "/api/readiness", b"", "GET"))
        # Requests that arrive before the platform has noticed are served.
        self.assertEqual(200, (await Client(vm.callers).send("late", HOST, "/read/")).status)
        statuses = [answer.status for answer in await asyncio.gather(*open_requests)]
        self.assertEqual([200] * 4, statuses)
        self.assertEqual(0, await asyncio.to_thread(vm.process.wait, 5))

    async def test_a_service_whose_daemons_all_restart_serves_until_they_end(self):
        # Guards against requests that fail for seconds during a planned restart of a small service: all of its daemons announce
        # draining, and no daemon calls them any more although their servers still run and their ports still accept calls.
        leaving = [vm for vm in self.fleet.vms if vm.server.service == "roster"]
        for vm in leaving:
            self.fleet.signal(vm, signal.SIGTERM)
        caller = self.fleet.vms[0]
        for _ in range(100):
            if 'egretlatch_members{state="draining"} 2' in await asyncio.to_thread(self.metrics, caller):
                break
            await asyncio.sleep(0.02)
        statuses = [(await Client(caller.callers).send(f"n-{number}", HOST, "/read/")).status for number in range(5)]
        self.assertEqual([200] * 5, statuses)

    async def test_a_daemon_started_again_while_the_store_is_away_finds_the_fleet(self):
        # Guards against a VM that refuses all callers after a restart during an outage of the store, because the new daemon
        # knows no member and none contacts it until the store is back.
        vm = self.fleet.vms[0]
        self.fleet.store.fault = "refuse"
        self.fleet.signal(vm, signal.SIGTERM)
        await asyncio.to_thread(vm.process.wait, 5)
        self.fleet.start_daemon(vm)
        self.assertTrue(await self.fleet.ready(15), self.fleet.log(vm))
        await self.all_known()

    async def test_an_outage_of_the_store_stops_nobody(self):
        for fault in ("silent", "lose", "refuse"):
            self.fleet.store.fault = fault
            await asyncio.sleep(0.5)
            self.assertEqual(200, (await Client(self.fleet.vms[0].callers).send(fault, HOST, "/lookup/")).status)
        self.fleet.store.fault = None
        self.fleet.store.forget_history()
        self.fleet.store.put_configuration(configuration(2, routes(**spec("fresh", "log")), SERVICES))
        await asyncio.sleep(3)
        statuses = [(await Client(vm.callers).send("n-2", HOST, "/fresh/")).status for vm in self.fleet.vms]
        self.assertEqual([200] * len(self.fleet.vms), statuses)

    async def test_a_configuration_is_in_force_in_time_though_all_connections_to_the_store_went_silent(self):
        """Guards against waiting for the end of a long poll of the store on a dead connection."""
        self.fleet.store.silence()
        self.fleet.store.put_configuration(configuration(2, routes(**spec("fresh", "log")), SERVICES))
        # 3 s to detect the silent connection, and 2 s for the configuration to come into force.
        await asyncio.sleep(3 + 2)
        statuses = [(await Client(vm.callers).send(f"n-{number}", HOST, "/fresh/")).status for number, vm in enumerate(self.fleet.vms)]
        self.assertEqual([200] * len(self.fleet.vms), statuses)

    async def test_a_malformed_heartbeat_registers_no_server(self):
        vm = self.fleet.vms[0]
        self.assertEqual(400, await post(vm.reports, "/api/instances/i-x/heartbeat", b"\xff{"))
        self.assertEqual(404, await post(vm.reports, "/api/elsewhere", b"{}"))
        self.assertEqual(200, (await Client(vm.callers).send("n-1", HOST, "/lookup/")).status)

    async def test_every_log_line_is_json_and_a_refusal_is_found_by_its_request(self):
        vm = self.fleet.vms[0]
        for server in self.fleet.servers("log"):
            server.fault = Fault(lost=1)
        self.assertEqual(502, (await Client(vm.callers).send("find-me", HOST, "/entry/", method="POST")).status)
        await asyncio.sleep(0.3)
        lines = [json.loads(line) for line in self.fleet.log(vm).splitlines()]
        found = [line for line in lines if line.get("request") == "find-me"]
        self.assertEqual(["server-lost"], [line["reason"] for line in found])


class BadSettings(unittest.TestCase):
    def run_with(self, text):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(text)
            file.flush()
            return subprocess.run([str(BUILD / "egretlatch"), "sidecar", "--settings", file.name], capture_output=True, text=True, timeout=10)

    def test_wrong_settings_end_the_program_with_file_field_and_reason(self):
        ended = self.run_with('{"id": "n"}')
        self.assertEqual(2, ended.returncode)
        self.assertIn("/callers", ended.stderr)
        self.assertEqual(2, self.run_with("{").returncode)

    def test_missing_settings_end_the_program(self):
        ended = subprocess.run([str(BUILD / "egretlatch"), "sidecar", "--settings", "/nowhere/at.all"], capture_output=True, text=True, timeout=10)
        self.assertEqual(2, ended.returncode)
        self.assertIn("/nowhere/at.all", ended.stderr)


if __name__ == "__main__":
    unittest.main()
