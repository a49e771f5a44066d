"""Connections of callers to daemons: the order of answers, and what a shutdown does to requests and answers under way."""

import http.client
import json
import pathlib
import socket
import tempfile
import unittest

from support import MeshTest, call

# Only keeps a failed run from hanging.
TIMEOUT = 60
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
        cls.arguments = ["echo", "--manifest", str(manifest), "--no-platform", "--servers", "3"]
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

    def read_answer(self, received):
        status = int(received.readline().split()[1])
        fields = http.client.parse_headers(received)
        return status, received.read(int(fields["Content-Length"]))


if __name__ == "__main__":
    unittest.main()
