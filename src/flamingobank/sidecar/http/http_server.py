"""Serve HTTP/1.1 with pipelining; answers are sent in the order of their requests."""

import socket
from collections.abc import Callable

from flamingobank.core import Clock
from flamingobank.loop import Address, Listener, Poller, Timers
from flamingobank.sidecar.decisions.memory_account import MemoryAccount, ShedReason
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.http.caller_connection import (
    CallerConnection,
    ConnectionOwner,
)
from flamingobank.sidecar.http.caller_limits import CallerLimits
from flamingobank.sidecar.http.caller_request import CallerRequest

DEADLINE_CHECK_INTERVAL_S = 0.5


class HttpServer(ConnectionOwner):
    """Accept connections and pass their requests to a callback."""

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        address: Address,
        limits: Callable[[], RequestLimits],
        on_request: Callable[[CallerRequest], None],
        on_malformed: Callable[[str], None] = lambda reason: None,
        memory: MemoryAccount | None = None,
        max_descriptors: int | None = None,
        on_shed: Callable[[ShedReason], None] = lambda reason: None,
        reserved_connections: int = 0,
    ) -> None:
        self.poller = poller
        self.timers = timers
        self.clock = clock
        self.limits = limits
        self.on_request = on_request
        self.on_malformed = on_malformed
        self.draining = False
        self.connections: set[CallerConnection] = set()
        self.caller_limits = CallerLimits(
            clock,
            timers,
            poller,
            self.connections,
            memory or MemoryAccount(),
            max_descriptors,
            on_shed,
            reserved_connections,
        )
        self._listener: Listener | None = Listener(poller, address, self._accept)
        self.address = self._listener.address
        timers.call_every(DEADLINE_CHECK_INTERVAL_S, self._check_deadlines)

    @property
    def output_bytes(self) -> int:
        """Return how many bytes wait to be sent to callers."""
        return sum(caller.connection.output_bytes for caller in self.connections)

    def remove(self, connection: CallerConnection) -> None:
        self.connections.discard(connection)

    def drain(self) -> None:
        """Close idle connections and others after their answers; keep accepting."""
        self.draining = True
        self._close_idle()

    def close(self) -> None:
        """Stop accepting connections and close idle ones."""
        if self._listener is not None:
            self._listener.close()
            self._listener = None
        self._close_idle()

    def _close_idle(self) -> None:
        for connection in list(self.connections):
            if connection.is_idle:
                connection.finish_if_unused()

    def _accept(self, sock: socket.socket) -> None:
        if not self.caller_limits.make_descriptor_room():
            sock.close()
            return
        self.connections.add(CallerConnection(self, sock))

    def _check_deadlines(self) -> None:
        now = self.clock.now()
        for connection in list(self.connections):
            connection.check_deadlines(now)
