"""TCP proxy on loopback that injects network faults between two processes."""

import asyncio


class Link:
    """Forwards connections to `target` and injects faults on demand.

    `delay` holds back each chunk by that many seconds; `blocked` names the directions that forward nothing: "there", "back"
    or both; `refuses` resets each new connection. Data held back by a blocked direction is forwarded once it is unblocked.
    """

    def __init__(self, port, target):
        self.port = port
        self.target = target
        self.delay = 0.0
        self.blocked = frozenset()
        self.refuses = False
        self.connections = set()
        self.server = None

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port, backlog=1024)

    def stop(self):
        self.server.close()
        self.reset()

    def reset(self):
        """Resets all connections that are open."""
        for writer in list(self.connections):
            writer.transport.abort()

    def silence(self):
        """Stops forwarding on all open connections without closing them; new ones work."""
        for writer in self.connections:
            writer.is_silent = True

    def heal(self):
        self.delay = 0.0
        self.blocked = frozenset()
        self.refuses = False

    async def serve(self, reader, writer):
        if self.refuses:
            writer.transport.abort()
            return
        host, port = self.target.split(":")
        try:
            target_reader, target_writer = await asyncio.open_connection(host, int(port))
        except (OSError, asyncio.CancelledError):
            writer.transport.abort()
            return
        ends = {writer, target_writer}
        for end in ends:
            end.is_silent = False
        self.connections |= ends
        try:
            await asyncio.gather(self.forward(reader, target_writer, "there"), self.forward(target_reader, writer, "back"))
        except (OSError, asyncio.CancelledError):
            for end in ends:
                end.transport.abort()
        finally:
            self.connections -= ends
            for end in ends:
                end.close()

    async def forward(self, reader, writer, direction):
        while data := await reader.read(65536):
            if self.delay > 0.0:
                await asyncio.sleep(self.delay)
            while direction in self.blocked:
                await asyncio.sleep(0.02)
            if writer.is_silent:
                # Keeps reading, so that the sender's writes succeed and it sees only silence.
                continue
            writer.write(data)
            await writer.drain()
        while writer.is_silent and not writer.is_closing():
            await asyncio.sleep(0.1)
        if writer.can_write_eof():
            writer.write_eof()
