"""Run of scripts/demo: a short surge on the gliding-union deployment, and a table of the outcomes."""

import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

from . import checks, possible
from .deployment import ROOT, Deployment

SCENARIO = ROOT / "scenarios" / "gliding-union-demo.json"
BUILD = ROOT / "build"
LEAD_SECONDS = 0.5
REASONS = {
    "overload-at-entry": "a service further down its call chain refuses requests of this rank",
    "overload-at-server": "the backend server's daemon refuses requests of this rank",
    "overload-in-queue": "displaced in the queue by requests of higher priority",
    "deadline-passed": "its deadline passed",
    "retry-budget-spent": "its root request has no attempts left",
    "cancelled-by-caller": "its caller disconnected",
}


def run(folder):
    """Returns the result of the load tool, the checks and the manifest."""
    scenario = json.loads(SCENARIO.read_text())
    deployment = Deployment(scenario, "adaptive", BUILD, folder)
    try:
        mesh, out, history = folder / "mesh.json", folder / "result.json", folder / "history.jsonl"
        mesh.write_text(json.dumps(deployment.mesh))
        command = [str(BUILD / "egretlatch-standin"), "load", "--scenario", str(SCENARIO), "--mesh", str(mesh), "--out", str(out),
                   "--history", str(history), "--start-at", str(int((time.time() + LEAD_SECONDS) * 1000))]
        subprocess.run(command, check=True, stdout=subprocess.DEVNULL)
    finally:
        deployment.stop()
    manifest = json.loads(pathlib.Path(deployment.mesh["manifest"]).read_text())
    attempts = [json.loads(line) for line in history.read_text().splitlines()]
    found = checks.check(manifest, sorted(attempts, key=lambda attempt: attempt["endedMs"]), deployment.executions, crashed=False)
    return json.loads(out.read_text()), found, manifest


def reasons_of(kind):
    """Returns the number of requests of a kind that were not answered, by reason, most frequent first."""
    causes = {}
    for group in ("refused", "mayHaveRun", "failed"):
        for cause, count in kind[group].items():
            causes[cause] = causes.get(cause, 0) + count
    return sorted(causes.items(), key=lambda item: -item[1])


def print_table(result, manifest):
    declared = possible.kinds_of(manifest)
    kinds = sorted(result["kinds"].items(), key=lambda item: -declared[tuple(item[0].split("/"))]["priority"])
    print(f"{'request kind':<32}{'priority':>9}{'asked':>8}{'answered':>10}{'':>6}{'not run':>9}{'unknown':>9}{'p50 ms':>8}  most frequent reason")
    for name, kind in kinds:
        reasons = reasons_of(kind)
        not_run, unknown = sum(kind["refused"].values()), sum(kind["mayHaveRun"].values()) + sum(kind["failed"].values())
        part = 100 * kind["completed"] / max(kind["sent"], 1)
        priority = declared[tuple(name.split("/"))]["priority"]
        print(f"{name:<32}{priority:>9}{kind['sent']:>8}{kind['completed']:>10}{part:>5.0f}%{not_run:>9}{unknown:>9}"
              f"{kind['latencyMs']['p50']:>8.0f}  {reasons[0][0] if reasons else ''}")


def print_reasons(result):
    totals = {}
    for kind in result["kinds"].values():
        for cause, count in reasons_of(kind):
            totals[cause] = totals.get(cause, 0) + count
    print("\nwhy requests were not answered, by the last answer of each:" if totals else "\nevery request was answered")
    for cause, count in sorted(totals.items(), key=lambda item: -item[1]):
        print(f"{count:>8}  {cause:<24}{REASONS.get(cause, '')}")


def main():
    # The default handler ends the process at once and would leave the deployment running.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    scenario = json.loads(SCENARIO.read_text())
    print(scenario["story"])
    print(", ".join(f"{phase['name']}: {phase['seconds']} s at {phase['rate']} requests/s" for phase in scenario["phases"]), flush=True)
    with tempfile.TemporaryDirectory(prefix="egretlatch-demo-") as folder:
        result, found, manifest = run(pathlib.Path(folder))
    print()
    print_table(result, manifest)
    print_reasons(result)
    recovery = result["recovery"]["seconds"]
    print(f"\nrecovery: {'not within the run' if recovery is None else f'{recovery} s after the surge'}")
    print(f"checked {found.keys} request keys and {found.attempts} attempts: {len(found.run_twice)} ran twice, "
          f"{len(found.ran_though_not_run)} ran though refused as not run, {found.wrong_answers} answers of another request")
    return 0


if __name__ == "__main__":
    sys.exit(main())
