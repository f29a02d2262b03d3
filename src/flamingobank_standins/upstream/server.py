"""Simulate an upstream that has slots, announces itself, drains, sheds and fails."""

import dataclasses
import json
import os
import random
from pathlib import Path

from circuits import Component, handler

from flamingobank.core import Clock
from flamingobank.loop import Address, Poller, TimerHandle, Timers
from flamingobank.node.http.caller_connection import CallerWatcher
from flamingobank.node.http.caller_request import CallerRequest, CallerResponse
from flamingobank.node.http.http_server import HttpServer
from flamingobank.settings import CallerLimits
from flamingobank_standins.upstream.announcer import Announcer
from flamingobank_standins.upstream.behavior import (
    ResponsePlan,
    UpstreamFaults,
    UpstreamMode,
    parse_behavior,
    plan_response,
)

CALLER_LIMITS = CallerLimits(max_connections=1024, max_body_bytes=4_194_304)
CRASH_EXIT_CODE = 3
# A draining server runs at least this long, so that it still accepts requests that were
# sent before its home node learned of the drain.
DRAIN_WAIT_S = 3.2


class Job(CallerWatcher):
    """A request that occupies a slot until it is answered or its caller leaves."""

    def __init__(
        self, upstream: "Upstream", request: CallerRequest, plan: ResponsePlan
    ) -> None:
        self._upstream = upstream
        self._request = request
        self._plan = plan
        self._sent_parts = 0
        self._timer: TimerHandle | None = None
        request.sock.watcher = self
        self._call_after(plan.delay_s, self._answer)

    def on_caller_left(self) -> None:
        self._timer.cancel()
        self._upstream.cancelled += 1
        self._upstream.end_job()

    def on_output_drained(self) -> None:
        return None

    def _call_after(self, delay_s: float, callback) -> None:
        upstream = self._upstream
        self._timer = upstream.timers.call_at(upstream.clock.now() + delay_s, callback)

    def _answer(self) -> None:
        plan = self._plan
        if plan.behavior.parts and plan.status == 200:
            total = plan.behavior.parts * plan.behavior.part_bytes
            self._upstream.write_head(self._request, 200, total)
            self._send_part()
            return
        body = f"{self._upstream.instance} {plan.behavior.echo}\n".encode()
        self._upstream.write_head(self._request, plan.status, len(body))
        self._request.sock.write(body)
        self._finish()

    def _send_part(self) -> None:
        behavior = self._plan.behavior
        connection = self._request.sock
        # While the output buffer is full, no part is written and the next attempt
        # follows after the interval, so that a slow reader does not exhaust the memory.
        if connection.output_bytes < 4 * behavior.part_bytes + 262_144:
            marker = f"{self._sent_parts:08d}".encode()
            connection.write(marker + b"." * max(0, behavior.part_bytes - len(marker)))
            self._sent_parts += 1
        if self._sent_parts == behavior.parts:
            self._finish()
            return
        self._call_after(behavior.interval_ms / 1000, self._send_part)

    def _finish(self) -> None:
        self._request.sock.finish_answer(keep=True)
        self._upstream.end_job()


class Upstream(Component):
    """A simulated server with its HTTP listener, slots and announcer."""

    channel = "upstream"

    def __init__(
        self,
        instance: str,
        address: Address,
        failure_domain: str,
        labels: dict[str, str],
        slots: int,
        nodes: list[Address],
        clock: Clock,
        seed: int,
        run_log: Path | None = None,
    ) -> None:
        super().__init__(channel=self.channel)
        self.instance = instance
        self.clock = clock
        self.faults = UpstreamFaults()
        self.in_use = 0
        self.cancelled = 0
        self.draining = False
        self.runs: dict[str, int] = {}
        # Unbuffered, so that a killed process has logged every request that it began.
        self._run_log = run_log.open("ab", buffering=0) if run_log else None
        self.work_after_drain = 0
        self.served = 0
        self._slots = slots
        self._labels = labels
        self._failure_domain = failure_domain
        self._boot_id = f"{os.getpid():x}-{os.urandom(4).hex()}"
        self._rng = random.Random(seed)
        self._started_at = clock.now()
        self._drain_at = float("inf")
        self.poller = Poller().register(self)
        self.timers = Timers(clock).register(self)
        self.http_server = HttpServer(
            self.poller, self.timers, clock, address, CALLER_LIMITS, self.channel
        ).register(self)
        self._announcer = Announcer(
            self.poller, self.timers, clock, nodes, self.describe, self._set_draining
        )
        if nodes:
            self.timers.call_soon(self._announcer.announce)

    def describe(self) -> dict:
        """Return the fields of the announcement."""
        reported = self.faults.reported_in_use
        return {
            "instance": self.instance,
            "boot": self._boot_id,
            "address": f"{self.http_server.host}:{self.http_server.port}",
            "labels": self._labels,
            "slots": self._slots,
            "failure_domain": self._failure_domain,
            "in_use": self.in_use if reported is None else reported,
            "draining": self.draining,
            "warm": self._compute_warmup_fraction(),
        }

    def write_head(self, request: CallerRequest, status: int, length: int) -> None:
        """Write the status line and the headers of a response."""
        reported = self.faults.reported_in_use
        in_use = self.in_use if reported is None else reported
        request.sock.write(
            f"HTTP/1.1 {status} -\r\ncontent-length: {length}\r\n"
            f'content-type: text/plain\r\netag: "{self._boot_id}"\r\n'
            f"flamingobank-load: {in_use}/{self._slots}\r\n\r\n".encode()
        )

    def end_job(self) -> None:
        """Free the slot of a request that ended."""
        self.in_use -= 1
        self.served += 1

    @handler("request", priority=1)
    def _on_request(self, event, request: CallerRequest, response: CallerResponse):
        if request.path == "/healthz":
            # A server with a gray failure passes health probes, so this probe ignores
            # the injected faults.
            response.body = "ok\n"
            return response
        if request.path == "/control":
            response.body = json.dumps(self._handle_control(request))
            return response
        event.success = False
        self._start_work(request)
        return True

    @handler("signal", channel="*")
    def _on_signal(self, event, signo, stack) -> None:
        event.stop()
        self._drain()

    def _start_work(self, request: CallerRequest) -> None:
        request_bytes = request.target + request.content
        crash_text = self.faults.crash_text.encode()
        if crash_text and crash_text in request_bytes:
            os._exit(CRASH_EXIT_CODE)
        now = self.clock.now()
        if now > self._drain_at + 3.0:
            self.work_after_drain += 1
        if self.in_use >= self._slots or self.faults.shed_all:
            request.sock.write(
                b"HTTP/1.1 503 -\r\nflamingobank-shed: 1\r\ncontent-length: 0\r\n\r\n"
            )
            request.sock.finish_answer(keep=True)
            return
        self.in_use += 1
        key = request.get_header(b"idempotency-key").decode("latin-1")
        if key:
            self.runs[key] = self.runs.get(key, 0) + 1
            if self._run_log is not None:
                self._run_log.write(f"{key}\n".encode())
        Job(
            self,
            request,
            plan_response(parse_behavior(request.qs), self.faults, now, self._rng),
        )

    def _handle_control(self, request: CallerRequest) -> dict:
        if request.method == "POST":
            fields = json.loads(request.content)
            if "mode" in fields:
                fields["mode"] = UpstreamMode(fields["mode"])
            if fields.pop("drain", False):
                self._drain()
            self.faults = dataclasses.replace(self.faults, **fields)
        return {
            "instance": self.instance,
            "in_use": self.in_use,
            "served": self.served,
            "cancelled": self.cancelled,
            "runs": self.runs,
            "work_after_drain": self.work_after_drain,
            "draining": self.draining,
            "home": self._announcer.home,
        }

    def _set_draining(self, draining: bool) -> None:
        """Apply the drain state that an operator set; the process continues to run."""
        self.draining = draining
        self._drain_at = self.clock.now() if draining else float("inf")

    def _drain(self) -> None:
        if self.draining:
            return
        self.draining = True
        self._drain_at = self.clock.now()
        self._announcer.announce()
        self.timers.call_at(self._drain_at + DRAIN_WAIT_S, self._stop_when_idle)

    def _stop_when_idle(self) -> None:
        if self.in_use == 0:
            self.root.stop()
            return
        self.timers.call_at(self.clock.now() + 0.05, self._stop_when_idle)

    def _compute_warmup_fraction(self) -> float:
        if not self.faults.warmup_s:
            return 1.0
        return min(1.0, (self.clock.now() - self._started_at) / self.faults.warmup_s)
