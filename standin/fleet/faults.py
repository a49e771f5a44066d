"""What both soaks share: faults of daemons drawn from a seed, and the record of violations and of the times excused by faults."""

import asyncio
import collections
import json
import random
import signal
import subprocess
import time

# Seconds past a route's timeout after which an answer counts as missing. The machine that runs a soak is busy, and the
# check looks for answers that never come, not for slow ones.
ANSWER_MARGIN = 4.0
# Seconds after a daemon was killed, paused or cut off in which answers to its callers may be missing: the time it takes to
# start, and the time until silent connections are given up.
EXCUSED = 6.0
PAUSE_BETWEEN_FAULTS = (0.05, 0.7)


class FaultRecord:
    """Collects violations as text, and the times in which the faults of a daemon excuse missing answers."""

    def __init__(self):
        self.daemon_faults = collections.defaultdict(list)
        self.violations = []

    def report_violation(self, invariant, text):
        self.violations.append(f"{invariant}: {text}")

    def note_daemon_fault(self, vm, seconds):
        """Records that a daemon is killed or stopped now, and for how many seconds missing answers at it are excused."""
        now = time.monotonic()
        self.daemon_faults[vm.name].append((now, now + seconds))

    def had_daemon_fault(self, vm, since, until):
        return any(begin <= until and end >= since for begin, end in self.daemon_faults[vm.name])


class FaultySoak:
    """Injects faults at the daemons of `vms`, each with a name, a process and whether a fault has taken it; every choice is drawn from the seed."""

    def __init__(self, seed, seconds, record, grace):
        self.seed = seed
        self.seconds = seconds
        self.random = random.Random(seed)
        self.record = record
        # Seconds in which a daemon must end after SIGTERM.
        self.grace = grace
        self.expected_exits = set()
        self.story = []
        self.is_over = False

    @property
    def vms(self):
        raise NotImplementedError

    def start_daemon(self, vm):
        raise NotImplementedError

    def log(self, vm):
        raise NotImplementedError

    def begin(self):
        """Returns the time from which the story counts."""
        raise NotImplementedError

    def note_end(self, vm):
        """Hook that runs just before a daemon gets SIGTERM."""

    def check_end(self, vm):
        """Hook that runs after a daemon ended by SIGTERM."""

    async def inject_faults(self, faults):
        """Starts faults at random times; each ends by itself, and several overlap."""
        end = time.monotonic() + self.seconds
        running = []
        while time.monotonic() < end:
            await asyncio.sleep(self.random.uniform(*PAUSE_BETWEEN_FAULTS))
            running.append(asyncio.ensure_future(self.random.choice(faults)()))
        await asyncio.gather(*running)

    def note(self, vm, text):
        self.story.append(f"{time.monotonic() - self.begin():.2f} s {vm.name if vm else 'store'}: {text}")

    def pick_vm(self):
        """Returns a random VM without an active daemon or server fault, or None unless more than half of the VMs are free."""
        free = [vm for vm in self.vms if not getattr(vm, "is_taken", False)]
        return self.random.choice(free) if len(free) > len(self.vms) / 2 else None

    async def kill(self):
        vm = self.pick_vm()
        if vm is None:
            return
        vm.is_taken = True
        self.note(vm, "killed")
        await self.kill_and_start(vm, self.random.uniform(0.0, 1.5))
        await asyncio.sleep(1)
        vm.is_taken = False

    async def kill_and_start(self, vm, seconds):
        self.record.note_daemon_fault(vm, EXCUSED)
        self.expected_exits.add(vm.process.pid)
        vm.process.kill()
        await asyncio.to_thread(vm.process.wait)
        await asyncio.sleep(seconds)
        self.start_daemon(vm)

    async def pause_for(self, vm, seconds):
        """Stops the process of a daemon for some seconds."""
        vm.is_taken = True
        self.note(vm, f"paused for {seconds:.2f} s")
        self.record.note_daemon_fault(vm, seconds + EXCUSED)
        vm.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        vm.process.send_signal(signal.SIGCONT)
        await asyncio.sleep(1)
        vm.is_taken = False

    async def end_and_start(self):
        """Terminates a daemon by SIGTERM, sometimes sent twice, and restarts it; requests in flight must be finished."""
        vm = self.pick_vm()
        if vm is None:
            return
        vm.is_taken = True
        self.note(vm, "SIGTERM")
        self.expected_exits.add(vm.process.pid)
        self.note_end(vm)
        vm.process.terminate()
        if self.random.random() < 0.3:
            await asyncio.sleep(0.1)
            vm.process.terminate()
        await self.wait_for_end(vm)
        self.start_daemon(vm)
        await asyncio.sleep(1)
        vm.is_taken = False

    async def wait_for_end(self, vm):
        try:
            await asyncio.to_thread(vm.process.wait, self.grace + ANSWER_MARGIN)
        except subprocess.TimeoutExpired:
            self.record.report_violation("GRACE", f"{vm.name} did not end within {self.grace + ANSWER_MARGIN:.0f} s of SIGTERM")
            vm.process.kill()
        else:
            self.check_end(vm)

    async def watch_exits(self):
        """Reports and restarts daemons that exit although the soak did not end them."""
        while True:
            for vm in self.vms:
                if vm.process.poll() is not None and vm.process.pid not in self.expected_exits:
                    self.expected_exits.add(vm.process.pid)
                    self.record.report_violation("EXIT", f"{vm.name} exited unexpectedly with {vm.process.returncode}:\n{self.log(vm)[-2000:]}")
                    self.record.note_daemon_fault(vm, EXCUSED)
                    self.start_daemon(vm)
            await asyncio.sleep(0.2)

    def check_log(self, vm):
        for line in self.log(vm).splitlines():
            try:
                json.loads(line)
            except ValueError:
                # A killed daemon may leave a truncated last line, to which the next one appends.
                if not self.record.daemon_faults[vm.name]:
                    self.record.report_violation("LOG", f"{vm.name}: {line[:200]}")
