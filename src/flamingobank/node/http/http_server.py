"""Serve HTTP to callers, servers and operators with circuits.web.

The parser of circuits.web has no size limits and accepts ambiguous framing, and its
TCP server queues output without a bound. Therefore httptools parses the requests, on
connections of flamingobank.loop, and each request is fired as a request event of
circuits.web, whose HTTP component renders the fleet's own answers.
"""

import socket
from collections.abc import Callable

from circuits import BaseComponent, Event, handler
from circuits.web.events import request as request_event
from circuits.web.http import HTTP

from flamingobank.core import Clock
from flamingobank.loop import (
    Address,
    Listener,
    Poller,
    Timers,
)
from flamingobank.node.http.caller_connection import CallerConnection
from flamingobank.node.http.caller_request import CallerRequest, CallerResponse
from flamingobank.settings import CallerLimits

DEADLINE_CHECK_INTERVAL_S = 0.5
DRAIN_IDLE_DELAY_S = 2.0


class answer_rendered(Event):  # noqa: N801
    """Fired when the write events of an answer of the fleet itself were handled."""


class ResponseRenderer(HTTP):
    """Render answers; requests come from HttpServer, not from read events."""

    @handler("read", override=True)
    def _on_read(self, *args) -> None:
        """Ignore read events: CallerConnection parses the input."""


class HttpServer(BaseComponent):
    """Accept connections and fire a circuits.web request event for each request."""

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        address: Address,
        limits: CallerLimits,
        channel: str,
    ) -> None:
        super().__init__(channel=channel)
        self.poller = poller
        self.clock = clock
        self.limits = limits
        self.draining = False
        self._close_idle_at = 0.0
        self.secure = False
        self.display_banner = False
        self.refusals: dict[int, int] = {}
        self._connections: set[CallerConnection] = set()
        self._in_flight_by_caller: dict[str, int] = {}
        self.http = ResponseRenderer(self, channel=channel).register(self)
        self._listener: Listener | None = Listener(poller, address, self._accept)
        self.address = self._listener.address
        self.on_idle: Callable[[], None] | None = None
        timers.call_every(DEADLINE_CHECK_INTERVAL_S, self._check_deadlines)

    @property
    def host(self) -> str:
        """Return the IP address this server listens on."""
        return self.address[0]

    @property
    def port(self) -> int:
        """Return the port this server listens on."""
        return self.address[1]

    @property
    def connection_count(self) -> int:
        """Return the number of open connections."""
        return len(self._connections)

    @property
    def busy_count(self) -> int:
        """Return the number of connections with a request in flight."""
        return sum(1 for connection in self._connections if connection.busy)

    def on_request(self, connection: CallerConnection) -> None:
        """Fire the request event for a request that has been read."""
        request = CallerRequest(connection, self)
        event = request_event(request, CallerResponse(request))
        # No handler uses the completion event, for which circuits would create a class
        # per request.
        event.complete = False
        self.fire(event, self.channel)

    def remove(self, connection: CallerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def try_begin_request(self, caller: str) -> bool:
        """Count a request of a caller as in flight; return False if it has too many."""
        count = self._in_flight_by_caller.get(caller, 0)
        if count >= self.limits.max_streams_per_caller:
            return False
        self._in_flight_by_caller[caller] = count + 1
        return True

    def end_request(self, caller: str) -> None:
        """Stop counting a request of a caller as in flight."""
        left = self._in_flight_by_caller[caller] - 1
        if left:
            self._in_flight_by_caller[caller] = left
        else:
            del self._in_flight_by_caller[caller]

    def count_refusal(self, status: int) -> None:
        """Count a request that was refused before it reached a handler, by status."""
        self.refusals[status] = self.refusals.get(status, 0) + 1

    def drain(self) -> None:
        """Stop accepting connections, and close each open one after its answer.

        Idle connections are closed after DRAIN_IDLE_DELAY_S.
        """
        self.draining = True
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        # A caller that sends requests at short intervals gets the close with its next
        # answer. Closing its idle connection now could cross a request in transit.
        self._close_idle_at = self.clock.now() + DRAIN_IDLE_DELAY_S

    @handler("write")
    def _on_write(self, connection: CallerConnection, data: bytes) -> None:
        connection.write(data)

    @handler("close")
    def _on_close(self, connection: CallerConnection | None = None) -> None:
        if connection is not None:
            connection.close()

    @handler("response", priority=-1)
    def _on_response_sent(self, response: CallerResponse) -> None:
        """Finish an answer of the fleet itself once it has been rendered."""
        # The HTTP component has queued the write events of the answer, so this event is
        # handled after them.
        self.fire(answer_rendered(response), self.channel)

    @handler("answer_rendered")
    def _on_answer_rendered(self, response: CallerResponse) -> None:
        connection = response.request.sock
        if not connection.closed and connection.busy:
            connection.finish_answer(keep=not response.close)

    def _accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= self.limits.max_connections:
            self.count_refusal(503)
            sock.close()
            return
        try:
            connection = CallerConnection(self, sock)
        except OSError:
            # The caller disconnected before its address was read.
            sock.close()
            return
        self._connections.add(connection)

    def _check_deadlines(self) -> None:
        now = self.clock.now()
        for connection in list(self._connections):
            if connection.busy and not connection.closing:
                # A request in progress ends at its own deadline, even if the caller
                # stops reading, so its connection is not checked here.
                continue
            if connection.is_stalled(now):
                connection.abort()
                continue
            if connection.closing:
                continue
            if self.draining and now >= self._close_idle_at:
                connection.close_if_unused()
                continue
            age_ms = (now - connection.phase_started_at) * 1000
            if connection.reading_request:
                if age_ms > self.limits.request_timeout_ms:
                    connection.refuse(408)
                continue
            if age_ms > self.limits.idle_timeout_ms:
                connection.close()
