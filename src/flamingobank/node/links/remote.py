"""Send requests to other nodes, and serve the requests that other nodes send."""

from collections.abc import Callable

from flamingobank.core import Disposition, Refusal, RefusalCause
from flamingobank.node.links.exchange import (
    AnswerSink,
    AnswerStart,
    HomeReport,
    RunningRequest,
)
from flamingobank.node.links.links import CONTROL_STREAM, Link, StreamHandler
from flamingobank.wire import (
    AnswerHead,
    AnswerPart,
    AnswerState,
    Cancel,
    CrashNotice,
    Message,
    OpenRequest,
    Refused,
    RequestPart,
    Window,
)

# Request bodies and answers are sent in parts of this size, well below the frame limit.
PART_BYTES = 131_072
ServeRequest = Callable[[OpenRequest, bytes, AnswerSink], RunningRequest]
UNREACHABLE_REPORT = HomeReport(1e6, 0)


class RemoteRequest(StreamHandler, RunningRequest):
    """The entry's side of a request that another node runs."""

    __slots__ = ("_done", "_head_received", "_link", "_request_id", "_sink", "_stream")

    def __init__(
        self, link: Link, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> None:
        self._link = link
        self._sink = sink
        self._done = False
        self._head_received = False
        self._request_id = message.request_id
        self._stream = link.open_stream(self)
        message.body = body[:PART_BYTES]
        message.body_continues = len(body) > PART_BYTES
        link.send(self._stream, message)
        for position in range(PART_BYTES, len(body), PART_BYTES):
            end = position + PART_BYTES
            part = RequestPart(body[position:end], end >= len(body))
            link.send(self._stream, part)

    def cancel(self) -> None:
        """Cancel the request; the sink receives nothing more."""
        if self._done:
            return
        self._close_stream()
        self._link.send(self._stream, Cancel())

    def acknowledge(self, consumed: int) -> None:
        """Report how many more bytes of the answer were passed on to the caller."""
        if not self._done:
            self._link.send(self._stream, Window(consumed))

    def on_message(self, message: Message) -> None:
        if isinstance(message, AnswerHead):
            self._handle_head(message)
            return
        if isinstance(message, AnswerPart):
            state = AnswerState(message.state)
            if not self._head_received:
                raise ValueError("part of an answer before its head")
            if state is not AnswerState.MORE:
                self._close_stream()
            self._sink.on_part(message.data, state)
            return
        if isinstance(message, Refused):
            self._close_stream()
            refusal = Refusal(
                Disposition(message.disposition),
                RefusalCause(message.reason),
                message.retry_after_ms / 1000,
                message.detail,
            )
            report = HomeReport(message.queue_delay_ms, message.free_slots)
            self._sink.on_refused(refusal, report)

    def on_link_closed(self, reason: str) -> None:
        if self._done:
            return
        self._done = True
        # Messages are queued until the handshake is done, so without a handshake the
        # peer has received no byte of the request.
        ran = self._link.was_ready
        refusal = Refusal(
            Disposition.UNKNOWN if ran else Disposition.NOT_RUN,
            RefusalCause.UNREACHABLE,
            detail=f"link to its home node: {reason}",
        )
        self._sink.on_refused(refusal, UNREACHABLE_REPORT)

    def _handle_head(self, message: AnswerHead) -> None:
        state = AnswerState(message.state)
        # The link closes on a ValueError. Without this check, a hostile peer could
        # violate the invariant own_answer and so end this process.
        if self._head_received or message.request_id != self._request_id:
            raise ValueError("head of an answer is repeated or has another request id")
        self._head_received = True
        if state is not AnswerState.MORE:
            self._close_stream()
        self._sink.on_start(
            AnswerStart(
                message.request_id,
                message.status,
                message.headers,
                message.instance,
                HomeReport(message.queue_delay_ms, message.free_slots),
                message.data,
                state,
            )
        )

    def _close_stream(self) -> None:
        self._done = True
        self._link.close_stream(self._stream)


class ServedStream(StreamHandler, AnswerSink):
    """The home's side of a request that was received over a link."""

    __slots__ = (
        "_body",
        "_done",
        "_link",
        "_message",
        "_running",
        "_serve",
        "_stream",
    )

    def __init__(
        self, serve: ServeRequest, link: Link, stream: int, message: OpenRequest
    ) -> None:
        self._serve = serve
        self._link = link
        self._stream = stream
        self._message = message
        self._body = [message.body]
        self._running: RunningRequest | None = None
        self._done = False
        link.accept_stream(stream, self)
        if not message.body_continues:
            self._dispatch()

    def on_message(self, message: Message) -> None:
        if isinstance(message, Window):
            if self._running is not None:
                self._running.acknowledge(message.consumed)
            return
        if isinstance(message, Cancel):
            self._close_stream()
            if self._running is not None:
                self._running.cancel()
            return
        if isinstance(message, RequestPart) and self._running is None:
            self._body.append(message.data)
            if message.last:
                self._dispatch()

    def on_link_closed(self, reason: str) -> None:
        if self._done:
            return
        self._done = True
        if self._running is not None:
            self._running.cancel()

    def on_start(self, start: AnswerStart) -> None:
        if self._done:
            return
        parts = _split_parts(start.data)
        first_state = start.state if len(parts) == 1 else AnswerState.MORE
        head = AnswerHead(
            start.request_id,
            start.status,
            start.headers,
            start.instance,
            start.report.queue_delay_ms,
            start.report.free_slots,
            parts[0],
            int(first_state),
        )
        self._link.send(self._stream, head)
        self._send_parts(parts[1:], start.state)

    def on_part(self, data: bytes, state: AnswerState) -> None:
        if not self._done:
            self._send_parts(_split_parts(data), state)

    def on_notice(self, notice: CrashNotice) -> None:
        self._link.send(CONTROL_STREAM, notice)

    def on_refused(self, refusal: Refusal, report: HomeReport) -> None:
        if self._done:
            return
        self._close_stream()
        self._link.send(
            self._stream,
            Refused(
                refusal.disposition.value,
                refusal.reason.value,
                int(refusal.retry_after_s * 1000),
                refusal.detail,
                report.queue_delay_ms,
                report.free_slots,
            ),
        )

    def _dispatch(self) -> None:
        body = b"".join(self._body)
        self._body.clear()
        self._running = self._serve(self._message, body, self)

    def _send_parts(self, parts: list[bytes], state: AnswerState) -> None:
        last = len(parts) - 1
        for index, part in enumerate(parts):
            part_state = state if index == last else AnswerState.MORE
            self._link.send(self._stream, AnswerPart(part, int(part_state)))
        if state is not AnswerState.MORE:
            self._close_stream()

    def _close_stream(self) -> None:
        self._done = True
        self._link.close_stream(self._stream)


def _split_parts(data: bytes) -> list[bytes]:
    if len(data) <= PART_BYTES:
        return [data]
    return [
        data[position : position + PART_BYTES]
        for position in range(0, len(data), PART_BYTES)
    ]
