"""Run the whole fleet under random pairs of faults and count broken invariants.

The fleet consists of real processes. A node that finds an invariant broken ends with
exit code 70. The answers to callers, the run files of servers and the revisions of
nodes are also checked from outside.
"""

import http.client
import random
import signal
import sys
import threading
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path

from flamingobank_standins.local_fleet import LocalFleet, accepts, call_json

DOMAINS = ("domain-a", "domain-b", "domain-c")
NODES = 6
SERVERS = 9
LOOKUP_THREADS = 4
BOOKING_THREADS = 4
OPERATOR_THREADS = 2
CALL_TIMEOUT_S = 4.0
FAULT_DURATION_RANGE_S = (1.0, 5.0)
INVARIANT_EXIT_CODE = 70
SPECS = {
    ("service", "bench"): {"selector": "app=bench", "floor": "60%"},
    ("route", "lookups"): {
        "target": "service=bench",
        "path": "/",
        "expected_ms": "20",
        "deadline_ms": "3000",
    },
    ("route", "bookings"): {
        "target": "service=bench",
        "path": "/book",
        "idempotent": "no",
        "expected_ms": "20",
        "deadline_ms": "3000",
    },
}


def add_arguments(parser) -> None:
    """Add the option for the duration of the faults."""
    parser.add_argument("--seconds", type=float, default=60.0)


def measure(options) -> dict:
    """Run the fleet under faults and count calls, faults and violations by name."""
    with LocalFleet("bench") as fleet:
        run = InvariantRun(fleet, options.seed)
        run.start()
        try:
            run.inject_faults(options.seconds)
        finally:
            run.stop()
        run.check_at_end()
    return {
        "runs": 1,
        "steps": sum(run.calls.values()),
        "faults": sum(run.faults.values()),
        "violations": sum(run.violations.values()),
        "violations_by_name": dict(run.violations),
        "faults_by_name": dict(run.faults),
        "calls": dict(run.calls),
    }


class InvariantRun:
    """Load from callers and operators, and faults, against one fleet."""

    def __init__(self, fleet: LocalFleet, seed: int) -> None:
        self.fleet = fleet
        self.calls: Counter[str] = Counter()
        self.faults: Counter[str] = Counter()
        self.violations: Counter[str] = Counter()
        self._rng = random.Random(f"{seed}/faults")
        self._seed = seed
        self._lock = threading.Lock()
        self._stop_event = threading.Event()
        self._threads: list[threading.Thread] = []
        self._highest_revisions: dict[str, int] = {}
        self._not_run_keys: set[str] = set()

    def start(self) -> None:
        """Start the processes and the load."""
        fleet = self.fleet
        fleet.start_all(DOMAINS, NODES, SERVERS, {"app": "bench"}, SPECS)
        fleet.wait_for_servers({"bench": SERVERS})
        loops: list[Callable[[random.Random], None]] = [
            self._send_lookup
        ] * LOOKUP_THREADS
        loops += [self._send_booking] * BOOKING_THREADS
        loops += [self._create_service] * OPERATOR_THREADS
        loops += [self._watch_revisions]
        for index, loop in enumerate(loops):
            rng = random.Random(f"{self._seed}/{index}")
            thread = threading.Thread(target=self._run_loop, args=(loop, rng))
            self._threads.append(thread)
            thread.start()

    def stop(self) -> None:
        """Stop the load."""
        self._stop_event.set()
        for thread in self._threads:
            thread.join()

    def inject_faults(self, seconds: float) -> None:
        """Inject two faults at a time, and revert both after a random duration."""
        ends_at = time.monotonic() + seconds
        fault_methods = [
            self._kill_node,
            self._leave_node,
            self._freeze_node,
            self._kill_server,
            self._drain_server,
            self._break_server,
            self._crash_by_request,
            self._break_store,
        ]
        while time.monotonic() < ends_at:
            revert_callbacks = []
            for fault in self._rng.sample(fault_methods, 2):
                self.faults[fault.__name__.strip("_")] += 1
                revert_callbacks.append(fault())
            time.sleep(self._rng.uniform(*FAULT_DURATION_RANGE_S))
            for revert in revert_callbacks:
                revert()
            self._check_processes()

    def check_at_end(self) -> None:
        """Check the runs of all keys and the processes after the load has stopped."""
        for key, count in self.fleet.count_runs().items():
            if count > 1:
                self._record_violation("at_most_once", f"key {key} ran {count} times")
            if key in self._not_run_keys:
                self._record_violation(
                    "not_run", f"key {key} ran, its caller was told that it did not"
                )
        self._check_processes()

    def _run_loop(self, loop: Callable[[random.Random], None], rng) -> None:
        while not self._stop_event.is_set():
            loop(rng)
            time.sleep(0.005)

    def _send_lookup(self, rng: random.Random) -> None:
        echo = f"{rng.getrandbits(48):x}"
        is_streamed = rng.random() < 0.1
        target = f"/lookup?ms=20&echo={echo}"
        if is_streamed:
            target = "/lookup?parts=10&bytes=2000&interval=20"
        status, _, body = self._call(rng, "GET", target, {})
        if status != 200:
            return
        is_correct = (
            len(body) == 20_000 if is_streamed else body.endswith(f" {echo}\n".encode())
        )
        if not is_correct:
            self._record_violation("own_answer", f"{target} was answered {body[:80]!r}")

    def _send_booking(self, rng: random.Random) -> None:
        """Send one key to random nodes until a call succeeds, 4 times at most."""
        key = self._obtain_key(rng)
        if key is None:
            return
        outcomes = set()
        for _ in range(4):
            status, outcome, _ = self._call(
                rng, "POST", "/book?ms=20&echo=b", {"Idempotency-Key": key}
            )
            outcomes.add("done" if status == 200 else outcome)
            if status == 200:
                return
        if outcomes == {"not-run"}:
            with self._lock:
                self._not_run_keys.add(key)

    def _obtain_key(self, rng: random.Random) -> str | None:
        if rng.random() < 0.2:
            return f"chosen-{rng.getrandbits(64):x}"
        status, _, body = self._call(rng, "POST", "/.flamingobank/keys", {})
        if status != 200:
            return None
        return body.decode().split('"')[3]

    def _call(
        self, rng: random.Random, method: str, target: str, headers: dict[str, str]
    ) -> tuple[int, str, bytes]:
        """Send a request to a random node; return its status, outcome and body.

        The status is 0 if no answer arrived.
        """
        name = rng.choice(list(self.fleet.nodes))
        address = self.fleet.nodes[name].settings.callers
        connection = http.client.HTTPConnection(*address, timeout=CALL_TIMEOUT_S)
        try:
            connection.connect()
        except OSError:
            self._count_call("refused connections")
            return 0, "not-run", b""
        try:
            connection.request(method, target, b"{}", headers)
            response = connection.getresponse()
            body = response.read()
        except (OSError, http.client.HTTPException):
            self._count_call("broken connections")
            return 0, "lost", b""
        finally:
            connection.close()
        outcome = response.getheader("Flamingobank-Outcome") or ""
        self._count_call(outcome or str(response.status))
        return response.status, outcome, body

    def _create_service(self, rng: random.Random) -> None:
        """Create a service; the other operator may create the same one concurrently."""
        name = f"spare-{rng.randrange(10_000)}"
        try:
            self.fleet.write_object("service", name, {"selector": f"app={name}"})
        except (OSError, ValueError, KeyError, http.client.HTTPException):
            self._count_call("changes without answer")
        time.sleep(0.3)

    def _watch_revisions(self, rng: random.Random) -> None:
        for node in list(self.fleet.nodes.values()):
            try:
                status = call_json(node.settings.operators, "GET", "/status")
            except (OSError, ValueError, http.client.HTTPException):
                continue
            boot_id = status["boot"]
            highest_revision = self._highest_revisions.get(boot_id, 0)
            if status["revision"] < highest_revision:
                self._record_violation(
                    "no_revert",
                    f"{boot_id}: {highest_revision} to {status['revision']}",
                )
            self._highest_revisions[boot_id] = max(highest_revision, status["revision"])
        time.sleep(0.1)

    def _kill_node(self) -> Callable[[], None]:
        name = self._rng.choice(list(self.fleet.nodes))
        old = self.fleet.nodes[name]
        self._check_processes()
        old.process.kill()
        old.process.wait()
        return lambda: self._start_node(name)

    def _leave_node(self) -> Callable[[], None]:
        name = self._rng.choice(list(self.fleet.nodes))
        node = self.fleet.nodes[name]
        process = node.process
        # A node that does not listen yet has no request in flight; SIGTERM may kill it.
        was_listening = accepts(node.settings.operators)
        process.terminate()

        def replace() -> None:
            code = process.wait(40.0)
            if code == -signal.SIGTERM and not was_listening:
                self.faults["left_before_it_listened"] += 1
            elif code not in (0, -signal.SIGKILL):
                self._record_violation("graceful", f"{name} left with exit code {code}")
            self._start_node(name)

        return replace

    def _freeze_node(self) -> Callable[[], None]:
        process = self._rng.choice(list(self.fleet.nodes.values())).process
        if process.poll() is None:
            process.send_signal(signal.SIGSTOP)
        return lambda: process.poll() is None and process.send_signal(signal.SIGCONT)

    def _kill_server(self) -> Callable[[], None]:
        name = self._rng.choice(list(self.fleet.servers))
        process = self.fleet.servers[name].process
        process.kill()
        process.wait()
        return lambda: self._start_server(name)

    def _drain_server(self) -> Callable[[], None]:
        name = self._rng.choice(list(self.fleet.servers))
        process = self.fleet.servers[name].process
        process.terminate()

        def replace() -> None:
            try:
                late_requests = self.fleet.control_server(name)["work_after_drain"]
            except (OSError, ValueError):
                late_requests = 0
            if late_requests:
                self._record_violation(
                    "drained", f"{name} got {late_requests} requests after its drain"
                )
            process.wait(60.0)
            self._start_server(name)

        return replace

    def _break_server(self) -> Callable[[], None]:
        name = self._rng.choice(list(self.fleet.servers))
        mode = self._rng.choice(["fail-half", "fail-all", "slow", "flap"])
        self._control_server(
            name, mode=mode, reported_in_use=self._rng.choice([-5, 0, 999])
        )
        return lambda: self._control_server(name, mode="healthy", reported_in_use=None)

    def _crash_by_request(self) -> Callable[[], None]:
        """Send a request 6 times that crashes each server that runs it."""
        text = f"CRASH{self._rng.getrandbits(32):x}"
        for name in list(self.fleet.servers):
            self._control_server(name, crash_text=text)
        rng = random.Random(text)
        for _ in range(6):
            self._call(rng, "GET", f"/lookup?echo={text}", {})

        def revert() -> None:
            crashed = [
                name
                for name, server in self.fleet.servers.items()
                if server.process.poll() == 3
            ]
            if len(crashed) > 2 + NODES:
                self._record_violation(
                    "quarantine", f"servers crashed by one request: {len(crashed)}"
                )
            for name in crashed:
                self._start_server(name)
            for name in list(self.fleet.servers):
                self._control_server(name, crash_text="")

        return revert

    def _break_store(self) -> Callable[[], None]:
        fault = self._rng.choice(
            [
                {"outage": "refuse"},
                {"outage": "hang"},
                {"lose_ratio": 0.5},
                {"delay_ms": 400.0},
                {"stale_next": 20},
            ]
        )
        address = self.fleet.store_address
        call_json(address, "POST", "/control", fault)
        no_fault = {
            "outage": "none",
            "lose_ratio": 0.0,
            "delay_ms": 0.0,
            "stale_next": 0,
        }
        return lambda: call_json(address, "POST", "/control", no_fault)

    def _control_server(self, name: str, **fields: object) -> None:
        try:
            self.fleet.control_server(name, **fields)
        except (OSError, ValueError, http.client.HTTPException):
            return

    def _start_node(self, name: str) -> None:
        old = self.fleet.nodes[name]
        if old.process.poll() is None:
            return
        settings = old.settings
        self.fleet.start_node(name, settings.failure_domain, settings=settings)

    def _start_server(self, name: str) -> None:
        old = self.fleet.servers[name]
        if old.process.poll() is None:
            return
        self.fleet.start_server(name, old.failure_domain, old.labels)

    def _check_processes(self) -> None:
        for name, node in self.fleet.nodes.items():
            if node.process.poll() != INVARIANT_EXIT_CODE:
                continue
            log = Path(self.fleet.path / f"{name}.log").read_text()
            lines = [line for line in log.splitlines() if "InvariantError" in line]
            self._record_violation(
                "inside", f"{name}: {lines[-1][:1500] if lines else ''}"
            )
            self._start_node(name)

    def _count_call(self, name: str) -> None:
        with self._lock:
            self.calls[name] += 1

    def _record_violation(self, name: str, detail: str) -> None:
        with self._lock:
            self.violations[name] += 1
        print(f"violation of {name}: {detail}", file=sys.stderr)
