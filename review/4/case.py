"""A server ends while it answers a long request; the client must not get the part that was sent as a whole answer.

Each round a client sends an import of 8 MiB, within max_body_bytes. The server begins its answer before it has read the body, without
a length, so that the answer ends with its connection. With TROUBLE, the server's process is killed midway: the kernel resets the
connection, since bytes of the request are unread. One server of four is down at a time, for 3 s.
"""

import asyncio
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from small_server import IMPORT_PARTS, import_answer  # noqa: E402
from small_site import Site, configuration, play, route  # noqa: E402

SERVICES = {"startbuch": 4, "historie": 2}
ROUTES = {"r-import": route("startbuch", "/import/", "non_idempotent", 5000), "r-launch": route("startbuch", "/launch/", "non_idempotent", 1500)}
ROUNDS = 6
BODY_BYTES = 8 * 1024 * 1024
DOWN_SECONDS = 3.0
# Half of the answer is on its way.
PARTS_BEFORE_END = IMPORT_PARTS // 2


async def server_of(site, name):
    """Waits until a server has sent half of its answer to a request, and returns the machine of that server."""
    for _ in range(500):
        for event in site.events:
            if event["event"] == "wrote" and event["name"] == name and event["part"] >= PARTS_BEFORE_END:
                return next(machine for machine in site.machines if machine.name == event["machine"])
        await asyncio.sleep(0.01)
    return None


async def play_round(site, number, has_trouble):
    client = site.of("historie")[number % 2]
    path = f"/import/{number}"
    request = asyncio.ensure_future(site.request(client, "POST", path, bytes([65 + number]) * BODY_BYTES))
    await asyncio.sleep(0)
    name = next(event["name"] for event in reversed(site.events) if event["event"] == "sent" and event["path"] == path)
    machine = await server_of(site, name)
    if has_trouble and machine is not None:
        machine.server.kill()
        site.note("killed", instance=machine.instance, machine=machine.name)
        await machine.server.wait()
    answer = await request
    # The deployment goes on: a launch is recorded beside it.
    await site.request(client, "POST", "/launch/", b"launch")
    if has_trouble and machine is not None:
        await asyncio.sleep(DOWN_SECONDS)
        await machine.start_server()
    # A server that has started reports, and takes requests again.
    await asyncio.sleep(3.0)
    return answer


async def case(has_trouble):
    async with Site(SERVICES, HERE / "record.txt") as site:
        await site.start(configuration(1, ROUTES, SERVICES))
        answers = [await play_round(site, number, has_trouble) for number in range(ROUNDS)]
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
        site.note("verdict", broken=broken, of=ROUNDS)
        return broken > 0


if __name__ == "__main__":
    play(case)
