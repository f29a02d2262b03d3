"""HTTP client for the server of this machine, without pipelining."""

import abc
import enum
from collections.abc import Callable
from dataclasses import dataclass
from weakref import WeakKeyDictionary

from flamingobank.core import Clock, InstanceId, RequestId
from flamingobank.loop import (
    Address,
    AnswerHandler,
    Headers,
    HttpClientConnection,
    Poller,
    Timers,
)
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.dialect import Dialect, ServerFacts

# The server is on this machine, so a slower connect is taken as failed.
CONNECT_TIMEOUT_S = 0.5
MAX_IDLE_CONNECTIONS = 8
# A connection on which the server has refused more requests is not used again.
MAX_REFUSED_REQUESTS = 100
DEFAULT_KEEP_ALIVE_S = 5.0
# Idle connections are used for this share of the server's keep-alive time only, as the
# server may close one just as a request is sent.
KEEP_ALIVE_SHARE = 0.6
# A request that may run only once uses a connection that was idle for at most this
# time, because a server may have dropped an older one without notice.
RUN_ONCE_MAX_IDLE_S = 0.4
# An answer is buffered until its body exceeds MAX_BUFFERED_BYTES or MAX_BUFFERING_S
# have passed since its head, before it is streamed to the entry; until then a broken
# answer can still be replaced by a retry at another server.
MAX_BUFFERED_BYTES = 1_048_576
MAX_BUFFERING_S = 0.5
# The limit when the memory of the process is taken.
MIN_BUFFERED_BYTES = 65536


class RunOutcome(enum.Enum):
    """How a request on a server ended."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class RunFailure:
    """Why a request got no usable answer from the server."""

    outcome: RunOutcome
    # The server received the request or a part of it.
    arrived: bool
    # The connection could not be opened.
    unreachable: bool
    reason: str
    misdirected: bool = False
    # The connection ended before a complete answer.
    broken: bool = False

    @property
    def rejected(self) -> bool:
        """Return whether the server stated that it did not run the request."""
        return (
            self.outcome is RunOutcome.NOT_RUN and self.arrived and not self.misdirected
        )


class RunHandler(abc.ABC):
    """Receive the outcome of a request on a server."""

    @abc.abstractmethod
    def on_run_facts(self, facts: ServerFacts) -> None:
        """Handle what the head of the server's answer states, before its body."""

    @abc.abstractmethod
    def on_run_answer(
        self, status: int, headers: Headers, body: bytes, complete: bool
    ) -> None:
        """Handle a whole answer or its first part."""

    @abc.abstractmethod
    def on_run_part(self, body: bytes, complete: bool) -> None:
        """Handle a further part of the body.

        An empty part that is not complete means that the answer broke off.
        """

    @abc.abstractmethod
    def on_run_failed(self, failure: RunFailure) -> None:
        """Handle a request that ended without a usable answer."""


class ServerRun(AnswerHandler):
    """One request on a connection to the server.

    Buffers the answer until it is complete, or until it is streamed to the handler.
    """

    def __init__(
        self, client: "ServerClient", request_id: RequestId, handler: RunHandler
    ) -> None:
        self.facts: ServerFacts | None = None
        self.connection: HttpClientConnection | None = None
        self._client = client
        self._request_id = request_id
        self._handler = handler
        self._status = 0
        self._headers: Headers = []
        self._parts: list[bytes] = []
        self._size = 0
        self._streaming = False
        self._done = False
        self._reused_connection = False
        self._buffer_timer = None
        self._connect_timer = None

    def start(
        self,
        connection: HttpClientConnection,
        request: tuple[bytes, bytes],
        reused: bool,
    ) -> None:
        """Send the request and start the connect timeout on a new connection."""
        self.connection = connection
        self._reused_connection = reused
        connection.identify = self._is_own_answer
        head, body = request
        connection.send(head, self, body)
        if not connection.connected:
            self._connect_timer = self._client.timers.call_at(
                self._client.clock.now() + CONNECT_TIMEOUT_S, self._check_connected
            )

    def cancel(self) -> None:
        """Close the connection; most servers then abandon the request."""
        self._done = True
        self._stop_timers()
        self._drop_body()
        self.connection.cancel()

    def on_answer_head(self, status: int, headers: Headers) -> None:
        self._status = status
        self._headers = headers
        self.facts = self._client.dialect.read_server(status, headers, self._request_id)
        self._handler.on_run_facts(self.facts)
        if not self.facts.not_run:
            self._buffer_timer = self._client.timers.call_at(
                self._client.clock.now() + MAX_BUFFERING_S, self._start_streaming
            )

    def on_answer_part(self, data: bytes) -> None:
        if self._streaming:
            self._handler.on_run_part(data, complete=False)
            return
        self._parts.append(data)
        self._size += len(data)
        memory = self._client.memory
        memory.answers.bytes += len(data)
        has_room = self._size <= MIN_BUFFERED_BYTES or not memory.is_shared_full
        if self._size <= MAX_BUFFERED_BYTES and has_room:
            return
        if self.facts.signed and not self.facts.not_run:
            self._start_streaming()
            return
        # Such a body is never streamed, so it would be held until it ends.
        self._end_oversized()

    def on_answer_end(self) -> None:
        if self._done:
            return
        self._done = True
        self._stop_timers()
        if self.facts.not_run:
            self._client.note_refusal(self.connection, self._request_id)
            if self._judge_refusal() is RunOutcome.UNKNOWN:
                # The answer to this request may still come.
                self.connection.reusable = False
        self._client.release_connection(self.connection, self.facts)
        if self._streaming:
            self._handler.on_run_part(b"", complete=True)
            return
        if self.facts.not_run:
            self._fail(self._judge_refusal(), f"server answered {self._status}")
            return
        if not self.facts.signed and self._status < 300:
            # The server signs its answers, so a success status without its signature
            # was sent by some other process.
            self._fail(
                RunOutcome.UNKNOWN, "success status without the server's signature"
            )
            return
        self._handler.on_run_answer(
            self._status, self._headers, self._take_body(), complete=True
        )

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        if self._done:
            return
        self._done = True
        self._stop_timers()
        if self._streaming:
            self._handler.on_run_part(b"", complete=False)
            return
        if not sent:
            self._handler.on_run_failed(
                RunFailure(RunOutcome.NOT_RUN, False, True, reason)
            )
            return
        self._fail(RunOutcome.UNKNOWN, reason, broken=True)

    def _end_oversized(self) -> None:
        if self._done:
            return
        self._done = True
        self._stop_timers()
        self.connection.cancel()
        outcome = self._judge_refusal() if self.facts.not_run else RunOutcome.UNKNOWN
        self._fail(
            outcome,
            f"unsigned or refusing answer exceeds {MAX_BUFFERED_BYTES} bytes",
        )

    def _fail(self, outcome: RunOutcome, reason: str, broken: bool = False) -> None:
        self._drop_body()
        misdirected = self.facts is not None and self.facts.misdirected
        self._handler.on_run_failed(
            RunFailure(outcome, True, False, reason, misdirected, broken)
        )

    def _judge_refusal(self) -> RunOutcome:
        """Return what a refusal says of this request.

        Without the request's id it may be a copy of one of an earlier request.
        """
        if self.facts.echoes_id or not self._reused_connection:
            return RunOutcome.NOT_RUN
        return RunOutcome.UNKNOWN

    def _is_own_answer(self, status: int, headers: Headers) -> bool:
        return not self._client.dialect.read_server(
            status, headers, self._request_id
        ).foreign

    def _start_streaming(self) -> None:
        if self._done or self._streaming:
            return
        if not self.facts.signed:
            return
        self._streaming = True
        body = self._take_body()
        self._handler.on_run_answer(self._status, self._headers, body, complete=False)

    def _take_body(self) -> bytes:
        """Return what was buffered, which is no longer held here."""
        body = b"".join(self._parts)
        self._drop_body()
        return body

    def _drop_body(self) -> None:
        for part in self._parts:
            self._client.memory.answers.bytes -= len(part)
        self._parts.clear()

    def _check_connected(self) -> None:
        if not self._done and not self.connection.connected:
            self.connection.close("connection attempt timed out")

    def _stop_timers(self) -> None:
        for timer in (self._buffer_timer, self._connect_timer):
            if timer is not None:
                timer.cancel()


class ProcessCheck:
    """Check of the server's process that calls back once with the result."""

    def __init__(
        self, client: "ServerClient", callback: Callable[[bool], None]
    ) -> None:
        self.connection: HttpClientConnection | None = None
        self._client = client
        self._callback: Callable[[bool], None] | None = callback

    def finish(self, running: bool) -> None:
        """Call back with the result; later calls do nothing.

        A connect timeout counts as running, as the server's process may be busy.
        """
        callback, self._callback = self._callback, None
        if callback is None:
            return
        if self.connection.connected:
            self._client.add_unused_connection(self.connection)
        else:
            self.connection.close("not connected when the check ended")
        callback(running)


class ServerClient:
    """Connection pool of one server, which runs requests on its connections."""

    def __init__(
        self, poller: Poller, timers: Timers, clock: Clock, dialect: Dialect
    ) -> None:
        self.timers = timers
        self.clock = clock
        self.dialect = dialect
        # Counts the answers that are buffered, and is the account of the home.
        self.memory = MemoryAccount()
        self._poller = poller
        self._address: Address | None = None
        self._instance = InstanceId("")
        # The requests that the server refused on each connection.
        self._refused: WeakKeyDictionary[HttpClientConnection, set[RequestId]] = (
            WeakKeyDictionary()
        )
        # Idle connections, each with the time until which it may be used again and the
        # time since which it is idle.
        self._idle: list[tuple[HttpClientConnection, float, float]] = []

    def set_server(self, address: Address, instance: InstanceId) -> None:
        """Switch to a server; idle connections to the previous one are closed."""
        if (address, instance) == (self._address, self._instance):
            return
        self._address = address
        self._instance = instance
        self.close_idle()

    def close_idle(self) -> None:
        """Close the idle connections."""
        idle = self._idle
        self._idle = []
        for connection, _, _ in idle:
            connection.close()

    def run(
        self,
        request_id: RequestId,
        encode: Callable[[InstanceId], tuple[bytes, bytes]],
        idempotent: bool,
        handler: RunHandler,
    ) -> ServerRun:
        """Run a request on an idle connection or on a new one."""
        run = ServerRun(self, request_id, handler)
        connection = self._take_idle_connection(request_id, idempotent)
        reused = connection is not None
        if connection is None:
            connection = HttpClientConnection(self._poller, self._address)
        run.start(connection, encode(self._instance), reused)
        return run

    def check_process(self, callback: Callable[[bool], None]) -> None:
        """Check whether the server's process still accepts connections."""
        check = ProcessCheck(self, callback)
        check.connection = HttpClientConnection(self._poller, self._address)
        check.connection.watch_connecting(check.finish)
        self.timers.call_at(
            self.clock.now() + CONNECT_TIMEOUT_S, lambda: check.finish(True)
        )

    def add_unused_connection(self, connection: HttpClientConnection) -> None:
        """Add a connection that has carried no request to the pool."""
        now = self.clock.now()
        if connection.address == self._address and not connection.closed:
            deadline = now + DEFAULT_KEEP_ALIVE_S * KEEP_ALIVE_SHARE
            self._idle.append((connection, deadline, now))

    def release_connection(
        self, connection: HttpClientConnection, facts: ServerFacts
    ) -> None:
        """Return a connection to the pool, or close it if it cannot be reused."""
        # The last part of the answer may have come while its entry had no room.
        connection.resume_reading()
        if not connection.idle or connection.address != self._address:
            connection.close()
            return
        if connection.output_bytes or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            connection.close()
            return
        keep_alive_s = facts.keep_alive_s
        if keep_alive_s is None:
            keep_alive_s = DEFAULT_KEEP_ALIVE_S
        now = self.clock.now()
        self._idle.append((connection, now + keep_alive_s * KEEP_ALIVE_SHARE, now))

    def note_refusal(
        self, connection: HttpClientConnection, request_id: RequestId
    ) -> None:
        """Remember that the server refused a request on a connection."""
        refused = self._refused.setdefault(connection, set())
        refused.add(request_id)
        if len(refused) > MAX_REFUSED_REQUESTS:
            connection.reusable = False

    def _take_idle_connection(
        self, request_id: RequestId, idempotent: bool
    ) -> HttpClientConnection | None:
        now = self.clock.now()
        # A late copy of the refusal would be taken for the answer to the repeat.
        skipped = [
            entry
            for entry in self._idle
            if request_id in self._refused.get(entry[0], ())
        ]
        candidates = [entry for entry in self._idle if entry not in skipped]
        taken = None
        while candidates:
            connection, deadline, idle_since = candidates.pop()
            if not connection.idle or now >= deadline:
                connection.close()
                continue
            if not idempotent and now > idle_since + RUN_ONCE_MAX_IDLE_S:
                candidates.append((connection, deadline, idle_since))
                break
            taken = connection
            break
        self._idle = skipped + candidates
        return taken
