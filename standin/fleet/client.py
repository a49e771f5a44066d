"""HTTP clients that send one request at a time or pipeline several on a connection, and the outcome of each."""

import asyncio
import time

from . import wire


class Answer:
    """Holds the outcome of one client attempt: status (None for no answer), header fields, body and duration in seconds."""

    def __init__(self, name, status, fields, body, seconds):
        self.name = name
        self.status = status
        self.fields = fields
        self.body = body
        self.seconds = seconds


def request_bytes(name, host, path, method="GET", body=b"", timeout=5.0, fields=None):
    """Returns the bytes of a request whose deadline header states `timeout`, in seconds."""
    head = {"Host": host, "X-Request-Id": name, "X-Deadline-Ms": int(timeout * 1000), **(fields or {})}
    return wire.encode(f"{method} {path} HTTP/1.1", head, body)


class Pipeline:
    """Pipelines requests on one connection; answers arrive in the order of the requests."""

    def __init__(self, outbound):
        self.host, self.port = outbound.split(":")
        self.names = []
        self.writer = None

    async def send(self, requests):
        """Writes several requests at once, each the arguments of request_bytes(); connects on first use."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
        self.names += [arguments[0] for arguments in requests]
        self.began = time.monotonic()
        self.writer.write(b"".join(request_bytes(*arguments) for arguments in requests))

    async def receive(self, timeout=5.0):
        """Returns the answers, until each request has one, the connection ends or no answer comes within `timeout` seconds."""
        answers = []
        while self.names:
            try:
                message = await asyncio.wait_for(wire.read_message(self.reader), timeout)
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                message = None
            if message is None:
                break
            seconds = time.monotonic() - self.began
            answers.append(Answer(self.names.pop(0), message.status, message.fields, message.body, seconds))
        return answers

    def close(self):
        if self.writer is not None:
            self.writer.close()


class Client:
    """Keeps one connection to a daemon open and reconnects after the daemon closed it."""

    def __init__(self, outbound):
        self.host, self.port = outbound.split(":")
        self.reader = None
        self.writer = None

    async def send(self, name, host, path, method="GET", body=b"", timeout=5.0, fields=None, disconnect_after=None):
        """Sends a request and waits for its answer; `disconnect_after` (seconds) closes the connection before the timeout."""
        began = time.monotonic()
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
            self.writer.write(request_bytes(name, host, path, method, body, timeout, fields))
            answer = await asyncio.wait_for(wire.read_message(self.reader), disconnect_after or timeout)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            answer = None
        if answer is None or answer.fields.get("connection") == "close":
            self.close()
        seconds = time.monotonic() - began
        if answer is None:
            return Answer(name, None, {}, b"", seconds)
        return Answer(name, answer.status, answer.fields, answer.body, seconds)

    def has_more(self):
        """Returns whether bytes arrived that belong to no request."""
        return self.writer is not None and bool(self.reader._buffer)  # noqa: SLF001: asyncio has no call that peeks without reading

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    def __del__(self):
        if self.writer is not None:
            self.writer.transport.abort()
