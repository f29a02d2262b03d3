"""Own the servers of this node and the requests that run on them."""

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
# A server whose process ended gets no work before its next announcement, which
# ends this time early.
CRASH_BACKOFF_S = 3600.0


class RefusedRequest(RunningRequest):
    """Stand for a request that was refused at once."""

    def cancel(self) -> None:
        """Do nothing; there is nothing to give up."""

    def acknowledge(self, consumed: int) -> None:
        """Do nothing; there is no answer."""


class DispatchObserver:
    """Observe how work ends on servers; the default does nothing."""

    def on_outcome(self, server: Server, outcome: WorkOutcome) -> None:
        """React to the end of work."""

    def on_crash(self, request: HomeRequest, server: Server, detail: str) -> None:
        """React to a server whose process ended while a request ran there."""

    def on_completed(self, request: HomeRequest) -> None:
        """React to a complete answer."""

    def is_quarantined(self, request: HomeRequest) -> bool:
        """Tell whether a request must not run."""
        return False

    def is_suspect(self, request: HomeRequest) -> bool:
        """Tell whether a request was in flight in a crash."""
        return False


class Dispatcher(PoolOwner):
    """Give each request to the pool of its service."""

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
        """Apply the services in force to the servers here."""
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
        """Put a server into the pool of its service only."""
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
        # Only services with a server here have a pool, so that 2,900 services do
        # not cost memory on every node.
        if server.service not in self.pools:
            self.pools[server.service] = ServicePool(self, service)
        pool = self.pools[server.service]
        pool.add_server(server)
        pool.start_waiting_requests()

    def remove_server(self, instance: InstanceId) -> None:
        """Forget a server; work that runs there goes on."""
        server = self.servers.pop(instance, None)
        if server is None:
            return
        server.close_connections()
        for pool in self.pools.values():
            pool.remove_server(instance)

    def refresh_server(self, server: Server) -> None:
        """Apply a change of a server and start what may start."""
        for pool in self.pools.values():
            if server.instance in pool.servers:
                pool.refresh(server)
                pool.start_waiting_requests()

    def dispatch(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Run a request on a server here, or refuse it."""
        pool = self.pools.get(ServiceName(message.service))
        if pool is not None:
            return pool.offer(message, body, sink)
        detail = f"no server of service {message.service!r} has its home here"
        refusal = Refusal(Disposition.NOT_RUN, RefusalCause.NO_CAPACITY, 1.0, detail)
        sink.on_refused(refusal, HomeReport(1e6, 0))
        return RefusedRequest()

    def is_quarantined(self, request: HomeRequest) -> bool:
        """Tell whether a request must not run."""
        return self.observer.is_quarantined(request)

    def is_suspect(self, request: HomeRequest) -> bool:
        """Tell whether a request was in flight in a crash."""
        return self.observer.is_suspect(request)

    def on_attempt(
        self, request: HomeRequest, server: Server, attempt: FinishedAttempt
    ) -> None:
        """Judge how an attempt ended."""
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
        """Report a crash if the server's process has ended, and go on.

        A broken connection alone blames nobody: a legitimate request may meet two.
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
        """Judge a request whose deadline passed while it ran."""
        elapsed = self.clock.now() - request.exchange.started_at
        self._record(request, server, WorkOutcome.TIMED_OUT, elapsed)

    def on_cancelled(self, request: HomeRequest, server: Server) -> None:
        """Judge a request that its caller gave up."""
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
    """Return the first service by name that selects a server."""
    chosen = None
    for service in services:
        if not service.selector.matches(labels):
            continue
        if chosen is None or service.name < chosen.name:
            chosen = service
    return chosen


def classify_attempt(attempt: FinishedAttempt) -> WorkOutcome:
    """Return what an attempt says about its server."""
    if attempt.result is AttemptResult.NOT_SENT:
        return WorkOutcome.UNREACHABLE
    if attempt.result is AttemptResult.SHED:
        return WorkOutcome.SHED
    if attempt.result is not AttemptResult.COMPLETE:
        return WorkOutcome.FAILED
    if attempt.status >= FIRST_FAILURE_STATUS:
        return WorkOutcome.FAILED
    return WorkOutcome.SUCCEEDED
