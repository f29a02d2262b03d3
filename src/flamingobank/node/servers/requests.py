"""Track one request at its home from its arrival to its outcome."""

import abc
import random
from collections.abc import Callable

from flamingobank.admission import Work
from flamingobank.balancing import SelectionCriteria
from flamingobank.core import (
    Clock,
    Fingerprint,
    InstanceId,
    RequestId,
    RouteName,
    WorkspaceId,
)
from flamingobank.loop import Poller, TimerHandle, Timers
from flamingobank.node.links.exchange import AnswerSink, RunningRequest
from flamingobank.node.servers.servers import Server
from flamingobank.node.servers.upstream import FinishedAttempt, UpstreamExchange
from flamingobank.objects import TrafficClass
from flamingobank.quarantine import compute_fingerprint
from flamingobank.wire import OpenRequest


class RequestPool(abc.ABC):
    """The pool that a request belongs to, as the request sees it."""

    @abc.abstractmethod
    def cancel(self, request: "HomeRequest") -> None:
        """Cancel a request that waits or runs."""


class HomeRequest(RunningRequest):
    """One request at its home, with its queue entry and its exchange with a server."""

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
        pool: RequestPool,
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
        """Return a fingerprint that is equal for copies of this request on all nodes.

        It is computed on first use, as it hashes the body.
        """
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

    def make_selection_criteria(self) -> SelectionCriteria:
        """Return the properties on which the choice of a server depends."""
        return SelectionCriteria(self.message.idempotent, self.tried)

    def cancel(self) -> None:
        """Cancel the request; the sink is not called again."""
        if not self.finished:
            self.pool.cancel(self)

    def acknowledge(self, consumed: int) -> None:
        """Report how many further bytes of the answer the caller has received."""
        if self.exchange is not None:
            self.exchange.acknowledge(consumed)


class PoolOwner(abc.ABC):
    """What a pool needs from the dispatcher, which is notified of the outcomes."""

    poller: Poller
    timers: Timers
    clock: Clock
    rng: random.Random
    running: set[HomeRequest]

    @abc.abstractmethod
    def is_quarantined(self, request: HomeRequest) -> bool:
        """Return whether a request crashed servers and must be refused as not run."""

    @abc.abstractmethod
    def is_suspect(self, request: HomeRequest) -> bool:
        """Return whether a request may have been in flight in a crash."""

    @abc.abstractmethod
    def on_attempt(
        self, request: HomeRequest, server: Server, attempt: FinishedAttempt
    ) -> None:
        """Record the outcome of an attempt in the server's health."""

    @abc.abstractmethod
    def check_crash(
        self,
        request: HomeRequest,
        server: Server,
        detail: str,
        on_checked: Callable[[], None],
    ) -> None:
        """Report a crash if the server's process has ended, then call `on_checked`."""

    @abc.abstractmethod
    def on_timeout(self, request: HomeRequest, server: Server) -> None:
        """Record a request whose deadline passed while it ran."""

    @abc.abstractmethod
    def on_cancelled(self, request: HomeRequest, server: Server) -> None:
        """Record a request that its caller cancelled while it ran."""
