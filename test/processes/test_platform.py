"""Tests of the platform stand-in: stored data and injected faults."""

import base64
import json
import subprocess
import time
import unittest

from support import BUILD, call, free_port


def ask(url, body=None, method="POST"):
    status, _, answer = call(url, body, method=method)
    return status, answer


class Platform(unittest.TestCase):
    def setUp(self):
        port = free_port()
        self.url = f"http://127.0.0.1:{port}"
        self.process = subprocess.Popen([str(BUILD / "egretlatch-standin"), "platform", "--port", str(port)])
        for _ in range(500):
            try:
                ask(f"{self.url}/counts", method="GET")
                break
            except OSError:
                time.sleep(0.01)

    def tearDown(self):
        self.process.terminate()
        self.process.wait()

    def write(self, key, value, version):
        encoded = base64.b64encode(value).decode()
        body = {"conditions": [{"key": key, "version": version}], "writes": [{"key": key, "value": encoded}]}
        return ask(f"{self.url}/table/write", json.dumps(body).encode())[0]

    def read(self, key):
        return json.loads(ask(f"{self.url}/table/read", json.dumps({"key": key}).encode())[1])["rows"]

    def counts(self):
        return json.loads(ask(f"{self.url}/counts", method="GET")[1])

    def test_a_condition_lets_one_of_two_writers_through(self):
        self.assertEqual(200, self.write("head", b"a", 0))
        self.assertEqual(409, self.write("head", b"b", 0))
        row = self.read("head")[0]
        self.assertEqual(b"a", base64.b64decode(row["value"]))
        self.assertEqual(200, self.write("head", b"b", row["version"]))

    def test_a_lost_answer_has_had_its_effect(self):
        ask(f"{self.url}/control", b'{"loseAnswerShare": 1}')
        with self.assertRaises(OSError):
            self.write("head", b"a", 0)
        ask(f"{self.url}/control", b"{}")
        self.assertEqual(b"a", base64.b64decode(self.read("head")[0]["value"]))
        self.assertEqual(1, self.counts()["lostAnswers"])

    def test_a_platform_that_is_down_does_nothing(self):
        ask(f"{self.url}/control", b'{"down": true}')
        self.assertEqual(503, self.write("head", b"a", 0))
        ask(f"{self.url}/control", b"{}")
        self.assertEqual([], self.read("head"))

    def test_beyond_the_rate_nothing_is_done(self):
        ask(f"{self.url}/control", b'{"writesPerSecond": 0}')
        statuses = [self.write(f"row-{number}", b"a", 0) for number in range(3)]
        ask(f"{self.url}/control", b"{}")
        for number, status in enumerate(statuses):
            self.assertEqual(status == 200, self.read(f"row-{number}") != [])
        self.assertIn(429, statuses)

    def test_objects_are_listed_by_prefix(self):
        for name in ("a/1", "a/2", "b/1"):
            self.assertEqual(200, ask(f"{self.url}/objects/{name}", name.encode(), "PUT")[0])
        self.assertEqual(b"a/2", ask(f"{self.url}/objects/a/2", method="GET")[1])
        self.assertEqual(404, ask(f"{self.url}/objects/a/3", method="GET")[0])
        names = json.loads(ask(f"{self.url}/objects?prefix=a/&after=a/1&limit=10", method="GET")[1])["names"]
        self.assertEqual(["a/2"], names)


if __name__ == "__main__":
    unittest.main()
