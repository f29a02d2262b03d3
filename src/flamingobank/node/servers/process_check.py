"""Check whether a server that broke a connection still has a running process."""

from collections.abc import Callable

from flamingobank.loop import (
    Address,
    Connection,
    ConnectionHandler,
    Poller,
    Timers,
    connect,
)

CHECK_TIMEOUT_S = 0.1


class ProcessCheck(ConnectionHandler):
    """Connect once and report whether the server's process has ended.

    A refused connection means that no process listens. After any other result, a
    timeout included, the process counts as running.
    """

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        now: float,
        address: Address,
        on_result: Callable[[bool], None],
    ) -> None:
        self._on_result: Callable[[bool], None] | None = on_result
        timers.call_at(now + CHECK_TIMEOUT_S, lambda: self._finish(False))
        self._connection: Connection = connect(poller, address, self)

    def on_connected(self) -> None:
        self._finish(False)

    def on_data(self, data: bytes) -> None:
        """Ignore data, which may arrive although the check sends no request."""

    def on_closed(self, reason: str) -> None:
        self._finish("ECONNREFUSED" in reason)

    def _finish(self, ended: bool) -> None:
        on_result = self._on_result
        if on_result is None:
            return
        self._on_result = None
        self._connection.close("checked")
        on_result(ended)
