"""Connections of callers to daemons: the order of answers, and what a shutdown does to requests and answers under way."""

import collections
import concurrent.futures
import http.client
import json
import os
import pathlib
import signal
import socket
import tempfile
import time
import unittest

from support import MeshTest, call

# Only keeps a failed run from hanging.
TIMEOUT = 60
CALLERS = 12
# More than the buffers of both systems hold for a caller that does not read.
LARGE_BODY_BYTES = 6 * 1024 * 1024
SMALL_RECEIVE_BUFFER_BYTES = 16 * 1024
# Longer than the daemons wait for anything else at their end.
PAUSE_SECONDS = 7
MANIFEST = {
    "services": [{
        "name": "echo", "slots": 35, "connections": 300,
        "kinds": [{"name": "read", "priority": 9, "worth": 1, "idempotent": True, "deadlineMs": 20000, "costMs": 20}],
    }],
}


def request_text(path, body=b"", method="POST"):
    return f"{method} {path} HTTP/1.1\r\nHost: daemon\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class CallerConnections(MeshTest):
    """Each test has a daemon of its own; the backend servers answer with the body of the request."""

    @classmethod
    def setUpClass(cls):
        cls.folder = tempfile.TemporaryDirectory()
        manifest = pathlib.Path(cls.folder.name) / "echo.json"
        manifest.write_text(json.dumps(MANIFEST))
        cls.arguments = ["echo", "--manifest", str(manifest), "--no-platform", "--servers", "4"]
        super().setUpClass()

    @classmethod
    def tearDownClass(cls):
        super().tearDownClass()
        cls.folder.cleanup()

    def slow_down(self, factor):
        for url in self.mesh["backends"]["echo"]:
            call(f"{url}/control", json.dumps({"slowdown": factor}).encode())

    def connect(self, daemon):
        connection = socket.create_connection(("127.0.0.1", daemon["caller"]), timeout=TIMEOUT)
        self.addCleanup(connection.close)
        return connection

    def test_answers_to_pipelined_requests_come_in_the_order_of_the_requests(self):
        # Guards against a caller that takes the answer to a later request for that to an earlier one, since the quicker came first.
        self.slow_down(20)
        self.addCleanup(self.slow_down, 1)
        connection = self.connect(self.mesh["daemons"][0])
        connection.sendall(request_text("/call/echo/read/", b"first") + request_text("/healthz", method="GET") + request_text("/nothing-here"))
        received = connection.makefile("rb")
        answers = [self.read_answer(received) for _ in range(3)]
        self.assertEqual([(200, b"first"), (200, b"alive\n")], answers[:2])
        self.assertEqual(404, answers[2][0])

    def test_each_request_sent_while_a_daemon_shuts_down_is_answered(self):
        # Guards against requests read in the last moment of a process that get no answer, and connections closed without a word.
        daemon = self.mesh["daemons"][1]
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
            callers = [pool.submit(self.call_until_refused, daemon) for _ in range(CALLERS)]
            time.sleep(0.2)
            os.kill(daemon["pid"], signal.SIGTERM)
            ends = sum((caller.result() for caller in callers), collections.Counter())
        self.assertLessEqual(set(ends), {(200, "completed"), (503, "not-run")}, ends)
        self.assertGreater(ends[503, "not-run"], 0)

    def call_until_refused(self, daemon):
        """Makes one call after the other until the daemon accepts no connection; returns how often a request ended in which way."""
        connection = http.client.HTTPConnection("127.0.0.1", daemon["caller"], timeout=TIMEOUT)
        ends = collections.Counter()
        while True:
            try:
                connection.request("POST", "/call/echo/read/", b"body")
                answer = connection.getresponse()
                answer.read()
                ends[answer.status, answer.headers["Egretlatch-Verdict"]] += 1
            except ConnectionRefusedError:
                return ends
            except (OSError, http.client.HTTPException) as error:
                ends[type(error).__name__, "no answer"] += 1
                connection.close()

    def test_a_caller_that_reads_slowly_gets_its_whole_answer_although_the_daemon_shuts_down(self):
        # Guards against the end of a process that discards the part of an answer that its system could not take yet.
        daemon = self.mesh["daemons"][2]
        connection, body = self.begin_large_answer(daemon)
        os.kill(daemon["pid"], signal.SIGTERM)
        self.wait_until_refused(daemon)
        self.assertEqual((200, body), self.read_answer(connection.makefile("rb")))

    def test_a_caller_that_pauses_gets_its_whole_answer_although_the_daemon_shuts_down(self):
        # Guards against an answer that is cut off because its caller took nothing for some seconds.
        daemon = self.mesh["daemons"][3]
        connection, body = self.begin_large_answer(daemon)
        os.kill(daemon["pid"], signal.SIGTERM)
        time.sleep(PAUSE_SECONDS)
        self.assertEqual((200, body), self.read_answer(connection.makefile("rb")))

    def begin_large_answer(self, daemon):
        """Sends a request whose answer the caller's system takes in part only; returns the connection and the body to expect."""
        body = os.urandom(LARGE_BODY_BYTES)
        connection = socket.socket()
        self.addCleanup(connection.close)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_BYTES)
        connection.settimeout(TIMEOUT)
        connection.connect(("127.0.0.1", daemon["caller"]))
        connection.sendall(request_text("/call/echo/read/", body))
        connection.recv(1, socket.MSG_PEEK)
        return connection, body

    def wait_until_refused(self, daemon):
        limit = time.monotonic() + TIMEOUT
        while time.monotonic() < limit:
            try:
                self.connect(daemon).close()
            except OSError:
                return
            time.sleep(0.02)
        self.fail("the daemon still accepts connections")

    def read_answer(self, received):
        status = int(received.readline().split()[1])
        fields = http.client.parse_headers(received)
        return status, received.read(int(fields["Content-Length"]))


if __name__ == "__main__":
    unittest.main()
