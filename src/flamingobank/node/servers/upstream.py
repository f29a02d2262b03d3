"""Run one request on one server and forward its answer as it arrives."""

import enum
from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.loop import AnswerHandler, Poller
from flamingobank.node.links.exchange import (
    WINDOW_BYTES,
    AnswerSink,
    AnswerStart,
    Headers,
    HomeReport,
)
from flamingobank.node.servers.servers import Server
from flamingobank.wire import AnswerState

# Headers that apply to a single connection and are not forwarded.
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
SHED_HEADER = b"flamingobank-shed"
LOAD_HEADER = b"flamingobank-load"
STATUS_UNAVAILABLE = 503


class AttemptResult(enum.Enum):
    """How one attempt on a server ended."""

    COMPLETE = "complete"
    SHED = "shed"
    NOT_SENT = "not-sent"
    BROKEN_BEFORE_HEAD = "broken-before-head"
    BROKEN_AFTER_HEAD = "broken-after-head"


@dataclass(slots=True)
class FinishedAttempt:
    """The result and the timing of an attempt, for the server's health."""

    result: AttemptResult
    status: int
    started_at: float
    head_at: float
    ended_at: float
    detail: str
    # Reading was paused for a slow caller, so the time to the end of the answer does
    # not measure the server.
    was_paused: bool = False


class UpstreamExchange(AnswerHandler):
    """Forward one answer from a server to a sink, once per turn of the loop."""

    def __init__(
        self,
        poller: Poller,
        server: Server,
        request_id: str,
        sink: AnswerSink,
        started_at: float,
        read_clock: Callable[[], float],
        build_report: Callable[[], HomeReport],
        on_finished: Callable[["UpstreamExchange", FinishedAttempt], None],
    ) -> None:
        self.server = server
        self.request_id = request_id
        self.started_at = started_at
        self._poller = poller
        self._sink = sink
        self._read_clock = read_clock
        self._build_report = build_report
        self._on_finished = on_finished
        self._connection = server.acquire_connection(poller)
        self._status = 0
        self._headers: Headers = []
        self._head_at = 0.0
        self._head_forwarded = False
        self._shed = False
        self._parts: list[bytes] = []
        self._state = AnswerState.MORE
        self._flush_queued = False
        self._unacknowledged = 0
        self._paused = False
        self._was_paused = False
        self._done = False

    def send(self, request: bytes) -> None:
        """Send the encoded request to the server."""
        self._connection.send(request, self)

    def cancel(self) -> None:
        """Close the connection; most servers then abandon the request."""
        self._done = True
        self._connection.cancel()

    def acknowledge(self, consumed: int) -> None:
        """Count bytes that the caller has received; resume reading below the window."""
        self._unacknowledged -= consumed
        if self._paused and self._unacknowledged < WINDOW_BYTES:
            self._paused = False
            self._connection.resume_reading()

    def on_answer_head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._head_at = self._read_clock()
        for name, value in headers:
            lowered = name.lower()
            if lowered == SHED_HEADER:
                self._shed = status == STATUS_UNAVAILABLE
            if lowered == LOAD_HEADER:
                continue
            if lowered not in HOP_BY_HOP:
                self._headers.append((lowered, value))
        self._schedule_flush()

    def on_answer_part(self, data: bytes) -> None:
        if self._shed:
            return
        self._parts.append(data)
        self._unacknowledged += len(data)
        if self._unacknowledged >= WINDOW_BYTES and not self._paused:
            self._paused = True
            self._was_paused = True
            self._connection.pause_reading()
        self._schedule_flush()

    def on_answer_end(self) -> None:
        self._state = AnswerState.COMPLETE
        if self._paused:
            # Reading was paused for a slow caller, but the connection is reused for the
            # next request.
            self._paused = False
            self._connection.resume_reading()
        result = AttemptResult.SHED if self._shed else AttemptResult.COMPLETE
        self._finish(result, "")

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        self._state = AnswerState.BROKEN
        if not sent:
            self._finish(AttemptResult.NOT_SENT, reason)
            return
        if self._head_forwarded:
            self._finish(AttemptResult.BROKEN_AFTER_HEAD, reason)
            return
        self._finish(AttemptResult.BROKEN_BEFORE_HEAD, reason)

    def flush(self) -> None:
        """Forward what arrived in this turn of the loop."""
        self._flush_queued = False
        if self._done or self._shed:
            return
        data = b"".join(self._parts)
        self._parts.clear()
        state = self._state
        if state is not AnswerState.MORE:
            self._done = True
        if self._head_forwarded:
            self._sink.on_part(data, state)
            return
        self._head_forwarded = True
        self._sink.on_start(
            AnswerStart(
                self.request_id,
                self._status,
                self._headers,
                self.server.instance,
                self._build_report(),
                data,
                state,
            )
        )

    def _schedule_flush(self) -> None:
        if self._flush_queued:
            return
        self._flush_queued = True
        self._poller.flush_later(self)

    def _finish(self, result: AttemptResult, detail: str) -> None:
        attempt = FinishedAttempt(
            result,
            self._status,
            self.started_at,
            self._head_at,
            self._read_clock(),
            detail,
            self._was_paused,
        )
        if result in (AttemptResult.COMPLETE, AttemptResult.BROKEN_AFTER_HEAD):
            self._schedule_flush()
        else:
            self._done = True
        if result in (AttemptResult.COMPLETE, AttemptResult.SHED):
            self.server.release_connection(self._connection)
        self._on_finished(self, attempt)
