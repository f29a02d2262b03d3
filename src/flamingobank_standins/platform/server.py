"""Simulate the application server that runs beside a sidecar."""

import enum
import json
import random
from collections.abc import Callable

from flamingobank.core import Clock, read_wall_ms
from flamingobank.loop import (
    Address,
    AnswerHandler,
    Headers,
    HttpClientConnection,
    Poller,
    Timers,
)
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.http.caller_request import CallerRequest, CallerWatcher
from flamingobank.sidecar.http.http_server import HttpServer
from flamingobank_standins.platform.streams import StreamedAnswer

HEARTBEAT_S = 0.5
DEREGISTER_INTERVAL_S = 0.2
REQUEST_LIMITS = RequestLimits()
SLOTS = 4
# Seconds of work for a request, and for one whose path begins with LONG_PATH_PREFIX.
WORK_S = (0.01, 0.06)
LONG_WORK_S = (0.5, 4.0)
LONG_PATH_PREFIX = b"/long-"
# An answer repeats the request's ID, once if the path does not end with one of these:
# "whole/REPEATS" for an answer in one piece, "streamed/PARTS/REPEATS" for one in parts.
WHOLE_PATH_PART = b"whole"
STREAMED_PATH_PART = b"streamed"
# Answers without end repeat the ID this often in each part.
ENDLESS_REPEATS = 4096
ENDLESS_LENGTH = 10**12


class ServerMode(enum.Enum):
    """How a server treats requests."""

    WORKING = "working"
    # Answers four in five requests with status 500, and heartbeats continue.
    GRAY = "gray"
    # Executes requests and resets the connection of half of them.
    RESETTING = "resetting"
    # Executes requests and never answers.
    HANGING = "hanging"
    # Executes requests and answers with a body without end.
    ENDLESS = "endless"
    # Refuses every request with status 503 before it is executed.
    SHEDDING = "shedding"


class HeartbeatResponseHandler(AnswerHandler):
    """Report to a callback whether a heartbeat was answered with status 200."""

    def __init__(self, on_done: Callable[[bool], None]) -> None:
        self._on_done = on_done
        self._status = 0

    def on_answer_head(self, status: int, headers: Headers) -> None:
        self._status = status

    def on_answer_part(self, data: bytes) -> None:
        """Ignore the body."""

    def on_answer_end(self) -> None:
        self._on_done(self._status == 200)

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        self._on_done(False)


class PlatformServer(CallerWatcher):
    """Execute requests, send heartbeats and record which requests were executed."""

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        rng: random.Random,
        service: str,
        address: Address,
        control: Address,
        read_wall_ms: Callable[[], int] = read_wall_ms,
    ) -> None:
        self.mode = ServerMode.WORKING
        self.instance = ""
        self.started_at = 0.0
        self.draining = False
        # The instance has said that it leaves, without draining first. It sends no more
        # heartbeats and goes on serving.
        self.deregistering = False
        self.drain_acknowledged_at: float | None = None
        # Requests per second that the answers name as the limit; None for no limit.
        self.rate_limit_per_s: float | None = None
        self.rate_limit_ended_at: float | None = None
        # Each limit that was named, with the time from which it was.
        self.named_limits: list[tuple[float, float]] = []
        # The answers say that this instance leaves; its heartbeats may not.
        self.leaving = False
        # Time of the server's start and time of each request that arrived, also of
        # refused ones. An instance may start more than once.
        self.arrivals: list[tuple[float, float]] = []
        # Request ID, instance ID and start time of each executed request.
        self.runs: list[tuple[str, str, float]] = []
        # Request ID and service of each executed request.
        self.services: list[tuple[str, str]] = []
        # Request ID and workspace of each executed request, "" for no workspace.
        self.tenants: list[tuple[str, str]] = []
        # Request ID and headers of each request that arrived.
        self.headers: list[tuple[str, Headers]] = []
        self._poller = poller
        self._timers = timers
        self._clock = clock
        self._rng = rng
        self.service = service
        self._control = control
        self._read_wall_ms = read_wall_ms
        self._sequence = 0
        self._incarnation = 0
        self._running = 0
        self._server = HttpServer(
            poller, timers, clock, address, lambda: REQUEST_LIMITS, self._handle_request
        )
        self.address = self._server.address
        self.restart()
        timers.call_every(HEARTBEAT_S, self._send_heartbeat)

    def restart(self, keep_instance: bool = False) -> None:
        """Simulate a restart of the process, mostly with another instance ID."""
        if not keep_instance:
            self.instance = f"i-{self._rng.getrandbits(32):08x}"
        self.started_at = self._clock.now()
        self.draining = False
        self.deregistering = False
        self.drain_acknowledged_at = None
        self.end_rate_limit()
        self.leaving = False
        self._sequence = 0
        self._incarnation = max(self._incarnation + 1, self._read_wall_ms())
        self._send_heartbeat()

    def name_rate_limit(self, limit_per_s: float) -> None:
        """Name a rate limit in the answers from now on."""
        self.rate_limit_per_s = limit_per_s
        self.rate_limit_ended_at = None
        self.named_limits.append((self._clock.now(), limit_per_s))

    def end_rate_limit(self) -> None:
        """Name no rate limit any more."""
        if self.rate_limit_per_s is not None:
            self.rate_limit_per_s = None
            self.rate_limit_ended_at = self._clock.now()

    def drain(self) -> None:
        """Announce in the heartbeats that this instance is draining."""
        self.draining = True
        self._send_heartbeat()

    def on_caller_left(self) -> None:
        """Do nothing when a caller disconnects; its request is still executed."""

    def deregister(self, name_start: bool) -> None:
        """Say that this instance leaves, again until this is acknowledged."""
        self.deregistering = True
        body = json.dumps({"born": self._incarnation}) if name_start else ""
        self._deregister(self._incarnation, body.encode())

    def _deregister(self, incarnation: int, body: bytes) -> None:
        if self._incarnation != incarnation or self.drain_acknowledged_at is not None:
            return
        self._call("deregister", body, self._make_acknowledgement_handler())
        self._timers.call_at(
            self._clock.now() + DEREGISTER_INTERVAL_S,
            lambda: self._deregister(incarnation, body),
        )

    def delay_heartbeat(self, seconds: float) -> None:
        """Make a heartbeat now, and send it after some seconds in any case."""
        self._sequence += 1
        instance, body = self.instance, self._encode_heartbeat("ready")
        self._timers.call_at(
            self._clock.now() + seconds,
            lambda: self._call("heartbeat", body, lambda answered: None, instance),
        )

    def _send_heartbeat(self) -> None:
        if self.deregistering:
            return
        self._sequence += 1
        on_done = lambda answered: None
        if self.draining:
            on_done = self._make_acknowledgement_handler()
        state = "draining" if self.draining else "ready"
        self._call("heartbeat", self._encode_heartbeat(state), on_done)

    def _encode_heartbeat(self, state: str) -> bytes:
        host, port = self.address
        body = {
            "born": self._incarnation,
            "address": f"{host}:{port}",
            "info": {
                "service": self.service,
                "version": "v1",
                "zone": "a",
                "slots": SLOTS,
            },
            "status": {
                "state": state,
                "sequence": self._sequence,
                "warmup-remaining-s": 0,
            },
        }
        return json.dumps(body).encode()

    def _make_acknowledgement_handler(self) -> Callable[[bool], None]:
        incarnation = self._incarnation

        def on_done(acknowledged: bool) -> None:
            if acknowledged and self._incarnation == incarnation:
                self.drain_acknowledged_at = (
                    self.drain_acknowledged_at or self._clock.now()
                )

        return on_done

    def _call(
        self,
        action: str,
        body: bytes,
        on_done: Callable[[bool], None],
        instance: str | None = None,
    ) -> None:
        head = (
            f"POST /flamingobank/instances/{instance or self.instance}/{action} "
            f"HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\n"
            "Connection: close\r\n\r\n"
        )
        connection = HttpClientConnection(self._poller, self._control)
        connection.send(head.encode() + body, HeartbeatResponseHandler(on_done))

    def _handle_request(self, request: CallerRequest) -> None:
        request_id = request.get_header(b"request-id")
        echo = [(b"request-id", request_id.encode())]
        expected = request.get_header(b"expected-instance")
        if expected and expected != self.instance:
            headers = [*echo, (b"instance-id", self.instance.encode())]
            request.answer(421, headers, b"")
            return
        self.headers.append((request_id, request.headers))
        self.arrivals.append((self.started_at, self._clock.now()))
        if self._running >= SLOTS or self.mode is ServerMode.SHEDDING:
            headers = [*echo, (b"not-executed", b"1"), *self._list_notices()]
            request.answer(503, headers, b"")
            return
        self.runs.append((request_id, self.instance, self._clock.now()))
        self.services.append((request_id, self.service))
        self.tenants.append((request_id, request.get_header(b"tenant")))
        self._running += 1
        is_long = request.target.startswith(LONG_PATH_PREFIX)
        work_s = self._rng.uniform(*(LONG_WORK_S if is_long else WORK_S))
        self._timers.call_at(
            self._clock.now() + work_s, lambda: self._finish(request, request_id)
        )

    def find_header_text(self, text: str) -> list[str]:
        """Return the IDs of the requests with a text in one of their headers."""
        found = []
        for request_id, headers in self.headers:
            if any(text.encode() in name + value for name, value in headers):
                found.append(request_id)
        return found

    def _list_notices(self) -> Headers:
        """Return the headers with which the server speaks about itself."""
        headers = []
        if self.rate_limit_per_s is not None:
            headers.append((b"server-limit", b"%.1f" % self.rate_limit_per_s))
        if self.leaving:
            headers.append((b"server-leaving", b"1"))
        return headers

    def _finish(self, request: CallerRequest, request_id: str) -> None:
        self._running -= 1
        if self.mode is ServerMode.HANGING:
            return
        if self.mode is ServerMode.RESETTING and self._rng.random() < 0.5:
            request.abort()
            return
        failed = self.mode is ServerMode.GRAY and self._rng.random() < 0.8
        headers = [
            (b"request-id", request_id.encode()),
            (b"server-seal", f"{self.instance}.{request_id}".encode()),
            *self._list_notices(),
        ]
        if failed:
            request.answer(500, headers, request_id.encode())
            return
        self._answer(request, headers, request_id.encode())

    def _answer(self, request: CallerRequest, headers: Headers, text: bytes) -> None:
        """Answer with the text, as often as the path and the mode say."""
        if self.mode is ServerMode.ENDLESS:
            length = self._rng.choice((None, ENDLESS_LENGTH))
            self._stream(request, headers, text * ENDLESS_REPEATS, None, length)
            return
        _, _, kind, *counts = request.target.split(b"/")
        if kind == WHOLE_PATH_PART:
            request.answer(200, headers, text * int(counts[0]))
            return
        if kind == STREAMED_PATH_PART:
            parts, repeats = map(int, counts)
            self._stream(request, headers, text * repeats, parts)
            return
        request.answer(200, headers, text)

    def _stream(
        self,
        request: CallerRequest,
        headers: Headers,
        part: bytes,
        count: int | None,
        length: int | None = None,
    ) -> None:
        StreamedAnswer(self._timers, self._clock, request, headers, part, count, length)
