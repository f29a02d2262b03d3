"""Run a keyed request at most once and record how it ended."""

import abc
from collections.abc import Callable
from dataclasses import replace

import msgpack

from flamingobank.core import Clock, Disposition, NodeId, Refusal, RefusalCause
from flamingobank.directory import HomeEntry
from flamingobank.idempotency import CallerKeyRun, RunGranted
from flamingobank.loop import TimerHandle, Timers
from flamingobank.node.links.exchange import (
    AnswerSink,
    AnswerStart,
    HomeReport,
    RunningRequest,
)
from flamingobank.wire import AnswerState, KeyedMode, OpenRequest

MAX_ATTEMPTS = 3
MAX_RECORDED_BYTES = 16_384
# A home refuses a request at its deadline; this node waits this much longer for that
# refusal before it records an unknown outcome.
DEADLINE_GRACE_S = 0.1
EMPTY_HOME_REPORT = HomeReport(0.0, 0)


SendRequest = Callable[[HomeEntry, OpenRequest, bytes, AnswerSink], RunningRequest]


class RunRecorder(abc.ABC):
    """Choose homes for the runs of keyed requests, and record the results.

    Each run calls one of the three record methods, once.
    """

    clock: Clock
    timers: Timers
    choose_home: Callable[[str, set[NodeId]], HomeEntry | None]
    send: SendRequest

    @abc.abstractmethod
    def record_done(self, run, status: int, answer: bytes) -> None:
        """Record a complete answer."""

    @abc.abstractmethod
    def record_not_run(self, run) -> None:
        """Record that no byte of the request reached a server."""

    @abc.abstractmethod
    def record_unknown(self, run) -> None:
        """Record that the request may have run."""


class KeeperRequest(AnswerSink, RunningRequest):
    """Forward a keyed request to a home and its answer back, and record the result."""

    def __init__(
        self,
        recorder: RunRecorder,
        message: OpenRequest,
        body: bytes,
        sink: AnswerSink,
    ) -> None:
        self.message = message
        self.body = body
        self.deadline = recorder.clock.now() + message.remaining_ms / 1000
        self._recorder = recorder
        self._sink: AnswerSink | None = sink
        self._run: RunGranted | CallerKeyRun | None = None
        self._running: RunningRequest | None = None
        self._tried: set[NodeId] = set()
        self._status = 0
        self._headers: list = []
        self._recorded_parts: list[bytes] = []
        self._recorded_bytes = 0
        self._started = False
        self._ended = False
        self._timer: TimerHandle | None = None

    def start(self, run: RunGranted | CallerKeyRun) -> None:
        """Run the request; called at most once, after the run was granted."""
        self._run = run
        self._timer = self._recorder.timers.call_at(
            self.deadline + DEADLINE_GRACE_S, self._on_deadline
        )
        self._attempt(None)

    def refuse(self, refusal: Refusal) -> None:
        """Report a refusal to the sender, unless it has cancelled the request."""
        sink = self._sink
        self._sink = None
        if sink is not None:
            sink.on_refused(refusal, EMPTY_HOME_REPORT)

    def cancel(self) -> None:
        """Pass nothing more to the sink, but let the run go on to its end.

        Its result is recorded, as the request must not run again.
        """
        self._sink = None

    def acknowledge(self, consumed: int) -> None:
        """Report how many more bytes of the answer were passed on to the caller."""
        if self._running is not None:
            self._running.acknowledge(consumed)

    def on_start(self, start: AnswerStart) -> None:
        if self._ended:
            return
        self._started = True
        self._status = start.status
        self._headers = start.headers
        if self._sink is not None:
            self._sink.on_start(replace(start, data=b"", state=AnswerState.MORE))
        self.on_part(start.data, start.state)

    def on_part(self, data: bytes, state: AnswerState) -> None:
        if self._ended:
            return
        self._record_part(data)
        if state is AnswerState.COMPLETE:
            # Recorded before the end of the answer is passed on: a caller that received
            # the whole answer must never get "unknown" for the same key.
            answer = msgpack.packb([self._headers, b"".join(self._recorded_parts)])
            if self._recorded_bytes > MAX_RECORDED_BYTES:
                answer = b""
            self._end()
            self._recorder.record_done(self._run, self._status, answer)
        elif state is AnswerState.BROKEN:
            self._end()
            self._recorder.record_unknown(self._run)
        if self._sink is not None:
            self._sink.on_part(data, state)
        elif self._running is not None and data:
            # The sender has cancelled and acknowledges nothing, so the home would stop
            # sending when its window is full.
            self._running.acknowledge(len(data))

    def on_refused(self, refusal: Refusal, report: HomeReport) -> None:
        if self._ended:
            return
        self._running = None
        if refusal.disposition is Disposition.NOT_RUN and not self._started:
            if self._may_retry(refusal):
                self._recorder.timers.call_soon(lambda: self._attempt(refusal))
                return
            self._end()
            self._recorder.record_not_run(self._run)
            self.refuse(refusal)
            return
        self._end()
        self._recorder.record_unknown(self._run)
        if self._started:
            if self._sink is not None:
                self._sink.on_part(b"", AnswerState.BROKEN)
            return
        self.refuse(replace(refusal, disposition=Disposition.UNKNOWN))

    def _attempt(self, refusal: Refusal | None) -> None:
        if self._ended:
            return
        recorder = self._recorder
        home = recorder.choose_home(self.message.service, self._tried)
        if home is None:
            self._end()
            recorder.record_not_run(self._run)
            detail = f"no home serves {self.message.service!r}"
            default = Refusal(
                Disposition.NOT_RUN, RefusalCause.NO_CAPACITY, 1.0, detail
            )
            self.refuse(refusal or default)
            return
        self._tried.add(home.node)
        remaining_s = max(0.0, self.deadline - recorder.clock.now())
        message = replace(
            self.message,
            keyed=KeyedMode.PLAIN,
            remaining_ms=max(1, int(remaining_s * 1000)),
            attempt=len(self._tried),
        )
        self._running = recorder.send(home, message, self.body, self)

    def _may_retry(self, refusal: Refusal) -> bool:
        if refusal.reason in (RefusalCause.QUARANTINED, RefusalCause.DEADLINE):
            return False
        now = self._recorder.clock.now()
        retry_until = self.deadline - self.message.remaining_ms / 2000
        return len(self._tried) < MAX_ATTEMPTS and now < retry_until

    def _on_deadline(self) -> None:
        if self._ended:
            return
        self._end()
        if self._running is not None:
            self._running.cancel()
        self._recorder.record_unknown(self._run)
        if self._started:
            if self._sink is not None:
                self._sink.on_part(b"", AnswerState.BROKEN)
            return
        detail = "the deadline of the request has passed"
        self.refuse(Refusal(Disposition.UNKNOWN, RefusalCause.DEADLINE, 1.0, detail))

    def _end(self) -> None:
        self._ended = True
        self._timer.cancel()

    def _record_part(self, data: bytes) -> None:
        self._recorded_bytes += len(data)
        if self._recorded_bytes <= MAX_RECORDED_BYTES:
            self._recorded_parts.append(data)


def make_replay(message: OpenRequest, status: int, answer: bytes | None) -> AnswerStart:
    """Return a recorded answer; if only its status was kept, the body is empty."""
    headers: list = []
    body = b""
    reason = b"replayed-without-body"
    if answer:
        headers, body = msgpack.unpackb(answer)
        headers = [tuple(pair) for pair in headers if pair[0] != b"content-length"]
        reason = b"replayed"
    headers.append((b"content-length", str(len(body)).encode()))
    headers.append((b"flamingobank-reason", reason))
    return AnswerStart(
        message.request_id,
        status,
        headers,
        "",
        EMPTY_HOME_REPORT,
        body,
        AnswerState.COMPLETE,
    )
