"""Announce the simulated upstream to the fleet and renew the announcement."""

import json
from collections.abc import Callable

from flamingobank.core import Clock
from flamingobank.loop import (
    Address,
    AnswerHandler,
    HttpClientConnection,
    Poller,
    TimerHandle,
    Timers,
)

RENEW_INTERVAL_S = 1.0
RETRY_DELAY_S = 0.1
RESPONSE_TIMEOUT_S = 0.7
MAX_REDIRECTS = 3


class Announcer(AnswerHandler):
    """Renew the announcement at the home node.

    Known nodes are tried in turn until one answers, at the start and whenever the
    home node fails. A redirect gives the address of the home node.
    """

    def __init__(
        self,
        poller: Poller,
        timers: Timers,
        clock: Clock,
        nodes: list[Address],
        describe: Callable[[], dict],
        on_drain: Callable[[bool], None],
    ) -> None:
        self.home: str | None = None
        self._poller = poller
        self._timers = timers
        self._clock = clock
        self._nodes = nodes
        self._describe = describe
        self._on_drain = on_drain
        self._next_node_index = 0
        self._address: Address | None = None
        self._connection: HttpClientConnection | None = None
        self._redirects = 0
        self._status = 0
        self._body: list[bytes] = []
        self._timeout: TimerHandle | None = None
        self._next_announcement: TimerHandle | None = None

    def announce(self) -> None:
        """Send an announcement now, unless one is still unanswered."""
        if self._next_announcement is not None:
            self._next_announcement.cancel()
        if self._timeout is not None:
            return
        if self._address is None:
            self._address = self._nodes[self._next_node_index % len(self._nodes)]
            self._next_node_index += 1
        if self._connection is None or not self._connection.idle:
            self._connection = HttpClientConnection(self._poller, self._address)
        fields = self._describe()
        fields["final"] = self._redirects >= MAX_REDIRECTS
        body = json.dumps(fields).encode()
        host = f"{self._address[0]}:{self._address[1]}".encode()
        self._body.clear()
        self._timeout = self._timers.call_at(
            self._clock.now() + RESPONSE_TIMEOUT_S, self._on_timeout
        )
        self._connection.send(
            b"POST /.flamingobank/announce HTTP/1.1\r\nhost: %s\r\n"
            b"content-type: application/json\r\ncontent-length: %d\r\n\r\n%s"
            % (host, len(body), body),
            self,
        )

    def on_answer_head(self, status: int, headers: list) -> None:
        self._status = status

    def on_answer_part(self, data: bytes) -> None:
        self._body.append(data)

    def on_answer_end(self) -> None:
        self._timeout.cancel()
        self._timeout = None
        fields = _parse_json_object(b"".join(self._body))
        if self._status == 307 and "address" in fields:
            self._follow_redirect(fields["address"])
            return
        self._redirects = 0
        if self._status != 200:
            self._retry_other_node()
            return
        self.home = fields.get("home")
        if isinstance(fields.get("drain"), bool):
            self._on_drain(fields["drain"])
        self._schedule(RENEW_INTERVAL_S)

    def on_answer_failed(self, reason: str, sent: bool) -> None:
        if self._timeout is not None:
            self._timeout.cancel()
            self._timeout = None
        self._retry_other_node()

    def _follow_redirect(self, text: str) -> None:
        self._redirects += 1
        host, _, port = text.rpartition(":")
        self._connection.close()
        self._connection = None
        self._address = (host, int(port))
        self.announce()

    def _on_timeout(self) -> None:
        self._timeout = None
        self._connection.cancel()
        self._retry_other_node()

    def _retry_other_node(self) -> None:
        self.home = None
        self._address = None
        self._connection = None
        self._schedule(RETRY_DELAY_S)

    def _schedule(self, delay_s: float) -> None:
        self._next_announcement = self._timers.call_at(
            self._clock.now() + delay_s, self.announce
        )


def _parse_json_object(data: bytes) -> dict:
    try:
        fields = json.loads(data)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}
