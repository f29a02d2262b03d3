"""Run requests on the servers that this node is the home of."""

from collections import deque
from collections.abc import Callable, Iterable

from flamingobank.core import Clock, Disposition, Reason, Refusal
from flamingobank.loop import Poller, TimerHandle, Timers
from flamingobank.node.exchange import AnswerSink, Load, RunningRequest
from flamingobank.node.upstream import Attempt, AttemptResult, Server, UpstreamExchange
from flamingobank.objects import Service
from flamingobank.wire import OpenRequest

# A request is sent to at most this many servers of one home; each earlier try
# was surely not run.
MAX_LOCAL_ATTEMPTS = 3
SHED_BACKOFF_S = 0.2
CONNECT_BACKOFF_S = 0.5
# Requests after which the mean service time has settled.
SERVICE_TIME_WEIGHT = 0.05
SERVICE_TIME_START_S = 0.02


class HomeRequest(RunningRequest):
    """Hold one request from its arrival at the home to its answer."""

    __slots__ = (
        "attempts",
        "body",
        "deadline",
        "exchange",
        "finished",
        "message",
        "pool",
        "sink",
        "timer",
    )

    def __init__(
        self, message: OpenRequest, body: bytes, sink: AnswerSink, deadline: float
    ) -> None:
        self.message = message
        self.body = body
        self.sink = sink
        self.deadline = deadline
        self.attempts = 0
        self.exchange: UpstreamExchange | None = None
        self.pool: ServicePool | None = None
        self.finished = False
        self.timer: TimerHandle | None = None

    def cancel(self) -> None:
        """Give the request up; nothing more reaches the sink."""
        if self.finished:
            return
        self.pool.cancel(self)

    def acknowledge(self, consumed: int) -> None:
        """Report bytes that the caller has taken."""
        if self.exchange is not None:
            self.exchange.acknowledge(consumed)


class ServicePool:
    """Queue the requests of one service and start them on its servers here."""

    def __init__(self, dispatcher: "Dispatcher", service: Service) -> None:
        self.service = service
        self.servers: list[Server] = []
        self._dispatcher = dispatcher
        self._queue: deque[HomeRequest] = deque()
        self._service_time_s = SERVICE_TIME_START_S

    @property
    def in_service(self) -> list[Server]:
        """Return the servers that may get new work."""
        return [
            server
            for server in self.servers
            if not server.ejected and not server.draining
        ]

    def read_load(self) -> Load:
        """Return the queue delay and the free slots of the service here."""
        free = 0
        slots = 0
        for server in self.servers:
            if server.ejected or server.draining:
                continue
            slots += server.slots
            free += server.slots - server.in_use
        if not slots:
            return Load(1e6, 0)
        delay = len(self._queue) * self._service_time_s / slots
        return Load(delay * 1000, free)

    def offer(self, request: HomeRequest) -> None:
        """Start a request now or queue it until a slot is free."""
        request.pool = self
        now = self._dispatcher.clock.now()
        if now >= request.deadline:
            self._refuse(request, Reason.DEADLINE, "its deadline has passed")
            return
        if not self.in_service:
            self._refuse(request, Reason.NO_CAPACITY, "no server in service here")
            return
        self._queue.append(request)
        request.timer = self._dispatcher.timers.call_at(
            request.deadline, lambda: self._expire(request)
        )
        self.start_waiting()

    def start_waiting(self) -> None:
        """Start queued requests while there are free slots."""
        while self._queue:
            server = self._choose_server()
            if server is None:
                return
            request = self._queue.popleft()
            if request.finished:
                continue
            self._start(request, server)

    def cancel(self, request: HomeRequest) -> None:
        """Give a request up."""
        exchange = request.exchange
        self._finish(request)
        if exchange is None:
            return
        exchange.cancel()
        exchange.server.release()
        self._dispatcher.start_waiting(exchange.server)

    def refuse_all(self, reason: Reason, detail: str) -> None:
        """Refuse the queued requests, none of which was run."""
        waiting = list(self._queue)
        self._queue.clear()
        for request in waiting:
            if not request.finished:
                self._refuse(request, reason, detail)

    def _choose_server(self) -> Server | None:
        now = self._dispatcher.clock.now()
        best = None
        for server in self.in_service:
            if server.in_use >= server.slots or server.backoff_until > now:
                continue
            if best is None or server.in_use < best.in_use:
                best = server
        return best

    def _start(self, request: HomeRequest, server: Server) -> None:
        dispatcher = self._dispatcher
        now = dispatcher.clock.now()
        server.acquire(now)
        request.attempts += 1
        exchange = UpstreamExchange(
            dispatcher.poller,
            server,
            request.message.request_id,
            request.sink,
            now,
            dispatcher.clock.now,
            self.read_load,
            lambda exchange, attempt: self._end_attempt(request, exchange, attempt),
        )
        request.exchange = exchange
        exchange.send(
            render_request(request.message, request.body, request.deadline - now)
        )

    def _end_attempt(
        self, request: HomeRequest, exchange: UpstreamExchange, attempt: Attempt
    ) -> None:
        server = exchange.server
        server.release()
        self._dispatcher.on_attempt(self, request, server, attempt)
        if attempt.result is AttemptResult.COMPLETE:
            elapsed = attempt.ended_at - attempt.started_at
            self._service_time_s += SERVICE_TIME_WEIGHT * (
                elapsed - self._service_time_s
            )
        if attempt.result in (AttemptResult.COMPLETE, AttemptResult.BROKEN_AFTER_HEAD):
            self._finish(request)
        else:
            self._continue_after_failure(request, server, attempt)
        self._dispatcher.start_waiting(server)

    def _continue_after_failure(
        self, request: HomeRequest, server: Server, attempt: Attempt
    ) -> None:
        now = self._dispatcher.clock.now()
        request.exchange = None
        if attempt.result is AttemptResult.BROKEN_BEFORE_HEAD:
            self._refuse(request, Reason.BROKEN, attempt.detail, Disposition.UNKNOWN)
            return
        if attempt.result is AttemptResult.SHED:
            server.backoff_until = now + SHED_BACKOFF_S
        else:
            server.backoff_until = now + CONNECT_BACKOFF_S
        if request.attempts >= MAX_LOCAL_ATTEMPTS or now >= request.deadline:
            self._refuse(request, Reason.SHED, attempt.detail)
            return
        self._queue.appendleft(request)
        self._dispatcher.timers.call_at(server.backoff_until, self.start_waiting)

    def _expire(self, request: HomeRequest) -> None:
        if request.finished:
            return
        if request.exchange is None:
            self._refuse(request, Reason.DEADLINE, "its deadline passed in the queue")
            return
        exchange = request.exchange
        exchange.cancel()
        exchange.server.release()
        self._refuse(
            request,
            Reason.DEADLINE,
            "its deadline passed while it ran",
            Disposition.UNKNOWN,
        )
        self._dispatcher.start_waiting(exchange.server)

    def _refuse(
        self,
        request: HomeRequest,
        reason: Reason,
        detail: str,
        disposition: Disposition = Disposition.NOT_RUN,
    ) -> None:
        self._finish(request)
        request.sink.on_refused(
            Refusal(disposition, reason, detail=detail), self.read_load()
        )

    def _finish(self, request: HomeRequest) -> None:
        request.finished = True
        self._dispatcher.running.discard(request)
        if request.timer is not None:
            request.timer.cancel()


class Dispatcher:
    """Own the servers of this node and the requests that run on them."""

    def __init__(self, poller: Poller, timers: Timers, clock: Clock) -> None:
        self.poller = poller
        self.timers = timers
        self.clock = clock
        self.servers: dict[str, Server] = {}
        self.pools: dict[str, ServicePool] = {}
        self.running: set[HomeRequest] = set()
        self.observers: list[Callable[[str, str, Attempt], None]] = []

    def update_services(self, services: Iterable[Service]) -> None:
        """Apply the services in force."""
        wanted = {service.name: service for service in services}
        for name in list(self.pools):
            if name not in wanted:
                pool = self.pools.pop(name)
                pool.refuse_all(Reason.NO_ROUTE, "its service was deleted")
        for name, service in wanted.items():
            pool = self.pools.get(name)
            if pool is None:
                self.pools[name] = ServicePool(self, service)
                continue
            pool.service = service
        for pool in self.pools.values():
            self._select_servers(pool)

    def add_server(self, server: Server) -> None:
        """Take a server that announced itself here."""
        self.servers[server.instance] = server
        for pool in self.pools.values():
            self._select_servers(pool)
            pool.start_waiting()

    def remove_server(self, instance: str) -> None:
        """Forget a server; work that runs there goes on."""
        server = self.servers.pop(instance, None)
        if server is None:
            return
        server.close_connections()
        for pool in self.pools.values():
            if server not in pool.servers:
                continue
            pool.servers.remove(server)
            if not pool.in_service:
                pool.refuse_all(Reason.NO_CAPACITY, "no server in service here")

    def dispatch(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Run a request on a server here, or refuse it."""
        deadline = self.clock.now() + message.remaining_ms / 1000
        request = HomeRequest(message, body, sink, deadline)
        pool = self.pools.get(message.service)
        if pool is None:
            request.finished = True
            refusal = Refusal(
                Disposition.NOT_RUN,
                Reason.NO_CAPACITY,
                detail=f"service {message.service!r} is not known here",
            )
            sink.on_refused(refusal, Load(1e6, 0))
            return request
        self.running.add(request)
        pool.offer(request)
        return request

    def start_waiting(self, server: Server) -> None:
        """Start queued requests of every service that a server belongs to."""
        for pool in self.pools.values():
            if server in pool.servers:
                pool.start_waiting()

    def on_attempt(
        self, pool: ServicePool, request: HomeRequest, server: Server, attempt: Attempt
    ) -> None:
        """Tell the observers how an attempt ended."""
        for observe in self.observers:
            observe(pool.service.name, server.instance, attempt)

    def _select_servers(self, pool: ServicePool) -> None:
        selector = pool.service.selector
        pool.servers = [
            server
            for server in self.servers.values()
            if selector.matches(server.labels)
        ]


def render_request(message: OpenRequest, body: bytes, remaining_s: float) -> bytes:
    """Return the bytes of the request for a server."""
    lines = [b"%s %s HTTP/1.1\r\n" % (message.method.encode(), message.target)]
    for name, value in message.headers:
        lines.append(b"%s: %s\r\n" % (name, value))
    lines.append(b"flamingobank-request-id: %s\r\n" % message.request_id.encode())
    lines.append(b"flamingobank-deadline-ms: %d\r\n" % max(0, int(remaining_s * 1000)))
    if body or message.method in ("POST", "PUT", "PATCH"):
        lines.append(b"content-length: %d\r\n" % len(body))
    lines.append(b"\r\n")
    lines.append(body)
    return b"".join(lines)
