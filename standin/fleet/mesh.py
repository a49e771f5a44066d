"""Runs an example deployment on loopback: stand-ins and daemons with keys as separate processes."""

import dataclasses
import json
import pathlib
import subprocess
import tempfile
import time
import urllib.request

from .ports import free_ports

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
ZONES = {"gliding-union": 4, "cod-proaspat": 3}


class MeshError(Exception):
    """The deployment did not start."""


@dataclasses.dataclass
class MeshOptions:
    """Options of a deployment, as on the command line of scripts/mesh."""

    deployment: str
    build: str
    manifest: str | None = None
    servers: int = 2
    slots: int = 0
    policy: str = "adaptive"
    keys_without_owner: str = "entry-memory"
    platform: bool = True
    collector: str = ""
    no_encryption: bool = False
    logs: str = ""
    log_level: str = "warning"


def fetch(url, timeout=1.0):
    """Returns the body of a page, or None without an answer of success."""
    try:
        with urllib.request.urlopen(url, timeout=timeout) as answer:
            return answer.read()
    except OSError:
        return None


class Mesh:
    """Starts, restarts and stops the processes of a deployment; `processes` holds them by name."""

    def __init__(self, options):
        self.options = options
        self.folder = tempfile.TemporaryDirectory(prefix="egretlatch-mesh-")
        self.manifest = pathlib.Path(options.manifest or ROOT / "examples" / f"{options.deployment}.json")
        self.services = json.loads(self.manifest.read_text())["services"]
        self.processes = {}
        self.daemons = []
        self.keys = None
        self.platform = None

    def plan(self):
        zones = ZONES.get(self.options.deployment, 1)
        names = [(service["name"], number) for service in self.services for number in range(self.options.servers)]
        ports = free_ports(3 * len(names))
        for index, (service, number) in enumerate(names):
            caller, peer, backend = ports[3 * index : 3 * index + 3]
            self.daemons.append({
                "id": f"{service}-{number}", "service": service, "dataCentre": f"dc{number % zones + 1}",
                "caller": caller, "peer": peer, "backend": backend,
            })

    def start_platform(self):
        if not self.options.platform:
            return
        (port,) = free_ports(1)
        self.platform = f"http://127.0.0.1:{port}"
        self.start([f"{self.options.build}/egretlatch-standin", "platform", "--port", str(port)], "platform")
        deadline = time.monotonic() + 10
        while fetch(f"{self.platform}/counts") is None:
            if time.monotonic() > deadline:
                raise MeshError("the platform stand-in does not answer")
            time.sleep(0.02)

    def peer_security(self):
        if self.keys is None:
            return {"peerEncryption": "off"}
        return {"peerKeys": {**self.keys, "accepted": [self.keys["publicKey"]]}}

    def settings(self, daemon):
        settings = {
            "id": daemon["id"], "dataCentre": daemon["dataCentre"], "callerPort": daemon["caller"], "peerPort": daemon["peer"],
            "backendUrl": f"http://127.0.0.1:{daemon['backend']}", "policy": self.options.policy, "logLevel": self.options.log_level,
            "manifestFile": str(self.manifest), "operatorAccess": "open",
            "keysWithoutOwner": self.options.keys_without_owner, **self.peer_security(),
            "peers": [{"id": other["id"], "endpoint": f"tcp://127.0.0.1:{other['peer']}"} for other in self.daemons if other is not daemon],
        }
        if self.platform:
            settings["platformUrl"] = self.platform
        if self.options.collector:
            settings["collectorUrl"] = self.options.collector
        path = pathlib.Path(self.folder.name) / f"{daemon['id']}.json"
        path.write_text(json.dumps(settings))
        return path

    def start(self, command, name):
        """Starts a process; one that takes the name of an earlier one appends to its log."""
        with open(self.log_of(name), "ab" if name in self.processes else "wb") as log:
            self.processes[name] = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        return self.processes[name].pid

    def start_daemon(self, daemon):
        daemon["pid"] = self.start([f"{self.options.build}/egretlatch", "daemon", "--settings", str(self.settings(daemon))], daemon["id"])

    def start_backend(self, daemon):
        command = [f"{self.options.build}/egretlatch-standin", "backend", "--port", str(daemon["backend"]), "--service", daemon["service"],
                   "--daemon", f"http://127.0.0.1:{daemon['caller']}", "--manifest", str(self.manifest), "--seed", str(self.daemons.index(daemon) + 1)]
        if self.options.slots:
            command += ["--slots", str(self.options.slots)]
        daemon["backendPid"] = self.start(command, daemon["id"] + "-backend")

    def log_of(self, name):
        return pathlib.Path(self.options.logs or self.folder.name) / f"{name}.log"

    def last_lines(self, name):
        return self.log_of(name).read_text(errors="replace")[-500:]

    def start_all(self):
        if not self.options.no_encryption:
            self.keys = json.loads(subprocess.check_output([f"{self.options.build}/egretlatch", "keys"]))
        for daemon in self.daemons:
            self.start_daemon(daemon)
        for daemon in self.daemons:
            self.start_backend(daemon)

    def is_ready(self, daemon):
        status = fetch(f"http://127.0.0.1:{daemon['caller']}/status")
        if status is None or fetch(f"http://127.0.0.1:{daemon['caller']}/readyz") is None:
            return False
        serving = [member for member in json.loads(status).get("members", []) if member["state"] == "serving"]
        return len(serving) == len(self.daemons)

    def wait(self):
        deadline = time.monotonic() + 30
        waiting = list(self.daemons)
        while waiting:
            ended = [name for name, process in self.processes.items() if process.poll() is not None]
            if time.monotonic() > deadline or ended:
                logs = "".join(f"\n{name}: {self.last_lines(name)}" for name in ended)
                raise MeshError(f"not ready: {[daemon['id'] for daemon in waiting]}, exited: {ended}{logs}")
            waiting = [daemon for daemon in waiting if not self.is_ready(daemon)]
            time.sleep(0.05)

    def describe(self):
        entries, backends = {}, {}
        for daemon in self.daemons:
            entries.setdefault(daemon["service"], []).append(f"http://127.0.0.1:{daemon['caller']}")
            backends.setdefault(daemon["service"], []).append(f"http://127.0.0.1:{daemon['backend']}")
        pids = [process.pid for process in self.processes.values()]
        return {"entries": entries, "backends": backends, "platform": self.platform, "pids": pids, "daemons": self.daemons,
                "manifest": str(self.manifest.resolve()), "peerSecurity": self.peer_security()}

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.terminate()
        deadline = time.monotonic() + 5
        for process in self.processes.values():
            try:
                process.wait(timeout=max(deadline - time.monotonic(), 0))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
