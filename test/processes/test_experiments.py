"""Evaluation of an experiment: possible goodput, checks and report page. No daemon is started here."""

import json
import pathlib
import subprocess
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
sys.path.insert(0, str(ROOT / "scripts"))

from experiments import checks, possible, report  # noqa: E402

MANIFEST = {"services": [
    {"name": "front", "slots": 10, "kinds": [
        {"name": "dear", "worth": 10, "idempotent": False, "costMs": 10,
         "calls": [{"service": "deep", "kind": "look"}, {"service": "deep", "kind": "write"}]},
        {"name": "cheap", "worth": 1, "costMs": 10, "calls": [{"service": "deep", "kind": "look"}]}]},
    {"name": "deep", "slots": 2, "kinds": [{"name": "look", "worth": 0, "costMs": 10}, {"name": "write", "worth": 0, "idempotent": False, "costMs": 30}]}]}
SCENARIO = {"name": "two", "deployment": "two", "servers": 2, "kinds": [{"service": "front", "kind": "dear", "share": 1}, {"service": "front", "kind": "cheap", "share": 1}],
            "phases": [{"name": "normal", "seconds": 4, "rate": 40}, {"name": "surge", "seconds": 2, "rate": 400}, {"name": "after", "seconds": 4, "rate": 40}],
            "faults": [{"atMs": 8000, "do": "control", "service": "deep", "behaviour": {"slowdown": 10}}]}


def attempt(key, outcome, cause="", kind="front/dear", request=None):
    return {"key": key, "request": request or key, "kind": kind, "outcome": outcome, "cause": cause}


def executions(**runs):
    return [{"service": "front", "server": 0, "runs": {key.replace("_", "."): count for key, count in runs.items()}}]


class PossibleGoodput(unittest.TestCase):
    def test_a_run_holds_its_slot_while_its_inner_calls_run(self):
        services = possible.services_at(SCENARIO, MANIFEST, 0)
        needed = possible.slot_seconds(possible.kinds_of(MANIFEST), services, ("front", "dear"))
        self.assertAlmostEqual(0.050, needed["front"])
        self.assertAlmostEqual(0.040, needed["deep"])

    def test_the_dearer_kind_takes_the_bottleneck_first(self):
        # 4 slots of deep: 100 dear requests a second take all of it, and 200 are offered.
        self.assertAlmostEqual(1000, possible.possible_by_second(SCENARIO, MANIFEST)[4])

    def test_all_that_is_offered_is_possible_on_a_normal_day(self):
        self.assertAlmostEqual(20 * 10 + 20 * 1, possible.possible_by_second(SCENARIO, MANIFEST)[0])

    def test_a_slow_service_makes_less_possible(self):
        # deep takes ten times as long: 0.4 s of its 4 slots for each dear request.
        self.assertAlmostEqual(100, possible.possible_by_second(SCENARIO, MANIFEST)[8])


class Checks(unittest.TestCase):
    def check(self, history, runs, crashed=False):
        return checks.check(MANIFEST, history, runs, crashed)

    def test_a_clean_run_has_no_violation(self):
        found = self.check([attempt("a", "completed"), attempt("b", "refused")], executions(a=1, a_1_0=2, a_2_0=1))
        self.assertEqual(0, found.violations())
        self.assertEqual(2, found.keys)

    def test_a_key_that_ran_twice_is_found(self):
        self.assertEqual(["a"], self.check([attempt("a", "completed")], executions(a=2)).run_twice)

    def test_an_inner_call_that_is_not_idempotent_and_ran_twice_is_found(self):
        self.assertEqual(["a.2.0"], self.check([attempt("a", "completed")], executions(a=1, a_2_0=2)).run_twice)

    def test_a_request_that_ran_under_two_keys_is_found(self):
        history = [attempt("a", "failed", request="1"), attempt("b", "completed", request="1")]
        self.assertEqual(["1"], self.check(history, executions(a=1, b=1)).run_twice)

    def test_a_refusal_that_says_not_run_of_a_key_that_ran_is_found(self):
        self.assertEqual(["a"], self.check([attempt("a", "refused")], executions(a=1)).ran_though_not_run)

    def test_a_completed_key_that_nobody_ran_is_found_unless_a_server_crashed(self):
        self.assertEqual(["a"], self.check([attempt("a", "completed")], executions()).lost)
        self.assertEqual([], self.check([attempt("a", "completed")], executions(), crashed=True).lost)

    def test_another_request_s_answer_is_found(self):
        self.assertEqual(1, self.check([attempt("", "failed", "wrong-answer", "front/cheap")], executions()).wrong_answers)


class Report(unittest.TestCase):
    def result(self):
        latency = {"p50": 1, "p90": 2, "p99": 3, "p999": 4, "max": 5}
        kind = {"worthOfOne": 10, "sent": 10, "attempts": 12, "completed": 9, "refused": {"overload-at-entry": 1}, "mayHaveRun": {}, "failed": {},
                "cancelled": 0, "latencyMs": latency, "sentBySecond": [1] * 10, "completedBySecond": [1] * 10}
        return {"seconds": 10, "startedAtMs": 0, "phases": [{"name": "surge"}], "kinds": {"front/dear": kind}, "totals": {"sent": 10, "attempts": 12},
                "bySecond": {"worth": [10] * 10, "causes": {"overload-at-entry": [0] * 9 + [1]}},
                "recovery": {"fromSecond": 4, "toSecond": 6, "levelBefore": 10, "seconds": 2}}

    def test_the_page_marks_overload_and_recovery_and_compares_policies(self):
        clean = checks.Checks(1, 1, 0, [], [], [])
        runs = [report.Run(policy, 1, self.result(), clean, [{"atMs": 4000, "text": "stop <daemon>"}]) for policy in ("adaptive", "none")]
        page = report.to_html(SCENARIO, MANIFEST, runs)
        for part in ("recovered after 2 s", 'class="overload"', "overload-at-entry", "stop &lt;daemon&gt;", ">none <"):
            self.assertIn(part, page)

    def test_the_table_of_several_scenarios_links_their_reports(self):
        run = report.Run("adaptive", 1, self.result(), checks.Checks(3, 4, 0, [], [], []), [])
        experiment = report.Experiment(SCENARIO, [run], possible.possible_by_second(SCENARIO, MANIFEST))
        self.assertIn('<a href="two/report.html">two</a>', report.to_index([experiment, experiment]))


class Scenarios(unittest.TestCase):
    def test_the_committed_scenarios_are_those_that_the_script_writes(self):
        answer = subprocess.run([ROOT / "scripts/make-scenarios", "--check"], capture_output=True, text=True, check=False)
        self.assertEqual("", answer.stdout)

    def test_each_scenario_s_kinds_are_declared_by_its_deployment(self):
        for path in sorted((ROOT / "scenarios").glob("*.json")):
            scenario = json.loads(path.read_text())
            kinds = possible.kinds_of(json.loads((ROOT / "examples" / f"{scenario['deployment']}.json").read_text()))
            with self.subTest(path.name):
                self.assertLessEqual({(kind["service"], kind["kind"]) for kind in scenario["kinds"]}, set(kinds))


if __name__ == "__main__":
    unittest.main()
