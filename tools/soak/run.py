"""Run machines, callers and faults, and collect violations of the guarantees."""

import json
import random
import signal
from collections import Counter
from collections.abc import Callable, Sequence
from pathlib import Path
from tempfile import TemporaryDirectory

from flamingobank.loop import Address, AnswerHandler, Headers, HttpClientConnection
from flamingobank_standins.platform.server import ServerMode
from flamingobank_standins.platform.store import PlatformStore, StoreMode
from tools.soak.loop import SoakLoop
from tools.soak.machines import Machine
from tools.soak.proxy import LinkProxy, ProxyMode

WARMUP_S = 3.0
# Ranges of the time between two faults and of the duration of a fault.
FAULT_INTERVAL_S = (0.3, 1.5)
FAULT_DURATION_S = (0.3, 3.0)
# Seconds between the end of the faults and the start of the measurement of the share of
# successful requests.
SETTLE_S = 6.0
REQUESTS_PER_S = 8.0
REQUEST_BUDGET_MS = 3000
# Connections that callers keep open at each machine; further concurrent requests open
# one each.
MAX_KEPT_CONNECTIONS = 2
# Share of the requests that must succeed after the faults have ended.
MIN_SUCCESS_SHARE = 0.9
# Statuses that guarantee that an unsafe request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


class SoakCall(AnswerHandler):
    """One request of a caller and its response."""

    def __init__(self, soak: "Soak", request_id: str, unsafe: bool) -> None:
        self.request_id = request_id
        self.unsafe = unsafe
        self.status = 0
        self.seal = ""
        # The server says in its answer that it leaves.
        self.leaving = False
        self.ended = False
        self.sent_at = soak.loop.clock.now()
        self.body = b""
        self._soak = soak

    def on_answer_head(self, status: int, headers: Headers) -> None:
        self.status = status
        found = {name.lower(): value for name, value in headers}
        self.seal = found.get(b"server-seal", b"").decode()
        self.leaving = b"server-leaving" in found

    def on_answer_part(self, data: bytes) -> None:
        self.body += data

    def on_answer_end(self) -> None:
        self._soak.check_response(self)

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        self.status = 0
        self._soak.check_response(self)


class Soak:
    """One soak: machines, callers and random faults; violations are collected.

    ``kinds`` are the fault functions to choose from.
    """

    def __init__(
        self, seed: int, machines: int, directory: Path, kinds: Sequence["Fault"]
    ) -> None:
        self.rng = random.Random(seed)
        self._fault_functions = kinds
        self.subnet = seed % 250
        self.directory = directory
        self.loop = SoakLoop()
        store_address: Address = (f"127.77.{self.subnet}.251", 8090)
        self.store = PlatformStore(
            self.loop.poller, self.loop.timers, self.loop.clock, store_address
        )
        # Between the processes and the store.
        self.store_proxy = LinkProxy(
            self.loop.poller,
            self.loop.timers,
            self.loop.clock,
            self.rng,
            (f"127.77.{self.subnet}.252", 8090),
            self.store.address,
        )
        self.version = 1
        self.write_configuration()
        self.machines = [
            Machine(
                self.loop,
                self.rng,
                self.store_proxy.address,
                directory,
                f"127.77.{self.subnet}.{number + 1}",
                number,
            )
            for number in range(machines)
        ]
        self.calls: list[SoakCall] = []
        # When a caller first got an answer in which an instance said that it leaves.
        self.leaving_seen_at: dict[str, float] = {}
        self.requests_per_s = REQUESTS_PER_S
        self.violations: list[str] = []
        self.fault_names: list[str] = []
        self._recovery_start: float | None = None
        self._recovery_outcomes = Counter()

    def run(self, seconds: float) -> None:
        """Run the machines under faults for some seconds, then check the guarantees."""
        try:
            for machine in self.machines:
                machine.start()
            self._run_for(WARMUP_S)
            self._send_requests()
            self._inject_fault()
            self._run_for(seconds)
            self._end_faults()
            self._run_for(SETTLE_S)
            self._recovery_start = self.loop.clock.now()
            self._run_for(SETTLE_S / 2)
        finally:
            for machine in self.machines:
                machine.kill_and_wait()
        self._check()

    def measure_cpu(self, seconds: float, requests_per_s: float) -> float:
        """Return the CPU seconds of all processes per request with status 200."""
        self.requests_per_s = requests_per_s
        try:
            for machine in self.machines:
                machine.start()
            self._run_for(WARMUP_S)
            self._send_requests()
            self._run_for(WARMUP_S)
            cpu_s = sum(machine.read_cpu_s() for machine in self.machines)
            answered = sum(call.status == 200 for call in self.calls)
            self._run_for(seconds)
            cpu_s = sum(machine.read_cpu_s() for machine in self.machines) - cpu_s
            answered = sum(call.status == 200 for call in self.calls) - answered
        finally:
            for machine in self.machines:
                machine.kill_and_wait()
        return cpu_s / max(1, answered)

    def check_response(self, call: SoakCall) -> None:
        """Record that a call has ended and check its response."""
        call.ended = True
        if call.leaving:
            instance = call.seal.partition(".")[0]
            self.leaving_seen_at.setdefault(instance, self.loop.clock.now())
        if call.status and call.seal and call.request_id not in call.seal:
            self.violations.append(f"{call.request_id} got the response {call.seal}")
        if call.status == 200 and call.body != call.request_id.encode():
            self.violations.append(f"{call.request_id} got the body {call.body!r}")
        if self._recovery_start is not None and call.sent_at > self._recovery_start:
            self._recovery_outcomes[call.status == 200] += 1

    def _run_for(self, seconds: float) -> None:
        self.loop.run_until(self.loop.clock.now() + seconds)

    def write_configuration(self) -> None:
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
        call = SoakCall(
            self, f"{self.rng.getrandbits(64):016x}", self.rng.random() < 0.6
        )
        self.calls.append(call)
        kind = "unsafe" if call.unsafe else "safe"
        request = (
            f"POST /{kind}/x HTTP/1.1\r\nHost: x.example\r\n"
            f"Request-Id: {call.request_id}\r\nContent-Length: 0\r\n"
            f"Deadline-Milliseconds: {REQUEST_BUDGET_MS}\r\n\r\n"
        )
        connection = self._choose_connection(machine)
        connection.send(request.encode(), call)
        now = self.loop.clock.now()
        self.loop.timers.call_at(
            now + REQUEST_BUDGET_MS / 1000,
            lambda: self._abort_if_pending(call, connection),
        )
        interval_s = self.rng.expovariate(self.requests_per_s)
        self.loop.timers.call_at(now + interval_s, lambda: self._send_next(machine))

    def _choose_connection(self, machine: Machine) -> HttpClientConnection:
        """Return an idle kept connection, or a new one."""
        machine.kept_connections = [
            kept
            for kept in machine.kept_connections
            if not kept.closed and kept.reusable
        ]
        for connection in machine.kept_connections:
            if connection.idle:
                return connection
        connection = HttpClientConnection(self.loop.poller, (machine.host, 8081))
        if len(machine.kept_connections) < MAX_KEPT_CONNECTIONS:
            machine.kept_connections.append(connection)
        return connection

    def _abort_if_pending(
        self, call: SoakCall, connection: HttpClientConnection
    ) -> None:
        if not call.ended:
            connection.close("time budget")

    def _inject_fault(self) -> None:
        # "calm" as the last name in the list means that the faults have been ended.
        if self._recovery_start is not None or self.fault_names[-1:] == ["calm"]:
            return
        fault = self.rng.choice(self._fault_functions)
        machine = self.rng.choice(self.machines)
        self.fault_names.append(f"{fault.__name__}:{machine.name}")
        fault(self, machine, self.rng.uniform(*FAULT_DURATION_S))
        interval_s = self.rng.uniform(*FAULT_INTERVAL_S)
        self.loop.timers.call_at(self.loop.clock.now() + interval_s, self._inject_fault)

    def call_later(self, seconds: float, callback) -> None:
        """Call a function after the given seconds."""
        self.loop.timers.call_at(self.loop.clock.now() + seconds, callback)

    def _end_faults(self) -> None:
        self.fault_names.append("calm")
        self.store.mode = StoreMode.SERVING
        self._run_for(FAULT_DURATION_S[1])
        self.store.mode = StoreMode.SERVING
        for machine in self.machines:
            machine.server.mode = ServerMode.WORKING
            machine.server.end_rate_limit()
            machine.proxy.set_mode(ProxyMode.PASSING)
            server = machine.server
            if server.draining or server.leaving or server.deregistering:
                server.restart()
            machine.send_signal(signal.SIGCONT)
            machine.start()

    def _check(self) -> None:
        runs = Counter()
        for machine in self.machines:
            for request_id, _, _ in machine.server.runs:
                runs[request_id] += 1
        for call in self.calls:
            if call.unsafe and runs[call.request_id] > 1:
                self.violations.append(
                    f"unsafe {call.request_id} was executed more than once"
                )
            if (
                call.unsafe
                and call.status in NOT_EXECUTED_STATUSES
                and runs[call.request_id]
            ):
                self.violations.append(
                    f"unsafe {call.request_id} got {call.status} but was executed"
                )
        total = sum(self._recovery_outcomes.values())
        if not total or self._recovery_outcomes[True] < MIN_SUCCESS_SHARE * total:
            self.violations.append(
                f"too few requests ({dict(self._recovery_outcomes)}) succeeded"
            )
        for machine in self.machines:
            self._check_log(machine)

    def _check_log(self, machine: Machine) -> None:
        version = 0
        for line in (self.directory / f"{machine.name}.log").read_text().splitlines():
            try:
                entry = json.loads(line)
            except ValueError:
                # The line is not JSON: it is part of a traceback, or the truncated last
                # line of a killed process.
                if "Traceback" in line:
                    self.violations.append(f"{machine.name} logged a traceback")
                continue
            message_type = entry.get("message_type")
            if message_type == "sidecar:exception":
                self.violations.append(f"{machine.name}: {entry['error']}")
            elif message_type == "sidecar:started":
                version = 0
            elif message_type == "configuration:applied":
                if entry["version"] <= version:
                    self.violations.append(
                        f"{machine.name} applied no newer version than {version}"
                    )
                version = entry["version"]
        if version != self.version:
            self.violations.append(
                f"{machine.name} has version {version} at the end, not {self.version}"
            )


Fault = Callable[[Soak, Machine, float], None]


def run_soak(seed: int, seconds: float, machines: int, kinds: Sequence[Fault]) -> Soak:
    """Run the soak with one seed in a temporary directory and return it."""
    with TemporaryDirectory() as directory:
        soak = Soak(seed, machines, Path(directory), kinds)
        soak.run(seconds)
        return soak
