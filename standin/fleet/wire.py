"""Minimal HTTP/1.1 over asyncio streams, so that a stand-in can also violate the protocol."""

import asyncio


class Message:
    """Holds a request or a response: start line, header fields (names in lower case) and body."""

    def __init__(self, first, fields, body):
        self.first = first
        self.fields = fields
        self.body = body

    @property
    def status(self):
        return int(self.first.split(" ")[1])

    @property
    def method(self):
        return self.first.split(" ")[0]

    @property
    def target(self):
        return self.first.split(" ")[1]


async def read_message(reader):
    """Reads one message; returns None if the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as cut:
        if cut.partial:
            raise
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            fields[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    return Message(lines[0], fields, body)


def encode(first, fields, body=b"", has_length=True):
    """Returns the bytes of a message."""
    lines = [first] + [f"{name}: {value}" for name, value in fields.items()]
    if has_length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


REASONS = {200: "OK", 400: "Bad Request", 404: "Not Found", 410: "Gone", 412: "Precondition Failed", 421: "Misdirected Request",
           429: "Too Many Requests", 500: "Internal Server Error", 503: "Service Unavailable", 504: "Gateway Timeout"}


def response(status, fields, body=b"", has_length=True):
    """Returns the bytes of a response."""
    return encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", fields, body, has_length)


def chunked_response(status, fields, body, trailers):
    """Returns the bytes of a response whose body is one chunk, followed by trailers."""
    head = encode(f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}", {**fields, "Transfer-Encoding": "chunked"}, has_length=False)
    chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n" if body else b""
    return head + chunk + b"0\r\n" + "".join(f"{name}: {value}\r\n" for name, value in trailers.items()).encode() + b"\r\n"
