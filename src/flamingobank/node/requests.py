"""Hold a request at its home node from its arrival to its answer."""

from typing import TYPE_CHECKING

from flamingobank.admission import Work
from flamingobank.balancing import Work as Choice
from flamingobank.core import Fingerprint, InstanceId, RequestId, RouteName, WorkspaceId
from flamingobank.loop import TimerHandle
from flamingobank.node.exchange import AnswerSink, RunningRequest
from flamingobank.node.upstream import UpstreamExchange
from flamingobank.objects import TrafficClass
from flamingobank.quarantine import compute_fingerprint
from flamingobank.wire import OpenRequest

if TYPE_CHECKING:
    from flamingobank.node.pool import ServicePool


class HomeRequest(RunningRequest):
    """Join a request, its place in the queue and its run on a server."""

    __slots__ = (
        "_fingerprint",
        "attempts",
        "body",
        "exchange",
        "finished",
        "message",
        "pool",
        "sink",
        "timer",
        "tried",
        "work",
    )

    def __init__(
        self,
        pool: "ServicePool",
        message: OpenRequest,
        body: bytes,
        sink: AnswerSink,
        now: float,
    ) -> None:
        self.pool = pool
        self.message = message
        self.body = body
        self.sink = sink
        self.work = Work(
            RequestId(message.request_id),
            RouteName(message.route),
            WorkspaceId(message.workspace),
            TrafficClass(message.traffic_class),
            now + message.remaining_ms / 1000,
            message.expected_ms / 1000,
            message.idempotent,
            message.attempt - 1,
        )
        self.attempts = 0
        self.tried: frozenset[InstanceId] = frozenset()
        self.exchange: UpstreamExchange | None = None
        self.finished = False
        self.timer: TimerHandle | None = None
        self._fingerprint: Fingerprint | None = None

    @property
    def fingerprint(self) -> Fingerprint:
        """Return what copies of this request have in common on all nodes."""
        if self._fingerprint is None:
            message = self.message
            self._fingerprint = compute_fingerprint(
                RouteName(message.route),
                message.key,
                message.method,
                message.target.decode("latin-1"),
                self.body,
            )
        return self._fingerprint

    def make_choice(self) -> Choice:
        """Return the request as far as the choice of a server depends on it."""
        return Choice(self.message.idempotent, self.tried)

    def cancel(self) -> None:
        """Give the request up; nothing more reaches the sink."""
        if not self.finished:
            self.pool.cancel(self)

    def acknowledge(self, consumed: int) -> None:
        """Report bytes that the caller has taken."""
        if self.exchange is not None:
            self.exchange.acknowledge(consumed)
