"""What clients sent and got and what servers saw, and the promises that hold between the two."""

import bisect
import collections
import json
import time

from .server import STAMP, Observer

NOT_RUN = (408, 421, 429, 503)
CLIENT_ERRORS = range(300, 500)
# Seconds. Past a route's timeout an answer is counted as missing only after this long: the machine that plays a soak is
# busy, and a promise that no daemon keeps is what is looked for, not a slow one.
ANSWER_MARGIN = 4.0
BUDGET_WINDOW = 10.0
# Seconds after a link to a server was harmed in which what arrives may have been held up by it (the pages' stability window).
LINK_FAULT_DELAY = 3.0


class Attempt:
    """One client attempt."""

    def __init__(self, vm, route, path, method, body):
        self.vm = vm
        self.route = route
        self.path = path
        self.method = method
        self.body = body
        # The daemon may be another process by the time of the answer.
        self.daemon_incarnation = (vm.name, vm.process.pid)
        self.began = time.monotonic()
        self.ended = None
        self.status = None


class Arrival:
    """One arrival at a server."""

    def __init__(self, server, name, is_repeat):
        self.at = time.monotonic()
        self.service = server.service
        self.name = name
        self.is_repeat = is_repeat


class Record(Observer):
    """Collects what happens, and gives what broke a promise as sentences."""

    def __init__(self, ratio, slack, drain):
        self.ratio = ratio
        self.slack = slack
        self.drain = drain
        self.sent = {}
        self.called = {}
        self.runs = collections.Counter()
        self.arrivals = []
        self.arrived_names = collections.Counter()
        self.repeated_runs = set()
        self.answers = collections.defaultdict(set)
        self.leaving = {}
        self.daemon_faults = collections.defaultdict(list)
        self.link_faults = collections.defaultdict(list)
        self.routes_seen = collections.defaultdict(set)
        self.violations = []

    def report_violation(self, invariant, text):
        self.violations.append(f"{invariant}: {text}")

    # What servers see.

    def arrived(self, server, name, request):
        parent = self.called.get(name, (None, None, None))[0]
        is_repeat = self.arrived_names[name] > 0 or parent in self.repeated_runs
        self.arrivals.append(Arrival(server, name, is_repeat))
        self.arrived_names[name] += 1
        acknowledged = self.leaving.get(server.instance)
        now = time.monotonic()
        if acknowledged is not None and now > acknowledged + self.drain and not self.may_be_delayed(server.vm, now):
            self.report_violation("DRAIN", f"{name} reached {server.instance} {now - acknowledged:.2f} s after its leaving was acknowledged")

    def began(self, server, name, request):
        self.runs[name] += 1
        if self.runs[name] > 1:
            self.repeated_runs.add(name)
        sent = self.sent.get(name)
        if sent is not None:
            self.check_run_of_client(server, name, request, sent)
        elif name in self.called:
            _, service, path = self.called[name]
            self.check_run(server, name, request, service, ("GET", path, b""))
        else:
            self.report_violation("UNASKED", f"{name} ran at {server.instance}, and nobody sent it")

    def check_run_of_client(self, server, name, request, sent):
        self.check_run(server, name, request, sent.vm.server.service, (sent.method, sent.path, sent.body))
        if sent.method == "POST" and self.runs[name] > 1:
            self.report_violation("TWICE", f"{name} may run once and ran {self.runs[name]} times")
        if sent.method == "POST" and sent.status in NOT_RUN:
            self.report_violation("REFUSED", f"{name} was answered {sent.status} and ran afterwards at {server.instance}")

    def check_run(self, server, name, request, service, asked):
        if request.fields.get("x-caller-service") != service:
            self.report_violation("UNASKED", f"{name} ran as from {request.fields.get('x-caller-service')}, and came from {service}")
        if (request.method, request.target, request.body) != asked:
            self.report_violation("UNASKED", f"{name} ran as {request.method} {request.target}, and was sent as {asked[0]} {asked[1]}")

    def called_inner(self, server, name, parent, path):
        self.called[name] = (parent, server.service, path)

    def answered(self, server, name, status, body):
        self.answers[name].add((f"{server.instance}.{name}", status, body))

    # What clients see.

    def note_sent(self, name, sent):
        self.sent[name] = sent

    def note_outcome(self, name, answer, has_more, timeout):
        """Takes how an attempt ended; `has_more` tells of bytes that came without a request."""
        sent = self.sent[name]
        sent.ended = time.monotonic()
        sent.status = answer.status
        if has_more:
            self.report_violation("MIXED", f"bytes came after the answer to {name}")
        if answer.status is None:
            self.check_missing(name, sent, timeout)
            return
        self.check_answer(name, sent, answer)
        if sent.method == "POST" and answer.status in NOT_RUN and self.runs[name] > 0:
            self.report_violation("REFUSED", f"{name} was answered {answer.status} and had run")

    def check_answer(self, name, sent, answer):
        stamp = answer.fields.get(STAMP)
        given = (stamp, answer.status, answer.body)
        if answer.fields.get("x-request-id", name) != name:
            self.report_violation("MIXED", f"{name} got the answer to {answer.fields['x-request-id']}")
        if stamp is not None and given not in self.answers[name]:
            self.report_violation("MIXED", f"{name} got {answer.status} signed {stamp}, which no server gave")
        if answer.status == 200 and stamp is None:
            self.report_violation("MIXED", f"{name} got 200 that no server signed")
        if answer.status in CLIENT_ERRORS and answer.status not in NOT_RUN and stamp is None:
            self.check_refusal(name, sent, answer)
        if answer.status == 200:
            self.routes_seen[sent.daemon_incarnation].add(sent.route)

    def check_refusal(self, name, sent, answer):
        if answer.status != 404 or sent.route in self.routes_seen[sent.daemon_incarnation]:
            self.report_violation("DENIED", f"{name} on {sent.route} at {sent.vm.name} got {answer.status} though it is allowed: {answer.body[:200]!r}")

    def check_missing(self, name, sent, timeout):
        if self.had_daemon_fault(sent.vm, sent.began, sent.ended):
            return
        if sent.ended - sent.began >= timeout:
            self.report_violation("CONFIG", f"{name} at {sent.vm.name} had no final answer after {timeout:.1f} s")
        elif self.arrived_names[name] > 0:
            self.report_violation("LOST", f"{name} was passed on by {sent.vm.name}, and its connection ended without an answer")

    # What the soak itself does.

    def note_daemon_fault(self, vm, seconds):
        """Notes that a daemon is killed or stopped now, and for how long that excuses what its callers miss."""
        now = time.monotonic()
        self.daemon_faults[vm.name].append((now, now + seconds))

    def had_daemon_fault(self, vm, since, until):
        return any(begin <= until and end >= since for begin, end in self.daemon_faults[vm.name])

    def note_link_fault(self, vm, seconds):
        """Notes that the link between a daemon and its server is harmed from now on, for so long."""
        now = time.monotonic()
        self.link_faults[vm.name].append((now, now + seconds + LINK_FAULT_DELAY))

    def may_be_delayed(self, vm, at):
        return any(begin <= at <= end for begin, end in self.link_faults[vm.name])

    def left(self, instance):
        self.leaving[instance] = time.monotonic()

    def check_budget(self):
        """Repeats within any window, against what the requests for the service allow."""
        for service in {arrival.service for arrival in self.arrivals}:
            arrivals = [arrival for arrival in self.arrivals if arrival.service == service]
            firsts = [arrival.at for arrival in arrivals if not arrival.is_repeat]
            repeats = [arrival.at for arrival in arrivals if arrival.is_repeat]
            for begin, at in enumerate(repeats):
                count = bisect.bisect_right(repeats, at + BUDGET_WINDOW) - begin
                requests = bisect.bisect_right(firsts, at + BUDGET_WINDOW) - bisect.bisect_left(firsts, at)
                if count > self.ratio * requests + self.slack:
                    self.report_violation("BUDGET", f"{service} got {count} repeats and {requests} requests within {BUDGET_WINDOW:.0f} s")
                    break

    def summary(self):
        statuses = collections.Counter(str(sent.status) for sent in self.sent.values())
        return {"sent": len(self.sent), "statuses": dict(sorted(statuses.items())), "arrivals": len(self.arrivals),
                "repeats": sum(arrival.is_repeat for arrival in self.arrivals), "broken": self.violations}

    def document(self):
        return json.dumps(self.summary(), indent=2)
