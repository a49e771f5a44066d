"""Tests of the load tool against a running deployment: every request is counted once."""

import json
import pathlib
import subprocess
import tempfile
import unittest

from support import BUILD, MeshTest

SCENARIO = {
    "name": "test", "seed": 20261202,
    "kinds": [{"service": "launch-log", "kind": "launch-entry", "share": 1}, {"service": "duty-roster", "kind": "roster-read", "share": 3}],
    "phases": [{"name": "normal", "seconds": 1, "rate": 60}],
    "callers": {"resends": 2, "cancelShare": 0.1, "cancelAfterMs": 1},
    "faults": [{"atMs": 0, "do": "control", "service": "duty-roster", "server": 0, "behaviour": {"failShare": 0.5}}],
}


class LoadTest(MeshTest):
    arguments = ["gliding-union"]

    def run_load(self, folder):
        scenario, mesh, out, history = (pathlib.Path(folder) / name for name in ("scenario.json", "mesh.json", "out.json", "history.jsonl"))
        scenario.write_text(json.dumps(SCENARIO))
        mesh.write_text(json.dumps(self.mesh))
        command = [str(BUILD / "egretlatch-standin"), "load", "--scenario", str(scenario), "--mesh", str(mesh), "--out", str(out), "--history", str(history)]
        table = subprocess.run(command, check=True, capture_output=True, text=True, timeout=60).stdout
        return table, json.loads(out.read_text()), [json.loads(line) for line in history.read_text().splitlines()]

    def test_each_request_has_one_outcome_and_each_attempt_a_line(self):
        with tempfile.TemporaryDirectory(prefix="egretlatch-test-") as folder:
            table, result, history = self.run_load(folder)
        kinds = result["kinds"]
        self.assertEqual({"launch-log/launch-entry": 15, "duty-roster/roster-read": 45}, {name: kind["sent"] for name, kind in kinds.items()})
        for name, kind in kinds.items():
            ends = kind["completed"] + kind["cancelled"] + sum(sum(kind[group].values()) for group in ("refused", "mayHaveRun", "failed"))
            self.assertEqual(kind["sent"], ends)
            self.assertIn(name, table)
        self.assertEqual(sum(kind["attempts"] for kind in kinds.values()), len(history))
        self.assertEqual(60, len({attempt["request"] for attempt in history}))
        self.assertNotIn("wrong-answer", {attempt["cause"] for attempt in history})


if __name__ == "__main__":
    unittest.main()
