"""Parse the requests of one connection and send their answers in request order."""

import abc
import math
import socket
from collections import deque
from collections.abc import Callable

import httptools

from flamingobank.core import Clock
from flamingobank.loop import (
    Connection,
    ConnectionHandler,
    Headers,
    Poller,
    Timers,
)
from flamingobank.sidecar.decisions.memory_account import ShedReason
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.http.caller_limits import CallerLimits
from flamingobank.sidecar.http.caller_request import AnswerConnection, CallerRequest
from flamingobank.sidecar.http.request_parser import RequestHandler, RequestParser

# A body of more than LARGE_BODY_BYTES counts with its stated length from its start, so
# that several whose first bytes arrive together do not all find room.
LARGE_BODY_BYTES = 1_048_576
# Memory that a header takes besides its text.
HEADER_BYTES = 160
# Smaller answers are not dropped, as the short ones that replace others.
MIN_DROPPED_BYTES = 4096
NO_MEMORY_RETRY_AFTER = (b"retry-after", b"1")
# A request whose body makes no progress for this long is refused. Callers within the
# limits send theirs without pauses, and a connection may be idle for 15 s.
BODY_STALL_TIMEOUT_S = 20.0
# Reading pauses at this many unanswered requests; further ones stay in the socket.
MAX_PIPELINED = 32
# A caller that reads a streamed answer too slowly is cut off when more than this is
# queued, besides what was held for it while it could not read.
MAX_QUEUED_OUTPUT_BYTES = 16 * 1_048_576
# An idle connection is kept a little longer than the advertised timeout, so that a
# request that is in transit when the timeout ends is still read.
IDLE_GRACE_S = 1.0
# After the last answer has been sent, the caller has this long to read it and close.
# Closing at once with unread input would reset the connection, and the caller could
# lose the answer.
LINGER_TIMEOUT_S = 2.0
# A caller that reads nothing of its last answer for this long is cut off.
STALLED_OUTPUT_TIMEOUT_S = 10.0


class ConnectionOwner(abc.ABC):
    """State and callbacks shared by the connections of one listening address."""

    poller: Poller
    timers: Timers
    clock: Clock
    # Connections are closed after their pending answers.
    draining: bool
    limits: Callable[[], RequestLimits]
    caller_limits: CallerLimits
    on_request: Callable[[CallerRequest], None]
    on_malformed: Callable[[str], None]

    @abc.abstractmethod
    def remove(self, connection: "CallerConnection") -> None:
        """Remove a closed connection."""


class CallerConnection(ConnectionHandler, AnswerConnection, RequestHandler):
    """Parse the requests of one connection and order their answers."""

    def __init__(self, server: ConnectionOwner, sock: socket.socket) -> None:
        self._server = server
        self._parser = RequestParser(self)
        self._pending: deque[CallerRequest] = deque()
        self._incoming: CallerRequest | None = None
        self._parsed: list[CallerRequest] = []
        self._error_status = 0
        self._head_bytes = 0
        self._body_bytes = 0
        self._head_complete = True
        # Counts the parser's callbacks that end a part of a request. The parser
        # collects a header without a limit, so bytes without progress are counted too.
        self._progress = 0
        self._bytes_without_progress = 0
        # An answer said that the connection closes after it, so no more requests are
        # taken.
        self._input_ended = False
        self._closing = False
        self._closed = False
        self._paused = False
        self._advertised_idle_s = server.limits().idle_timeout_s
        self.idle_deadline = server.clock.now() + self._advertised_idle_s + IDLE_GRACE_S
        self.head_deadline: float | None = None
        # The queued output when it was last looked at, and since when it is as much.
        self._output_bytes = 0
        self.output_since = server.clock.now()
        # Up to which byte of all output it was held until earlier answers ended.
        self._held_until = 0
        # When bytes of a request last arrived.
        self.progress_at = self.output_since
        # Whether a request has been answered on this connection.
        self.served = False
        self._limits = server.caller_limits
        self._memory = self._limits.memory
        self.connection = Connection(server.poller, sock, self, connecting=False)
        self.connection.limit_unsent_output()
        self.connection.tally = self._memory.caller_output

    @property
    def is_idle(self) -> bool:
        """Return whether no request is being read or answered."""
        return self._is_answered and not self.connection.output_bytes

    @property
    def _is_answered(self) -> bool:
        """Return whether all requests have answers, which may not have been sent."""
        return not self._pending and self._incoming is None and not self._closing

    @property
    def is_unused(self) -> bool:
        """Return whether nothing is lost by closing, except for a part of a head."""
        if self.head_deadline is not None and not self._pending:
            return True
        return self.is_idle

    @property
    def waits_since(self) -> float:
        """Return since when an unused connection waits for a whole head."""
        if self.head_deadline is not None:
            return self.head_deadline - self._server.limits().head_timeout_s
        return self.idle_deadline - self._advertised_idle_s - IDLE_GRACE_S

    @property
    def incoming_bytes(self) -> int:
        """Return what the request that is being read holds, 0 if there is none."""
        return self._incoming.held_bytes if self._incoming is not None else 0

    @property
    def queued_output_bytes(self) -> int:
        return self.connection.output_bytes

    def count_held_output(self, count: int) -> None:
        # What a request still holds when its connection ends is no longer counted.
        if not self._closed and not self._closing:
            self._memory.caller_output.bytes += count
            if count > 0 and self._memory.is_shared_full:
                self._limits.limit_held_later()

    @property
    def held_output_bytes(self) -> int:
        """Return how many bytes of answers wait for earlier ones."""
        return sum(request.held_output_bytes for request in self._pending)

    def drop_held_answers(self) -> None:
        """Drop answers that wait, the last first, until the account has room."""
        for request in reversed(list(self._pending)):
            if not self._memory.count_excess():
                return
            is_large = request.held_output_bytes > MIN_DROPPED_BYTES
            if is_large and request.drop_answer is not None:
                self._limits.on_shed(ShedReason.ANSWER_HELD)
                request.drop_answer()

    def release(self, request: CallerRequest) -> None:
        self._memory.requests.bytes -= request.held_bytes
        request.held_bytes = 0

    def refuse(self, reason: ShedReason) -> None:
        """Refuse the request that is being read, which has not run."""
        self._limits.on_shed(reason)
        self._reject(503)

    @property
    def stalled_since(self) -> float:
        """Return since when a body or an answer makes no progress, else infinity."""
        if self._incoming is not None and not self._pending:
            return self.progress_at
        return self.output_since if self.queued_output_bytes else math.inf

    def give_up(self) -> bool:
        """Free the descriptor of a connection that is unused or makes no progress.

        Return whether it is freed, which it is not if a request has arrived meanwhile.
        """
        if self._closed:
            return False
        if self.is_unused:
            if self.is_idle:
                self.connection.receive_arrived()
            if self._closed or not self.is_unused:
                return self._closed
            self.connection.close("closed for other connections")
            return True
        if self._incoming is None or self._pending:
            self.connection.reset("caller does not read its answer")
            return True
        self._reject(503)
        self.connection.close_after_output()
        return True

    def make_persistence_headers(self, request: CallerRequest) -> list[bytes]:
        is_last = len(self._pending) == 1 and self._incoming is None
        if not request.keep_alive or (self._server.draining and is_last):
            request.keep_alive = False
            self._end_input(request)
            return [b"Connection: close"]
        self._advertised_idle_s = self._server.limits().idle_timeout_s
        return [b"Keep-Alive: timeout=%d" % max(1, int(self._advertised_idle_s))]

    def is_next(self, request: CallerRequest) -> bool:
        return bool(self._pending) and self._pending[0] is request

    def send(self, data: bytes) -> None:
        if not self.connection.output_bytes:
            self.output_since = self._server.clock.now()
        self.connection.write(data)
        if self._memory.is_full:
            self._limits.limit_output()

    def limit_queued_output(self) -> None:
        connection = self.connection
        held_bytes = max(0, self._held_until - connection.sent_bytes)
        if connection.output_bytes - held_bytes > MAX_QUEUED_OUTPUT_BYTES:
            connection.reset("caller does not read its answer")

    def on_answered(self) -> None:
        while self._pending and self._pending[0].finished:
            answered_request = self._pending.popleft()
            answered_request.drop_answer = None
            self.served = True
            if not answered_request.keep_alive:
                self.finish_output()
                return
            if self._pending:
                self._pending[0].flush()
                connection = self.connection
                self._held_until = connection.sent_bytes + connection.output_bytes
        if self._server.draining and self.is_idle:
            self.finish_if_unused()
            return
        now = self._server.clock.now()
        self.idle_deadline = now + self._advertised_idle_s + IDLE_GRACE_S
        if self._paused and len(self._pending) < MAX_PIPELINED:
            self._paused = False
            self.progress_at = now
            if not self._closed:
                self.connection.resume_reading()

    def finish_if_unused(self) -> None:
        """Close an idle connection unless a request has arrived on it."""
        self.connection.receive_arrived()
        if self.is_idle:
            self.finish_output()

    def finish_output(self) -> None:
        """Close the sending side after the queued output, and discard input.

        The connection is closed when the caller closes it or does not read on.
        """
        if self._closed or self._closing:
            return
        pending = self._drop_requests()
        self._closing = True
        _notify_watchers(pending)
        self._output_bytes = self.connection.output_bytes
        self.output_since = self._server.clock.now()
        self.connection.finish_output()

    def abort(self) -> None:
        self.connection.reset("answer aborted")

    def check_deadlines(self, now: float) -> None:
        """Answer 408 for a slow request head, and close a connection idle too long."""
        if self._closed:
            return
        self._note_output(now)
        if self._closing:
            self._check_lingering(now)
            return
        if self.head_deadline is not None and now > self.head_deadline:
            self._reject(408)
            return
        reads_body = self._incoming is not None and self._head_complete
        stalled = now > self.progress_at + BODY_STALL_TIMEOUT_S
        if reads_body and stalled and not self._paused:
            self._limits.on_shed(ShedReason.BODY_TIMEOUT)
            self._reject(408)
            return
        if self.is_idle and now > self.idle_deadline:
            self.finish_output()
            return
        if self._is_answered and self._output_bytes:
            limit_s = self._advertised_idle_s + IDLE_GRACE_S
            if self._server.draining:
                limit_s = min(limit_s, STALLED_OUTPUT_TIMEOUT_S)
            if now > self.output_since + limit_s:
                self.connection.reset("caller does not read its answer")

    def _note_output(self, now: float) -> None:
        output_bytes = self.connection.output_bytes
        if output_bytes != self._output_bytes:
            self._output_bytes = output_bytes
            self.output_since = now

    def _check_lingering(self, now: float) -> None:
        """Close a connection whose caller has had time to read its last answer."""
        waited_s = now - self.output_since
        if self._output_bytes:
            if waited_s > STALLED_OUTPUT_TIMEOUT_S:
                self.connection.reset("caller does not read its last answer")
        elif waited_s > LINGER_TIMEOUT_S:
            self.connection.close("caller did not close the connection")

    def on_drained(self) -> None:
        """Ask for more of the answer, or start the idle time after the last one."""
        if self._pending:
            watcher = self._pending[0].watcher
            if watcher is not None:
                watcher.on_output_sent()
            return
        if not self.is_idle:
            return
        if self._server.draining:
            self.finish_if_unused()
            return
        now = self._server.clock.now()
        self.idle_deadline = now + self._advertised_idle_s + IDLE_GRACE_S

    def on_connected(self) -> None:
        """Do nothing: an accepted connection is already open."""

    def on_data(self, data: bytes) -> None:
        if self._closing or self._input_ended:
            return
        progress = self._progress
        try:
            self._parser.feed(data)
        except (httptools.HttpParserError, ValueError) as error:
            self._server.on_malformed(str(error))
            self._error_status = self._error_status or 400
        self._limit_bytes_without_progress(len(data), self._progress != progress)
        # on_request is called here and not in a callback of the parser, since the
        # parser hides the exceptions that are raised in its callbacks.
        parsed, self._parsed = self._parsed, []
        for request in parsed:
            # An answer to one before it may have closed the connection.
            if request in self._pending:
                self._take(request)
        if self._closed or self._closing or self._input_ended:
            return
        if self._error_status:
            self._reject(self._error_status)
        elif self._incoming is not None:
            self._limit_incoming()

    def _take(self, request: CallerRequest) -> None:
        """Pass on a request, or refuse it if there is no memory left at all."""
        if self._memory.is_full and not self._limits.make_room(request.held_bytes):
            self._limits.on_shed(ShedReason.NO_MEMORY)
            request.keep_alive = False
            request.answer(503, [NO_MEMORY_RETRY_AFTER], b"")
            return
        if self._closed:
            return
        self._server.on_request(request)

    def _limit_incoming(self) -> None:
        """Count what has arrived of a request, and refuse it if there is no room."""
        self.progress_at = self._server.clock.now()
        request = self._incoming
        self._count_request(request)
        if self._memory.has_room(request.held_bytes):
            return
        # Others may be refused instead, and this one as well.
        has_room = self._limits.make_room(request.held_bytes)
        if not has_room and self._incoming is request and not self._closed:
            self.refuse(ShedReason.NO_MEMORY)

    def _count_request(self, request: CallerRequest) -> None:
        body_bytes = len(request.body)
        if request.body_bytes > LARGE_BODY_BYTES:
            body_bytes = request.body_bytes
        held_bytes = (
            self._head_bytes
            + self._bytes_without_progress
            + HEADER_BYTES * len(request.headers)
            + body_bytes
        )
        self._memory.requests.bytes += held_bytes - request.held_bytes
        request.held_bytes = held_bytes

    def on_closed(self, reason: str) -> None:
        pending = self._drop_requests()
        self._closed = True
        self._server.remove(self)
        _notify_watchers(pending)

    # Callbacks of the parser.

    @property
    def incoming_headers(self) -> Headers:
        return self._incoming.headers

    def on_message_begin(self) -> None:
        """Start a new request and its head timeout."""
        self._incoming = CallerRequest(self)
        self._progress += 1
        self._head_bytes = 0
        self._body_bytes = 0
        self._head_complete = False
        limits = self._server.limits()
        self.head_deadline = self._server.clock.now() + limits.head_timeout_s

    def on_url(self, url: bytes) -> None:
        """Append a piece of the request target."""
        self._incoming.target += url
        self._count_head(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header; trailers are ignored."""
        self._count_head(len(name) + len(value) + 4)
        if not self._head_complete:
            self._incoming.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Check the head of the request and answer an Expect header."""
        self._head_complete = True
        self._progress += 1
        self.head_deadline = None
        request = self._incoming
        request.method = self._parser.method
        request.keep_alive = self._parser.should_keep_alive
        if request.method == "CONNECT":
            self._error_status = 501
        names = [name for name, _ in request.headers]
        if names.count(b"host") > 1 or names.count(b"content-length") > 1:
            self._error_status = 400
        for name, value in request.headers:
            if name == b"content-length":
                self._check_body_size(int(value))
        expects_continue = request.get_header(b"expect").lower() == "100-continue"
        if expects_continue and not self._error_status and not self._pending:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body."""
        self._progress += 1
        self._body_bytes += len(data)
        self._check_body_size(self._body_bytes)
        if not self._error_status:
            self._incoming.append_body(data)

    def on_message_complete(self) -> None:
        """Add the complete request to those pending."""
        self._progress += 1
        if self._error_status or self._closing:
            return
        request = self._incoming
        self._incoming = None
        request.complete = True
        request.read_at = self._server.clock.now()
        self._count_request(request)
        self._pending.append(request)
        if len(self._pending) >= MAX_PIPELINED:
            self._paused = True
            self.connection.pause_reading()
            self.connection.limit_receive_buffer()
        self._parsed.append(request)

    def _limit_bytes_without_progress(self, count: int, progressed: bool) -> None:
        if progressed:
            self._bytes_without_progress = 0
            return
        self._bytes_without_progress += count
        if self._bytes_without_progress > self._server.limits().max_head_bytes:
            self._error_status = self._error_status or 431

    def _count_head(self, count: int) -> None:
        self._head_bytes += count
        if self._head_bytes > self._server.limits().max_head_bytes:
            self._error_status = 431

    def _check_body_size(self, count: int) -> None:
        """Check the declared size of a body, or what has arrived of it."""
        if count > self._server.limits().max_body_bytes:
            self._error_status = self._error_status or 413
        request = self._incoming
        if not self._error_status and count > request.body_bytes:
            request.body_bytes = count

    def _reject(self, status: int) -> None:
        """Answer an unreadable request after those before it, then close."""
        self.head_deadline = None
        self._error_status = 0
        request = self._incoming or CallerRequest(self)
        self._incoming = None
        request.keep_alive = False
        # The headers may hold a key, and the body may be large.
        request.headers.clear()
        self.release(request)
        request.body_bytes = 0
        self._pending.append(request)
        headers = [NO_MEMORY_RETRY_AFTER] if status == 503 else []
        request.answer(status, headers, b"")

    def _end_input(self, last: CallerRequest) -> None:
        """Take no more requests, as the answer to `last` closes the connection.

        Requests behind it have not been passed on, and are never answered.
        """
        if last not in self._pending:
            return
        self._input_ended = True
        self.head_deadline = None
        while self._pending[-1] is not last:
            self._drop(self._pending.pop())
        if self._incoming is not None:
            self.release(self._incoming)
            self._incoming = None

    def _drop_requests(self) -> list[CallerRequest]:
        """Forget all requests and what they hold; return those without an answer."""
        pending = list(self._pending)
        self._pending.clear()
        if self._incoming is not None:
            self.release(self._incoming)
            self._incoming = None
        for request in pending:
            self._drop(request)
        return pending

    def _drop(self, request: CallerRequest) -> None:
        """Stop counting what a request holds that is no longer answered."""
        request.drop_answer = None
        self.release(request)
        request.drop_output()


def _notify_watchers(requests: list[CallerRequest]) -> None:
    for request in requests:
        watcher = request.watcher
        request.watcher = None
        if watcher is not None:
            watcher.on_caller_left()
