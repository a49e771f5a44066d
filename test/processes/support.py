"""Shared support of the process tests: a mesh of real processes, and calls over HTTP."""

import json
import os
import pathlib
import subprocess
import sys
import unittest
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
BUILD = ROOT / os.environ.get("EGRETLATCH_BUILD", "build")
sys.path.insert(0, str(ROOT / "standin"))

from fleet.ports import free_ports  # noqa: E402


def free_port():
    """Returns a port that nothing listens on and that is not returned again."""
    return free_ports(1)[0]


def call(url, body=b"", headers=None, method="POST"):
    """Returns status, headers and body of an answer with any status."""
    request = urllib.request.Request(url, data=body, headers=headers or {}, method=method)
    try:
        with urllib.request.urlopen(request, timeout=20) as answer:
            return answer.status, dict(answer.headers), answer.read()
    except urllib.error.HTTPError as answer:
        return answer.code, dict(answer.headers), answer.read()


def executions(servers, key):
    """Returns the number of runs of a request key over all given backend servers."""
    return sum(json.loads(call(f"{url}/executions", method="GET", body=None)[2]).get(key, 0) for url in servers)


class MeshTest(unittest.TestCase):
    """Starts a deployment once for all tests of a class; `mesh` is the JSON printed by scripts/mesh."""

    arguments = ["gliding-union"]

    @classmethod
    def setUpClass(cls):
        command = [str(ROOT / "scripts/mesh"), *cls.arguments, "--build", str(BUILD)]
        cls.process = subprocess.Popen(command, stdout=subprocess.PIPE)
        cls.mesh = json.loads(cls.process.stdout.readline())

    @classmethod
    def tearDownClass(cls):
        cls.process.terminate()
        cls.process.wait()
        cls.process.stdout.close()
