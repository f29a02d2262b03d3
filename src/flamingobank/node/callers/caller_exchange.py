"""Process one request of a caller until its final answer."""

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from flamingobank.core import (
    Clock,
    Disposition,
    Invariant,
    NodeId,
    Refusal,
    RefusalCause,
    check_invariant,
)
from flamingobank.directory import HomeEntry
from flamingobank.loop import TimerHandle, Timers
from flamingobank.node.callers.home_loads import HomeLoads
from flamingobank.node.callers.refusals import render_refusal
from flamingobank.node.http.caller_connection import CallerConnection, CallerWatcher
from flamingobank.node.links.exchange import (
    WINDOW_BYTES,
    AnswerSink,
    AnswerStart,
    HomeReport,
    RunningRequest,
)
from flamingobank.retries import RetryDecision, merge_dispositions
from flamingobank.wire import AnswerState, OpenRequest

# A home refuses a request at its deadline; the entry waits this much longer for that
# refusal before it answers itself.
DEADLINE_GRACE_S = 0.1
REASON_PHRASES = {200: b"OK", 206: b"Partial Content", 404: b"Not Found"}
NO_BODY_STATUSES = (204, 304)


class CallerKeyServer(Protocol):
    """Serve requests with caller-chosen keys."""

    def serve(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Run a request unless its key has been used; the store records the key."""


class ExchangeOwner(Protocol):
    """What an exchange needs from its entry, which is notified of its end.

    This is a Protocol because a circuits component cannot derive from an abstract
    base class.
    """

    clock: Clock
    timers: Timers
    loads: HomeLoads
    caller_keys: CallerKeyServer | None
    is_quarantined: Callable[[OpenRequest, bytes], bool]

    def choose_home(self, service: str, tried: set[NodeId]) -> HomeEntry | None:
        """Return a home, preferring those that were not tried yet."""

    def send(
        self, home: HomeEntry, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Send a request to a home node, which may be this node."""

    def decide_retry(
        self, exchange: "CallerExchange", disposition: Disposition
    ) -> RetryDecision:
        """Decide whether to retry; RETRY means that the retry budget was charged."""

    def count(self, name: str) -> None:
        """Increment a counter of the metrics."""

    def on_ended(self, exchange: "CallerExchange", result: str) -> None:
        """Remove a finished exchange and notify the observers."""


class CallerExchange(AnswerSink, CallerWatcher):
    """One request of a caller, from its first attempt to its final answer."""

    def __init__(
        self,
        entry: ExchangeOwner,
        connection: CallerConnection,
        message: OpenRequest,
        body: bytes,
        deadline: float,
        http_1_0: bool,
    ) -> None:
        self.entry = entry
        self.connection = connection
        self.message = message
        self.body = body
        self.deadline = deadline
        self.accepted_at = entry.clock.now()
        self.attempts = 0
        self._http_1_0 = http_1_0
        self._tried: set[NodeId] = set()
        self._home: HomeEntry | None = None
        self._running: RunningRequest | None = None
        self._ended = False
        self._head_written = False
        self._chunked = False
        self._is_head_request = message.method == "HEAD"
        self._expected_bytes: int | None = None
        self._passed_bytes = 0
        self._unacknowledged = 0
        self._disposition = Disposition.NOT_RUN
        self._timer: TimerHandle | None = None

    def start(self) -> None:
        """Start the deadline timer and the first attempt."""
        self.connection.watcher = self
        self._timer = self.entry.timers.call_at(
            self.deadline + DEADLINE_GRACE_S, self._on_deadline
        )
        self._attempt(None)

    def on_start(self, start: AnswerStart) -> None:
        if self._ended:
            return
        check_invariant(
            Invariant.OWN_ANSWER,
            start.request_id == self.message.request_id and not self._head_written,
            expected=self.message.request_id,
            received=start.request_id,
        )
        self._record_report(start.report)
        self._head_written = True
        self.connection.write(self._render_head(start))
        self.on_part(start.data, start.state)

    def on_part(self, data: bytes, state: AnswerState) -> None:
        if self._ended:
            return
        self._passed_bytes += len(data)
        too_long = (
            self._expected_bytes is not None
            and self._passed_bytes > self._expected_bytes
        )
        if data and not too_long:
            self._pass_part(data)
        if state is AnswerState.MORE and not too_long:
            return
        if state is AnswerState.BROKEN or not self._is_whole():
            if too_long and state is AnswerState.MORE:
                self._running.cancel()
            self._end("broken")
            self.connection.abort()
            return
        if self._chunked:
            self.connection.write(b"0\r\n\r\n")
        self._end("complete")
        self.connection.finish_answer(keep=not self._http_1_0)

    def on_refused(self, refusal: Refusal, report: HomeReport) -> None:
        if self._ended:
            return
        self._record_report(report)
        self._running = None
        if self._head_written:
            self._end("broken")
            self.connection.abort()
            return
        # If the outcome of an earlier attempt is unknown, the request may have run even
        # if this attempt reports that it did not.
        self._disposition = merge_dispositions(self._disposition, refusal.disposition)
        merged = replace(refusal, disposition=self._disposition)
        decision = RetryDecision.NO_BUDGET
        if not self.message.idempotent:
            # A request that is not idempotent and has no key is sent only once.
            self._refuse(merged)
            return
        if refusal.reason is not RefusalCause.QUARANTINED:
            decision = self.entry.decide_retry(self, self._disposition)
        if decision is not RetryDecision.RETRY:
            self._refuse(merged)
            return
        self.entry.count("retries")
        # Deferred to the next turn of the loop, so that a series of refusals does not
        # recurse.
        self.entry.timers.call_soon(lambda: self._attempt(merged))

    def on_caller_left(self) -> None:
        if self._ended:
            return
        self._end("caller-left")
        if self._running is not None:
            self._running.cancel()

    def on_output_drained(self) -> None:
        self._acknowledge()

    def _attempt(self, refusal: Refusal | None) -> None:
        if self._ended:
            return
        if self.entry.is_quarantined(self.message, self.body):
            detail = "temporarily quarantined because the request crashed servers"
            self._refuse(
                Refusal(self._disposition, RefusalCause.QUARANTINED, 600.0, detail)
            )
            return
        now = self.entry.clock.now()
        home = self.entry.choose_home(self.message.service, self._tried)
        if home is None or now >= self.deadline:
            self._refuse(
                refusal
                or Refusal(
                    Disposition.NOT_RUN,
                    RefusalCause.NO_CAPACITY,
                    detail=f"no home serves {self.message.service!r}",
                )
            )
            return
        self.attempts += 1
        self._tried.add(home.node)
        self._home = home
        self.message.attempt = self.attempts
        self.message.remaining_ms = max(1, int((self.deadline - now) * 1000))
        self._running = self.entry.send(home, self.message, self.body, self)

    def _on_deadline(self) -> None:
        if self._ended:
            return
        running = self._running
        if running is not None:
            running.cancel()
        if self._head_written:
            self._end("deadline")
            self.connection.abort()
            return
        disposition = self._disposition if running is None else Disposition.UNKNOWN
        self._refuse(
            Refusal(
                disposition,
                RefusalCause.DEADLINE,
                detail="the deadline of the request has passed",
            )
        )

    def _refuse(self, refusal: Refusal) -> None:
        self._end(refusal.disposition.value)
        response = render_refusal(refusal, self.message.request_id)
        self.connection.write(response)
        self.connection.finish_answer(keep=not self._http_1_0)

    def _end(self, result: str) -> None:
        self._ended = True
        self._timer.cancel()
        self.entry.on_ended(self, result)

    def _record_report(self, report: HomeReport) -> None:
        if self._home is not None:
            self.entry.loads.record(self.message.service, self._home.node, report)

    def _render_head(self, start: AnswerStart) -> bytes:
        phrase = REASON_PHRASES.get(start.status, b"-")
        lines = [b"HTTP/1.1 %d %s\r\n" % (start.status, phrase)]
        for name, value in start.headers:
            if name == b"content-length":
                self._expected_bytes = int(value)
            lines.append(b"%s: %s\r\n" % (name, value))
        lines.append(
            b"flamingobank-request-id: %s\r\n" % self.message.request_id.encode()
        )
        if self.connection.server.draining:
            lines.append(b"connection: close\r\n")
        bodiless = self._is_head_request or start.status in NO_BODY_STATUSES
        if bodiless:
            self._expected_bytes = 0
        elif self._expected_bytes is None and start.state is AnswerState.COMPLETE:
            self._expected_bytes = len(start.data)
            lines.append(b"content-length: %d\r\n" % len(start.data))
        elif self._expected_bytes is None and not self._http_1_0:
            self._chunked = True
            lines.append(b"transfer-encoding: chunked\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)

    def _pass_part(self, data: bytes) -> None:
        self._unacknowledged += len(data)
        if self._chunked:
            self.connection.write(b"%x\r\n%s\r\n" % (len(data), data))
        else:
            self.connection.write(data)
        if self.connection.output_bytes < WINDOW_BYTES // 2:
            self._acknowledge()

    def _is_whole(self) -> bool:
        return (
            self._expected_bytes is None or self._expected_bytes == self._passed_bytes
        )

    def _acknowledge(self) -> None:
        if self._running is None or not self._unacknowledged:
            return
        # Bytes are acknowledged once they fill a quarter of the window. A small answer
        # ends before the window is full, so it needs no acknowledgements.
        if self._unacknowledged < WINDOW_BYTES // 4:
            return
        consumed = self._unacknowledged
        self._unacknowledged = 0
        self._running.acknowledge(consumed)


class CallerKeyExchange(CallerExchange):
    """An exchange for a request whose key the caller chose; it makes one attempt."""

    def on_refused(self, refusal: Refusal, report: HomeReport) -> None:
        if not self._ended:
            self._running = None
            self._refuse(refusal)

    def _attempt(self, refusal: Refusal | None) -> None:
        self.attempts += 1
        self._running = self.entry.caller_keys.serve(self.message, self.body, self)
