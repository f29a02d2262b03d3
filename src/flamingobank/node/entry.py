"""Route callers' requests to home nodes and pass the answers back."""

import json
import random
from collections.abc import Callable, Mapping
from dataclasses import replace
from typing import TYPE_CHECKING, Protocol
from urllib.parse import parse_qsl

from circuits import BaseComponent, handler

from flamingobank.admission import Work
from flamingobank.balancing import (
    HomeCandidate,
    HomeLoad,
    choose_home,
    read_home_load,
)
from flamingobank.core import (
    Clock,
    Disposition,
    FailureDomain,
    Invariant,
    NodeId,
    Reason,
    Refusal,
    RequestId,
    RouteName,
    WorkspaceId,
    check_invariant,
)
from flamingobank.directory import DirectoryTable, HomeEntry
from flamingobank.idempotency import is_issued
from flamingobank.loop import Address, TimerHandle, Timers
from flamingobank.node.dispatcher import Dispatcher
from flamingobank.node.edge import (
    ConnectionWatcher,
    EdgeConnection,
    EdgeRequest,
    EdgeResponse,
)
from flamingobank.node.exchange import (
    WINDOW_BYTES,
    AnswerSink,
    AnswerStart,
    Load,
    RunningRequest,
)
from flamingobank.node.links import Links
from flamingobank.node.remote import RemoteRequest
from flamingobank.node.upstream import HOP_BY_HOP
from flamingobank.objects import Route, TrafficClass
from flamingobank.retries import (
    RetryBudget,
    RetryDecision,
    decide_retry,
    merge_dispositions,
)
from flamingobank.wire import AnswerState, OpenRequest

if TYPE_CHECKING:
    from flamingobank.node.chosen_requests import ChosenRequests
    from flamingobank.node.keyed_requests import KeyedRequests

# Time beyond the deadline in which the home's own refusal may still arrive.
DEADLINE_GRACE_S = 0.1
MAX_DEADLINE_DIGITS = 12
WORKSPACE_HEADER = b"flamingobank-workspace"
DEADLINE_HEADER = b"flamingobank-deadline-ms"
KEY_HEADER = b"idempotency-key"
KEYS_PATH = "/.flamingobank/keys"
REASON_PHRASES = {200: b"OK", 206: b"Partial Content", 404: b"Not Found"}
NO_BODY_STATUSES = (204, 304)
# Headers that the fleet sets itself on the way to a server.
REPLACED_HEADERS = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"flamingobank-request-id",
    DEADLINE_HEADER,
}

STATUS_BY_REASON = {
    Reason.BAD_REQUEST: 400,
    Reason.NO_ROUTE: 404,
    Reason.KEY_INVALID: 400,
    Reason.KEY_REQUIRED: 400,
    Reason.LIMIT: 429,
}


class RouteTable(Protocol):
    """Find the route and the service of a request."""

    def find_route(
        self,
        host: str,
        path: str,
        method: str,
        headers: Mapping[str, str],
        labels: Mapping[str, str],
    ) -> Route | None:
        """Return the most specific route that matches."""

    def find_labels(self, workspace: str) -> Mapping[str, str]:
        """Return the labels of a workspace."""

    def find_service(self, route: Route) -> str | None:
        """Return the service that a route's target selects."""


class HomeLoads:
    """Remember the load that homes reported with their answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[tuple[str, NodeId], HomeLoad] = {}

    def record(self, service: str, node: NodeId, load: Load) -> None:
        """Keep a reported load; nonsense is ignored."""
        found = read_home_load(
            load.queue_delay_ms / 1000, load.free_slots, self._clock.now()
        )
        if isinstance(found, HomeLoad):
            self._loads[service, node] = found

    def get(self, service: str, node: NodeId) -> HomeLoad | None:
        """Return the newest load; whoever uses it checks its age."""
        return self._loads.get((service, node))


class CallerExchange(AnswerSink, ConnectionWatcher):
    """Carry one caller's request through its attempts to its one answer."""

    def __init__(
        self,
        entry: "Entry",
        connection: EdgeConnection,
        message: OpenRequest,
        body: bytes,
        deadline: float,
        http_1_0: bool,
    ) -> None:
        self.entry = entry
        self.connection = connection
        self.message = message
        self.body = body
        self.deadline = deadline
        self.accepted_at = entry.clock.now()
        self.attempts = 0
        self._http_1_0 = http_1_0
        self._tried: set[NodeId] = set()
        self._home: HomeEntry | None = None
        self._running: RunningRequest | None = None
        self._finished = False
        self._head_written = False
        self._chunked = False
        self._headless = message.method == "HEAD"
        self._expected_bytes: int | None = None
        self._passed_bytes = 0
        self._unacknowledged = 0
        self._known = Disposition.NOT_RUN
        self._timer: TimerHandle | None = None

    def start(self) -> None:
        """Make the first attempt."""
        self.connection.watcher = self
        self._timer = self.entry.timers.call_at(
            self.deadline + DEADLINE_GRACE_S, self._expire
        )
        self._attempt(None)

    def on_start(self, start: AnswerStart) -> None:
        if self._finished:
            return
        check_invariant(
            Invariant.OWN_ANSWER,
            start.request_id == self.message.request_id and not self._head_written,
            expected=self.message.request_id,
            received=start.request_id,
        )
        self._record_load(start.load)
        self._head_written = True
        self.connection.write(self._render_head(start))
        self.on_part(start.data, start.state)

    def on_part(self, data: bytes, state: AnswerState) -> None:
        if self._finished:
            return
        self._passed_bytes += len(data)
        too_long = (
            self._expected_bytes is not None
            and self._passed_bytes > self._expected_bytes
        )
        if data and not too_long:
            self._pass_part(data)
        if state is AnswerState.MORE and not too_long:
            return
        if state is AnswerState.BROKEN or not self._is_whole():
            if too_long and state is AnswerState.MORE:
                self._running.cancel()
            self._finish("broken")
            self.connection.abort()
            return
        if self._chunked:
            self.connection.write(b"0\r\n\r\n")
        self._finish("complete")
        self.connection.finish_answer(keep=not self._http_1_0)

    def on_refused(self, refusal: Refusal, load: Load) -> None:
        if self._finished:
            return
        self._record_load(load)
        self._running = None
        if self._head_written:
            self._finish("broken")
            self.connection.abort()
            return
        # An earlier attempt with an unknown outcome may have run, whatever this one
        # says.
        self._known = merge_dispositions(self._known, refusal.disposition)
        merged = replace(refusal, disposition=self._known)
        decision = RetryDecision.NO_BUDGET
        if not self.message.idempotent:
            # Without a key, work that must not repeat is sent once.
            self._refuse(merged)
            return
        if refusal.reason is not Reason.QUARANTINED:
            decision = self.entry.decide_retry(self, self._known)
        if decision is not RetryDecision.RETRY:
            self._refuse(merged)
            return
        self.entry.count("retries")
        # Deferred, so that a chain of refusals does not nest calls.
        self.entry.timers.call_soon(lambda: self._attempt(merged))

    def on_caller_left(self) -> None:
        if self._finished:
            return
        self._finish("caller-left")
        if self._running is not None:
            self._running.cancel()

    def on_output_drained(self) -> None:
        self._acknowledge()

    def _attempt(self, refusal: Refusal | None) -> None:
        if self._finished:
            return
        if self.entry.is_quarantined(self.message, self.body):
            detail = "this request crashed servers and is not run for now"
            self._refuse(Refusal(self._known, Reason.QUARANTINED, 600.0, detail))
            return
        now = self.entry.clock.now()
        home = self.entry.choose_home(self.message.service, self._tried)
        if home is None or now >= self.deadline:
            self._refuse(
                refusal
                or Refusal(
                    Disposition.NOT_RUN,
                    Reason.NO_CAPACITY,
                    detail=f"no home serves {self.message.service!r}",
                )
            )
            return
        self.attempts += 1
        self._tried.add(home.node)
        self._home = home
        self.message.attempt = self.attempts
        self.message.remaining_ms = max(1, int((self.deadline - now) * 1000))
        self._running = self.entry.send(home, self.message, self.body, self)

    def _expire(self) -> None:
        if self._finished:
            return
        running = self._running
        if running is not None:
            running.cancel()
        if self._head_written:
            self._finish("deadline")
            self.connection.abort()
            return
        disposition = self._known if running is None else Disposition.UNKNOWN
        self._refuse(
            Refusal(disposition, Reason.DEADLINE, detail="its deadline has passed")
        )

    def _refuse(self, refusal: Refusal) -> None:
        self._finish(refusal.disposition.value)
        response = render_refusal(refusal, self.message.request_id)
        self.connection.write(response)
        self.connection.finish_answer(keep=not self._http_1_0)

    def _finish(self, result: str) -> None:
        self._finished = True
        self._timer.cancel()
        self.entry.on_finished(self, result)

    def _record_load(self, load: Load) -> None:
        if self._home is not None:
            self.entry.loads.record(self.message.service, self._home.node, load)

    def _render_head(self, start: AnswerStart) -> bytes:
        phrase = REASON_PHRASES.get(start.status, b"-")
        lines = [b"HTTP/1.1 %d %s\r\n" % (start.status, phrase)]
        for name, value in start.headers:
            if name == b"content-length":
                self._expected_bytes = int(value)
            lines.append(b"%s: %s\r\n" % (name, value))
        lines.append(
            b"flamingobank-request-id: %s\r\n" % self.message.request_id.encode()
        )
        if self.connection.server.draining:
            lines.append(b"connection: close\r\n")
        bodiless = self._headless or start.status in NO_BODY_STATUSES
        if bodiless:
            self._expected_bytes = 0
        elif self._expected_bytes is None and start.state is AnswerState.COMPLETE:
            self._expected_bytes = len(start.data)
            lines.append(b"content-length: %d\r\n" % len(start.data))
        elif self._expected_bytes is None and not self._http_1_0:
            self._chunked = True
            lines.append(b"transfer-encoding: chunked\r\n")
        lines.append(b"\r\n")
        return b"".join(lines)

    def _pass_part(self, data: bytes) -> None:
        self._unacknowledged += len(data)
        if self._chunked:
            self.connection.write(b"%x\r\n%s\r\n" % (len(data), data))
        else:
            self.connection.write(data)
        if self.connection.output_bytes < WINDOW_BYTES // 2:
            self._acknowledge()

    def _is_whole(self) -> bool:
        return (
            self._expected_bytes is None or self._expected_bytes == self._passed_bytes
        )

    def _acknowledge(self) -> None:
        if self._running is None or not self._unacknowledged:
            return
        # Small answers end before the window matters; a message for each part of
        # them would cost more than it saves.
        if self._unacknowledged < WINDOW_BYTES // 4:
            return
        consumed = self._unacknowledged
        self._unacknowledged = 0
        self._running.acknowledge(consumed)


class ChosenCallerExchange(CallerExchange):
    """Bring a request with a caller-chosen key to the store's record of it."""

    def on_refused(self, refusal: Refusal, load: Load) -> None:
        if not self._finished:
            self._running = None
            self._refuse(refusal)

    def _attempt(self, refusal: Refusal | None) -> None:
        self.attempts += 1
        self._running = self.entry.chosen.serve(self.message, self.body, self)


class Entry(BaseComponent):
    """Take the requests of callers."""

    channel = "callers"

    def __init__(
        self,
        node_id: NodeId,
        failure_domain: FailureDomain,
        clock: Clock,
        timers: Timers,
        routes: RouteTable,
        directory: DirectoryTable,
        dispatcher: Dispatcher,
        links: Links,
        rng: random.Random,
    ) -> None:
        super().__init__(channel=self.channel)
        self.clock = clock
        self.timers = timers
        self.loads = HomeLoads(clock)
        self.routes = routes
        self.counters: dict[str, int] = {}
        self.in_flight: set[CallerExchange] = set()
        self.observers: list[Callable[[CallerExchange, str], None]] = []
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._directory = directory
        self._dispatcher = dispatcher
        self._rng = rng
        self._request_prefix = f"{node_id}-{rng.getrandbits(32):08x}"
        self._request_count = 0
        self.links = links
        self.keyed: KeyedRequests | None = None
        self.chosen: ChosenRequests | None = None
        self.make_keyed_exchange: Callable[..., CallerExchange] | None = None
        self.find_address: Callable[[NodeId], Address | None] = lambda node: None
        self.is_quarantined: Callable[[OpenRequest, bytes], bool] = _allow
        self._budget = RetryBudget()

    @handler("request")
    def _on_request(self, event, request: EdgeRequest, response: EdgeResponse):
        """Start the request, or answer that nothing matches it."""
        # The exchange writes the answer; no success event is needed.
        event.success = False
        if request.sock.closed:
            # The caller left before its request was looked at.
            return True
        if request.path == KEYS_PATH:
            self._issue_keys(request)
            return True
        route, workspace = self._find_route(request)
        self._request_count += 1
        request_id = f"{self._request_prefix}-{self._request_count:x}"
        service = self.routes.find_service(route) if route is not None else None
        if service is None:
            detail = "no route matches" if route is None else "no service is selected"
            refusal = Refusal(Disposition.NOT_RUN, Reason.NO_ROUTE, detail=detail)
            self._answer_refusal(request, refusal, request_id)
            return True
        remaining_ms = read_deadline(request, route.deadline_ms)
        message = OpenRequest(
            request_id,
            route.name,
            service,
            request.method,
            request.target,
            [pair for pair in request.raw_headers if pair[0] not in REPLACED_HEADERS],
            b"",
            False,
            route.traffic_class.value,
            workspace,
            remaining_ms,
            route.expected_ms,
            route.idempotent,
        )
        exchange = self._make_exchange(request, message)
        if isinstance(exchange, Refusal):
            self._answer_refusal(request, exchange, request_id)
            return True
        self.in_flight.add(exchange)
        self.count("requests")
        self._budget.earn(self.clock.now())
        exchange.start()
        return True

    def _make_exchange(
        self, request: EdgeRequest, message: OpenRequest
    ) -> CallerExchange | Refusal:
        deadline = self.clock.now() + message.remaining_ms / 1000
        arguments = (
            self,
            request.sock,
            message,
            request.content,
            deadline,
            request.protocol == (1, 0),
        )
        key = request.get_header(KEY_HEADER).decode("latin-1")
        if message.idempotent or not key:
            return CallerExchange(*arguments)
        message.key = key
        if not is_issued(key):
            return self._make_chosen_exchange(arguments)
        parsed = self.keyed.parse(key)
        if parsed.is_error():
            detail = str(parsed.error)
            return Refusal(Disposition.NOT_RUN, Reason.KEY_INVALID, 1.0, detail)
        return self.make_keyed_exchange(*arguments, issued=parsed.ok)

    def _make_chosen_exchange(self, arguments: tuple) -> CallerExchange | Refusal:
        if self.chosen is not None:
            return ChosenCallerExchange(*arguments)
        detail = f"chosen keys need a store; take a key from POST {KEYS_PATH}"
        return Refusal(Disposition.NOT_RUN, Reason.STORE_AWAY, 1.0, detail)

    def _issue_keys(self, request: EdgeRequest) -> None:
        count = dict(parse_qsl(request.qs)).get("count", "1")
        wanted = int(count) if count.isdecimal() and len(count) < 5 else 0
        issued = self.keyed.issue_keys(wanted)
        if request.method != "POST" or issued.is_error():
            detail = "expected POST with count from 1 to 1000"
            default = Refusal(Disposition.NOT_RUN, Reason.BAD_REQUEST, 1.0, detail)
            refusal = issued.error if issued.is_error() and wanted else default
            self._answer_refusal(request, refusal, self._request_prefix)
            return
        body = json.dumps({"keys": issued.ok}).encode()
        request.sock.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%s" % (len(body), body)
        )
        request.sock.finish_answer(keep=True)

    def _answer_refusal(
        self, request: EdgeRequest, refusal: Refusal, request_id: str
    ) -> None:
        request.sock.write(render_refusal(refusal, request_id))
        request.sock.finish_answer(keep=True)

    def choose_home(self, service: str, tried: set[NodeId]) -> HomeEntry | None:
        """Return a home that was not tried yet, or one that was."""
        homes = {home.node: home for home in self._directory.list_homes(service)}
        candidates = [
            HomeCandidate(
                home.node,
                home.failure_domain,
                home.slots,
                self.loads.get(service, node),
            )
            for node, home in homes.items()
            if node not in tried
        ]
        now = self.clock.now()
        chosen = choose_home(candidates, self._failure_domain, self._rng, now)
        if chosen is not None:
            return homes[chosen.node_id]
        return next((homes[node] for node in tried if node in homes), None)

    def send(
        self, home: HomeEntry, message: OpenRequest, body: bytes, sink: AnswerSink
    ) -> RunningRequest:
        """Run a request at a home node, which may be this one."""
        if home.node == self._node_id:
            return self._dispatcher.dispatch(message, body, sink)
        return RemoteRequest(self.links.get(home.address), message, body, sink)

    def decide_retry(
        self, exchange: CallerExchange, known: Disposition
    ) -> RetryDecision:
        """Decide about another attempt; a RETRY has spent its budget."""
        message = exchange.message
        work = Work(
            RequestId(message.request_id),
            RouteName(message.route),
            WorkspaceId(message.workspace),
            TrafficClass(message.traffic_class),
            exchange.deadline,
            message.expected_ms / 1000,
            message.idempotent,
            exchange.attempts - 1,
        )
        now = self.clock.now()
        return decide_retry(work, known, exchange.accepted_at, self._budget, now)

    def count(self, name: str) -> None:
        """Count an event for the metrics."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def on_finished(self, exchange: CallerExchange, result: str) -> None:
        """Forget a finished request and tell the observers."""
        self.in_flight.discard(exchange)
        self.count(f"finished_{result}")
        for observe in self.observers:
            observe(exchange, result)

    def _find_route(self, request: EdgeRequest) -> tuple[Route | None, str]:
        workspace = request.get_header(WORKSPACE_HEADER).decode("latin-1")
        labels = self.routes.find_labels(workspace) if workspace else {}
        host = request.get_header(b"host").decode("latin-1").partition(":")[0]
        headers = {
            name.decode("latin-1"): value.decode("latin-1")
            for name, value in request.raw_headers
        }
        route = self.routes.find_route(
            host.lower(), request.path, request.method, headers, labels
        )
        return route, workspace


def _allow(message: OpenRequest, body: bytes) -> bool:
    return False


def read_deadline(request: EdgeRequest, route_deadline_ms: int) -> int:
    """Return the milliseconds left: the caller's own, at most the route's."""
    text = request.get_header(DEADLINE_HEADER)
    # More digits exceed any route's deadline, and int() refuses some thousands.
    if not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return route_deadline_ms
    return min(int(text), route_deadline_ms)


def render_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return the answer that reports a refusal."""
    status = STATUS_BY_REASON.get(refusal.reason)
    if status is None:
        status = _choose_status(refusal)
    body = f"{refusal.reason.value}: {refusal.detail}\n".encode()
    lines = [
        f"HTTP/1.1 {status} -",
        "content-type: text/plain; charset=utf-8",
        f"content-length: {len(body)}",
        f"flamingobank-request-id: {request_id}",
        f"flamingobank-outcome: {refusal.disposition.value}",
        f"flamingobank-reason: {refusal.reason.value}",
    ]
    if status == 503:
        lines.append(f"retry-after: {max(1, round(refusal.retry_after_s))}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _choose_status(refusal: Refusal) -> int:
    if refusal.disposition is Disposition.STILL_RUNNING:
        return 409
    if refusal.disposition is Disposition.NOT_RUN:
        return 503
    if refusal.reason is Reason.DEADLINE:
        return 504
    return 502
