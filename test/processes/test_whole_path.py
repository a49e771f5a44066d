"""The whole way of a request over separate processes: caller, entry daemon, serving daemon, backend server, answer."""

import json
import os
import pathlib
import subprocess
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / os.environ.get("EGRETLATCH_BUILD", "build")


def call(url, body=b"", headers=None, method="POST"):
    request = urllib.request.Request(url, data=body, headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as answer:
        return answer.code, dict(answer.headers), answer.read()


class WholePath(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        command = [str(ROOT / "scripts/mesh"), "gliding-union", "--build", str(BUILD)]
        cls.process = subprocess.Popen(command, stdout=subprocess.PIPE)
        cls.mesh = json.loads(cls.process.stdout.readline())

    @classmethod
    def tearDownClass(cls):
        cls.process.terminate()
        cls.process.wait()
        cls.process.stdout.close()

    def test_an_answer_comes_back_whole_through_two_daemons(self):
        entry = self.mesh["entries"]["flight-history"][0]
        body = bytes(range(256)) * 4096
        status, headers, answer = call(f"{entry}/call/launch-log/launch-entry/", body, {"Idempotency-Key": "first"})
        self.assertEqual(200, status)
        self.assertEqual("completed", headers["Egretlatch-Verdict"])
        self.assertEqual(body, answer)
        ran = [json.loads(call(f"{url}/executions", method="GET", body=None)[2]).get("first", 0) for url in self.mesh["backends"]["launch-log"]]
        self.assertEqual(1, sum(ran))

    def test_a_connection_cut_in_the_middle_runs_a_launch_entry_once(self):
        # A member is billed twice for one launch. The backend server runs the entry and its connection breaks before
        # the answer; the connection had served an earlier request, and Qt's client then sends the entry again by itself.
        entry = self.mesh["entries"]["flight-history"][0]
        servers = self.mesh["backends"]["launch-log"]
        for number in range(4):
            call(f"{entry}/call/launch-log/launch-entry/", b"", {"Idempotency-Key": f"warm-{number}"})
        for url in servers:
            call(f"{url}/control", b'{"cutShare": 1}')
        status, headers, _ = call(f"{entry}/call/launch-log/launch-entry/", b"", {"Idempotency-Key": "cut"})
        for url in servers:
            call(f"{url}/control", b"{}")
        ran = [json.loads(call(f"{url}/executions", method="GET", body=None)[2]).get("cut", 0) for url in servers]
        self.assertEqual((502, "may-have-run"), (status, headers["Egretlatch-Verdict"]))
        self.assertEqual(1, sum(ran))

    def test_an_undeclared_kind_is_not_run(self):
        entry = self.mesh["entries"]["duty-roster"][0]
        status, headers, _ = call(f"{entry}/call/duty-roster/none/")
        self.assertEqual((404, "not-run"), (status, headers["Egretlatch-Verdict"]))

    def test_a_kind_that_is_not_idempotent_needs_a_key(self):
        entry = self.mesh["entries"]["duty-roster"][0]
        status, headers, _ = call(f"{entry}/call/launch-log/launch-entry/")
        self.assertEqual((400, "not-run"), (status, headers["Egretlatch-Verdict"]))


if __name__ == "__main__":
    unittest.main()
