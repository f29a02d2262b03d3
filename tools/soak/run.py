"""Run machines, callers and faults, and collect violations of the guarantees."""

import json
import random
import signal
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from pathlib import Path
from tempfile import TemporaryDirectory

from flamingobank.loop import Address, Headers, HttpClientConnection
from flamingobank_standins.platform.server import ServerMode
from flamingobank_standins.platform.store import PlatformStore, StoreMode
from tools.soak.keys import KEY_MARK, DrawnKey, WorkspaceKeys
from tools.soak.loop import SoakLoop
from tools.soak.machines import MEMORY_MB, Machine
from tools.soak.pipelines import Pipeline, PipelinedCall
from tools.soak.proxy import LinkProxy, ProxyMode

WARMUP_S = 3.0
# Ranges of the time between two faults and of the duration of a fault.
FAULT_INTERVAL_S = (0.3, 1.5)
FAULT_DURATION_S = (0.3, 3.0)
# Seconds between the end of the faults and the start of the measurement of the share of
# successful requests.
SETTLE_S = 6.0
REQUESTS_PER_S = 8.0
# Time budgets of short and long requests, and the share of the long ones.
SHORT_BUDGET_S = 3.0
LONG_BUDGET_S = 10.0
LONG_SHARE = 0.05
# Shares of the requests that are sent with others behind them, and of the other
# requests whose answers are large or come in parts.
PIPELINE_SHARE = 0.05
STREAMED_SHARE = 0.1
LARGE_SHARE = 0.05
PIPELINED_COUNTS = (2, 8)
# Within these, the share of first requests that are long, and of the others that have
# large answers, half of them in parts.
LONG_FIRST_SHARE = 0.1
LARGE_BEHIND_SHARE = 0.5
# How often an answer repeats the ID, and of how many parts a streamed one consists.
LARGE_REPEATS = (1_000, 60_000)
PART_REPEATS = (1, 20_000)
PART_COUNTS = (1, 8)
MEMORY_CHECK_INTERVAL_S = 0.25
# All requests are for this service.
SERVICE = "orders"
OTHER_SERVICE = "patterns"
# A planned stop binds a process that no other signal has disturbed since this long
# before its SIGTERM.
CALM_BEFORE_STOP_S = 3.0
GRACE_S = 6.0
# Connections that callers keep open at each machine; further concurrent requests open
# one each.
MAX_KEPT_CONNECTIONS = 2
# Share of the requests that must succeed after the faults have ended.
MIN_SUCCESS_SHARE = 0.9
# Statuses that guarantee that an unsafe request was not executed.
NOT_EXECUTED_STATUSES = (408, 421, 429, 503)


@dataclass(frozen=True, slots=True)
class Shape:
    """The last part of a path, and the length of the answer that it asks for."""

    path: str
    repeats: int


SHORT = Shape("x", 1)


class SoakCall(PipelinedCall):
    """One request of a caller and its response."""

    def __init__(
        self,
        soak: "Soak",
        machine: Machine,
        request_id: str,
        unsafe: bool,
        key: DrawnKey | None,
        shape: "Shape",
    ) -> None:
        self.machine = machine
        self.request_id = request_id
        self.unsafe = unsafe
        self.key = key
        # The call was sent with others on one connection at once.
        self.is_pipelined = False
        # The caller gave up at the end of its time budget.
        self.expired = False
        self.ended_at = 0.0
        self.status = 0
        self.seal = ""
        # The server says in its answer that it leaves.
        self.leaving = False
        self.ended = False
        self.sent_at = soak.loop.clock.now()
        self.shape = shape
        self.body_bytes = 0
        # A part of the body that is not of this request's answer, if any came.
        self.foreign_part: bytes | None = None
        # The answer has begun, and may end with its connection.
        self.begun = False
        self._soak = soak

    def describe(self) -> str:
        """Return how the call ended, for a report."""
        took_s = self.ended_at - self.sent_at
        return (
            f"{self.request_id} at {self.machine.name} for {self.shape.path}: "
            f"{self.status}, {self.body_bytes} bytes after {took_s:.2f} s"
        )

    def on_answer_head(self, status: int, headers: Headers) -> None:
        self.status = status
        self.begun = True
        found = {name.lower(): value for name, value in headers}
        self.seal = found.get(b"server-seal", b"").decode()
        self.leaving = b"server-leaving" in found

    def on_answer_part(self, data: bytes) -> None:
        text = self.request_id.encode()
        first = self.body_bytes % len(text)
        expected = text * (len(data) // len(text) + 2)
        if self.status == 200 and data != expected[first : first + len(data)]:
            self.foreign_part = self.foreign_part or data[:100]
        self.body_bytes += len(data)

    def on_answer_end(self) -> None:
        self._soak.check_response(self)

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        self.status = 0
        self._soak.check_response(self)


class Soak:
    """One soak: machines, callers and random faults; violations are collected.

    ``kinds`` are the fault functions to choose from. Seeds that are odd have workspaces
    with keys.
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
        self.keys = WorkspaceKeys() if seed % 2 else None
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
        self.long_share = LONG_SHARE
        self.pipeline_share = PIPELINE_SHARE
        self.streamed_share = STREAMED_SHARE
        self.large_share = LARGE_SHARE
        self.violations: list[str] = []
        self.fault_names: list[str] = []
        self._recovery_start: float | None = None
        self._recovery_outcomes = Counter()
        # Requests after the faults that were not answered with 200.
        self._unserved: list[SoakCall] = []

    def run(self, seconds: float) -> None:
        """Run the machines under faults for some seconds, then check the guarantees."""
        try:
            for machine in self.machines:
                machine.start()
            self._run_for(WARMUP_S)
            self._send_requests()
            self._note_memory()
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
        self.long_share = self.pipeline_share = 0.0
        self.streamed_share = self.large_share = 0.0
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
        call.ended_at = self.loop.clock.now()
        if call.leaving:
            instance = call.seal.partition(".")[0]
            self.leaving_seen_at.setdefault(instance, self.loop.clock.now())
        if call.status and call.seal and call.request_id not in call.seal:
            self.violations.append(f"{call.request_id} got the response {call.seal}")
        if call.foreign_part is not None:
            self.violations.append(f"{call.request_id} got {call.foreign_part!r}")
        expected_bytes = len(call.request_id) * call.shape.repeats
        if call.status == 200 and call.body_bytes != expected_bytes:
            self.violations.append(
                f"{call.request_id} got {call.body_bytes} bytes of {expected_bytes}"
            )
        if self._recovery_start is not None and call.sent_at > self._recovery_start:
            self._count_recovered(call)

    def _count_recovered(self, call: SoakCall) -> None:
        """Count a call after the faults, unless its key is to be refused.

        The time of a request behind a long one may be over before its turn comes.
        """
        if call.is_pipelined:
            return
        if call.key is None or call.key.is_current:
            self._recovery_outcomes[call.status == 200] += 1
            if call.status != 200:
                self._unserved.append(call)

    def _run_for(self, seconds: float) -> None:
        self.loop.run_until(self.loop.clock.now() + seconds)

    def write_configuration(self) -> None:
        routes = [
            {
                "resource-kind": "routes",
                "metadata": {"name": name},
                "specification": {
                    "host": "x.example",
                    "path-prefix": f"/{name}/",
                    "kind": kind,
                    "timeout-s": timeout_s,
                    "target-latency-s": 1,
                    "priority": 1,
                    "service": SERVICE,
                    "max-attempts": 2,
                },
            }
            for name, kind, timeout_s in (
                ("safe", "safe", 2.5),
                ("unsafe", "unsafe", 2.5),
                ("long-safe", "safe", LONG_BUDGET_S),
                ("long-unsafe", "unsafe", LONG_BUDGET_S),
            )
        ]
        services = [
            {
                "resource-kind": "services",
                "metadata": {"name": name},
                "specification": {"health-path": "/health", "connection-limit": 330},
            }
            for name in (SERVICE, OTHER_SERVICE)
        ]
        self.store.put(
            "config",
            "main",
            {
                "version": f"{self.version:08x}",
                "resources": [*routes, *services, *self._list_workspaces()],
            },
        )

    def _list_workspaces(self) -> list[dict]:
        return self.keys.list_resources() if self.keys is not None else []

    def _send_requests(self) -> None:
        for machine in self.machines:
            self._send_next(machine)

    def _send_next(self, machine: Machine) -> None:
        if self.rng.random() < self.pipeline_share:
            count = self.rng.randint(*PIPELINED_COUNTS)
            self.send_pipeline(machine, count, LARGE_BEHIND_SHARE)
        else:
            unsafe = self.rng.random() < 0.6
            shape = self._draw_shape(self.streamed_share, self.large_share)
            call, request, budget_s = self._draw_call(
                machine, unsafe, shape, self.long_share
            )
            connection = self._choose_connection(machine)
            connection.send(request, call)
            self._close_after(budget_s, [call], connection)
        interval_s = self.rng.expovariate(self.requests_per_s)
        self.call_later(interval_s, lambda: self._send_next(machine))

    def connect(self, machine: Machine) -> HttpClientConnection:
        """Open a connection of a caller to a machine."""
        return HttpClientConnection(self.loop.poller, (machine.host, 8081))

    def send_with_key(
        self, machine: Machine, connection: HttpClientConnection, key: DrawnKey
    ) -> None:
        """Send a safe request with a key, unless the connection has been closed."""
        if not connection.idle:
            return
        call, request, budget_s = self._draw_call(
            machine, unsafe=False, shape=SHORT, long_share=0.0, key=key
        )
        connection.send(request, call)
        self._close_after(budget_s, [call], connection)

    def send_pipeline(self, machine: Machine, count: int, large_share: float) -> None:
        """Send some safe requests behind one another on a connection of their own."""
        drawn = [
            self._draw_call(
                machine, unsafe=False, shape=SHORT, long_share=LONG_FIRST_SHARE
            )
        ]
        share = large_share / 2
        for _ in range(count - 1):
            shape = self._draw_shape(share, share)
            drawn.append(
                self._draw_call(
                    machine, unsafe=False, shape=shape, long_share=self.long_share
                )
            )
        calls = [call for call, _, _ in drawn]
        for call in calls:
            call.is_pipelined = True
        pipeline = Pipeline(
            self.loop.poller,
            (machine.host, 8081),
            b"".join(request for _, request, _ in drawn),
            calls,
        )
        self._close_after(max(budget_s for _, _, budget_s in drawn), calls, pipeline)

    def _draw_call(
        self,
        machine: Machine,
        unsafe: bool,
        shape: Shape,
        long_share: float,
        key: DrawnKey | None = None,
    ) -> tuple[SoakCall, bytes, float]:
        """Return a call, its request and its time budget in seconds.

        Without a key, one is drawn if there are workspaces.
        """
        if key is None and self.keys is not None:
            key = self.keys.draw(self.rng)
        call = SoakCall(
            self,
            machine,
            f"{self.rng.getrandbits(64):016x}",
            unsafe,
            key,
            shape,
        )
        self.calls.append(call)
        kind = "unsafe" if call.unsafe else "safe"
        budget_s = SHORT_BUDGET_S
        if long_share and self.rng.random() < long_share:
            kind, budget_s = f"long-{kind}", LONG_BUDGET_S
        request = (
            f"POST /{kind}/{call.shape.path} HTTP/1.1\r\nHost: x.example\r\n"
            f"Request-Id: {call.request_id}\r\nContent-Length: 0\r\n"
            f"Deadline-Milliseconds: {budget_s * 1000:.0f}\r\n"
        )
        if call.key is not None:
            request += f"Authorization: Token {call.key.text}\r\nTenant: forged\r\n"
        return call, f"{request}\r\n".encode(), budget_s

    def _draw_shape(self, streamed_share: float, large_share: float) -> Shape:
        drawn = self.rng.random()
        if drawn < streamed_share:
            parts = self.rng.randint(*PART_COUNTS)
            repeats = self.rng.randint(*PART_REPEATS)
            return Shape(f"streamed/{parts}/{repeats}", parts * repeats)
        if drawn < streamed_share + large_share:
            repeats = self.rng.randint(*LARGE_REPEATS)
            return Shape(f"whole/{repeats}", repeats)
        return SHORT

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
        connection = self.connect(machine)
        if len(machine.kept_connections) < MAX_KEPT_CONNECTIONS:
            machine.kept_connections.append(connection)
        return connection

    def _close_after(
        self,
        budget_s: float,
        calls: Sequence[SoakCall],
        connection: HttpClientConnection | Pipeline,
    ) -> None:
        """Close a connection at the end of the time budget, if an answer is missing."""

        def close() -> None:
            pending = [call for call in calls if not call.ended]
            for call in pending:
                call.expired = True
            if pending:
                connection.close("time budget")

        self.call_later(budget_s, close)

    def _note_memory(self) -> None:
        for machine in self.machines:
            machine.note_memory()
        self.call_later(MEMORY_CHECK_INTERVAL_S, self._note_memory)

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
            if server.service != SERVICE:
                server.service = SERVICE
                server.restart()
            elif server.draining or server.leaving or server.deregistering:
                server.restart()
            machine.send_signal(signal.SIGCONT)
            machine.start()

    def _check(self) -> None:
        runs = Counter()
        for machine in self.machines:
            for request_id, _, _ in machine.server.runs:
                runs[request_id] += 1
            for request_id, service in machine.server.services:
                if service != SERVICE:
                    self.violations.append(
                        f"{request_id} was executed by a server of {service}"
                    )
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
            if call.is_behind_last and runs[call.request_id]:
                self.violations.append(
                    f"{call.request_id} was executed behind the last answer"
                )
            may_be_cut = call.expired or call.begun or call.answer_impossible
            if call.status == 0 and runs[call.request_id] and not may_be_cut:
                self._check_planned_stop(call)
        if self.keys is not None:
            self._check_keys(self.keys)
        total = sum(self._recovery_outcomes.values())
        if not total or self._recovery_outcomes[True] < MIN_SUCCESS_SHARE * total:
            self.violations.append(
                f"too few requests ({dict(self._recovery_outcomes)}) succeeded; not: "
                + ", ".join(call.describe() for call in self._unserved)
            )
        for machine in self.machines:
            self._check_log(machine)
            if machine.peak_mb > MEMORY_MB:
                self.violations.append(
                    f"{machine.name} took {machine.peak_mb:.0f} MB of {MEMORY_MB} MB"
                )

    def _check_keys(self, keys: WorkspaceKeys) -> None:
        """Check the workspaces of all runs, and that no key was passed on or logged."""
        sent = {call.request_id: (call.key, call.sent_at) for call in self.calls}
        for machine in self.machines:
            self.violations += keys.find_violations(sent, machine.server.tenants)
            for request_id in machine.server.find_header_text(KEY_MARK):
                self.violations.append(f"{request_id} was passed on with its key")
            if KEY_MARK in (self.directory / f"{machine.name}.log").read_text():
                self.violations.append(f"{machine.name} logged a key")

    def _check_planned_stop(self, call: SoakCall) -> None:
        """Check that a request without an answer was not cut off by a planned stop."""
        for stopped_at, number in call.machine.signals:
            if number is not signal.SIGTERM:
                continue
            if not stopped_at <= call.sent_at < call.ended_at < stopped_at + GRACE_S:
                continue
            others = [
                other
                for other, number in call.machine.signals
                if number in (signal.SIGKILL, signal.SIGSTOP, signal.SIGCONT)
                and stopped_at - CALM_BEFORE_STOP_S < other < call.ended_at
            ]
            if not others:
                self.violations.append(
                    f"{call.request_id} came {call.sent_at - stopped_at:.1f} s after "
                    f"the SIGTERM of {call.machine.name}, was executed and cut off"
                )

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
