"""Concurrent submissions by several operators, and the check that only one is accepted and comes into force."""

import concurrent.futures
import dataclasses
import json
import pathlib
import subprocess
import time
import urllib.request

ACCEPTED, CONFLICT = 0, 3
IN_FORCE_SECONDS = 11
SUBMIT_SECONDS = 20
POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Race:
    """Holds the outcome of concurrent submissions that started from the same version."""

    operators: int
    accepted: int
    conflicts: int
    in_force_seconds: float  # None if not everywhere within the bound, or if nobody was accepted

    def is_violation(self):
        return self.accepted > 1 or (self.accepted == 1 and self.in_force_seconds is None)

    def text(self):
        in_force = "not in force everywhere" if self.in_force_seconds is None else f"in force everywhere after {self.in_force_seconds:.1f} s"
        unsure = self.operators - self.accepted - self.conflicts
        return f"{self.operators} operators: {self.accepted} accepted, {self.conflicts} conflicts, {unsure} without a result; {in_force}"


def configurations(mesh):
    """Returns the configuration in force at each daemon that answers."""
    found = []
    for urls in mesh["entries"].values():
        for url in urls:
            try:
                with urllib.request.urlopen(f"{url}/status", timeout=2) as answer:
                    found.append(json.loads(answer.read())["configuration"])
            except OSError:
                pass
    return found


def submit(build, mesh, base, path, number):
    command = [f"{build}/egretlatch", "submit", "--manifest", str(path), "--base", str(base), "--platform", mesh["platform"],
               "--submitter", f"operator-{number}", "--timeout-s", str(SUBMIT_SECONDS)]
    code = subprocess.run(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL, check=False).returncode
    return code, time.monotonic()


def wait_until_in_force(mesh, version):
    """Returns the time at which a version is in force at each daemon that answers, or None."""
    deadline = time.monotonic() + SUBMIT_SECONDS + IN_FORCE_SECONDS
    while time.monotonic() < deadline:
        if all(configuration["version"] >= version for configuration in configurations(mesh)):
            return time.monotonic()
        time.sleep(POLL_SECONDS)
    return None


def seconds_after(accepted_at, in_force_at):
    """Returns the seconds from the acceptance until a version was in force, or None beyond the bound."""
    if accepted_at is None or in_force_at is None:
        return None
    seconds = max(0.0, in_force_at - accepted_at)
    return seconds if seconds <= IN_FORCE_SECONDS else None


def race(build, mesh, operators, folder):
    """Submits as several operators at once, from the newest version, each with a distinct manifest text."""
    base = max(configuration["version"] for configuration in configurations(mesh))
    text = pathlib.Path(mesh["manifest"]).read_text()
    paths = []
    for number in range(operators):
        paths.append(folder / f"submitted-{base}-{number}.json")
        paths[-1].write_text(text + "\n" * (1 + number + operators * base))
    with concurrent.futures.ThreadPoolExecutor(operators + 1) as pool:
        in_force = pool.submit(wait_until_in_force, mesh, base + 1)
        ends = list(pool.map(lambda number: submit(build, mesh, base, paths[number], number), range(operators)))
        in_force_at = in_force.result()
    codes = [code for code, _ in ends]
    accepted_at = next((ended for code, ended in ends if code == ACCEPTED), None)
    return Race(operators, codes.count(ACCEPTED), codes.count(CONFLICT), seconds_after(accepted_at, in_force_at))
