"""Transport for store calls over HTTP connections of the circuits loop."""

import math
from collections.abc import Callable

from flamingobank.core import Clock
from flamingobank.loop import (
    Address,
    AnswerHandler,
    HttpClientConnection,
    Poller,
    Timers,
)
from flamingobank.store.calls import (
    Answer,
    CallFailed,
    StoreAnswer,
    StoreCall,
    encode_http,
)
from flamingobank.store.interfaces import Transport

MAX_IDLE_CONNECTIONS = 2
# A connection may go silent while it is idle, which only a call without an answer
# shows. One that has been idle for longer is replaced, which costs a round trip.
MAX_IDLE_S = 1.0
# Pages and values hold up to 1 MB, and JSON escapes can triple their size.
MAX_ANSWER_BYTES = 4_000_000


class LoopTransport(Transport):
    """Send each call over an idle connection or a new one."""

    def __init__(
        self, poller: Poller, timers: Timers, clock: Clock, address: Address, token: str
    ) -> None:
        self.poller = poller
        self._timers = timers
        self._clock = clock
        self._address = address
        self._host = f"{address[0]}:{address[1]}"
        self._token = token
        # Each with the time until which it may be used again.
        self._idle: list[tuple[HttpClientConnection, float]] = []

    def send(self, call: StoreCall, on_answer: Callable[[Answer], None]) -> None:
        """Send a call; report its answer or failure once, within its timeout."""
        connection = self._take_idle_connection()
        reused = connection is not None
        if connection is None:
            connection = HttpClientConnection(self.poller, self._address)
        exchange = StoreExchange(self, connection, reused, on_answer)
        exchange.timeout = self._timers.call_at(
            self._clock.now() + call.timeout_s, exchange.on_timeout
        )
        request = encode_http(call, self._host, self._token)
        exchange.connection.send(request, exchange)

    def release(self, connection: HttpClientConnection) -> None:
        """Keep a connection for a later call, or close it if it is not needed."""
        self._close_outdated()
        if connection.idle and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append((connection, self._clock.now() + MAX_IDLE_S))
            return
        connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            connection, _ = self._idle.pop()
            connection.close()

    def _take_idle_connection(self) -> HttpClientConnection | None:
        self._close_outdated()
        while self._idle:
            connection, _ = self._idle.pop()
            if connection.idle:
                return connection
        return None

    def _close_outdated(self) -> None:
        now = self._clock.now()
        outdated = [connection for connection, until in self._idle if now > until]
        self._idle = [(kept, until) for kept, until in self._idle if now <= until]
        for connection in outdated:
            connection.close()


class StoreExchange(AnswerHandler):
    """Collect the answer to one call and report it once."""

    def __init__(
        self,
        transport: LoopTransport,
        connection: HttpClientConnection,
        reused: bool,
        on_answer: Callable[[Answer], None],
    ) -> None:
        self.connection = connection
        self.timeout = None
        self._reused = reused
        self._transport = transport
        self._on_answer = on_answer
        self._status = 0
        self._headers: dict[str, str] = {}
        self._arrived_after = -math.inf
        self._body: list[bytes] = []
        self._size = 0

    def on_answer_head(self, status: int, headers) -> None:
        self._status = status
        self._arrived_after = self._transport.poller.found_after
        self._headers = {
            name.decode("latin-1").lower(): value.decode("latin-1")
            for name, value in headers
        }

    def on_answer_part(self, data: bytes) -> None:
        self._size += len(data)
        if self._size > MAX_ANSWER_BYTES:
            self._abort(f"the answer is larger than {MAX_ANSWER_BYTES} bytes")
            return
        self._body.append(data)

    def on_answer_end(self) -> None:
        body = b"".join(self._body)
        answer = StoreAnswer(self._status, self._headers, body, self._arrived_after)
        if self._finish(answer):
            self._transport.release(self.connection)

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        self._finish(CallFailed(reason, sent, self._reused))

    def on_timeout(self) -> None:
        """Cancel the call when its timeout is over."""
        # What silenced this connection may have silenced the idle ones too.
        self._transport.close()
        self._abort("no answer before the timeout")

    def _abort(self, reason: str) -> None:
        sent = self.connection.connected
        self.connection.cancel()
        self._finish(CallFailed(reason, sent, self._reused))

    def _finish(self, answer: Answer) -> bool:
        """Report the answer unless one was reported; tell whether this was done."""
        if self._on_answer is None:
            return False
        if self.timeout is not None:
            self.timeout.cancel()
        on_answer, self._on_answer = self._on_answer, None
        on_answer(answer)
        return True
