"""What the second review found beside its three cases, one scenario a name: `review/more.py NAME`, or with TROUBLE=0.

Exits like a case: 1 if the rule was broken, 0 if it held, 2 if the scenario could not run. REPORT-2.md says why these are no cases.
"""

import asyncio
import collections
import pathlib
import signal
import sys
import tempfile
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE))

from small_site import HOST, STABILITY_SECONDS, Site, configuration, play, route, wire  # noqa: E402

SERVICES = {"startbuch": 4, "historie": 2}
ROUTES = {"r-launch": route("startbuch", "/launch/", "non_idempotent", 1500), "r-roster": route("startbuch", "/roster/", "idempotent", 1500)}
RECORD = pathlib.Path(tempfile.gettempdir()) / "egretlatch-review-more.txt"
SMUGGLED = "smuggled-in-a-body"


def site():
    return Site(SERVICES, RECORD)


async def send_at(place, path, method, interval, requests):
    """Sends requests at the machines of historie in turn, until it is cancelled."""
    machines = place.of("historie")
    while True:
        requests.append(asyncio.ensure_future(place.request(machines[len(requests) % len(machines)], method, path, b"x" if method == "POST" else b"")))
        await asyncio.sleep(interval)


async def kill_all_daemons(place):
    for machine in place.machines:
        machine.daemon.kill()
    for machine in place.machines:
        machine.daemon.wait()
    await asyncio.sleep(0.5)
    for machine in place.machines:
        machine.start_daemon()
    await asyncio.sleep(STABILITY_SECONDS + 2)


async def crashes(has_trouble):
    """BUDGET: a request that has crashed three servers crashes more of them each time that all daemons have been killed."""

    async def restart(machine):
        while True:
            await machine.server.wait()
            await asyncio.sleep(2)
            await machine.start_server()

    async with site() as place:
        await place.start(configuration(1, ROUTES, SERVICES))
        tasks = [asyncio.ensure_future(restart(machine)) for machine in place.of("startbuch")]
        clients = place.of("historie")
        in_touch = set()
        for round_number, count in enumerate((5, 4, 4)):
            if round_number > 0 and has_trouble:
                await kill_all_daemons(place)
            for turn in range(count):
                in_touch.add((await place.request(clients[turn % 2], "POST", "/launch/crash", b"x"))["name"])
                await asyncio.sleep(4)
        third = sorted(event["at"] for event in place.events if event["event"] == "crashes")[2]
        late = sum(1 for event in place.events if event["event"] == "crashes" and event["at"] > third + STABILITY_SECONDS and event["name"] in in_touch)
        for task in tasks:
            task.cancel()
        print(f"{late} servers crashed later than {STABILITY_SECONDS} s after the third; 3 are allowed")
        return late > 3


async def silent(has_trouble):
    """Starved: a request that is well is refused for minutes, after all servers of its service were silent at once."""
    async with site() as place:
        await place.start(configuration(1, ROUTES, SERVICES))
        requests = []
        load = asyncio.ensure_future(send_at(place, "/roster/today", "GET", 0.02, requests))
        await asyncio.sleep(3)
        if has_trouble:
            for machine in place.of("startbuch"):
                machine.server.send_signal(signal.SIGSTOP)
            await asyncio.sleep(7)
            for machine in place.of("startbuch"):
                machine.server.kill()
                await machine.start_server()
        back = time.monotonic()
        await asyncio.sleep(40)
        load.cancel()
        answers = [answer for answer in await asyncio.gather(*requests) if answer["sent_at"] > back + 15]
        statuses = collections.Counter(answer["status"] for answer in answers)
        print(f"later than 15 s after all servers were back: {dict(statuses)}")
        return statuses[200] * 4 < len(answers)


async def limits(has_trouble):
    """DENIED, CONFIG: a connection keeps the limits of the configuration at its opening; without trouble the limit was never another."""
    async with site() as place:
        await place.start(configuration(1, ROUTES, SERVICES, {"max_body_bytes": 65536 if has_trouble else 1048576}))
        host, port = place.of("historie")[0].at("outbound").split(":")
        reader, writer = await asyncio.open_connection(host, int(port))

        async def send(name, size):
            writer.write(wire.encode("POST /launch/ HTTP/1.1", {"Host": HOST, "X-Request-Id": name, "X-Deadline-Ms": "4000"}, b"x" * size))
            return (await asyncio.wait_for(wire.read_message(reader), 5)).status

        statuses = [await send("small-1", 100)]
        place.store.put_configuration(configuration(2, ROUTES, SERVICES, {"max_body_bytes": 1048576}))
        for number in range(2, 5):
            await asyncio.sleep(5)
            statuses.append(await send(f"small-{number}", 100))
        statuses.append(await send("large", 200_000))
        print(f"200,000 bytes, 15 s after 1,048,576 were allowed, on the kept connection: {statuses[-1]}; before: {statuses[:-1]}")
        return statuses[-1] == 413


async def timeout(has_trouble):
    """CONFIG, DENIED: a configuration with a route whose timeout is above ten minutes is never in force."""
    async with site() as place:
        await place.start(configuration(1, ROUTES, SERVICES))
        added = {**ROUTES, "r-export": route("historie", "/export/", "download", 900_000 if has_trouble else 600_000)}
        place.store.put_configuration(configuration(2, added, SERVICES))
        await asyncio.sleep(6)
        statuses = [(await place.request(machine, "GET", "/export/1"))["status"] for machine in place.machines]
        print(f"the new route, six seconds after the acknowledgement: {statuses}")
        return 404 in statuses


async def smuggled(has_trouble):
    """UNASKED: the body of a request whose transfer coding does not end with chunked is taken for the next request."""
    async with site() as place:
        await place.start(configuration(1, ROUTES, SERVICES))
        inner = wire.encode("POST /launch/ HTTP/1.1", {"Host": HOST, "X-Request-Id": SMUGGLED, "X-Deadline-Ms": "1000"})
        framing = "Transfer-Encoding: identity" if has_trouble else f"Content-Length: {len(inner)}"
        head = f"POST /launch/ HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: outer\r\nX-Deadline-Ms: 1000\r\n{framing}\r\n\r\n"
        host, port = place.of("historie")[0].at("outbound").split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(head.encode() + inner)
        await asyncio.sleep(2)
        runs = [event["name"] for event in place.events if event["event"] == "runs"]
        print(f"requests that ran: {runs}")
        return SMUGGLED in runs


async def sheds(has_trouble):
    """REFUSED, TWICE: a rejection without X-Request-Id that is sent a second time passes for the answer to the next request."""
    async with site() as place:
        for machine in place.of("startbuch"):
            machine.server_options = ("--sheds", "0.45", "--bare", "--work", "0.05", "--seconds", "0.03" if has_trouble else "0")
        await place.start(configuration(1, ROUTES, SERVICES))
        requests = []
        load = asyncio.ensure_future(send_at(place, "/launch/", "POST", 0.01, requests))
        await asyncio.sleep(40)
        load.cancel()
        answers = await asyncio.gather(*requests)
        runs = collections.Counter(event["name"] for event in place.events if event["event"] == "runs")
        twice = sum(1 for count in runs.values() if count > 1)
        untrue = sum(1 for answer in answers if answer["status"] in (429, 503) and runs[answer["name"]] > 0)
        print(f"of {len(answers)} launches {twice} ran twice, {untrue} were refused as not run and ran")
        return twice + untrue > 0


SCENARIOS = {scenario.__name__: scenario for scenario in (crashes, silent, limits, timeout, smuggled, sheds)}

if __name__ == "__main__":
    if len(sys.argv) != 2 or sys.argv[1] not in SCENARIOS:
        sys.exit(f"usage: review/more.py {'|'.join(SCENARIOS)}")
    play(SCENARIOS[sys.argv[1]])
