"""Bad input on the caller port: it is answered with a clear error, and the daemon keeps serving."""

import json
import socket
import unittest

from support import MeshTest, call

MEBIBYTE = 1024 * 1024


def exchange(port, data):
    """Sends raw bytes and returns what is received until the connection ends; a silent one raises after 5 s."""
    with socket.create_connection(("127.0.0.1", port), timeout=5) as connection:
        connection.sendall(data)
        connection.shutdown(socket.SHUT_WR)
        received = b""
        while chunk := connection.recv(65536):
            received += chunk
        return received


class BadInput(MeshTest):
    def setUp(self):
        self.entry = self.mesh["entries"]["duty-roster"][0]
        self.port = int(self.entry.rsplit(":", 1)[1])

    def tearDown(self):
        self.assertEqual(200, call(f"{self.entry}/call/duty-roster/roster-read/")[0])

    def test_a_body_over_the_limit_is_refused_before_it_is_kept(self):
        # Guards against a daemon that buffers a body without bound because it checks the limit only once the body is complete;
        # one such caller made every request to the VM fail.
        head = b"POST /call/duty-roster/roster-read/ HTTP/1.1\r\nHost: x\r\nContent-Length: 1000000000000\r\n\r\n"
        answer = b""
        with socket.create_connection(("127.0.0.1", self.port), timeout=5) as connection:
            connection.sendall(head)
            try:
                for _ in range(20):
                    connection.sendall(bytes(MEBIBYTE))
                answer = connection.recv(65536)
            except ConnectionError:
                answer = b"HTTP/1.1 413 cut off"
        self.assertTrue(answer.startswith(b"HTTP/1.1 413"), answer[:100])

    def test_a_body_within_the_limit_comes_back_whole(self):
        body = bytes(7 * MEBIBYTE)
        status, _, answer = call(f"{self.entry}/call/duty-roster/roster-read/", body)
        self.assertEqual((200, len(body)), (status, len(answer)))

    def dropped(self):
        text = call(f"{self.entry}/metrics", None, method="GET")[2].decode()
        return sum(float(line.rsplit(" ", 1)[1]) for line in text.splitlines() if line.startswith("egretlatch_requests_dropped_total"))

    def test_what_is_not_http_ends_the_connection_and_is_counted(self):
        self.assertNotIn(b"200 OK", exchange(self.port, b"GET / HTTP/9.9\r\n\r\n"))
        before = self.dropped()
        inputs = (b"GARBAGE\r\n\r\n", b"\x00\xff" * 500, b"GET\r\n")
        for data in inputs:
            self.assertNotIn(b"200 OK", exchange(self.port, data))
        self.assertEqual(before + len(inputs), self.dropped())

    def test_wrong_headers_and_paths_are_answered_with_a_reason(self):
        roster = f"{self.entry}/call/duty-roster/roster-read/"
        launch = f"{self.entry}/call/launch-log/launch-entry/"
        cases = [
            (roster, {"Request-Timeout-Ms": "soon"}, 400),
            (roster, {"Request-Timeout-Ms": "0"}, 400),
            (roster, {"Egretlatch-Call": "1-2"}, 400),
            (launch, {"Idempotency-Key": "a b"}, 400),
            (launch, {"Idempotency-Key": "x" * 300}, 400),
            (f"{self.entry}/call/duty-roster", {}, 400),
            (f"{self.entry}/call/no-service/no-kind/", {}, 404),
            (f"{self.entry}/nowhere", {}, 404),
        ]
        for url, headers, expected in cases:
            with self.subTest(url=url, headers=headers):
                status, answered, body = call(url, b"", headers)
                self.assertEqual((expected, "not-run"), (status, answered["Egretlatch-Verdict"]))
                self.assertTrue(json.loads(body)["detail"])

    def test_a_malformed_announcement_names_each_problem(self):
        status, _, body = call(f"{self.entry}/backend/announce", b'{"service": 5, "slots": 0}')
        detail = json.loads(body)["detail"]
        self.assertEqual(400, status)
        for pointer in ("/service", "/slots", "/connections"):
            self.assertIn(pointer, detail)


if __name__ == "__main__":
    unittest.main()
