"""Dispatch requests to the servers of this node and record their outcomes."""

import random
from collections.abc import Callable, Iterable, Mapping

from flamingobank.core import (
    Clock,
    Disposition,
    InstanceId,
    Refusal,
    RefusalCause,
    ServiceName,
)
from flamingobank.health import SLOW_FACTOR, WorkOutcome
from flamingobank.loop import Poller, Timers
from flamingobank.node.links.exchange import AnswerSink, HomeReport, RunningRequest
from flamingobank.node.servers.pool import ServicePool
from flamingobank.node.servers.process_check import ProcessCheck
from flamingobank.node.servers.requests import HomeRequest, PoolOwner
from flamingobank.node.servers.servers import Server
from flamingobank.node.servers.upstream import AttemptResult, FinishedAttempt
from flamingobank.objects import Service
from flamingobank.wire import OpenRequest

FIRST_FAILURE_STATUS = 500
REFRESH_INTERVAL_S = 0.1
# A server whose process has ended gets no requests for this time. Its next announcement
# limits the remaining time to CONNECT_BACKOFF_S.
CRASH_BACKOFF_S = 3600.0


class RefusedRequest(RunningRequest):
    """Handle of a request that was refused immediately."""

    def cancel(self) -> None:
        """Do nothing; the request has already ended."""

    def acknowledge(self, consumed: int) -> None:
        """Do nothing; there is no answer."""


class DispatchObserver:
    """Callbacks for the outcomes of requests on servers; the defaults do nothing."""

    def on_outcome(self, server: Server, outcome: WorkOutcome) -> None:
        """Handle the outcome of a request that ran on a server."""

    def on_crash(self, request: HomeRequest, server: Server, detail: str) -> None:
        """Handle the crash of a server on which a request was in flight."""

    def on_completed(self, request: HomeRequest) -> None:
        """Handle a request that got a complete answer without a server error."""

    def is_quarantined(self, request: HomeRequest) -> bool:
        """Return whether a request crashed servers and must be refused as not run."""
        return False

    def is_suspect(self, request: HomeRequest) -> bool:
        """Return whether a request may have been in flight in a crash."""
        return False


class Dispatcher(PoolOwner):
    """Offer each request to the pool of its service and record its outcome."""

    def __init__(
        self, poller: Poller, timers: Timers, clock: Clock, rng: random.Random
    ) -> None:
        self.poller = poller
        self.timers = timers
        self.clock = clock
        self.rng = rng
        self.servers: dict[InstanceId, Server] = {}
        self.pools: dict[ServiceName, ServicePool] = {}
        self.running: set[HomeRequest] = set()
        self.observer = DispatchObserver()
        self.list_services: Callable[[], Iterable[Service]] = tuple
        self.select_service: Callable[[Mapping[str, str]], Service | None] = (
            lambda labels: select_service(labels, self.list_services())
        )
        timers.call_every(REFRESH_INTERVAL_S, self._refresh_pools)

    def update_services(self) -> None:
        """Reassign the servers of this node after the configured services changed."""
        services = {service.name: service for service in self.list_services()}
        for name in list(self.pools):
            if name in services:
                self.pools[name].service = services[name]
                continue
            pool = self.pools.pop(name)
            pool.refuse_waiting(RefusalCause.NO_ROUTE, f"service {name} was deleted")
        for server in list(self.servers.values()):
            self._assign_pool(server)

    def place_server(self, server: Server) -> None:
        """Register a server and assign it to the pool of its service only."""
        self.servers[server.instance] = server
        self._assign_pool(server)

    def _assign_pool(self, server: Server) -> None:
        service = self.select_service(server.labels)
        server.service = None if service is None else ServiceName(service.name)
        for name, pool in self.pools.items():
            if name != server.service:
                pool.remove_server(server.instance)
        if service is None:
            return
        # Pools exist only for services that have had a server here, so that not every
        # node needs memory for all 2,900 services.
        if server.service not in self.pools:
            self.pools[server.service] = ServicePool(self, service)
        pool = self.pools[server.service]
        pool.add_server(server)
        pool.start_waiting_requests()

    def remove_server(self, instance: InstanceId) -> None:
        """Remove a server; requests that run on it continue."""
        server = self.servers.pop(instance, None)
        if server is None:
            return
        server.close_connections()
        for pool in self.pools.values():
            pool.remove_server(instance)

    def refresh_server(self, server: Server) -> None:
        """Apply a change of a server's slots and start waiting requests."""
        for pool in self.pools.values():
            if server.instance in pool.servers:
                pool.refresh(server)
                pool.start_waiting_requests()

    def dispatch(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Offer a request to its service's pool, or refuse it if there is no pool."""
        pool = self.pools.get(ServiceName(message.service))
        if pool is not None:
            return pool.offer(message, body, sink)
        detail = f"no server of service {message.service!r} has its home here"
        refusal = Refusal(Disposition.NOT_RUN, RefusalCause.NO_CAPACITY, 1.0, detail)
        sink.on_refused(refusal, HomeReport(1e6, 0))
        return RefusedRequest()

    def is_quarantined(self, request: HomeRequest) -> bool:
        """Return whether a request crashed servers and must be refused as not run."""
        return self.observer.is_quarantined(request)

    def is_suspect(self, request: HomeRequest) -> bool:
        """Return whether a request may have been in flight in a crash."""
        return self.observer.is_suspect(request)

    def on_attempt(
        self, request: HomeRequest, server: Server, attempt: FinishedAttempt
    ) -> None:
        """Record the outcome of an attempt in the server's health."""
        if attempt.result is AttemptResult.NOT_SENT:
            server.connect_failures += 1
        else:
            server.connect_failures = 0
        outcome = classify_attempt(attempt)
        if outcome is WorkOutcome.SUCCEEDED:
            server.slots.note_success()
            self.observer.on_completed(request)
        end = attempt.head_at if attempt.was_paused else attempt.ended_at
        self._record(request, server, outcome, end - attempt.started_at)

    def check_crash(
        self,
        request: HomeRequest,
        server: Server,
        detail: str,
        on_checked: Callable[[], None],
    ) -> None:
        """Report a crash if the server's process has ended, then call `on_checked`.

        A broken connection alone is not reported as a crash. Otherwise a harmless
        request whose connections to two servers break would be quarantined.
        """

        def on_result(ended: bool) -> None:
            if ended:
                server.unreachable_until = self.clock.now() + CRASH_BACKOFF_S
                self.refresh_server(server)
                self.observer.on_crash(request, server, detail)
            on_checked()

        ProcessCheck(
            self.poller, self.timers, self.clock.now(), server.address, on_result
        )

    def on_timeout(self, request: HomeRequest, server: Server) -> None:
        """Record a request whose deadline passed while it ran."""
        elapsed = self.clock.now() - request.exchange.started_at
        self._record(request, server, WorkOutcome.TIMED_OUT, elapsed)

    def on_cancelled(self, request: HomeRequest, server: Server) -> None:
        """Record a request that its caller cancelled while it ran."""
        elapsed = self.clock.now() - request.exchange.started_at
        self._record(request, server, WorkOutcome.CANCELLED, elapsed)

    def _record(
        self,
        request: HomeRequest,
        server: Server,
        outcome: WorkOutcome,
        latency_s: float,
    ) -> None:
        now = self.clock.now()
        server.health.record(outcome, latency_s, now, request.work.request_id)
        slow = latency_s > SLOW_FACTOR * request.work.expected_s
        server.readmission.record(outcome, now, slow)
        self.observer.on_outcome(server, outcome)

    def _refresh_pools(self) -> None:
        for pool in self.pools.values():
            pool.refresh_all()


def select_service(
    labels: Mapping[str, str], services: Iterable[Service]
) -> Service | None:
    """Return the first service in name order whose selector matches the labels."""
    chosen = None
    for service in services:
        if not service.selector.matches(labels):
            continue
        if chosen is None or service.name < chosen.name:
            chosen = service
    return chosen


def classify_attempt(attempt: FinishedAttempt) -> WorkOutcome:
    """Return the outcome that an attempt counts as in its server's health."""
    if attempt.result is AttemptResult.NOT_SENT:
        return WorkOutcome.UNREACHABLE
    if attempt.result is AttemptResult.SHED:
        return WorkOutcome.SHED
    if attempt.result is not AttemptResult.COMPLETE:
        return WorkOutcome.FAILED
    if attempt.status >= FIRST_FAILURE_STATUS:
        return WorkOutcome.FAILED
    return WorkOutcome.SUCCEEDED
