"""Daemons with keys that are paused and go on, several at a time."""

import concurrent.futures
import json
import os
import random
import signal
import time
import unittest

from support import MeshTest, call
from test_membership import base, states

SEED = 7
ROUNDS = 3
PAUSED = 6
# docs/operators/membership.md: once the network is whole again, members return within about a minute.
RETURN_SECONDS = 75
KINDS = {"flight-history": "history", "launch-log": "lookup", "logbook-archive": "read", "duty-roster": "roster-read"}


class PausedDaemons(MeshTest):
    arguments = ["gliding-union", "--servers", "3"]

    def pause_overlapping(self, rng):
        """Pauses a seeded half of the daemons, each for a time of its own, in three overlapping rounds."""
        stops = []
        for number in range(ROUNDS):
            for daemon in rng.sample(self.mesh["daemons"], PAUSED):
                begin = 2.5 * number + rng.uniform(0, 1.5)
                stops += [(begin, signal.SIGSTOP, daemon["pid"]), (begin + rng.uniform(2.5, 6), signal.SIGCONT, daemon["pid"])]
        started = time.monotonic()
        try:
            for at, number, pid in sorted(stops, key=lambda stop: stop[0]):
                time.sleep(max(0, started + at - time.monotonic()))
                os.kill(pid, number)
        finally:
            for daemon in self.mesh["daemons"]:
                os.kill(daemon["pid"], signal.SIGCONT)

    def unseen(self):
        """Returns, for each daemon, the members that it does not see as serving, itself left out."""
        seen = {daemon["id"]: states(daemon) for daemon in self.mesh["daemons"]}
        missing = {name: sorted(other for other in seen if other != name and view.get(other) != "serving") for name, view in seen.items()}
        return {name: others for name, others in missing.items() if others}

    def failed_calls(self):
        """Calls each service at each daemon; returns what was not answered 200."""
        calls = [(daemon, service) for daemon in self.mesh["daemons"] for service in KINDS]

        def one(daemon, service):
            headers = {"Idempotency-Key": f"after-{daemon['id']}-{service}", "Request-Timeout-Ms": "5000"}
            return call(f"{base(daemon)}/call/{service}/{KINDS[service]}/", b"body", headers)

        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            answers = [(daemon["id"], service, pool.submit(one, daemon, service)) for daemon, service in calls]
            return [(name, service, answer.result()[0]) for name, service, answer in answers if answer.result()[0] != 200]

    def test_paused_daemons_see_every_other_daemon_again(self):
        # Guards against a daemon that hears nobody after a pause until it is restarted: its ZeroMQ I/O thread waits for ever.
        self.pause_overlapping(random.Random(SEED))
        limit = time.monotonic() + RETURN_SECONDS
        while (unseen := self.unseen()) and time.monotonic() < limit:
            time.sleep(0.5)
        self.assertEqual({}, unseen, f"not seen as serving {RETURN_SECONDS} s after the last pause")
        self.assertEqual([], self.failed_calls())


if __name__ == "__main__":
    unittest.main()
