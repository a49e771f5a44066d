"""Tests of the platform stand-in itself."""

import json
import subprocess
import sys
import tempfile
import unittest

from support import BUILD, ROOT

sys.path.insert(0, str(ROOT / "standin"))

from fleet.fleet import PORTS_PER_VM, free_ports  # noqa: E402


class Ports(unittest.TestCase):
    def test_no_port_is_given_twice(self):
        # Guards against two VMs of a fleet with the same readiness port: the second daemon cannot listen and exits, the first
        # answers the probes of both, so the fleet counts as ready but never becomes complete. With independent random draws,
        # 36 ports out of 22,000 contain a duplicate in 3 of 100 fleets.
        given = [port for _ in range(200) for port in free_ports(PORTS_PER_VM)]
        self.assertEqual(len(given), len(set(given)))


class PlayedDay(unittest.TestCase):
    def play(self, day, *arguments):
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump(day, file)
            file.flush()
            command = [str(ROOT / "scripts/fleet-day"), file.name, "--json", "--build", str(BUILD.relative_to(ROOT)), *arguments]
            return subprocess.run(command, capture_output=True, text=True, timeout=120)

    def test_a_day_is_played_and_counted_and_no_unsafe_request_runs_twice(self):
        # Answers of launch entries are lost and their daemons killed: each entry is counted once, and none runs twice.
        day = {
            "story": "answers lost, a daemon killed", "seconds": 4,
            "services": {"log": [3, 8, 16], "roster": [2, 8, 16]},
            "kinds": {"entry": {"work": 0.02, "calls": ["winch"]}, "winch": {"work": 0.01}},
            "routes": {"entry": {"service": "log", "kind": "non_idempotent", "priority": 0}, "winch": {"service": "roster"}},
            "load": [{"route": "entry", "perSecond": 30}],
            "events": [{"at": 0.5, "do": "fault", "service": "log", "share": 0.4, "fault": {"lost": 0.5}, "seconds": 1},
                       {"at": 2, "do": "kill", "service": "log", "share": 0.3, "seconds": 0.5}],
        }
        played = self.play(day)
        self.assertEqual(0, played.returncode, played.stderr[-2000:])
        result = json.loads(played.stdout)[0]
        entry = result["routes"]["entry"]
        self.assertEqual(entry["sent"], entry["served"] + entry["refused"] + entry["failed"])
        self.assertGreater(entry["served"], 0)
        self.assertGreater(entry["failed"], 0)
        self.assertEqual([], result["ranTwice"])
        self.assertGreater(result["arrivals"]["roster"], 0)

    def test_the_days_in_the_repository_can_be_read(self):
        for path in sorted((ROOT / "deploy/days").glob("*.json")):
            day = json.loads(path.read_text())
            self.assertLessEqual({load["route"] for load in day["load"]}, set(day["routes"]), path.name)
            for name, spec in day["routes"].items():
                self.assertIn(spec["service"], day["services"], f"{path.name}: {name}")
