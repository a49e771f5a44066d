"""Tests of traces: a span for each hop, in one tree, exported to a collector as OTLP/JSON."""

import http.server
import json
import threading
import time
import unittest

from support import MeshTest, call

TIMEOUT = 60.0
TRACE = "4bf92f3577b34da6a3ce929d0e0e4736"
CALLER_SPAN = "00f067aa0ba902b7"


class Collector(http.server.BaseHTTPRequestHandler):
    spans = []

    def do_POST(self):
        document = json.loads(self.rfile.read(int(self.headers["Content-Length"])))
        for resource in document["resourceSpans"]:
            for scope in resource["scopeSpans"]:
                self.spans.extend(scope["spans"])
        self.send_response(200)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def log_message(self, *_):
        pass


class Traces(MeshTest):
    @classmethod
    def setUpClass(cls):
        cls.collector = http.server.ThreadingHTTPServer(("127.0.0.1", 0), Collector)
        threading.Thread(target=cls.collector.serve_forever, daemon=True).start()
        cls.arguments = ["gliding-union", "--servers", "1", "--collector", f"http://127.0.0.1:{cls.collector.server_port}"]
        super().setUpClass()

    @classmethod
    def tearDownClass(cls):
        super().tearDownClass()
        cls.collector.shutdown()
        cls.collector.server_close()

    def spans_of_trace(self):
        return [span for span in Collector.spans if span["traceId"] == TRACE]

    def test_a_request_with_an_inner_call_gives_one_tree(self):
        entry = self.mesh["entries"]["duty-roster"][0]
        status, _, _ = call(f"{entry}/call/flight-history/currency/", b"", {"traceparent": f"00-{TRACE}-{CALLER_SPAN}-01"})
        self.assertEqual(200, status)
        # Spans: entry, attempt and serving for the root, and the same for its one inner call.
        limit = time.monotonic() + TIMEOUT
        while len(self.spans_of_trace()) < 6 and time.monotonic() < limit:
            time.sleep(0.05)
        spans = self.spans_of_trace()
        by_id = {span["spanId"]: span for span in spans}
        chain = []
        span = next(span for span in spans if span["name"] == "serving launch-log/lookup")
        while span is not None:
            chain.append(span["name"])
            top = span["parentSpanId"]
            span = by_id.get(span["parentSpanId"])
        self.assertEqual([
            "serving launch-log/lookup", "attempt launch-log/lookup", "entry launch-log/lookup",
            "serving flight-history/currency", "attempt flight-history/currency", "entry flight-history/currency",
        ], chain)
        self.assertEqual(CALLER_SPAN, top)
        for span in spans:
            self.assertLessEqual(int(span["startTimeUnixNano"]), int(span["endTimeUnixNano"]))


if __name__ == "__main__":
    unittest.main()
