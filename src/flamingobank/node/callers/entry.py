"""Accept callers' requests, match them to routes and choose their homes."""

import json
import random
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Protocol
from urllib.parse import parse_qsl

from circuits import BaseComponent, handler

from flamingobank.admission import Work
from flamingobank.balancing import (
    HomeCandidate,
    choose_home,
)
from flamingobank.core import (
    Clock,
    Disposition,
    FailureDomain,
    NodeId,
    Refusal,
    RefusalCause,
    RequestId,
    RouteName,
    WorkspaceId,
)
from flamingobank.directory import DirectoryTable, HomeEntry
from flamingobank.idempotency import is_issued
from flamingobank.loop import Address, Timers
from flamingobank.node.callers.caller_exchange import (
    CallerExchange,
    CallerKeyExchange,
)
from flamingobank.node.callers.home_loads import HomeLoads
from flamingobank.node.callers.refusals import render_refusal
from flamingobank.node.http.caller_request import CallerRequest, CallerResponse
from flamingobank.node.links.exchange import (
    AnswerSink,
    RunningRequest,
)
from flamingobank.node.links.links import LinkPool
from flamingobank.node.links.remote import RemoteRequest
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.node.servers.upstream import HOP_BY_HOP
from flamingobank.objects import Route, TrafficClass
from flamingobank.retries import (
    RetryBudget,
    RetryDecision,
    decide_retry,
)
from flamingobank.wire import OpenRequest

if TYPE_CHECKING:
    from flamingobank.node.callers.caller_key_requests import CallerKeyRequests
    from flamingobank.node.callers.keyed_requests import KeyedRequests

MAX_DEADLINE_DIGITS = 12
WORKSPACE_HEADER = b"flamingobank-workspace"
DEADLINE_HEADER = b"flamingobank-deadline-ms"
KEY_HEADER = b"idempotency-key"
KEYS_PATH = "/.flamingobank/keys"
# Headers of the caller that are not forwarded to a server; the fleet sets its own
# where it needs them.
REPLACED_HEADERS = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    b"flamingobank-request-id",
    DEADLINE_HEADER,
}


class RouteTable(Protocol):
    """Look up the routes, services and workspace labels for requests."""

    def find_route(
        self,
        host: str,
        path: str,
        method: str,
        headers: Mapping[str, str],
        labels: Mapping[str, str],
    ) -> Route | None:
        """Return the most specific matching route, or None."""

    def find_labels(self, workspace: str) -> Mapping[str, str]:
        """Return the labels of a workspace."""

    def find_service(self, route: Route) -> str | None:
        """Return the service that a route's target selects, or None."""


class Entry(BaseComponent):
    """Serve the requests of callers that connect to this node."""

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
        links: LinkPool,
        rng: random.Random,
    ) -> None:
        super().__init__(channel=self.channel)
        self.clock = clock
        self.timers = timers
        self.loads = HomeLoads(clock)
        self.routes = routes
        self.counters: dict[str, int] = {}
        self.exchanges: set[CallerExchange] = set()
        self.observers: list[Callable[[CallerExchange, str], None]] = []
        self._node_id = node_id
        self._failure_domain = failure_domain
        self._directory = directory
        self._dispatcher = dispatcher
        self._rng = rng
        self._request_id_prefix = f"{node_id}-{rng.getrandbits(32):08x}"
        self._request_count = 0
        self.links = links
        self.keyed: KeyedRequests | None = None
        self.caller_keys: CallerKeyRequests | None = None
        self.make_keyed_exchange: Callable[..., CallerExchange] | None = None
        self.find_address: Callable[[NodeId], Address | None] = lambda node: None
        self.is_quarantined: Callable[[OpenRequest, bytes], bool] = _never_quarantined
        self._budget = RetryBudget()

    @handler("request")
    def _on_request(self, event, request: CallerRequest, response: CallerResponse):
        """Start an exchange for a request, or refuse it at once."""
        # The exchange writes the answer itself, so circuits must not fire a success
        # event, with which circuits.web would render one.
        event.success = False
        if request.sock.closed:
            # The caller disconnected while its request event was queued.
            return True
        if request.path == KEYS_PATH:
            self._issue_keys(request)
            return True
        route, workspace = self._find_route(request)
        self._request_count += 1
        request_id = f"{self._request_id_prefix}-{self._request_count:x}"
        service = self.routes.find_service(route) if route is not None else None
        if service is None:
            detail = "no route matches" if route is None else "no service is selected"
            refusal = Refusal(Disposition.NOT_RUN, RefusalCause.NO_ROUTE, detail=detail)
            self._answer_refusal(request, refusal, request_id)
            return True
        remaining_ms = read_remaining_ms(request, route.deadline_ms)
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
        self.exchanges.add(exchange)
        self.count("requests")
        self._budget.earn(self.clock.now())
        exchange.start()
        return True

    def _make_exchange(
        self, request: CallerRequest, message: OpenRequest
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
            return self._make_caller_key_exchange(arguments)
        parsed = self.keyed.parse(key)
        if parsed.is_error():
            detail = str(parsed.error)
            return Refusal(Disposition.NOT_RUN, RefusalCause.KEY_INVALID, 1.0, detail)
        return self.make_keyed_exchange(*arguments, issued=parsed.ok)

    def _make_caller_key_exchange(self, arguments: tuple) -> CallerExchange | Refusal:
        if self.caller_keys is not None:
            return CallerKeyExchange(*arguments)
        detail = f"caller-chosen keys need a store; get a key from POST {KEYS_PATH}"
        return Refusal(Disposition.NOT_RUN, RefusalCause.STORE_AWAY, 1.0, detail)

    def _issue_keys(self, request: CallerRequest) -> None:
        count = dict(parse_qsl(request.qs)).get("count", "1")
        wanted = int(count) if count.isdecimal() and len(count) < 5 else 0
        issued = self.keyed.issue_keys(wanted)
        if request.method != "POST" or issued.is_error():
            detail = "expected POST with count from 1 to 1000"
            default = Refusal(
                Disposition.NOT_RUN, RefusalCause.BAD_REQUEST, 1.0, detail
            )
            refusal = issued.error if issued.is_error() and wanted else default
            self._answer_refusal(request, refusal, self._request_id_prefix)
            return
        body = json.dumps({"keys": issued.ok}).encode()
        request.sock.write(
            b"HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n"
            b"content-length: %d\r\n\r\n%s" % (len(body), body)
        )
        request.sock.finish_answer(keep=True)

    def _answer_refusal(
        self, request: CallerRequest, refusal: Refusal, request_id: str
    ) -> None:
        request.sock.write(render_refusal(refusal, request_id))
        request.sock.finish_answer(keep=True)

    def choose_home(self, service: str, tried: set[NodeId]) -> HomeEntry | None:
        """Return a home, preferring those that were not tried yet."""
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
        """Send a request to a home node, which may be this node."""
        self.loads.note_sent(message.service, home.node)
        if home.node == self._node_id:
            return self._dispatcher.dispatch(message, body, sink)
        return RemoteRequest(self.links.get(home.address), message, body, sink)

    def decide_retry(
        self, exchange: CallerExchange, disposition: Disposition
    ) -> RetryDecision:
        """Decide whether to retry; RETRY means that the retry budget was charged."""
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
        return decide_retry(work, disposition, exchange.accepted_at, self._budget, now)

    def count(self, name: str) -> None:
        """Increment a counter of the metrics."""
        self.counters[name] = self.counters.get(name, 0) + 1

    def on_ended(self, exchange: CallerExchange, result: str) -> None:
        """Remove a finished exchange and notify the observers."""
        self.exchanges.discard(exchange)
        self.count(f"finished_{result}")
        for observe in self.observers:
            observe(exchange, result)

    def _find_route(self, request: CallerRequest) -> tuple[Route | None, str]:
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


def _never_quarantined(message: OpenRequest, body: bytes) -> bool:
    return False


def read_remaining_ms(request: CallerRequest, route_deadline_ms: int) -> int:
    """Return the caller's time limit in milliseconds, at most the route's deadline.

    Without a valid limit from the caller, this is the route's deadline.
    """
    text = request.get_header(DEADLINE_HEADER)
    # A longer number exceeds the deadline of any route, and int() raises an error for
    # several thousand digits.
    if not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        return route_deadline_ms
    return min(int(text), route_deadline_ms)
