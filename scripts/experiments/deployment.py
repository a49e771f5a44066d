"""Runs a deployment: scripts/mesh, the processes that it started, and their replacements."""

import json
import os
import pathlib
import signal
import subprocess
import threading
import time
import urllib.request

from . import operators

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
EXIT_SECONDS = 8
WATCH_SECONDS = 0.1
RESTART_SECONDS = 1.0


def fetch(url, body=None, timeout=2.0):
    """Returns the body of an answer, or None without one."""
    try:
        with urllib.request.urlopen(urllib.request.Request(url, data=body), timeout=timeout) as answer:
            return answer.read()
    except OSError:
        return None


def command_of(pid):
    """Returns the command line of a process."""
    return pathlib.Path(f"/proc/{pid}/cmdline").read_bytes().rstrip(b"\0").decode().split("\0")


def is_running(pid):
    """Returns whether a process is running; a zombie is not."""
    try:
        return pathlib.Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()[0] not in "ZX"
    except FileNotFoundError:
        return False


class Deployment:
    """Starts scripts/mesh and applies the faults of a scenario to its processes."""

    def __init__(self, scenario, policy, build, logs):
        self.scenario = scenario
        self.lock = threading.Lock()
        self.started = []
        self.paused = set()
        self.expected_down = set()
        self.behaviours = {}
        self.executions = []
        self.events = []
        self.submissions = []
        self.stopping = threading.Event()
        self.build = build
        command = [str(ROOT / "scripts/mesh"), scenario["deployment"], "--policy", policy, "--build", str(build), "--logs", str(logs),
                   "--servers", str(scenario.get("servers", 2)), "--slots", str(scenario.get("slots", 0)), "--keys-without-owner", "refuse"]
        if scenario.get("manifest"):
            command += ["--manifest", str(ROOT / scenario["manifest"])]
        self.process = subprocess.Popen(command, stdout=subprocess.PIPE)
        line = self.process.stdout.readline()
        if not line:
            self.process.wait()
            raise SystemExit("experiment: the deployment did not start; see " + str(logs))
        self.mesh = json.loads(line)
        self.servers = {}
        for daemon in self.mesh["daemons"]:
            number = sum(1 for name, _ in self.servers if name == daemon["service"])
            daemon["command"] = command_of(daemon["pid"])
            daemon["backendCommand"] = command_of(daemon["backendPid"])
            self.servers[daemon["service"], number] = daemon
        self.logs = logs
        self.watcher = threading.Thread(target=self.watch)
        self.watcher.start()

    def select_servers(self, fault):
        """Returns the (service, number) of the servers that a fault applies to."""
        wanted = fault.get("server", -1)
        return [name for name in self.servers if name[0] == fault.get("service") and wanted in (-1, name[1])]

    def restart(self, name, what):
        server = self.servers[name]
        command, field = (server["command"], "pid") if what == "daemon" else (server["backendCommand"], "backendPid")
        log = open(pathlib.Path(self.logs) / f"{server['id']}-{what}-again.log", "ab")
        process = subprocess.Popen(command, stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        with self.lock:
            self.started.append(process)
            server[field] = process.pid
        if what == "backend":
            self.restore_behaviour(name)

    def restore_behaviour(self, name):
        """Applies the injected behaviour of a backend server to its replacement."""
        behaviour = self.behaviours.get(name)
        for _ in range(40 if behaviour else 0):
            if fetch(f"http://127.0.0.1:{self.servers[name]['backend']}/control", json.dumps(behaviour).encode()) is not None:
                return
            time.sleep(0.02)

    def watch(self):
        """Restarts crashed backend servers after a second, as their operators do."""
        while not self.stopping.wait(WATCH_SECONDS):
            for name, server in self.servers.items():
                if name not in self.expected_down and not is_running(server["backendPid"]):
                    self.note(f"backend server {name[0]} {name[1]} crashed")
                    time.sleep(RESTART_SECONDS)
                    self.restart(name, "backend")

    def note(self, text):
        self.events.append({"atMs": time.time() * 1000, "text": text})

    def collect(self, name):
        """Saves the executions of a backend server before it exits."""
        answer = fetch(f"http://127.0.0.1:{self.servers[name]['backend']}/executions")
        if answer is not None:
            self.executions.append({"service": name[0], "server": name[1], "runs": json.loads(answer)})

    def send_signal(self, name, what, number):
        os.kill(self.servers[name]["pid" if what == "daemon" else "backendPid"], number)

    def wait_for_exit(self, pid):
        deadline = time.monotonic() + EXIT_SECONDS
        while is_running(pid) and time.monotonic() < deadline:
            time.sleep(0.02)
        if is_running(pid):
            self.note(f"process {pid} did not exit in {EXIT_SECONDS} s and was killed")
            os.kill(pid, signal.SIGKILL)

    def replace(self, name):
        """Replaces a VM: its daemon drains and exits, its backend server follows, and both are started again."""
        server = self.servers[name]
        self.expected_down.add(name)
        self.send_signal(name, "daemon", signal.SIGTERM)
        self.wait_for_exit(server["pid"])
        self.collect(name)
        self.send_signal(name, "backend", signal.SIGTERM)
        self.wait_for_exit(server["backendPid"])
        time.sleep(RESTART_SECONDS)
        self.restart(name, "daemon")
        self.restart(name, "backend")
        self.expected_down.discard(name)

    def apply(self, fault):
        """Applies one fault of a scenario; `control` faults are sent by the load tool."""
        action, what = fault["do"], fault.get("process", "backend")
        if action == "submit":
            race = operators.race(self.build, self.mesh, fault.get("operators", 1), pathlib.Path(self.logs))
            self.submissions.append(race)
            self.note(race.text())
            return
        for name in self.select_servers(fault):
            if action == "control":
                self.behaviours[name] = fault.get("behaviour", {})
                continue
            self.note(f"{action} {'VM' if action == 'replace' else what} of {name[0]} {name[1]}")
            if action == "stop":
                self.paused.add((name, what))
                self.send_signal(name, what, signal.SIGSTOP)
            elif action == "continue":
                self.send_signal(name, what, signal.SIGCONT)
                self.paused.discard((name, what))
            elif action == "kill":
                self.expected_down.add(name)
                self.collect(name)
                self.send_signal(name, what, signal.SIGKILL)
            elif action == "restart":
                self.restart(name, what)
                self.expected_down.discard(name)
            elif action == "drain":
                fetch(f"http://127.0.0.1:{self.servers[name]['caller']}/backend/drain", b"{}")
            elif action == "replace":
                self.replace(name)

    def run_faults(self, start):
        """Applies all faults at their times, counted from `start`, a Unix time in seconds; `replace` faults may overlap."""
        threads = []
        for fault in sorted(self.scenario.get("faults", []), key=lambda step: step["atMs"]):
            if self.stopping.wait(max(0.0, start + fault["atMs"] / 1000 - time.time())):
                break
            threads.append(threading.Thread(target=self.apply, args=(fault,)))
            threads[-1].start()
        for thread in threads:
            thread.join()

    def stop(self):
        """Collects the executions, and stops every process that this deployment started."""
        self.stopping.set()
        self.watcher.join()
        for name, what in list(self.paused):
            self.send_signal(name, what, signal.SIGCONT)
        for name, server in self.servers.items():
            if is_running(server["backendPid"]):
                self.collect(name)
        for process in self.started:
            process.terminate()
        self.process.terminate()
        for process in self.started + [self.process]:
            try:
                process.wait(timeout=2 * EXIT_SECONDS)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.process.stdout.close()
