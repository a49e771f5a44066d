"""Daemons that join, drain, pause, fail or lack accepted keys, with real processes and requests in flight."""

import concurrent.futures
import json
import os
import pathlib
import signal
import subprocess
import tempfile
import time
import unittest
import urllib.request

from support import BUILD, MeshTest, call, executions

from fleet.ports import free_ports

TIMEOUT = 60


def wait_until(condition, description):
    """Polls until a condition holds; the time limit only keeps a failed run from hanging."""
    limit = time.monotonic() + TIMEOUT
    while not condition():
        if time.monotonic() > limit:
            raise AssertionError(f"timed out waiting for: {description}")
        time.sleep(0.05)


def base(daemon):
    return f"http://127.0.0.1:{daemon['caller']}"


def states(daemon):
    """Returns the state of each member as a daemon sees it."""
    status = json.loads(call(base(daemon) + "/status", None, method="GET")[2])
    return {member["id"]: member["state"] for member in status.get("members", [])}


def metric(daemon, line_start):
    text = call(base(daemon) + "/metrics", None, method="GET")[2].decode()
    return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith(line_start))


def make_keys():
    return json.loads(subprocess.check_output([str(BUILD / "egretlatch"), "keys"]))


class Fleet(MeshTest):
    def daemon(self, name):
        return next(daemon for daemon in self.mesh["daemons"] if daemon["id"] == name)

    def control(self, service, **behaviour):
        for url in self.mesh["backends"][service]:
            call(f"{url}/control", json.dumps(behaviour).encode())

    def running(self, service):
        reports = [json.loads(call(f"{url}/load", None, method="GET")[2]) for url in self.mesh["backends"][service]]
        return sum(report["running"] for report in reports)

    def start_calls(self, pool, service, kind, count, prefix):
        entry = base(self.daemon("flight-history-0"))
        headers = [{"Idempotency-Key": f"{prefix}-{number}", "Request-Timeout-Ms": "20000"} for number in range(count)]
        return [pool.submit(call, f"{entry}/call/{service}/{kind}/", b"body", header) for header in headers]


class Leaving(Fleet):
    def test_a_graceful_shutdown_cuts_off_no_request_in_flight(self):
        # Guards against launch entries that fail because their VM is replaced: entries run at two servers when one daemon gets
        # SIGTERM, and a process that exits at once would cut its connections.
        self.control("launch-log", slowdown=300)
        with concurrent.futures.ThreadPoolExecutor(12) as pool:
            calls = self.start_calls(pool, "launch-log", "launch-entry", 12, "shutdown")
            wait_until(lambda: self.running("launch-log") == 12, "all entries in flight")
            os.kill(self.daemon("launch-log-0")["pid"], signal.SIGTERM)
            answers = [one.result() for one in calls]
        self.control("launch-log")
        self.assertEqual([200] * 12, [status for status, _, _ in answers])
        self.assertEqual([1] * 12, [executions(self.mesh["backends"]["launch-log"], f"shutdown-{number}") for number in range(12)])
        others = [daemon for daemon in self.mesh["daemons"] if daemon["id"] != "launch-log-0"]
        wait_until(lambda: all(states(daemon)["launch-log-0"] == "gone" for daemon in others), "launch-log-0 gone at every daemon")

    def test_a_drain_finishes_what_runs_and_announcements_do_not_undo_it(self):
        # Guards against a drained backend server that keeps receiving work: it announces itself every second while it drains,
        # and each announcement had put it back to serving.
        drained = self.daemon("duty-roster-0")
        self.control("duty-roster", slowdown=300)
        with concurrent.futures.ThreadPoolExecutor(4) as pool:
            calls = self.start_calls(pool, "duty-roster", "roster-read", 4, "drain")
            wait_until(lambda: self.running("duty-roster") == 4, "all reads in flight")
            call(base(drained) + "/backend/drain", b"")
            answers = [one.result() for one in calls]
        self.control("duty-roster")
        self.assertEqual([200] * 4, [status for status, _, _ in answers])
        others = [daemon for daemon in self.mesh["daemons"] if daemon["id"] not in ("duty-roster-0", "launch-log-0")]
        wait_until(lambda: all(states(daemon)["duty-roster-0"] == "draining" for daemon in others), "duty-roster-0 draining at every daemon")
        ran = json.loads(call(f"{self.mesh['backends']['duty-roster'][0]}/load", None, method="GET")[2])["ran"]
        announcements = metric(drained, "egretlatch_announcements")
        wait_until(lambda: metric(drained, "egretlatch_announcements") >= announcements + 2, "two more announcements")
        for number in range(8):
            self.assertEqual(200, call(base(others[0]) + "/call/duty-roster/roster-read/")[0])
        self.assertEqual(ran, json.loads(call(f"{self.mesh['backends']['duty-roster'][0]}/load", None, method="GET")[2])["ran"])


class Failing(Fleet):
    def test_a_lost_daemon_ends_its_attempts_before_their_deadline(self):
        # Guards against a caller that waits its full twenty seconds for an entry whose VM failed in the first: the entry daemon
        # sees the connection between the daemons break and must not wait for the deadline.
        self.control("launch-log", hangs=True)
        with concurrent.futures.ThreadPoolExecutor(6) as pool:
            calls = self.start_calls(pool, "launch-log", "launch-entry", 6, "lost")
            wait_until(lambda: self.running("launch-log") == 6, "all entries in flight")
            for name in ("launch-log-0", "launch-log-1"):
                os.kill(self.daemon(name)["pid"], signal.SIGKILL)
            answers = [one.result() for one in calls]
        for status, headers, body in answers:
            self.assertEqual((502, "may-have-run"), (status, headers["Egretlatch-Verdict"]))
            self.assertIn("the connection to the serving daemon was lost", body.decode())

    def test_a_silent_backend_server_is_taken_for_gone(self):
        # Guards against a daemon that keeps being sent calls after its backend server was killed, because the last announcement
        # of the server never expired.
        os.kill(self.daemon("logbook-archive-0")["backendPid"], signal.SIGKILL)
        observer = self.daemon("flight-history-0")
        wait_until(lambda: states(observer)["logbook-archive-0"] == "idle", "logbook-archive-0 idle at another daemon")

    def test_a_paused_daemon_becomes_suspect_and_returns_to_serving(self):
        # The fleet must stop sending work to a VM that is paused for some seconds, and resume once it runs again.
        paused = self.daemon("duty-roster-1")
        observer = self.daemon("flight-history-1")
        os.kill(paused["pid"], signal.SIGSTOP)
        try:
            wait_until(lambda: states(observer)["duty-roster-1"] in ("suspect", "gone"), "duty-roster-1 suspect or gone")
        finally:
            os.kill(paused["pid"], signal.SIGCONT)
        wait_until(lambda: states(observer)["duty-roster-1"] == "serving", "duty-roster-1 serving again")


class Isolation(Fleet):
    arguments = ["cod-proaspat", "--log-level", "info"]

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        cls.arguments = [*cls.arguments, "--logs", cls.folder.name]
        super().setUpClass()

    @classmethod
    def tearDownClass(cls):
        super().tearDownClass()
        cls.folder.cleanup()

    def lines(self, daemon, *events):
        """Returns the complete log lines of a daemon with one of the given events."""
        text = (pathlib.Path(self.folder.name) / f"{daemon['id']}.log").read_text()
        parsed = [json.loads(line) for line in text.splitlines(keepends=True) if line.endswith("\n")]
        return [line for line in parsed if line["event"] in events]

    def expect_isolated(self, daemon, others):
        (line,) = self.lines(daemon, "isolated")
        self.assertEqual(("warning", str(others)), (line["level"], line["expected"]))
        self.assertGreaterEqual(int(line["silenceMs"]), 10_000)
        self.assertLessEqual(int(line["present"]), others)
        self.assertEqual(1, metric(daemon, "egretlatch_isolated"))
        self.assertGreaterEqual(metric(daemon, "egretlatch_peer_silence_seconds"), 10)
        self.assertTrue(json.loads(call(base(daemon) + "/status", None, method="GET")[2])["isolated"])
        self.assertEqual(200, call(base(daemon) + "/readyz", None, method="GET")[0])

    def test_a_daemon_that_hears_nobody_says_so_until_it_hears_others_again(self):
        # Guards against a daemon that is cut off from all others, refuses the calls of its callers and names the cause nowhere.
        isolated, *others = self.mesh["daemons"]
        self.assertEqual(0, metric(isolated, "egretlatch_isolated"))
        try:
            for daemon in others:
                os.kill(daemon["pid"], signal.SIGSTOP)
            wait_until(lambda: metric(isolated, "egretlatch_isolated") == 1, "isolation in the metrics")
            wait_until(lambda: self.lines(isolated, "isolated"), "isolation in the log")
            self.expect_isolated(isolated, len(others))
        finally:
            for daemon in others:
                os.kill(daemon["pid"], signal.SIGCONT)
        wait_until(lambda: self.lines(isolated, "no longer isolated"), "end of the isolation in the log")
        wait_until(lambda: metric(isolated, "egretlatch_isolated") == 0, "end of the isolation in the metrics")
        events = [line["event"] for line in self.lines(isolated, "isolated", "no longer isolated")]
        self.assertEqual(["isolated", "no longer isolated"], events)
        # An alarm of each daemon whose VM was paused would call a person for nothing.
        for daemon in others:
            wait_until(lambda: metric(daemon, 'egretlatch_membership_total{label="tick-gap"}') > 0, "the noticed pause")
            wait_until(lambda: set(states(daemon).values()) == {"serving"}, "all members serving again")
            self.assertEqual([], self.lines(daemon, "isolated"))


class Keys(Fleet):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.processes = []

    def tearDown(self):
        for process in self.processes:
            process.kill()
            process.wait()
        self.folder.cleanup()

    def start(self, name, ports, peers, **security):
        settings = {
            "id": name, "dataCentre": "dc1", "callerPort": ports[0], "peerPort": ports[1], "backendUrl": "http://127.0.0.1:9",
            "logLevel": "debug", "operatorAccess": "open",
            "peers": [{"id": peer, "endpoint": f"tcp://127.0.0.1:{port}"} for peer, port in peers], **security,
        }
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        path.write_text(json.dumps(settings))
        with open(path.with_suffix(".log"), "wb") as log:
            self.processes.append(subprocess.Popen([str(BUILD / "egretlatch"), "daemon", "--settings", str(path)], stderr=log))
        daemon = {"caller": ports[0]}
        wait_until(lambda: self.is_up(daemon), f"{name} up")
        return daemon

    def is_up(self, daemon):
        try:
            with urllib.request.urlopen(base(daemon) + "/healthz", timeout=1):
                return True
        except OSError:
            return False

    def test_daemons_without_accepted_keys_are_refused_and_counted(self):
        # Guards against an attacker in the network who joins with the peer protocol, with unknown keys or without keys, to read
        # request bodies or to attract calls to another server.
        target = self.daemon("flight-history-0")
        refused = "egretlatch_connections_refused"
        before = metric(target, refused)
        keys = make_keys()
        contacts = [("flight-history-0", target["peer"])]
        with_keys = self.start("stranger-1", free_ports(2), contacts, peerKeys={**keys, "accepted": [keys["publicKey"]]})
        wait_until(lambda: metric(target, refused) >= before + 2, "refused connections")
        middle = metric(target, refused)
        plain = self.start("stranger-2", free_ports(2), contacts, peerEncryption="off")
        wait_until(lambda: metric(target, refused) >= middle + 2, "more refused connections")
        self.assertEqual(["stranger-1"], list(states(with_keys)))
        self.assertEqual(["stranger-2"], list(states(plain)))
        self.assertFalse({"stranger-1", "stranger-2"} & set(states(target)))

    def test_keys_are_changed_without_a_stop(self):
        # During a key rotation some daemons have the new key pair and some the old one, and all accept both: all of them must
        # still see each other as members.
        old, new = make_keys(), make_keys()
        accepted = [old["publicKey"], new["publicKey"]]
        ports = {name: free_ports(2) for name in ("old-1", "new-1", "new-2")}
        peers = [(name, ports[name][1]) for name in ports]
        daemons = [
            self.start(name, ports[name], [peer for peer in peers if peer[0] != name], peerKeys={**(old if name == "old-1" else new), "accepted": accepted})
            for name in ports
        ]
        for daemon in daemons:
            wait_until(lambda: set(states(daemon)) == set(ports), "all three members")
        events = [json.loads(line)["event"] for path in pathlib.Path(self.folder.name).glob("*.log") for line in path.read_text().splitlines()]
        self.assertIn("member changed", events)

    def test_switched_off_encryption_is_logged_at_start(self):
        self.start("plain", free_ports(2), [], peerEncryption="off")
        lines = (pathlib.Path(self.folder.name) / "plain.log").read_text().splitlines()
        self.assertTrue(any("peer encryption is off" in json.loads(line)["event"] for line in lines))


if __name__ == "__main__":
    unittest.main()
