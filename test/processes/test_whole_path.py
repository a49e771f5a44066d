"""End-to-end tests of a request over separate processes: caller, entry daemon, serving daemon, backend server, answer."""

import unittest

from support import MeshTest, call, executions


class WholePath(MeshTest):
    def test_an_answer_comes_back_whole_through_two_daemons(self):
        entry = self.mesh["entries"]["flight-history"][0]
        body = bytes(range(256)) * 4096
        status, headers, answer = call(f"{entry}/call/launch-log/launch-entry/", body, {"Idempotency-Key": "first"})
        self.assertEqual(200, status)
        self.assertEqual("completed", headers["Egretlatch-Verdict"])
        self.assertEqual(body, answer)
        self.assertEqual(1, executions(self.mesh["backends"]["launch-log"], "first"))

    def test_a_connection_cut_in_the_middle_runs_a_launch_entry_once(self):
        # Guards against a launch that is billed twice: the backend server runs the entry and its connection breaks before the
        # answer; if the connection had served an earlier request, Qt's client resends the entry by itself.
        entry = self.mesh["entries"]["flight-history"][0]
        servers = self.mesh["backends"]["launch-log"]
        for number in range(4):
            call(f"{entry}/call/launch-log/launch-entry/", b"", {"Idempotency-Key": f"warm-{number}"})
        for url in servers:
            call(f"{url}/control", b'{"cutShare": 1}')
        status, headers, _ = call(f"{entry}/call/launch-log/launch-entry/", b"", {"Idempotency-Key": "cut"})
        for url in servers:
            call(f"{url}/control", b"{}")
        self.assertEqual((502, "may-have-run"), (status, headers["Egretlatch-Verdict"]))
        self.assertEqual(1, executions(servers, "cut"))

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
