"""Checks of the invariants after a run, from the callers' history and from what each backend server says it ran.

They are counts, not a proof: a backend server that crashed takes the list of its runs with it.
"""

import collections
import dataclasses


@dataclasses.dataclass(frozen=True)
class Checks:
    """How much was checked, and the violations with an example each."""

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
    """Give the endings of the keys of inner calls that may run twice, by the kind at the root."""
    kinds = {(service["name"], kind["name"]): kind for service in manifest["services"] for kind in service["kinds"]}
    endings = {}
    for (service, name), kind in kinds.items():
        calls = enumerate(kind.get("calls", []), start=1)
        endings[f"{service}/{name}"] = {str(number) for number, call in calls if kinds[call["service"], call["kind"]].get("idempotent", True)}
    return endings


def may_run_once_only(key, kind_of_key, repeatable):
    """Tell whether a key may run once only: a root's, or that of an inner call of a kind that is not idempotent."""
    if key in kind_of_key:
        return True
    root, *step = key.rsplit(".", 2)
    is_direct_call = root in kind_of_key and len(step) == 2
    return is_direct_call and step[0] not in repeatable[kind_of_key[root]]


def check(manifest, history, executions, crashed, submissions=()):
    """Check a run.

    history: the attempts in the order in which they ended; executions: what each backend server ran; crashed: whether
    a backend server crashed or was killed, after which a completed request need not be on any list.
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
    # After a refusal a caller may go on under a new key; the request must not run under both.
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
