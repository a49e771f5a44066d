"""Refusal records over separate processes: in the answer, in the daemon's memory and in the object store."""

import json
import os
import signal
import subprocess
import time
import unittest

from support import BUILD, MeshTest, call

LIMIT = 20


def explain(*arguments):
    result = subprocess.run([str(BUILD / "egretlatch"), "explain", *arguments], capture_output=True, text=True, timeout=60)
    return result.returncode, result.stdout


class AccountTest(MeshTest):
    arguments = ["gliding-union", "--servers", "1"]

    def test_a_refusal_is_explained_by_the_daemon_and_then_from_the_store(self):
        # Guards against a refusal that cannot be explained any more after the VM that refused the request is gone.
        daemon = next(one for one in self.mesh["daemons"] if one["service"] == "launch-log")
        entry = f"http://127.0.0.1:{daemon['caller']}"
        backend = self.mesh["backends"]["launch-log"][0]
        call(f"{backend}/control", b'{"rejectShare": 1}')
        body = b"a body that the account must not hold"
        kind = next(kind["name"] for kind in self.services()["launch-log"] if kind["idempotent"])
        status, headers, answer = call(f"{entry}/call/launch-log/{kind}/", body, {"Idempotency-Key": "a-key-that-it-must-not-hold"})
        self.assertGreaterEqual(status, 400)
        self.assertIn("refusalId", json.loads(answer), answer)
        refusal = json.loads(answer)["refusalId"]

        code, text = explain(refusal, "--daemon", entry)
        self.assertEqual(0, code, text)
        self.assertIn(f"launch-log/{kind}", text)
        self.assertEqual(404, call(f"{entry}/refusals/{'0' * 8}-0000-7000-8000-{'0' * 12}", None, method="GET")[0])

        os.kill(daemon["pid"], signal.SIGTERM)
        deadline = time.monotonic() + LIMIT
        code, text = explain(refusal, "--json", "--platform", self.mesh["platform"])
        while code != 0 and time.monotonic() < deadline:
            time.sleep(0.1)
            code, text = explain(refusal, "--json", "--platform", self.mesh["platform"])
        self.assertEqual(0, code, text)
        record = json.loads(text)
        self.assertEqual((refusal, "launch-log", kind), (record["id"], record["service"], record["kind"]))
        self.assertEqual(headers["Egretlatch-Verdict"], record["verdict"])
        self.assertNotIn("must", text)
        self.assertNotIn("a-key", text)

        code, text = explain("--since", time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(time.time() - 600)), "--platform", self.mesh["platform"])
        self.assertEqual(0, code, text)
        self.assertIn(f"launch-log/{kind}", text)

    def services(self):
        with open(self.mesh["manifest"], encoding="utf-8") as file:
            return {service["name"]: service["kinds"] for service in json.load(file)["services"]}


if __name__ == "__main__":
    unittest.main()
