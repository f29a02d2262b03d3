"""Accept callers' requests, match them to routes and track them until answered."""

import itertools
import math
import random
from collections.abc import Callable

from flamingobank.core import Clock, NodeId, RequestId, ServiceName
from flamingobank.loop import Timers
from flamingobank.sidecar.callers.caller_exchange import CallerExchange
from flamingobank.sidecar.callers.cost_scheduling import SchedulingByCost
from flamingobank.sidecar.callers.exchange_owner import EndedRequest, ExchangeOwner
from flamingobank.sidecar.callers.home_views import HomeViews
from flamingobank.sidecar.callers.reply import CallerReply
from flamingobank.sidecar.callers.scheduling import (
    Candidates,
    Scheduling,
    SchedulingByLoad,
)
from flamingobank.sidecar.decisions.home_choice import HomeChoice, HomeQuery
from flamingobank.sidecar.decisions.home_subset import SUBSET_SIZE
from flamingobank.sidecar.decisions.refusals import RefusalCause
from flamingobank.sidecar.decisions.retry_budget import RepeatedRunLimiter, RetryBudget
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.decisions.service_room import Shortage
from flamingobank.sidecar.dialect import Dialect
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.peers import PeerTable
from flamingobank.sidecar.fleet.routes import Route, RoutingTable, choose_target
from flamingobank.sidecar.fleet.workspaces import KeyDigest, Workspace
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.links import Link
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.links.messages import HomeReport
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.sidecar.workspaces.access import (
    Access,
    compute_priority,
    get_refusal_cause,
)
from flamingobank.sidecar.workspaces.access_control import AccessControl
from flamingobank.sidecar.workspaces.request_tokens import TokenSource

# Time reserved out of the caller's deadline for returning the answer to it.
ANSWER_MARGIN_S = 0.03


class Entry(ExchangeOwner):
    """Serve the requests of the callers on one machine."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        rng: random.Random,
        dialect: Dialect,
        event_log: EventLog,
        metrics: SidecarMetrics,
        peers: PeerTable,
        retries: RetryBudget,
        run_limiter: RepeatedRunLimiter,
        crashes: CrashReports,
        calling_service: ServiceName,
        revocation_s: float | None = None,
    ) -> None:
        self._run_limiter = run_limiter
        self._crashes = crashes
        self.clock = clock
        self.timers = timers
        self.event_log = event_log
        self.calling_service = calling_service
        self.table: RoutingTable | None = None
        self.access = AccessControl(clock, event_log, metrics, revocation_s)
        self.exchanges: dict[CallerRequest, CallerExchange] = {}
        # When a stopping process ends.
        self._ends_at = math.inf
        self.get_link: Callable[[NodeId], Link | LocalLink] | None = None
        self.quotas: TokenSource | None = None
        self.on_call_failed: Callable[[], None] = lambda: None
        self._rng = rng
        self._dialect = dialect
        self.metrics = metrics
        self._peers = peers
        self._retries = retries
        self.homes = HomeViews(peers)
        self._streams = itertools.count(1)
        self._by_load = SchedulingByLoad()
        self._by_cost = SchedulingByCost(event_log)

    def take(self, request: CallerRequest) -> None:
        """Start an exchange for a request, or refuse it at once."""
        now = self.clock.now()
        facts = self._dialect.read_caller(request.headers)
        # The key is removed before anything keeps, logs or passes on the headers.
        digest = self.take_key(request)
        if self.table is None:
            self._refuse_early(request, facts.request_id, RefusalCause.NO_CONFIGURATION)
            return
        host = request.get_header(b"host").partition(":")[0].lower()
        if not host:
            self.event_log.request(
                "entry:refused", facts.request_id, cause="no-host", version=None
            )
            self.create_reply(request, facts.request_id).answer_malformed()
            return
        path = request.target.decode("latin-1").partition("?")[0]
        route = self.table.find(host, path)
        if route is None:
            self._refuse_early(request, facts.request_id, None)
            return
        access = self.check_access(route, digest)
        if not access.is_allowed:
            self._refuse_early(request, facts.request_id, get_refusal_cause(access))
            return
        if self.is_quarantined(request):
            self._refuse_early(request, facts.request_id, RefusalCause.QUARANTINED)
            return
        service = choose_target(route, self._rng.random())
        self._retries.count_request(service, now)
        if service != self.calling_service:
            self._run_limiter.note_request(service, now)
        deadline = request.read_at + route.timeout_s
        if facts.remaining_s is not None:
            deadline = min(
                deadline, request.read_at + facts.remaining_s - ANSWER_MARGIN_S
            )
        exchange = CallerExchange(
            self, request, facts.request_id, route, service, deadline, access, digest
        )
        self.exchanges[request] = exchange
        self.event_log.request(
            "exchange:taken",
            facts.request_id,
            route=route.name,
            service=service,
            kind=route.kind.value,
            version=self.table.version,
            left_ms=round((deadline - now) * 1000),
        )
        exchange.start()

    @property
    def scheduling(self) -> Scheduling:
        if self.table is not None and self.table.schedules_by_cost:
            return self._by_cost
        return self._by_load

    @property
    def has_workspaces(self) -> bool:
        return self.table is not None and bool(self.table.workspaces)

    def begin_stop(self, ends_at: float) -> None:
        """Start only requests whose deadlines come before the end of this process.

        Others that wait to be started are refused now.
        """
        self._ends_at = ends_at
        for exchange in list(self.exchanges.values()):
            exchange.on_stop_begun()

    def can_finish(self, deadline: float) -> bool:
        return deadline <= self._ends_at

    def end_all(self) -> None:
        """Send the final answers of all open requests, as this process ends."""
        for exchange in list(self.exchanges.values()):
            exchange.on_process_ending()

    def is_quarantined(self, request: CallerRequest) -> bool:
        return self._crashes.is_quarantined(
            request.method, request.target, request.body
        )

    def take_key(self, request: CallerRequest) -> KeyDigest | None:
        if self.table is not None and not self.table.workspaces:
            return None
        return self._dialect.take_key(request.headers)

    def check_access(self, route: Route, digest: KeyDigest | None) -> Access:
        return self.access.check(self.table, route, digest)

    def describe_keys(self) -> dict[str, object]:
        return self.access.describe(self.table)

    def compute_priority(self, route: Route, workspace: Workspace | None) -> int:
        return compute_priority(self.table, route, workspace)

    def allocate_stream(self) -> int:
        return next(self._streams)

    def choose_home(
        self,
        service: ServiceName,
        query: HomeQuery,
        excluded: set[NodeId],
        refused: list[HomeView],
        now: float,
    ) -> HomeChoice | None:
        homes = self._peers.list_homes(service)
        scheduling = self.scheduling
        subset = self.homes.choose_subset(service, homes, scheduling)
        candidates = self.homes.list_candidates(subset, self.get_link, now)
        choice = scheduling.choose(candidates, excluded, refused, query, now, self._rng)
        if choice is not None or len(homes) <= SUBSET_SIZE:
            return choice
        others = self._rng.sample(homes, SUBSET_SIZE)
        candidates = self.homes.list_candidates(others, self.get_link, now)
        return scheduling.choose(candidates, excluded, refused, query, now, self._rng)

    def find_shortage(
        self, service: ServiceName, query: HomeQuery, priority: int, now: float
    ) -> Shortage | None:
        return self.scheduling.find_shortage(
            service, lambda: self._list_candidates(service, now), query, priority, now
        )

    def choose_return_s(
        self, service: ServiceName, query: HomeQuery, priority: int, now: float
    ) -> float | None:
        return self.scheduling.choose_return_s(
            service,
            lambda: self._list_candidates(service, now),
            query,
            priority,
            now,
            self._rng,
        )

    def draw_distance(self) -> float:
        return self.scheduling.draw_distance(self._rng)

    def _list_candidates(self, service: ServiceName, now: float) -> Candidates:
        homes = self._peers.list_homes(service)
        subset = self.homes.choose_subset(service, homes, self.scheduling)
        return self.homes.list_candidates(subset, self.get_link, now)

    def note_report(self, node: NodeId, report: HomeReport) -> None:
        """Store a report that a home sent without a request for it."""
        self.homes.note_report(node, report, self.clock.now())

    def note_offer_timeout(self, home: HomeView) -> None:
        self.event_log.event("entry:home-silent", home=home.node)
        self.get_link(home.node).suspect()

    def remove_home(self, node: NodeId) -> None:
        """Discard the view of a home."""
        self.homes.remove(node)

    def try_spend_retry(self, service: ServiceName, now: float) -> bool:
        if self._retries.try_spend(service, len(self._peers) + 1, now):
            return True
        self.metrics.count("retries_denied_total")
        return False

    def compute_retry_allowance(self, service: ServiceName, now: float) -> float:
        return self._retries.compute_allowance(service, len(self._peers) + 1, now)

    def compute_retry_limit(self, service: ServiceName, now: float) -> float:
        return self._retries.compute_limit(service, len(self._peers) + 1, now)

    def create_reply(
        self, request: CallerRequest, request_id: RequestId
    ) -> CallerReply:
        return CallerReply(request, request_id, self._dialect, self._rng)

    def on_ended(self, ended: EndedRequest) -> None:
        del self.exchanges[ended.request]
        took_s = self.clock.now() - ended.request.read_at
        self.event_log.request(
            "exchange:ended",
            ended.request_id,
            outcome=ended.outcome,
            took_ms=round(took_s * 1000),
            runs=ended.runs,
            arrivals=ended.arrivals,
        )
        kind = ended.kind.value
        self.metrics.count("requests_total", kind=kind, outcome=ended.outcome)
        self.metrics.observe_latency(took_s, kind)
        if ended.workspace is not None:
            self.metrics.count_workspace(ended.workspace.name, ended.outcome)
        if not ended.outcome.startswith("2"):
            self.on_call_failed()

    def _refuse_early(
        self,
        request: CallerRequest,
        request_id: RequestId,
        cause: RefusalCause | None,
    ) -> None:
        """Refuse a request without offering it; without a cause, answer 404."""
        self.event_log.request(
            "entry:refused",
            request_id,
            cause=cause.value if cause else "no-route",
            version=self.table.version if self.table else None,
        )
        reply = self.create_reply(request, request_id)
        if cause is None:
            reply.answer_not_found()
            return
        reply.refuse(cause)
