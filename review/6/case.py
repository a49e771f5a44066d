"""A change of the configuration that follows a short silence of the store must be in force within `config_apply`.

Requests for /launch/ go to startbuch. A first change adds a route; 14.1 s after it, as the long polls of all daemons begin again, the store
answers no call for one second, with TROUBLE. It is sound again for longer than `stability_window` when the second change moves /launch/
to historie.
"""

import asyncio
import pathlib
import sys
import time

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

from small_site import STABILITY_SECONDS, Site, configuration, play, route  # noqa: E402

SERVICES = {"startbuch": 4, "historie": 4}
OLD = {"r-launch": route("startbuch", "/launch/", "non_idempotent", 1500)}
ADDED = {**OLD, "r-import": route("startbuch", "/import/", "non_idempotent", 5000)}
MOVED = {**ADDED, "r-launch": route("historie", "/launch/", "non_idempotent", 1500)}
SILENT_AFTER_SECONDS = 14.1
SILENT_SECONDS = 1.0
APPLY_SECONDS = 2.0
AFTER_SECONDS = 16.0
REQUEST_INTERVAL = 0.05


async def send_launches(site, requests):
    while True:
        machine = site.machines[len(requests) % len(site.machines)]
        requests.append(asyncio.ensure_future(site.request(machine, "POST", "/launch/", b"launch")))
        await asyncio.sleep(REQUEST_INTERVAL)


def change(site, version, routes):
    """Changes the configuration; the store's answer is the acknowledgement."""
    site.store.put_configuration(configuration(version, routes, SERVICES))
    return site.note("changed", version=version)["at"]


async def case(has_trouble):
    async with Site(SERVICES, HERE / "record.txt") as site:
        await site.start(configuration(1, OLD, SERVICES))
        requests = []
        load = asyncio.ensure_future(send_launches(site, requests))
        added_at = change(site, 2, ADDED)
        await asyncio.sleep(added_at + SILENT_AFTER_SECONDS - time.monotonic())
        if has_trouble:
            site.note("silent", seconds=SILENT_SECONDS)
            site.store.fault = "silent"
        await asyncio.sleep(SILENT_SECONDS)
        site.store.fault = None
        site.note("sound")
        await asyncio.sleep(STABILITY_SECONDS + 0.25)
        moved_at = change(site, 3, MOVED)
        await asyncio.sleep(AFTER_SECONDS)
        load.cancel()
        await asyncio.gather(*requests)
        sent = {event["name"]: event["at"] for event in site.events if event["event"] == "sent"}
        old_servers = {machine.name for machine in site.of("startbuch")}
        late = [event for event in site.events if event["event"] == "runs" and event["path"] == "/launch/" and event["machine"] in old_servers
                and sent[event["name"]] > moved_at + APPLY_SECONDS]
        total = sum(1 for at in sent.values() if at > moved_at + APPLY_SECONDS)
        print(f"{len(late)} of {total} requests sent later than {APPLY_SECONDS} s after the acknowledgement were run by the old service")
        if late:
            print(f"the last was sent {sent[late[-1]['name']] - moved_at:.2f} s after the acknowledgement, CONFIG")
        site.note("verdict", late=len(late), of=total)
        return len(late) > 0


if __name__ == "__main__":
    play(case)
