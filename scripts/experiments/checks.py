"""Checks the invariants after a run, from the callers' history and the executions that each backend server reports.

The checks are no proof: the list of runs of a crashed backend server is lost.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class Checks:
    """Holds the number of keys and attempts checked, and the violations found."""

    keys: int
    attempts: int
    wrong_answers: int
    run_twice: list
    ran_though_not_run: list
    lost: list
    submissions: list = dataclasses.field(default_factory=list)  # operators.Race

    def violations(self):
        wrong_races = sum(1 for race in self.submissions if race.is_violation())
        return self.wrong_answers + len(self.run_twice) + len(self.ran_though_not_run) + len(self.lost) + wrong_races


def repeatable_inner_keys(manifest):
    """Returns the step numbers of inner calls that may run twice, by the kind of the root."""
    kinds = {(service["name"], kind["name"]): kind for service in manifest["services"] for kind in service["kinds"]}
    endings = {}
    for (service, name), kind in kinds.items():
        calls = enumerate(kind.get("calls", []), start=1)
        endings[f"{service}/{name}"] = {str(number) for number, call in calls if kinds[call["service"], call["kind"]].get("idempotent", True)}
    return endings


def may_run_once_only(key, kind_of_key, repeatable):
    """Returns whether a key may run only once: that of a root, or of a direct inner call whose kind is not idempotent."""
    if key in kind_of_key:
        return True
    root, *step = key.rsplit(".", 2)
    is_direct_call = root in kind_of_key and len(step) == 2
    return is_direct_call and step[0] not in repeatable[kind_of_key[root]]


def check(manifest, history, executions, crashed, submissions=()):
    """Checks a run.

    history: the attempts in the order in which they ended; executions: what each backend server ran; crashed: whether
    a backend server crashed or was killed, in which case a completed request may be missing from all lists.
    """
    runs = collections.Counter()
    for server in executions:
        runs.update(server["runs"])
    kind_of_key, last, completed, keys_of_request = {}, {}, set(), {}
    for attempt in history:
        key = attempt["key"]
        if key:
            kind_of_key[key] = attempt["kind"]
            last[key] = attempt
            keys_of_request.setdefault(attempt["request"], set()).add(key)
            if attempt["outcome"] == "completed":
                completed.add(key)
    repeatable = repeatable_inner_keys(manifest)
    run_twice = {key for key, count in runs.items() if count > 1 and may_run_once_only(key, kind_of_key, repeatable)}
    # After a refusal a caller may retry with a new key; the request must not run under both.
    run_twice |= {name for name, keys in keys_of_request.items() if len(keys) > 1 and sum(runs[key] for key in keys) > 1}
    return Checks(
        keys=len(kind_of_key),
        attempts=len(history),
        wrong_answers=sum(1 for attempt in history if attempt["cause"] == "wrong-answer"),
        run_twice=sorted(run_twice),
        ran_though_not_run=sorted(key for key, attempt in last.items() if attempt["outcome"] == "refused" and runs[key] > 0),
        lost=[] if crashed else sorted(key for key in completed if runs[key] == 0),
        submissions=list(submissions),
    )
