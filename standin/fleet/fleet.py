"""Runs a deployment on loopback: the store, and for each VM a server and a real daemon."""

import asyncio
import json
import pathlib
import signal
import subprocess
import tempfile

from .ports import free_ports
from .server import Server, post
from .store import Store

PORTS_PER_VM = 6


def account(keys, priority=1, rate=0, burst=0):
    """Returns the spec of a client account."""
    return {"api_keys": list(keys), "priority": priority, "rate_per_s": rate, "burst": burst}


def configuration(version, routes, services, limits=None, accounts=None):
    """Returns a configuration document as operators write it; `routes` and `accounts` map names to specs."""
    resources = [{"resource_type": "routes", "metadata": {"name": name}, "spec": spec} for name, spec in routes.items()]
    resources += [{"resource_type": "services", "metadata": {"name": name},
                   "spec": {"health_path": "/health", "max_connections": 300, "protocol": "h1", "tls": False}} for name in services]
    resources += [{"resource_type": "tenants", "metadata": {"name": name}, "spec": spec} for name, spec in (accounts or {}).items()]
    resources.append({"resource_type": "limits", "metadata": {}, "spec": limits or {
        "max_header_bytes": 16384, "max_body_bytes": 1048576, "header_timeout": "3000ms", "idle_timeout": "15000ms"}})
    return {"version": f"{version:08x}", "resources": resources}


def route(host, service, kind="idempotent", priority=1, timeout=1200, target=800, attempts=2, weighted=None, public=False):
    """Returns the spec of a route without its prefix, which the caller adds."""
    spec = {"host": host, "kind": kind, "timeout": f"{timeout}ms", "target_latency": f"{target}ms", "priority": priority, "max_attempts": attempts}
    if public:
        spec["public"] = True
    spec.update({"weighted_services": weighted} if weighted else {"service": service})
    return spec


class Vm:
    """Holds the settings and process of one VM's daemon, and its server."""

    def __init__(self, name, zone, server, ports, folder):
        self.name = name
        self.zone = zone
        self.server = server
        self.callers, self.readiness, self.reports, self.peer, _ = (f"127.0.0.1:{port}" for port in ports)
        self.settings_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.process = None
        self.heartbeat_task = None

    def settings(self, store, bounds):
        return {"id": self.name, "region": "r", "dataCentre": self.zone, "service": self.server.service, "address": "127.0.0.1",
                "callers": self.callers, "readiness": self.readiness, "serverReports": self.reports, "backend": self.server.address,
                "store": store, "peerPorts": [int(self.peer.split(":")[1])], "bounds": bounds}


class Fleet:
    """Starts and stops all processes; `services` maps a service to (servers, slots, queue) and `kinds` a kind to its work."""

    def __init__(self, binary, services, kinds, heartbeat=0.3, bounds=None, settings=None, seed=1):
        self.binary = binary
        self.services = services
        self.kinds = kinds
        self.heartbeat = heartbeat
        self.bounds = bounds or {"grace": "4s", "drain": "1s", "retry_budget_ratio": "0.2", "budget_slack": "40"}
        self.more_settings = settings or {}
        self.seed = seed
        self.folder = tempfile.TemporaryDirectory(prefix="egretlatch-fleet-")
        self.store = Store()
        self.vms = []

    async def __aenter__(self):
        (store_port,) = free_ports(1)
        self.store_address = f"127.0.0.1:{store_port}"
        await self.store.start(store_port)
        for service, (count, slots, queue) in self.services.items():
            for number in range(count):
                await self.add_vm(service, number, slots, queue)
        return self

    async def __aexit__(self, *_):
        self.store.server.close()
        for vm in self.vms:
            vm.server.server.close()
            if vm.heartbeat_task is not None:
                vm.heartbeat_task.cancel()
            if vm.process is not None and vm.process.poll() is None:
                vm.process.kill()
                vm.process.wait()
        self.folder.cleanup()

    async def prepare(self, vm):
        """Hook that runs for each VM before its daemon starts; a fleet with faulty links installs them here."""

    async def add_vm(self, service, number, slots, queue):
        ports = free_ports(PORTS_PER_VM)
        server = Server(f"i-{service}-{number}", service, f"127.0.0.1:{ports[0]}", slots, queue, self.kinds, self.seed)
        vm = Vm(f"{service}-{number}", f"z{number % 3}", server, ports[1:], pathlib.Path(self.folder.name))
        server.outbound = vm.callers
        server.vm = vm
        await server.start()
        self.vms.append(vm)
        await self.prepare(vm)
        self.start_daemon(vm)
        vm.heartbeat_task = asyncio.ensure_future(self.send_heartbeats(vm))
        return vm

    def start_daemon(self, vm):
        vm.settings_path.write_text(json.dumps(self.settings_of(vm)))
        with open(vm.log_path, "ab") as log:
            vm.process = subprocess.Popen([self.binary, "sidecar", "--settings", str(vm.settings_path)], stdout=log, stderr=log, stdin=subprocess.DEVNULL)

    def settings_of(self, vm):
        return {**vm.settings(self.store_address, self.bounds), **self.more_settings}

    async def send_heartbeats(self, vm):
        while True:
            await vm.server.report(vm.reports)
            await asyncio.sleep(self.heartbeat)

    async def ready(self, seconds=10):
        """Waits until each daemon reports ready; false once a daemon has exited, even if another process answers at its address."""
        for _ in range(int(seconds / 0.1)):
            if any(vm.process.poll() is not None for vm in self.vms):
                return False
            answers = await asyncio.gather(*(post(vm.readiness, "/api/readiness", b"", "GET") for vm in self.vms))
            if all(status == 200 for status in answers):
                return True
            await asyncio.sleep(0.1)
        return False

    def signal(self, vm, number=signal.SIGTERM):
        vm.process.send_signal(number)

    def log(self, vm):
        return vm.log_path.read_text()

    def servers(self, service):
        return [vm.server for vm in self.vms if vm.server.service == service]

    def runs(self, name):
        """Counts the runs of a request over all servers."""
        return sum(vm.server.runs[name] for vm in self.vms)
