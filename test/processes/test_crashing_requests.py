"""Requests that crash each backend server that runs them, at real daemons: the bound over the whole fleet, in several orders of events."""

import asyncio
import signal
import time
import unittest

from fleet_case import HOST, FleetCase, routes

from fleet.client import Client
from fleet.fleet import Fleet, configuration
from fleet.server import Fault
from support import BUILD

SERVICES = {"roster": (5, 4, 8), "history": (2, 4, 8), "log": (2, 4, 8)}
# Bounds of the platform: crashes in this time after the third one are those of requests that were already known nowhere.
STABILITY_WINDOW = 3.0
MAX_LATE_CRASHES = 3
SECONDS = 14
CALLER_TIMEOUT = 0.6


class CrashingRequests(FleetCase):
    async def asyncSetUp(self):
        self.fleet = await Fleet(str(BUILD / "egretlatch"), SERVICES, self.kinds, bounds=self.bounds).__aenter__()
        self.fleet.store.put_configuration(configuration(1, routes(), SERVICES))
        self.assertTrue(await self.fleet.ready())
        await self.all_known()

    def entries(self, *services):
        return [vm for service in services for vm in self.fleet.vms if vm.server.service == service]

    def set_fault(self, **fault):
        for server in self.fleet.servers("roster"):
            server.fault = Fault(crash_on="poison", down=2, **fault)

    async def send_poison(self, entries, gap, during=None):
        """Sends the same request at the entries in turn, whatever became of the one before; `during` runs halfway through."""
        calls = []
        began = time.monotonic()
        while time.monotonic() - began < SECONDS:
            vm = entries[len(calls) % len(entries)]
            name = f"p-{len(calls)}"
            calls.append(asyncio.ensure_future(Client(vm.callers).send(name, HOST, "/read/poison", timeout=CALLER_TIMEOUT)))
            if during is not None and time.monotonic() - began > SECONDS / 2:
                during()
                during = None
            await asyncio.sleep(gap)
        return await asyncio.gather(*calls)

    def late_crashes(self):
        """Counts the crashes later than the stability window after the third one."""
        times = sorted(at for server in self.fleet.servers("roster") for at in server.crashed_at)
        return sum(1 for at in times if len(times) >= 3 and at > times[2] + STABILITY_WINDOW)

    def expect_bound(self):
        crashes = sum(server.crashes for server in self.fleet.servers("roster"))
        print(f"{self.id().rsplit('.', 1)[1]}: {crashes} crashes, {self.late_crashes()} late", flush=True)
        self.assertGreaterEqual(crashes, 3)
        self.assertLessEqual(self.late_crashes(), MAX_LATE_CRASHES)

    async def test_callers_of_one_service(self):
        self.set_fault()
        await self.send_poison(self.entries("roster"), 0.3)
        self.expect_bound()

    async def test_callers_of_another_service(self):
        self.set_fault()
        await self.send_poison(self.entries("history"), 0.3)
        self.expect_bound()

    async def test_serving_daemons_that_are_killed_and_started_in_between(self):
        self.set_fault()

        def restart():
            for vm in self.entries("roster")[:2]:
                vm.process.send_signal(signal.SIGKILL)
                vm.process.wait()
                self.fleet.start_daemon(vm)

        await self.send_poison(self.entries("history", "log"), 0.3, during=restart)
        self.expect_bound()

    async def test_entry_daemons_that_are_paused_while_the_servers_crash(self):
        # Guards against a quarantine that a daemon misses because it was paused when the reports went round.
        self.set_fault()
        paused = self.entries("log")
        for vm in paused:
            self.fleet.signal(vm, signal.SIGSTOP)

        def resume():
            for vm in paused:
                self.fleet.signal(vm, signal.SIGCONT)

        await self.send_poison(self.entries("history", "log"), 0.3, during=resume)
        self.expect_bound()

    async def test_callers_of_another_service_that_come_later_while_servers_fall_silent(self):
        # Guards against a caller whose first requests run side by side on all servers after those of another were refused.
        self.set_fault(ends_silent=True)
        entries = self.entries("history")

        def turn_to_others():
            entries[:] = self.entries("log", "roster")

        await self.send_poison(entries, 0.2, during=turn_to_others)
        self.expect_bound()

    async def test_callers_of_three_services_in_quick_turn(self):
        # Guards against crashes counted for each calling service apart: the request then has the bound as many times.
        self.set_fault()
        await self.send_poison(self.entries("roster", "history", "log"), 0.1)
        self.expect_bound()

    async def test_callers_of_three_services_in_slow_turn(self):
        self.set_fault()
        await self.send_poison(self.entries("roster", "history", "log"), 0.5)
        self.expect_bound()

    async def test_servers_that_fall_silent_under_callers_of_one_service(self):
        # Guards against a server's end that resets no connection: its runs end at their deadline, not as lost.
        self.set_fault(ends_silent=True)
        await self.send_poison(self.entries("history"), 0.3)
        self.expect_bound()

    async def test_servers_that_fall_silent_under_callers_of_three_services(self):
        self.set_fault(ends_silent=True)
        await self.send_poison(self.entries("roster", "history", "log"), 0.3)
        self.expect_bound()

    async def test_all_daemons_are_killed_twice_after_the_third_crash(self):
        # Guards against a request that has its crashes anew after each loss of all daemons.
        self.set_fault()

        async def restart_all():
            for vm in self.fleet.vms:
                vm.process.send_signal(signal.SIGKILL)
            for vm in self.fleet.vms:
                vm.process.wait()
                self.fleet.start_daemon(vm)
            self.assertTrue(await self.fleet.ready())

        for number in range(3):
            if number > 0:
                await restart_all()
            for turn in range(5):
                vm = self.entries("history", "log")[turn % 4]
                await Client(vm.callers).send(f"p-{number}-{turn}", HOST, "/read/poison", timeout=CALLER_TIMEOUT)
                await asyncio.sleep(2.2)
        self.expect_bound()

    async def test_a_sound_request_is_served_after_all_servers_were_silent_at_once(self):
        # Guards against a request that is refused for minutes since servers that fell silent by themselves left it unanswered.
        servers = self.fleet.servers("roster")
        for server in servers:
            server.fault = Fault(down=6, ends_silent=True)
        client = self.entries("history")[0].callers
        calls = []

        async def send_all(seconds):
            began = time.monotonic()
            while time.monotonic() - began < seconds:
                calls.append(asyncio.ensure_future(Client(client).send(f"s-{len(calls)}", HOST, "/read/today", timeout=CALLER_TIMEOUT)))
                await asyncio.sleep(0.02)

        await send_all(1)
        silences = [asyncio.ensure_future(server.crash()) for server in servers]
        await send_all(6)
        await asyncio.gather(*silences)
        await send_all(4)
        first = len(calls)
        await send_all(3)
        statuses = [answer.status for answer in await asyncio.gather(*calls[first:])]
        self.assertGreaterEqual(statuses.count(200), 0.98 * len(statuses), statuses)

    async def test_the_same_bytes_of_another_service_that_run_well(self):
        # Guards against sound requests refused because the same bytes crash servers when they come from another service.
        self.set_fault(crash_caller="history")
        sound = self.entries("log")[0]
        answers = []

        async def send_sound():
            for number in range(24):
                for attempt in range(40):
                    answer = await Client(sound.callers).send(f"s-{number}-{attempt}", HOST, "/read/poison", timeout=CALLER_TIMEOUT)
                    if answer.status == 200:
                        break
                    await asyncio.sleep(0.1)
                answers.append(answer.status)
                await asyncio.sleep(0.3)

        await asyncio.gather(send_sound(), self.send_poison(self.entries("history"), 0.3))
        self.assertEqual([200] * 24, answers)
        self.expect_bound()


if __name__ == "__main__":
    unittest.main()
