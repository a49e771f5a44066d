"""A connection to a server is reset midway in an answer; the client must not get the part that was sent as a whole answer.

Each round a client sends an import of 8 MiB, within max_body_bytes. The server begins its answer before it has read the body, without
a length, so that the answer ends with its connection. A relay stands between each daemon and its server. With TROUBLE it resets the one
connection that carries the import, midway; the server itself goes on. Nothing else is disturbed.
"""

import asyncio
import pathlib
import socket
import struct
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from small_server import IMPORT_PARTS, import_answer  # noqa: E402
from small_site import Site, configuration, play, route  # noqa: E402

SERVICES = {"startbuch": 4, "historie": 2}
ROUTES = {"r-import": route("startbuch", "/import/", "non_idempotent", 5000), "r-launch": route("startbuch", "/launch/", "non_idempotent", 1500)}
ROUNDS = 6
BODY_BYTES = 8 * 1024 * 1024
CHUNK = 65536
# "Links have a delay, a bandwidth [...] and small windows, so a peer that does not read blocks the writer" (DEPLOY.md).
WINDOW = 65536
# Half of the answer is on its way.
PARTS_BEFORE_RESET = IMPORT_PARTS // 2
ROUND_PAUSE = 1.0
RESET = struct.pack("ii", 1, 0)


class Relay:
    """Forwards connections of a daemon to its server, with backpressure, and resets those that carry a request of a given name."""

    def __init__(self, machine):
        self.machine = machine
        self.pairs = []

    async def start(self):
        host, port = self.machine.at("app").split(":")
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW)
        listener.bind((host, int(port)))
        self.server = await asyncio.start_server(self.serve, sock=listener, backlog=256)

    async def serve(self, reader, writer):
        host, port = self.machine.at("inbound").split(":")
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        far_writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, WINDOW)
        pair = {"writers": (writer, far_writer), "head": b""}
        self.pairs.append(pair)
        await asyncio.gather(self.copy(reader, far_writer, pair), self.copy(far_reader, writer, None), return_exceptions=True)
        self.pairs.remove(pair)

    @staticmethod
    async def copy(reader, writer, pair):
        try:
            while data := await reader.read(CHUNK):
                if pair is not None and b"X-Request-Id:" in data:
                    pair["head"] = data
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()

    def reset(self, name):
        """Resets the connection on which a request was forwarded, at both ends; returns whether there is one."""
        for pair in list(self.pairs):
            if name.encode() in pair["head"]:
                for writer in pair["writers"]:
                    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                    writer.transport.abort()
                return True
        return False


async def machine_at_work(site, name):
    """Waits until a server has sent half of its answer to a request, and returns its machine."""
    for _ in range(500):
        for event in site.events:
            if event["event"] == "wrote" and event["name"] == name and event["part"] >= PARTS_BEFORE_RESET:
                return next(machine for machine in site.machines if machine.name == event["machine"])
        await asyncio.sleep(0.01)
    raise RuntimeError("no server answered the import")


async def play_round(site, relays, number, has_trouble):
    client = site.of("historie")[number % 2]
    path = f"/import/{number}"
    request = asyncio.ensure_future(site.request(client, "POST", path, bytes([65 + number]) * BODY_BYTES))
    await asyncio.sleep(0)
    name = next(event["name"] for event in reversed(site.events) if event["event"] == "sent" and event["path"] == path)
    machine = await machine_at_work(site, name)
    if has_trouble:
        if not relays[machine.name].reset(name):
            raise RuntimeError("the connection of the import was not found")
        site.note("reset", name=name, machine=machine.name, instance=machine.instance)
    answer = await request
    # The deployment goes on: a launch is recorded beside it.
    await site.request(client, "POST", "/launch/", b"launch")
    await asyncio.sleep(ROUND_PAUSE)
    return answer


async def case(has_trouble):
    async with Site(SERVICES, HERE / "record.txt") as site:
        relays = {machine.name: Relay(machine) for machine in site.machines}
        for machine in site.machines:
            await relays[machine.name].start()
            machine.server_options = ("--listen", machine.at("inbound"))
        await site.start(configuration(1, ROUTES, SERVICES))
        answers = [await play_round(site, relays, number, has_trouble) for number in range(ROUNDS)]
        broken = 0
        for answer in answers:
            is_success = answer["status"] is not None and 200 <= answer["status"] < 300
            is_whole = answer["body"] == import_answer(answer["path"]).decode()
            is_broken = is_success and (answer["stamp"] is None or not is_whole)
            broken += is_broken
            print(f"{answer['path']}: status {answer['status']}, {len(answer['body'] or '')} of {len(import_answer(answer['path']))} bytes"
                  f"{', MIXED' if is_broken else ''}")
        launches = [event["status"] for event in site.events if event["event"] == "answered" and event["path"] == "/launch/"]
        print(f"launches beside them: {launches}")
        if not has_trouble and [answer["status"] for answer in answers] != [200] * ROUNDS:
            raise RuntimeError("imports were not served without trouble")
        ended = [machine.name for machine in site.machines if machine.server.returncode is not None or machine.daemon.poll() is not None]
        if ended:
            raise RuntimeError(f"a process ended: {ended}")
        site.note("verdict", broken=broken, of=ROUNDS)
        return broken > 0


if __name__ == "__main__":
    play(case)
