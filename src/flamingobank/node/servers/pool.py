"""Queue the requests of one service and run them on its servers at this home."""

from flamingobank.admission import AdmissionQueue, Admitted, StartOutcome
from flamingobank.balancing import choose_server
from flamingobank.core import (
    Disposition,
    InstanceId,
    Refusal,
    RefusalCause,
    RequestId,
    ServiceName,
)
from flamingobank.loop import TimerHandle
from flamingobank.node.links.exchange import AnswerSink, HomeReport, RunningRequest
from flamingobank.node.servers.requests import HomeRequest, PoolOwner, RequestPool
from flamingobank.node.servers.servers import CONNECT_BACKOFF_S, Server
from flamingobank.node.servers.upstream import (
    AttemptResult,
    FinishedAttempt,
    UpstreamExchange,
)
from flamingobank.objects import Service
from flamingobank.retries import RetryBudget, admit_attempt
from flamingobank.wire import OpenRequest

# A request is sent to at most this many servers of one home, and to the next one only
# if the previous server certainly did not run it.
MAX_LOCAL_ATTEMPTS = 3
ANSWERED_RESULTS = (AttemptResult.COMPLETE, AttemptResult.BROKEN_AFTER_HEAD)


class ServicePool(RequestPool):
    """The servers of one service at this home and the requests for them.

    Admitted requests wait in a queue until a server has a free slot.
    """

    def __init__(self, dispatcher: PoolOwner, service: Service) -> None:
        self.service = service
        self.servers: dict[InstanceId, Server] = {}
        self._dispatcher = dispatcher
        self._queue = AdmissionQueue(ServiceName(service.name), service.long_share)
        self._budget = RetryBudget()
        self._requests: dict[RequestId, HomeRequest] = {}
        # Each server runs one suspect request at a time, so that a second crash
        # identifies the request that caused it.
        self._running_suspects: dict[InstanceId, RequestId] = {}
        self._wakeup: TimerHandle | None = None

    def add_server(self, server: Server) -> None:
        """Add a server of this service, which makes it eligible for requests."""
        self.servers[server.instance] = server
        self._queue.set_server(server.instance, server.slots.limit)
        self.refresh(server)

    def remove_server(self, instance: InstanceId) -> None:
        """Remove a server; requests that run on it continue."""
        if self.servers.pop(instance, None) is None:
            return
        self._queue.remove_server(instance)

    def refresh(self, server: Server) -> None:
        """Apply a change of a server's slots, stage, drain or warmth to the queue."""
        now = self._dispatcher.clock.now()
        self._queue.set_server(server.instance, server.slots.limit)
        self._queue.set_usable(server.instance, server.count_usable(now))

    def refresh_all(self) -> None:
        """Apply time-dependent changes of the servers and start waiting requests."""
        for server in self.servers.values():
            self.refresh(server)
        self.start_waiting_requests()

    def build_report(self) -> HomeReport:
        """Return the queue delay and the free slots of the service at this home."""
        load = self._queue.measure_load(self._dispatcher.clock.now())
        if not load.total_slots:
            return HomeReport(1e6, 0)
        return HomeReport(load.queue_delay_s * 1000, load.free_slots)

    def list_running(self, instance: InstanceId) -> list[HomeRequest]:
        """Return the requests in flight on a server."""
        works = self._queue.list_running(instance)
        return [self._requests[work.request_id] for work in works]

    def offer(
        self, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Admit a request, or refuse it as not run."""
        now = self._dispatcher.clock.now()
        request = HomeRequest(self, message, body, sink, now)
        if self._dispatcher.is_quarantined(request):
            self._refuse(request, self._make_quarantine_refusal())
            return request
        refusal = admit_attempt(request.work, self._budget, now)
        if refusal is not None:
            self._refuse(request, refusal)
            return request
        self._admit(request)
        self.start_waiting_requests()
        return request

    def start_waiting_requests(self) -> None:
        """Start waiting requests while servers have free slots; refuse expired ones."""
        now = self._dispatcher.clock.now()
        while self._start_next(now):
            continue
        for refused in self._queue.expire(now):
            self._refuse(self._requests[refused.work.request_id], refused.refusal)
        self._schedule_wakeup()

    def cancel(self, request: HomeRequest) -> None:
        """Cancel a request, whether it waits or runs."""
        now = self._dispatcher.clock.now()
        exchange = request.exchange
        if exchange is None:
            self._queue.cancel(request.work.request_id, now)
            self._finish(request)
            return
        exchange.cancel()
        self._release(request, exchange.server, completed=False)
        self._dispatcher.on_cancelled(request, exchange.server)
        self._finish(request)
        self.start_waiting_requests()

    def refuse_waiting(self, reason: RefusalCause, detail: str) -> None:
        """Refuse the waiting requests as not run."""
        now = self._dispatcher.clock.now()
        for request in list(self._requests.values()):
            if request.exchange is None:
                self._queue.cancel(request.work.request_id, now)
                self._refuse(request, Refusal(Disposition.NOT_RUN, reason, 1.0, detail))

    def _start_next(self, now: float) -> bool:
        """Start or refuse one waiting request; return False if none may start now."""
        taken = self._queue.take(now)
        if taken is None:
            return False
        request = self._requests[taken.work.request_id]
        if self._dispatcher.is_quarantined(request):
            self._queue.cancel(taken.work.request_id, now)
            self._refuse(request, self._make_quarantine_refusal())
            return True
        server = self._choose_server(request, taken.servers)
        if server is None:
            self._queue.put_back(taken.work, now)
            return False
        outcome = self._queue.start(taken.work, server.instance, now)
        if outcome is not StartOutcome.STARTED:
            return False
        self._start(request, server, now)
        return True

    def _admit(self, request: HomeRequest) -> None:
        now = self._dispatcher.clock.now()
        admitted = self._queue.offer(request.work, now)
        if not isinstance(admitted, Admitted):
            self._refuse(request, admitted)
            return
        self._requests[request.work.request_id] = request
        self._dispatcher.running.add(request)

    def _choose_server(
        self, request: HomeRequest, instances: tuple[InstanceId, ...]
    ) -> Server | None:
        dispatcher = self._dispatcher
        now = dispatcher.clock.now()
        servers = [self.servers[name] for name in instances if name in self.servers]
        suspect = dispatcher.is_suspect(request)
        slots = [
            server.slots
            for server in servers
            if now >= server.unreachable_until
            and not (suspect and server.instance in self._running_suspects)
        ]
        chosen = choose_server(
            slots, request.make_selection_criteria(), dispatcher.rng, now
        )
        if chosen is None:
            return None
        if suspect:
            self._running_suspects[chosen] = request.work.request_id
        return self.servers[chosen]

    def _start(self, request: HomeRequest, server: Server, now: float) -> None:
        dispatcher = self._dispatcher
        server.slots.acquire_slot(now)
        request.attempts += 1
        request.tried |= {server.instance}
        server.health.start(request.work.request_id, request.work.expected_s, now)
        exchange = UpstreamExchange(
            dispatcher.poller,
            server,
            request.work.request_id,
            request.sink,
            now,
            dispatcher.clock.now,
            self.build_report,
            lambda exchange, attempt: self._end_attempt(request, exchange, attempt),
        )
        request.exchange = exchange
        if request.timer is None:
            request.timer = dispatcher.timers.call_at(
                request.work.deadline, lambda: self._time_out(request)
            )
        remaining_s = request.work.deadline - now
        exchange.send(render_request(request.message, request.body, remaining_s))

    def _end_attempt(
        self, request: HomeRequest, exchange: UpstreamExchange, attempt: FinishedAttempt
    ) -> None:
        server = exchange.server
        completed = attempt.result is AttemptResult.COMPLETE
        self._release(request, server, completed)
        self._dispatcher.on_attempt(request, server, attempt)
        if attempt.result in ANSWERED_RESULTS:
            self._finish(request)
            if not completed:
                self._dispatcher.check_crash(
                    request, server, attempt.detail, _do_nothing
                )
        else:
            self._continue_after_failure(request, server, attempt)
        self.start_waiting_requests()

    def _continue_after_failure(
        self, request: HomeRequest, server: Server, attempt: FinishedAttempt
    ) -> None:
        now = self._dispatcher.clock.now()
        request.exchange = None
        if attempt.result is AttemptResult.BROKEN_BEFORE_HEAD:
            refusal = Refusal(
                Disposition.UNKNOWN, RefusalCause.BROKEN, 1.0, attempt.detail
            )
            self._dispatcher.check_crash(
                request,
                server,
                attempt.detail,
                lambda: None if request.finished else self._refuse(request, refusal),
            )
            return
        if attempt.result is AttemptResult.NOT_SENT:
            server.unreachable_until = now + CONNECT_BACKOFF_S
        else:
            server.slots.note_shed(now)
        self.refresh(server)
        message = request.message
        # A request that is not idempotent and has no key is sent at most once, even if
        # it was not run.
        run_once = not message.idempotent and not message.key
        if run_once or request.attempts >= MAX_LOCAL_ATTEMPTS:
            refusal = Refusal(
                Disposition.NOT_RUN, RefusalCause.SHED, 1.0, attempt.detail
            )
            self._refuse(request, refusal)
            return
        self._admit(request)

    def _time_out(self, request: HomeRequest) -> None:
        if request.finished or request.exchange is None:
            return
        server = request.exchange.server
        request.exchange.cancel()
        self._release(request, server, completed=False)
        self._dispatcher.on_timeout(request, server)
        detail = "the deadline passed while the request ran"
        self._refuse(
            request, Refusal(Disposition.UNKNOWN, RefusalCause.DEADLINE, 1.0, detail)
        )
        self.start_waiting_requests()

    def _release(self, request: HomeRequest, server: Server, completed: bool) -> None:
        now = self._dispatcher.clock.now()
        server.slots.release_slot()
        self._queue.finish(request.work, now, completed)
        if self._running_suspects.get(server.instance) == request.work.request_id:
            del self._running_suspects[server.instance]

    def _refuse(self, request: HomeRequest, refusal: Refusal) -> None:
        self._finish(request)
        request.sink.on_refused(refusal, self.build_report())

    def _finish(self, request: HomeRequest) -> None:
        request.finished = True
        # A refused duplicate must not remove the running request with the same id.
        if self._requests.get(request.work.request_id) is request:
            del self._requests[request.work.request_id]
        self._dispatcher.running.discard(request)
        if request.timer is not None:
            request.timer.cancel()

    def _make_quarantine_refusal(self) -> Refusal:
        detail = "temporarily quarantined because the request crashed servers"
        return Refusal(Disposition.NOT_RUN, RefusalCause.QUARANTINED, 600.0, detail)

    def _schedule_wakeup(self) -> None:
        wakeup_at = self._queue.get_next_wakeup()
        if wakeup_at == float("inf"):
            return
        if self._wakeup is not None and self._wakeup.callback is not None:
            if self._wakeup.deadline <= wakeup_at:
                return
            self._wakeup.cancel()
        self._wakeup = self._dispatcher.timers.call_at(
            wakeup_at, self.start_waiting_requests
        )


def _do_nothing() -> None:
    """Callback for a crash check whose result changes nothing for the request."""


def render_request(message: OpenRequest, body: bytes, remaining_s: float) -> bytes:
    """Return a request as the HTTP/1.1 bytes that are sent to a server."""
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
