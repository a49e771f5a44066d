"""Records what clients and servers observe, and checks the invariants between the two."""

import bisect
import collections
import json
import time

from .faults import FaultRecord
from .server import STAMP, Observer

NOT_RUN = (408, 421, 429, 503)
CLIENT_ERRORS = range(300, 500)
BUDGET_WINDOW = 10.0
# Seconds after a fault of the link to a server in which arrivals may still be delayed by it (the documented stability window).
LINK_FAULT_DELAY = 3.0


class Attempt:
    """Describes one client attempt."""

    def __init__(self, vm, route, path, method, body):
        self.vm = vm
        self.route = route
        self.path = path
        self.method = method
        self.body = body
        # The daemon may have been restarted by the time of the answer.
        self.daemon_incarnation = (vm.name, vm.process.pid)
        self.began = time.monotonic()
        self.ended = None
        self.status = None


class Arrival:
    """Describes one arrival at a server."""

    def __init__(self, server, name, is_repeat):
        self.at = time.monotonic()
        self.service = server.service
        self.name = name
        self.is_repeat = is_repeat


class Record(FaultRecord, Observer):
    """Collects events from clients and servers, and reports violated invariants as text."""

    def __init__(self, ratio, slack, drain):
        super().__init__()
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
        self.link_faults = collections.defaultdict(list)
        self.routes_seen = collections.defaultdict(set)

    # Events at servers.

    def arrived(self, server, name, request):
        parent = self.called.get(name, (None, None, None))[0]
        is_repeat = self.arrived_names[name] > 0 or parent in self.repeated_runs
        self.arrivals.append(Arrival(server, name, is_repeat))
        self.arrived_names[name] += 1
        acknowledged = self.leaving.get(server.instance)
        now = time.monotonic()
        if acknowledged is not None and now > acknowledged + self.drain and not self.may_be_delayed(server.vm, now):
            self.report_violation("DRAIN", f"{name} reached {server.instance} {now - acknowledged:.2f} s after its drain or deregistration was acknowledged")

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
            self.report_violation("UNASKED", f"{name} ran at {server.instance}, but no client or server sent it")

    def check_run_of_client(self, server, name, request, sent):
        self.check_run(server, name, request, sent.vm.server.service, (sent.method, sent.path, sent.body))
        if sent.method == "POST" and self.runs[name] > 1:
            self.report_violation("TWICE", f"{name} is not idempotent and ran {self.runs[name]} times")
        if sent.method == "POST" and sent.status in NOT_RUN:
            self.report_violation("REFUSED", f"{name} was answered {sent.status} and ran afterwards at {server.instance}")

    def check_run(self, server, name, request, service, asked):
        if request.fields.get("x-caller-service") != service:
            self.report_violation("UNASKED", f"{name} ran with caller service {request.fields.get('x-caller-service')}, but was sent by {service}")
        if (request.method, request.target, request.body) != asked:
            self.report_violation("UNASKED", f"{name} ran as {request.method} {request.target}, but was sent as {asked[0]} {asked[1]}")

    def called_inner(self, server, name, parent, path):
        self.called[name] = (parent, server.service, path)

    def answered(self, server, name, status, body):
        self.answers[name].add((f"{server.instance}.{name}", status, body))

    # Events at clients.

    def note_sent(self, name, sent):
        self.sent[name] = sent

    def note_outcome(self, name, answer, has_more, timeout):
        """Records the outcome of an attempt; `has_more` is set if bytes arrived that belong to no request."""
        sent = self.sent[name]
        sent.ended = time.monotonic()
        sent.status = answer.status
        if has_more:
            self.report_violation("MIXED", f"unexpected bytes followed the answer to {name}")
        if answer.status is None:
            self.check_missing(name, sent, timeout)
            return
        self.check_answer(name, sent, answer)
        if sent.method == "POST" and answer.status in NOT_RUN and self.runs[name] > 0:
            self.report_violation("REFUSED", f"{name} was answered {answer.status} but had run before")

    def check_answer(self, name, sent, answer):
        stamp = answer.fields.get(STAMP)
        given = (stamp, answer.status, answer.body)
        if answer.fields.get("x-request-id", name) != name:
            self.report_violation("MIXED", f"{name} got the answer to {answer.fields['x-request-id']}")
        if stamp is not None and given not in self.answers[name]:
            self.report_violation("MIXED", f"{name} got {answer.status} signed {stamp}, which no server sent")
        if answer.status == 200 and stamp is None:
            self.report_violation("MIXED", f"{name} got an unsigned 200")
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
            self.report_violation("LOST", f"{name} was forwarded by {sent.vm.name}, but its connection ended without an answer")

    # Faults injected by the soak.

    def note_link_fault(self, vm, seconds):
        """Records a fault of the link between a daemon and its server that starts now and lasts `seconds`."""
        now = time.monotonic()
        self.link_faults[vm.name].append((now, now + seconds + LINK_FAULT_DELAY))

    def may_be_delayed(self, vm, at):
        return any(begin <= at <= end for begin, end in self.link_faults[vm.name])

    def left(self, instance):
        self.leaving[instance] = time.monotonic()

    def check_budget(self):
        """Checks that the repeats in any window stay within the retry budget of the service: ratio * requests + slack."""
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
