"""Run real sidecar processes on loopback under random faults and check the promises.

Faults come from outside the processes: signals, a store and servers that misbehave, and
changes of the configuration. What is checked is only what callers and servers see.
"""

import argparse
import json
import os
import random
import signal
import subprocess
import sys
from collections import Counter
from pathlib import Path
from tempfile import TemporaryDirectory

from circuits import Component

from flamingobank.core import MonotonicClock
from flamingobank.loop import (
    Address,
    AnswerHandler,
    Headers,
    HttpClientConnection,
    Poller,
    Timers,
)
from flamingobank_standins.platform.server import PlatformServer, ServerMode
from flamingobank_standins.platform.store import PlatformStore, StoreMode

TURN_S = 0.02
DRAIN_S = 2.0
WARMUP_S = 3.0
FAULT_GAP_S = (0.3, 1.5)
FAULT_S = (0.3, 3.0)
SETTLE_S = 6.0
REQUESTS_PER_S = 8.0
BUDGET_MS = 3000
# Once faults are over, at least this share of the requests must succeed.
RECOVERED_SHARE = 0.9
PROMISES = (408, 421, 429, 503)
SETTINGS = """
[self]
node-name = "{name}"
ip = "{host}"
zone = "{zone}"
application = "{host}:8080"
service = "orders"
[network]
internal-ports = [{port},{last}]
[network.listen]
outbound = "{host}:8081"
readiness = "{host}:8082"
control = "{host}:8083"
[platform]
heartbeat-interval-s = 0.5
[platform.platform]
address = "{store}"
[terms.bounds]
grace-s = 6
budget-ratio = 0.2
budget-window-s = 10
budget-extra-tries = 200
"""


class SoakLoop(Component):
    """Turn one loop for the stand-ins and the callers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = MonotonicClock()
        self.poller = Poller().register(self)
        self.timers = Timers(self.clock).register(self)

    def exception(self, kind, error, trace, handler=None, fevent=None) -> None:
        """End the soak; an exception of a stand-in is a fault of the soak."""
        print("".join(trace), file=sys.stderr)
        os._exit(70)

    def run_until(self, deadline: float) -> None:
        """Turn the loop until a time."""
        while self.clock.now() < deadline:
            left_s = self.timers.run_due()
            self.poller.wait(TURN_S if left_s is None else min(TURN_S, left_s))
            while len(self):
                self.flush()


class Call(AnswerHandler):
    """Send one request and note its answer."""

    def __init__(self, soak: "Soak", request_id: str, unsafe: bool) -> None:
        self.request_id = request_id
        self.unsafe = unsafe
        self.status = 0
        self.seal = ""
        self.sent_at = soak.loop.clock.now()
        self.body = b""
        self._soak = soak

    def on_answer_head(self, status: int, headers: Headers) -> None:
        self.status = status
        found = {name.lower(): value for name, value in headers}
        self.seal = found.get(b"server-seal", b"").decode()

    def on_answer_part(self, data: bytes) -> None:
        self.body += data

    def on_answer_end(self) -> None:
        self._soak.note_end(self)

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        self.status = 0
        self._soak.note_end(self)


class Machine:
    """Hold one sidecar process and the server beside it."""

    def __init__(self, soak: "Soak", number: int) -> None:
        self.name = f"m{number}"
        self.host = f"127.77.{soak.network}.{number + 1}"
        self.process: subprocess.Popen | None = None
        self._soak = soak
        self._log = soak.folder / f"{self.name}.log"
        settings = soak.folder / f"{self.name}.toml"
        store_host, store_port = soak.store.address
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=f"z{number % 3}",
                port=7380,
                last=7395,
                store=f"{store_host}:{store_port}",
            )
        )
        self._environment = {**os.environ, "FLAMINGOBANK_CONFIG": str(settings)}
        self.server = PlatformServer(
            soak.loop.poller,
            soak.loop.timers,
            soak.loop.clock,
            soak.rng,
            "orders",
            (self.host, 8080),
            (self.host, 8083),
        )

    def start(self) -> None:
        """Start the process unless it runs."""
        if self.process is not None and self.process.poll() is None:
            return
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "flamingobank.platform"],
                env=self._environment,
                stdout=log,
                stderr=log,
            )

    def send(self, number: int) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    def end(self) -> None:
        """End the process for good."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


class Soak:
    """Run machines, callers and faults, and collect what breaks a promise."""

    def __init__(self, seed: int, machines: int, folder: Path) -> None:
        self.rng = random.Random(seed)
        self.network = seed % 250
        self.folder = folder
        self.loop = SoakLoop()
        store_address: Address = (f"127.77.{self.network}.251", 8090)
        self.store = PlatformStore(
            self.loop.poller, self.loop.timers, self.loop.clock, store_address
        )
        self.version = 1
        self._write_configuration()
        self.machines = [Machine(self, number) for number in range(machines)]
        self.calls: list[Call] = []
        self.violations: list[str] = []
        self.faults: list[str] = []
        self._calm_from: float | None = None
        self._calm = Counter()

    def run(self, seconds: float) -> None:
        """Run one soak and check it."""
        try:
            for machine in self.machines:
                machine.start()
            self._run_for(WARMUP_S)
            self._send_requests()
            self._break_something()
            self._run_for(seconds)
            self._calm_down()
            self._run_for(SETTLE_S)
            self._calm_from = self.loop.clock.now()
            self._run_for(SETTLE_S / 2)
        finally:
            for machine in self.machines:
                machine.end()
        self._check()

    def note_end(self, call: Call) -> None:
        """Check one answer."""
        if call.status and call.seal and call.request_id not in call.seal:
            self.violations.append(f"{call.request_id} got the answer {call.seal}")
        if call.status == 200 and call.body != call.request_id.encode():
            self.violations.append(f"{call.request_id} got the body {call.body!r}")
        if self._calm_from is not None and call.sent_at > self._calm_from:
            self._calm[call.status == 200] += 1

    def _run_for(self, seconds: float) -> None:
        self.loop.run_until(self.loop.clock.now() + seconds)

    def _write_configuration(self) -> None:
        routes = [
            {
                "resource-kind": "routes",
                "metadata": {"name": kind},
                "specification": {
                    "host": "x.example",
                    "path-prefix": f"/{kind}/",
                    "kind": kind,
                    "timeout-s": 2.5,
                    "target-latency-s": 1,
                    "priority": 1,
                    "service": "orders",
                    "max-attempts": 2,
                },
            }
            for kind in ("safe", "unsafe")
        ]
        service = {
            "resource-kind": "services",
            "metadata": {"name": "orders"},
            "specification": {"health-path": "/health", "connection-limit": 330},
        }
        self.store.put(
            "config",
            "main",
            {"version": f"{self.version:08x}", "resources": [*routes, service]},
        )

    def _send_requests(self) -> None:
        for machine in self.machines:
            self._send_next(machine)

    def _send_next(self, machine: Machine) -> None:
        call = Call(self, f"{self.rng.getrandbits(64):016x}", self.rng.random() < 0.6)
        self.calls.append(call)
        kind = "unsafe" if call.unsafe else "safe"
        request = (
            f"POST /{kind}/x HTTP/1.1\r\nHost: x.example\r\n"
            f"Request-Id: {call.request_id}\r\nContent-Length: 0\r\n"
            f"Deadline-Milliseconds: {BUDGET_MS}\r\n\r\n"
        )
        connection = HttpClientConnection(self.loop.poller, (machine.host, 8081))
        connection.send(request.encode(), call)
        now = self.loop.clock.now()
        self.loop.timers.call_at(
            now + BUDGET_MS / 1000, lambda: connection.close("time budget")
        )
        gap_s = self.rng.expovariate(REQUESTS_PER_S)
        self.loop.timers.call_at(now + gap_s, lambda: self._send_next(machine))

    def _break_something(self) -> None:
        if self._calm_from is not None or self.faults[-1:] == ["calm"]:
            return
        fault = self.rng.choice(FAULTS)
        machine = self.rng.choice(self.machines)
        self.faults.append(f"{fault.__name__}:{machine.name}")
        fault(self, machine, self.rng.uniform(*FAULT_S))
        gap_s = self.rng.uniform(*FAULT_GAP_S)
        self.loop.timers.call_at(self.loop.clock.now() + gap_s, self._break_something)

    def later(self, seconds: float, callback) -> None:
        """Run a callback after a time."""
        self.loop.timers.call_at(self.loop.clock.now() + seconds, callback)

    def _calm_down(self) -> None:
        self.faults.append("calm")
        self.store.mode = StoreMode.SERVING
        self._run_for(FAULT_S[1])
        self.store.mode = StoreMode.SERVING
        for machine in self.machines:
            machine.server.mode = ServerMode.WORKING
            if machine.server.draining:
                machine.server.restart()
            machine.send(signal.SIGCONT)
            machine.start()

    def _check(self) -> None:
        runs = Counter()
        for machine in self.machines:
            for request_id, _, _ in machine.server.runs:
                runs[request_id] += 1
        for call in self.calls:
            if call.unsafe and runs[call.request_id] > 1:
                self.violations.append(f"unsafe {call.request_id} ran more than once")
            if call.unsafe and call.status in PROMISES and runs[call.request_id]:
                self.violations.append(
                    f"unsafe {call.request_id} got {call.status} and has run"
                )
        total = sum(self._calm.values())
        if not total or self._calm[True] < RECOVERED_SHARE * total:
            self.violations.append(f"after the faults {dict(self._calm)} succeeded")
        for machine in self.machines:
            self._check_log(machine)

    def _check_log(self, machine: Machine) -> None:
        version = 0
        for line in (self.folder / f"{machine.name}.log").read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                # Also the cut line of a killed process.
                if "Traceback" in line:
                    self.violations.append(f"{machine.name} wrote a traceback")
                continue
            kind = entry.get("message_type")
            if kind == "sidecar:exception":
                self.violations.append(f"{machine.name}: {entry['error']}")
            elif kind == "sidecar:started":
                version = 0
            elif kind == "configuration:applied":
                if entry["version"] <= version:
                    self.violations.append(f"{machine.name} went back to {version}")
                version = entry["version"]


def kill(soak: Soak, machine: Machine, seconds: float) -> None:
    """Kill a process and start it again."""
    machine.send(signal.SIGKILL)
    soak.later(seconds, machine.start)


def stop(soak: Soak, machine: Machine, seconds: float) -> None:
    """Ask a process to stop and start it again when it has."""
    machine.send(signal.SIGTERM)
    for delay_s in range(1, 9):
        soak.later(delay_s, machine.start)


def pause(soak: Soak, machine: Machine, seconds: float) -> None:
    """Freeze a process for a while."""
    machine.send(signal.SIGSTOP)
    soak.later(seconds, lambda: machine.send(signal.SIGCONT))


def hang_up(soak: Soak, machine: Machine, seconds: float) -> None:
    """Tell a process that its settings have changed."""
    machine.send(signal.SIGHUP)


def trouble_store(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let the store fail in one of its ways."""
    soak.store.mode = soak.rng.choice(list(StoreMode))
    soak.later(seconds, lambda: setattr(soak.store, "mode", StoreMode.SERVING))


def forget_history(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let the store forget its history."""
    soak.store.forget_history()


def change_configuration(soak: Soak, machine: Machine, seconds: float) -> None:
    """Write a higher version."""
    soak.version += soak.rng.randint(1, 5)
    soak._write_configuration()


def trouble_server(soak: Soak, machine: Machine, seconds: float) -> None:
    """Let a server fail in one of its ways."""
    machine.server.mode = soak.rng.choice(list(ServerMode))
    soak.later(seconds, lambda: setattr(machine.server, "mode", ServerMode.WORKING))


def replace_server(soak: Soak, machine: Machine, seconds: float) -> None:
    """Drain a server and start another one in its place."""
    server = machine.server
    server.drain()

    def check_and_restart() -> None:
        drained_at = server.drained_at
        if drained_at is not None:
            for request_id, instance, time in server.runs:
                if instance == server.instance and time > drained_at + DRAIN_S:
                    soak.violations.append(f"{request_id} reached drained {instance}")
        server.restart()

    soak.later(DRAIN_S + seconds, check_and_restart)


FAULTS = (
    kill,
    stop,
    pause,
    hang_up,
    trouble_store,
    forget_history,
    change_configuration,
    trouble_server,
    trouble_server,
    replace_server,
)


def run_soak(seed: int, seconds: float, machines: int) -> Soak:
    """Run one seed in a folder of its own."""
    with TemporaryDirectory() as folder:
        soak = Soak(seed, machines, Path(folder))
        soak.run(seconds)
        return soak


def main(arguments: list[str]) -> int:
    """Run seeds one after the other; return 1 when a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=1, help="how many seeds")
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--machines", type=int, default=5)
    options = parser.parse_args(arguments)
    broken = False
    for seed in range(options.seed, options.seed + options.seeds):
        soak = run_soak(seed, options.seconds, options.machines)
        statuses = Counter(call.status for call in soak.calls)
        print(
            f"seed {seed}: {len(soak.faults)} faults, {len(soak.calls)} requests, "
            f"statuses {dict(statuses)}, {len(soak.violations)} violations"
        )
        for violation in soak.violations:
            broken = True
            print(f"  {violation}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
