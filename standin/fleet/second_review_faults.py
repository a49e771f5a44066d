"""Faults of the soak that silence all servers of a service, report in a server's name, or bring long bodies."""

import asyncio

from .client import Client
from .faults import ANSWER_MARGIN
from .record import Attempt
from .server import Fault

# Bytes, up to the largest body that the configuration allows.
LONG_BODIES = (70_000, 300_000, 1_000_000)
# A long body takes longer to arrive; the route's timeout holds for the rest.
LONG_TIMEOUT = 1.2 + ANSWER_MARGIN


class SecondReviewFaults:
    """Faults and clients for a soak with `fleet`, `record` and a random generator `second` of its own."""

    def second_review_faults(self):
        return [self.service_falls_silent, self.service_falls_silent, self.foreign_report, self.foreign_report, self.foreign_report]

    async def service_falls_silent(self):
        """All servers of a service that no other fault holds answer and report nothing, and come back as new instances."""
        service = self.second.choice(list(self.services))
        vms = [vm for vm in self.vms if vm.server.service == service and not getattr(vm, "is_taken", False)]
        seconds = self.second.uniform(0.5, 7.0)
        for vm in vms:
            vm.is_taken = True
            vm.server.fault = Fault(ends_silent=True, down=seconds)
        self.note(None, f"{len(vms)} servers of {service} fall silent for {seconds:.2f} s")
        await asyncio.gather(*(vm.server.crash() for vm in vms))
        for vm in vms:
            vm.server.fault = Fault()
            vm.is_taken = False

    async def foreign_report(self):
        """Another writer reports in a server's name, without its start."""
        vm = self.second.choice(self.vms)
        state = self.second.choice(("ready", "draining"))
        self.note(vm, f"report of another writer: {state}")
        await vm.server.send_heartbeat(vm.reports, state, vm.server.sequence + self.second.randint(0, 3), without=("born",))

    async def long_client(self, rng):
        """Sends one request with a long body after the other; the server sends it back."""
        while not self.is_over:
            vm = rng.choice(self.vms)
            self.request_count += 1
            name = f"s{self.seed}-{self.request_count}"
            sent = Attempt(vm, "entry", f"/entry/{name}", "POST", rng.randbytes(rng.choice(LONG_BODIES)))
            self.record.note_sent(name, sent)
            client = Client(vm.callers)
            answer = await client.send(name, self.host, sent.path, method="POST", body=sent.body, timeout=LONG_TIMEOUT)
            self.record.note_outcome(name, answer, client.has_more(), LONG_TIMEOUT)
            client.close()
            await asyncio.sleep(rng.expovariate(2))
