"""Clients: one request at a time or several on one connection, and a record of how each ended."""

import asyncio
import time

from . import wire


class Answer:
    """How one client attempt ended: the status (None for no answer), the fields, the body and the seconds it took."""

    def __init__(self, name, status, fields, body, seconds):
        self.name = name
        self.status = status
        self.fields = fields
        self.body = body
        self.seconds = seconds


def request_bytes(name, host, path, method="GET", body=b"", timeout=5.0, fields=None):
    """Gives the bytes of a request that says how many seconds its caller waits."""
    head = {"Host": host, "X-Request-Id": name, "X-Deadline-Ms": int(timeout * 1000), **(fields or {})}
    return wire.encode(f"{method} {path} HTTP/1.1", head, body)


class Pipeline:
    """Sends requests on one connection without waiting for answers; each answer is one request's, in their order."""

    def __init__(self, outbound):
        self.host, self.port = outbound.split(":")
        self.names = []
        self.writer = None

    async def send(self, requests):
        """Sends requests, each the arguments of request_bytes(), in one go; opens the connection for the first."""
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, int(self.port))
        self.names += [arguments[0] for arguments in requests]
        self.began = time.monotonic()
        self.writer.write(b"".join(request_bytes(*arguments) for arguments in requests))

    async def receive(self, timeout=5.0):
        """Gives the answers until each request has one or the connection ends."""
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
    """Keeps one connection to a daemon and opens a new one where the daemon closed it."""

    def __init__(self, outbound):
        self.host, self.port = outbound.split(":")
        self.reader = None
        self.writer = None

    async def send(self, name, host, path, method="GET", body=b"", timeout=5.0, fields=None, disconnect_after=None):
        """Sends a request and waits for its answer; `leaves` is when the client goes without it, before its timeout ends."""
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
        """Tells whether bytes have come that no request asked for."""
        return self.writer is not None and bool(self.reader._buffer)  # noqa: SLF001: asyncio has no call that looks without reading

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.writer = None

    def __del__(self):
        if self.writer is not None:
            self.writer.transport.abort()
