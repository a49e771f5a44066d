"""Tests of the soak: its checks detect violations, and short seeded runs of real daemons violate no invariant."""

import asyncio
import sys
import types
import unittest

from support import BUILD, ROOT

sys.path.insert(0, str(ROOT / "standin"))

from fleet import wire  # noqa: E402
from fleet.client import Answer  # noqa: E402
from fleet.record import Attempt, Record  # noqa: E402
from fleet.soak import Soak  # noqa: E402

# Seeds played in every test run, each with the fault that it found. Longer runs that failed in the past are in
# test/soak-seeds.json (scripts/soak --known).
SEEDS = {1: "none: a first seed", 8: "a daemon that had just started forgot the deregistration of its server"}


def vm_of(service="history"):
    server = types.SimpleNamespace(service=service, instance="i-1")
    vm = types.SimpleNamespace(name="vm-1", process=types.SimpleNamespace(pid=7), server=server)
    server.vm = vm
    return vm


def request(method="GET", target="/read/n", body=b"", caller="history"):
    return wire.Message(f"{method} {target} HTTP/1.1", {"x-caller-service": caller}, body)


class Checks(unittest.TestCase):
    def setUp(self):
        self.record = Record(0.2, 2, 1.0)
        self.vm = vm_of()

    def note_sent(self, name="n", method="GET", path="/read/n", route="read"):
        self.record.note_sent(name, Attempt(self.vm, route, path, method, b""))

    def runs(self, name="n", asked=None):
        asked = asked or request()
        self.record.arrived(self.vm.server, name, asked)
        self.record.began(self.vm.server, name, asked)

    def note_outcome(self, status, name="n", fields=None, body=b"", has_more=False):
        self.record.note_outcome(name, Answer(name, status, fields or {}, body, 0.1), has_more, 5.0)

    def assert_violated(self, invariant):
        self.assertEqual([invariant], [violation.split(":")[0] for violation in self.record.violations])

    def test_what_goes_well_breaks_nothing(self):
        self.note_sent()
        self.runs()
        self.record.answered(self.vm.server, "n", 200, b"x")
        self.note_outcome(200, fields={"x-request-id": "n", "x-server-stamp": "i-1.n"}, body=b"x")
        self.record.check_budget()
        self.assertEqual([], self.record.violations)

    def test_a_second_run_of_what_may_run_once_is_found(self):
        self.note_sent(method="POST")
        self.runs(asked=request("POST"))
        self.runs(asked=request("POST"))
        self.assert_violated("TWICE")

    def test_a_refusal_of_what_ran_or_runs_later_is_found(self):
        self.note_sent(method="POST")
        self.runs(asked=request("POST"))
        self.note_outcome(503)
        self.assert_violated("REFUSED")
        self.record.violations.clear()
        self.note_sent("m", method="POST")
        self.note_outcome(429, "m")
        self.runs("m", request("POST"))
        self.assert_violated("REFUSED")

    def test_an_answer_that_no_server_gave_is_found(self):
        for fields, body, status in (({"x-server-stamp": "i-1.n"}, b"y", 200), ({}, b"x", 200), ({"x-server-stamp": "i-1.n"}, b"x", 500),
                                     ({"x-server-stamp": "i-1.m"}, b"x", 200)):
            self.setUp()
            self.note_sent()
            self.runs()
            self.record.answered(self.vm.server, "n", 200, b"x")
            self.note_outcome(status, fields=fields, body=body)
            self.assert_violated("MIXED")

    def test_bytes_that_nobody_asked_for_are_found(self):
        self.note_sent()
        self.note_outcome(504, has_more=True)
        self.assert_violated("MIXED")

    def test_a_request_that_nobody_sent_or_that_was_changed_is_found(self):
        self.runs("unknown")
        self.assert_violated("UNASKED")
        for asked in (request("POST"), request(target="/read/m"), request(body=b"z"), request(caller="log")):
            self.setUp()
            self.note_sent()
            self.runs(asked=asked)
            self.assert_violated("UNASKED")

    def test_an_arrival_after_the_leaving_is_found(self):
        self.note_sent()
        self.record.left("i-1")
        self.record.leaving["i-1"] -= 1.1
        self.runs()
        self.assert_violated("DRAIN")

    def test_an_arrival_after_the_leaving_is_no_fault_while_the_link_to_the_server_may_have_held_it_up(self):
        self.note_sent()
        self.record.left("i-1")
        self.record.leaving["i-1"] -= 1.1
        self.record.note_link_fault(self.vm, 1.0)
        self.runs()
        self.assertEqual([], self.record.violations)
        self.record.link_faults["vm-1"] = [(0.0, self.record.leaving["i-1"])]
        self.note_sent("m")
        self.runs("m")
        self.assert_violated("DRAIN")

    def test_a_lost_connection_is_found_unless_its_daemon_had_a_fault(self):
        self.note_sent()
        self.runs()
        self.note_outcome(None)
        self.assert_violated("LOST")
        self.setUp()
        self.record.note_daemon_fault(self.vm, 5.0)
        self.note_sent()
        self.runs()
        self.note_outcome(None)
        self.assertEqual([], self.record.violations)

    def test_a_refusal_of_what_is_allowed_is_found(self):
        self.note_sent()
        self.note_outcome(400)
        self.assert_violated("DENIED")

    def test_more_repeats_than_the_bound_are_found_and_inner_calls_of_repeats_count(self):
        for number in range(4):
            self.note_sent(f"n{number}", path="/read/n")
            self.runs(f"n{number}")
            self.runs(f"n{number}")
            self.record.called_inner(self.vm.server, f"n{number}.x", f"n{number}", "/read/n")
            self.record.arrived(vm_of("roster").server, f"n{number}.x", request())
        self.record.check_budget()
        # 4 repeats where 2.8 are allowed, and 4 inner calls of repeats where 2 are allowed.
        self.assertEqual(2, sum(violation.startswith("BUDGET") for violation in self.record.violations))


class ShortRun(unittest.TestCase):
    def test_known_seeds_violate_no_invariant(self):
        for seed, cause in SEEDS.items():
            result = asyncio.run(Soak(str(BUILD / "egretlatch"), seed, seconds=6.0, daemons=2, clients=8).play())
            self.assertEqual([], result["broken"], f"seed {seed} ({cause}):\n" + "\n".join(result["story"]))


if __name__ == "__main__":
    unittest.main()
