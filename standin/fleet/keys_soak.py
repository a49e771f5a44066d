"""Soak test of daemons with keys: real daemons and callers under a seeded series of external faults, with the invariants checked.

Faults overlap: up to half of the daemons are paused, killed, or terminated and restarted at a time; backend servers crash,
hang, slow down, fail and refuse; operators change the configuration. Links between daemons have no faults of their own: a
daemon announces the address at which it listens, so no relay stands between two of them.
"""

import asyncio
import itertools
import json
import pathlib
import random
import time
import uuid

from .client import Client
from .faults import ANSWER_MARGIN, FaultySoak
from .keys_record import KeysRecord, Kind, Sent
from .mesh import Mesh, MeshError, MeshOptions

HOST = "soak.example"
# Seconds.
TIMEOUTS = (0.5, 1.0, 2.0)
PAUSES = (0.5, 9.0)
# Seconds in which members return and each service is served by way of each daemon after the last fault; the bound is the
# documented one.
RECOVERY = 60.0
CONTROLS = {"slows down": {"slowdown": 20.0}, "fails": {"failShare": 0.4}, "refuses": {"rejectShare": 0.4}, "cuts": {"cutShare": 0.4}}


class Node:
    """A daemon of the mesh and the backend server beside it."""

    def __init__(self, mesh, daemon):
        self.mesh = mesh
        self.daemon = daemon
        self.name = daemon["id"]
        self.callers = f"127.0.0.1:{daemon['caller']}"
        self.backend = f"127.0.0.1:{daemon['backend']}"
        self.is_taken = False
        self.has_backend_fault = False

    @property
    def process(self):
        return self.mesh.processes[self.name]

    @property
    def backend_process(self):
        return self.mesh.processes[self.name + "-backend"]


async def ask(address, path, method="GET", body=b""):
    """Returns the answer of a daemon or stand-in to a request of the soak itself."""
    client = Client(address)
    answer = await client.send("soak", HOST, path, method=method, body=body, timeout=2.0)
    client.close()
    return answer


class KeysSoak(FaultySoak):
    """Runs one soak: `daemons` per service, `seconds` of faults, every choice drawn from the seed."""

    def __init__(self, build, seed, seconds=20.0, daemons=2, clients=16, is_encrypted=True):
        self.mesh = Mesh(MeshOptions("gliding-union", build, servers=daemons, keys_without_owner="refuse", no_encryption=not is_encrypted,
                                     log_level="debug"))
        self.kinds = [Kind(service["name"], kind) for service in self.mesh.services for kind in service["kinds"]]
        super().__init__(seed, seconds, KeysRecord(self.kinds), max(TIMEOUTS))
        self.nodes = []
        self.clients = clients
        self.numbers = itertools.count()
        self.version = 0
        self.is_submitting = False

    @property
    def vms(self):
        return self.nodes

    def start_daemon(self, vm):
        self.mesh.start_daemon(vm.daemon)
        self.record.note_start(vm)

    def log(self, vm):
        return self.mesh.log_of(vm.name).read_text(errors="replace")

    def begin(self):
        return self.began

    # The run.

    async def play(self):
        try:
            self.began = time.monotonic()
            await asyncio.to_thread(self.start)
            self.began = time.monotonic()
            callers = [asyncio.ensure_future(self.caller(number)) for number in range(self.clients)]
            watcher = asyncio.ensure_future(self.watch_exits())
            await self.inject_faults(self.faults())
            await self.check_recovery()
            self.is_over = True
            await asyncio.gather(*callers)
            await self.check_rest()
            watcher.cancel()
            return self.result()
        except MeshError as error:
            self.record.report_violation("START", str(error))
            return self.result()
        finally:
            await asyncio.to_thread(self.mesh.stop)
            self.mesh.folder.cleanup()

    def start(self):
        self.mesh.plan()
        self.nodes = [Node(self.mesh, daemon) for daemon in self.mesh.daemons]
        self.mesh.start_platform()
        self.mesh.start_all()
        self.mesh.wait()

    def result(self):
        result = {"seed": self.seed, "story": self.story, **self.record.summary()}
        if result["broken"]:
            result["logs"] = {vm.name: self.log(vm) for vm in self.vms}
        return result

    # Callers.

    async def caller(self, number):
        """Makes one call after another at random daemons, on kept or new connections."""
        rng = random.Random(f"{self.seed}/{number}")
        client = None
        while not self.is_over:
            if client is None or rng.random() < 0.1:
                vm = rng.choice(self.vms)
                client = Client(vm.callers)
            vm, client = await self.call(vm, client, rng)
            if rng.random() < 0.4:
                client.close()
                client = None
            await asyncio.sleep(rng.expovariate(8))

    async def call(self, vm, client, rng):
        """Sends a request up to three times, each resend at a random daemon; returns the daemon and connection of the last."""
        kind = rng.choice(self.kinds)
        body = f"k{self.seed}-{next(self.numbers)} ".encode() + rng.randbytes(rng.choice((0, 10, 3000)))
        key = await self.new_key(vm, client, kind, rng)
        for _ in range(rng.choice((1, 1, 2, 3))):
            timeout = rng.choice(TIMEOUTS)
            leaves_after = rng.uniform(0.0, 0.1) if rng.random() < 0.03 else None
            sent = await self.send(client, Sent(vm, kind, key, body), timeout, leaves_after)
            if sent.verdict == "completed" and rng.random() < 0.7:
                break
            if sent.verdict == "not-run" and key is not None:
                key = sent.next_key
                if key is None:
                    break
            client.close()
            vm = rng.choice(self.vms)
            client = Client(vm.callers)
        return vm, client

    async def new_key(self, vm, client, kind, rng):
        """Returns a key that a daemon minted or that the caller made; None for some requests that need no key."""
        if kind.is_idempotent:
            return f"k{self.seed}-{next(self.numbers)}" if rng.random() < 0.7 else None
        own = self.uuid7(rng)
        if rng.random() < 0.2:
            return own
        answer = await client.send("soak", HOST, f"/keys/{kind.path}", method="POST", timeout=max(TIMEOUTS))
        return json.loads(answer.body)["key"] if answer.status == 201 else own

    @staticmethod
    def uuid7(rng):
        value = time.time_ns() // 1_000_000 << 80 | 0x7 << 76 | rng.getrandbits(12) << 64 | 0b10 << 62 | rng.getrandbits(62)
        return str(uuid.UUID(int=value))

    async def send(self, client, sent, timeout, leaves_after=None):
        """Sends an attempt and records its outcome; `leaves_after` (seconds) closes the connection without waiting for the answer."""
        fields = {"Request-Timeout-Ms": int(timeout * 1000)}
        if sent.key is not None:
            fields["Idempotency-Key"] = sent.key
        if client.writer is not None and client.reader.at_eof():
            client.close()
        self.record.note_sent(sent)
        answer = await client.send("soak", HOST, f"/call/{sent.kind.path}/", method="POST", body=sent.body, timeout=timeout + ANSWER_MARGIN,
                                   fields=fields, disconnect_after=leaves_after)
        self.record.note_outcome(sent, answer, client.has_more(), leaves_after is not None)
        sent.next_key = answer.fields.get("egretlatch-next-key")
        return sent

    # Faults.

    def faults(self):
        return [self.pause, self.pause, self.pause, self.kill, self.kill, self.end_and_start, self.end_and_start, self.backend_crashes,
                self.backend_hangs, self.backend_misbehaves, self.backend_misbehaves, self.configure]

    async def pause(self):
        """Pauses one to half of the daemons, each for a time of its own."""
        free = [vm for vm in self.vms if not vm.is_taken]
        most = len(free) - len(self.vms) // 2
        if most < 1:
            return
        paused = self.random.sample(free, self.random.randint(1, most))
        await asyncio.gather(*(self.pause_for(vm, self.random.uniform(*PAUSES)) for vm in paused))

    async def kill_and_start(self, vm, seconds):
        self.record.log_breaks[vm.name] += 1
        await super().kill_and_start(vm, seconds)

    def note_end(self, vm):
        self.record.note_end(vm)

    def check_end(self, vm):
        if vm.process.returncode != 0:
            self.record.report_violation("EXIT", f"{vm.name} ended with {vm.process.returncode} after SIGTERM:\n{self.log(vm)[-2000:]}")

    def pick_backend(self):
        """Returns the VM of a random backend server without a fault, or None unless more than half of them have none."""
        free = [vm for vm in self.vms if not vm.has_backend_fault]
        return self.random.choice(free) if len(free) > len(self.vms) / 2 else None

    async def backend_crashes(self):
        vm = self.pick_backend()
        if vm is None:
            return
        vm.has_backend_fault = True
        self.note(vm, "backend server crashes")
        await self.replace_backend(vm, self.random.uniform(0.0, 1.5))

    async def backend_hangs(self):
        """Lets a backend server hang; what hangs keeps its slots, so that it is then replaced."""
        vm = self.pick_backend()
        if vm is None:
            return
        vm.has_backend_fault = True
        seconds = self.random.uniform(0.5, 4.0)
        self.note(vm, f"backend server hangs for {seconds:.2f} s")
        await self.control(vm, {"hangs": True})
        await asyncio.sleep(seconds)
        await self.replace_backend(vm, 0.0)

    async def backend_misbehaves(self):
        vm = self.pick_backend()
        if vm is None:
            return
        vm.has_backend_fault = True
        name = self.random.choice(list(CONTROLS))
        seconds = self.random.uniform(0.5, 4.0)
        self.note(vm, f"backend server {name} for {seconds:.2f} s")
        await self.control(vm, CONTROLS[name])
        await asyncio.sleep(seconds)
        await self.control(vm, {})
        vm.has_backend_fault = False

    async def control(self, vm, behaviour):
        answer = await ask(vm.backend, "/control", "POST", json.dumps(behaviour).encode())
        if answer.status != 204:
            raise RuntimeError(f"the backend server of {vm.name} answered {answer.status} to {behaviour}")

    async def replace_backend(self, vm, seconds):
        """Kills a backend server, whose runs are counted before, and starts the next one after some seconds."""
        self.record.add_runs(await self.executions(vm))
        vm.backend_process.kill()
        await asyncio.to_thread(vm.backend_process.wait)
        await asyncio.sleep(seconds)
        self.mesh.start_backend(vm.daemon)
        while (await ask(vm.backend, "/health")).status != 200:
            await asyncio.sleep(0.1)
            if vm.backend_process.poll() is not None:
                self.mesh.start_backend(vm.daemon)
        vm.has_backend_fault = False

    async def executions(self, vm):
        answer = await ask(vm.backend, "/executions")
        return json.loads(answer.body) if answer.status == 200 else {}

    async def configure(self):
        """Submits a manifest with another number of slots for one service."""
        if self.is_submitting:
            return
        self.is_submitting = True
        services = json.loads(self.mesh.manifest.read_text())
        self.random.choice(services["services"])["slots"] = self.random.randint(20, 40)
        path = pathlib.Path(self.mesh.folder.name) / "submitted.json"
        path.write_text(json.dumps(services))
        submit = await asyncio.create_subprocess_exec(
            f"{self.mesh.options.build}/egretlatch", "submit", "--manifest", str(path), "--base", str(self.version), "--platform", self.mesh.platform,
            "--submitter", "soak", stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.STDOUT)
        output, _ = await submit.communicate()
        if submit.returncode == 0:
            self.version += 1
        else:
            self.record.report_violation("CONFIG", f"submit on version {self.version} ended with {submit.returncode}: {output.decode()[-500:]}")
        self.note(None, f"configuration {self.version}")
        self.is_submitting = False

    # Checks that concern no single request.

    async def check_recovery(self):
        """Waits until daemons see each other and serve every service, and the newest configuration is in force."""
        end = time.monotonic() + RECOVERY
        unserved = [(vm, kind) for vm in self.vms for kind in self.probe_kinds()]
        while True:
            served = await asyncio.gather(*(self.probe(vm, kind) for vm, kind in unserved))
            unserved = [pair for pair, is_served in zip(unserved, served) if not is_served]
            views = await asyncio.gather(*(self.view(vm) for vm in self.vms))
            missing = {vm.name: wrong + [f"no 200 for {kind.path}" for other, kind in unserved if other is vm] for vm, wrong in zip(self.vms, views)}
            if not any(missing.values()):
                self.note(None, f"all is well {time.monotonic() - end + RECOVERY:.1f} s after the last fault")
                return
            if time.monotonic() > end:
                break
            await asyncio.sleep(0.5)
        for name, wrong in missing.items():
            if wrong:
                self.record.report_violation("RECOVER", f"{RECOVERY:.0f} s after the last fault at {name}: {', '.join(wrong)}")

    def probe_kinds(self):
        """Returns one kind of each service, one that may be repeated."""
        kinds = {kind.service: kind for kind in self.kinds if kind.is_idempotent}
        return list(kinds.values())

    async def probe(self, vm, kind):
        client = Client(vm.callers)
        sent = await self.send(client, Sent(vm, kind, None, f"k{self.seed}-{next(self.numbers)}".encode()), max(TIMEOUTS))
        client.close()
        return sent.status == 200

    async def view(self, vm):
        """Returns what is wrong with the status of a daemon, as a list of texts."""
        answer = await ask(vm.callers, "/status")
        return self.wrong_in(json.loads(answer.body)) if answer.status == 200 else ["shows no status"]

    def wrong_in(self, status):
        states = {member["id"]: member["state"] for member in status["members"]}
        wrong = [f"sees {vm.name} {states.get(vm.name, 'not at all')}" for vm in self.vms if states.get(vm.name, "gone") in ("gone", "suspect")]
        if status["configurationVersion"] != self.version:
            wrong.append(f"has configuration {status['configurationVersion']} in place of {self.version}")
        return wrong

    async def check_rest(self):
        """Checks, once no caller waits, what ran and that logs are JSON."""
        for _ in range(50):
            loads = [json.loads((await ask(vm.backend, "/load")).body or b"{}") for vm in self.vms]
            if not any(load.get("running") or load.get("waiting") for load in loads):
                break
            await asyncio.sleep(0.2)
        else:
            self.record.report_violation("LEFT", "runs remain although no caller waits for them")
        for vm in self.vms:
            self.record.add_runs(await self.executions(vm))
            self.record.check_log(vm, self.log(vm))
        self.record.check_runs()
        await asyncio.gather(*(self.end(vm) for vm in self.vms))

    async def end(self, vm):
        self.expected_exits.add(vm.process.pid)
        vm.process.terminate()
        await self.wait_for_end(vm)
