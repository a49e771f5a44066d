"""Configurations over separate processes: submissions, races, lost answers, and a start while the store is down."""

import json
import pathlib
import re
import subprocess
import tempfile
import threading
import time
import unittest

from support import BUILD, MeshTest, call, free_port

LIMIT = 30
POLL = 0.02


def submit(platform, manifest, base, *more):
    command = [str(BUILD / "egretlatch"), "submit", "--manifest", str(manifest), "--base", str(base), "--platform", platform, *more]
    result = subprocess.run(command, capture_output=True, text=True, timeout=120)
    return result.returncode, result.stdout


def configuration(entry):
    status, _, body = call(f"{entry}/status", None, method="GET")
    return json.loads(body)["configuration"] if status == 200 else None


class DeploymentTest(MeshTest):
    """Base class with a small deployment and its platform, and helpers for the tests of configurations."""

    arguments = ["gliding-union", "--servers", "1"]

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.platform = cls.mesh["platform"]
        cls.entries = [entry for entries in cls.mesh["entries"].values() for entry in entries]
        cls.folder = tempfile.TemporaryDirectory(prefix="egretlatch-test-")

    @classmethod
    def tearDownClass(cls):
        cls.folder.cleanup()
        super().tearDownClass()

    def tearDown(self):
        self.control()

    def control(self, **behaviour):
        self.assertEqual(204, call(f"{self.platform}/control", json.dumps(behaviour).encode())[0])

    def manifest(self, number):
        """Writes a manifest that is unique by a cost that no test depends on; returns its path."""
        document = json.loads(pathlib.Path(self.mesh["manifest"]).read_text())
        document["services"][0]["kinds"][0]["costMs"] = 1 + number % 50
        path = pathlib.Path(self.folder.name) / f"{number}.json"
        path.write_text(json.dumps(document, indent=number % 7 + 1) + " " * (number // 7))
        return path

    def newest(self):
        return max(configuration(entry)["version"] for entry in self.entries)

    def wait_for(self, version, entries=None):
        deadline = time.monotonic() + LIMIT
        waiting = list(entries or self.entries)
        while waiting:
            self.assertLess(time.monotonic(), deadline, f"version {version} is not in force at {waiting}")
            waiting = [entry for entry in waiting if configuration(entry)["version"] < version]
            time.sleep(POLL)


class ConfigurationTest(DeploymentTest):
    def test_a_submission_is_in_force_everywhere_and_a_late_one_is_answered_with_the_winner(self):
        base = self.newest()
        code, _ = submit(self.platform, self.manifest(1), base, "--submitter", "anna")
        self.assertEqual(0, code)
        self.wait_for(base + 1)
        self.assertEqual(1, len({configuration(entry)["hash"] for entry in self.entries}))
        code, text = submit(self.platform, self.manifest(2), base, "--submitter", "bert")
        self.assertEqual(3, code)
        self.assertIn("anna", text)
        daemons = [argument for entry in self.entries for argument in ("--daemon", entry)]
        status = subprocess.run([str(BUILD / "egretlatch"), "status", *daemons], capture_output=True, text=True, timeout=30)
        self.assertEqual(0, status.returncode, status.stdout)
        self.assertIn(f"version {base + 1} is in force on {len(self.entries)} of {len(self.entries)}", status.stdout)

    def test_operators_who_race_while_answers_are_lost_have_one_winner_each(self):
        # Five operators submit at once while the platform loses half of its answers after the write took effect. Guards against
        # a winner that is reported as a conflict, two winners of a version, and a daemon that reverts to an older version.
        first = self.newest()
        self.control(loseAnswerShare=0.5)
        accepted, conflicts, unexpected = [], [], []
        lock = threading.Lock()

        def race(operator):
            base = first
            for turn in range(4):
                code, text = submit(self.platform, self.manifest(100 + 10 * operator + turn), base, "--submitter", f"operator-{operator}")
                with lock:
                    if code == 0:
                        accepted.append((base + 1, re.search(r"hash +(\w+)", text)[1]))
                        base += 1
                    elif code == 3:
                        conflicts.append(base + 1)
                        base = int(re.search(r"--base (\d+)", text)[1])
                    else:
                        unexpected.append((code, text))

        seen = {entry: [] for entry in self.entries}
        is_over = threading.Event()

        def watch():
            while not is_over.is_set():
                for entry in self.entries:
                    seen[entry].append(configuration(entry)["version"])
                time.sleep(POLL)

        watcher = threading.Thread(target=watch)
        watcher.start()
        racers = [threading.Thread(target=race, args=(number,)) for number in range(5)]
        for racer in racers:
            racer.start()
        for racer in racers:
            racer.join()
        self.control()
        versions = sorted(version for version, _ in accepted)
        self.wait_for(versions[-1])
        is_over.set()
        watcher.join()
        self.assertEqual([], unexpected)
        self.assertEqual(20, len(accepted) + len(conflicts))
        self.assertEqual(list(range(first + 1, first + 1 + len(accepted))), versions)
        last = dict(accepted)[versions[-1]]
        self.assertEqual({last}, {configuration(entry)["hash"] for entry in self.entries})
        for entry, history in seen.items():
            self.assertEqual(sorted(history), history, entry)

    def test_without_the_token_an_operator_reads_nothing(self):
        caller, peer = free_port(), free_port()
        token = pathlib.Path(self.folder.name) / "operators.token"
        token.write_text("a token of the operators\n")
        settings = {
            "id": "closed", "dataCentre": "dc1", "callerPort": caller, "peerPort": peer, "backendUrl": "http://127.0.0.1:9",
            "operatorTokenFile": str(token), "peerEncryption": "off", "logLevel": "debug",
        }
        path = pathlib.Path(self.folder.name) / "closed.json"
        path.write_text(json.dumps(settings))
        daemon = subprocess.Popen([str(BUILD / "egretlatch"), "daemon", "--settings", str(path)], stderr=subprocess.PIPE, text=True)
        try:
            entry = f"http://127.0.0.1:{caller}"
            deadline = time.monotonic() + LIMIT
            while True:
                try:
                    self.assertEqual(200, call(f"{entry}/healthz", None, method="GET")[0])
                    break
                except OSError:
                    self.assertLess(time.monotonic(), deadline)
                    time.sleep(POLL)
            self.assertEqual(401, call(f"{entry}/status", None, method="GET")[0])
            self.assertEqual(401, call(f"{entry}/metrics", None, {"Authorization": "Bearer guess"}, "GET")[0])
            self.assertEqual(200, call(f"{entry}/status", None, {"Authorization": "Bearer a token of the operators"}, "GET")[0])
        finally:
            daemon.terminate()
            _, log = daemon.communicate()
        self.assertNotIn("a token of the operators", log)
        # Guards against log lines without a closing brace, which are not JSON and were dropped by log collectors.
        events = [json.loads(line)["event"] for line in log.splitlines()]
        self.assertIn("started", events)


class StoreDownTest(DeploymentTest):
    arguments = ["gliding-union", "--servers", "1", "--no-encryption"]

    def test_a_daemon_that_starts_while_the_store_is_down_takes_it_from_a_peer(self):
        # Guards against daemons that start during an outage of the store, know no configuration and refuse every call although
        # their peers have it in force.
        base = self.newest()
        self.assertEqual(0, submit(self.platform, self.manifest(3), base)[0])
        self.wait_for(base + 1)
        self.control(down=True)
        caller, peer = free_port(), free_port()
        neighbour = self.mesh["daemons"][0]
        settings = {
            "id": "newcomer", "dataCentre": "dc1", "callerPort": caller, "peerPort": peer, "backendUrl": "http://127.0.0.1:9",
            "platformUrl": self.platform, "operatorAccess": "open", "peerEncryption": "off", "logLevel": "error",
            "peers": [{"id": neighbour["id"], "endpoint": f"tcp://127.0.0.1:{neighbour['peer']}"}],
            **self.mesh["peerSecurity"],
        }
        path = pathlib.Path(self.folder.name) / "newcomer.json"
        path.write_text(json.dumps(settings))
        daemon = subprocess.Popen([str(BUILD / "egretlatch"), "daemon", "--settings", str(path)])
        try:
            entry = f"http://127.0.0.1:{caller}"
            deadline = time.monotonic() + LIMIT
            while True:
                try:
                    if call(f"{entry}/readyz", None, method="GET")[0] == 200:
                        break
                except OSError:
                    pass
                self.assertLess(time.monotonic(), deadline, "the newcomer has no configuration")
                time.sleep(POLL)
            self.wait_for(base + 1, [entry])
        finally:
            daemon.terminate()
            daemon.wait()


if __name__ == "__main__":
    unittest.main()
