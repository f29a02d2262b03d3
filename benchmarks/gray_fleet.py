"""Model of a large fleet with gray servers that runs the real decision code."""

import enum
import heapq
import itertools
import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from flamingobank.core import FailureDomain, NodeId, ServiceName
from flamingobank.sidecar.decisions.failure_estimate import ONSET_PER_S, RECOVERY_PER_S
from flamingobank.sidecar.decisions.home_search import HomeSearch, NextStep
from flamingobank.sidecar.decisions.home_subset import HomeSubset
from flamingobank.sidecar.decisions.offer_admission import (
    AdmissionState,
    OfferVerdict,
    decide_offer,
)
from flamingobank.sidecar.decisions.selection import HomeView, rank_homes
from flamingobank.sidecar.decisions.server_estimate import ServerEstimate
from flamingobank.sidecar.fleet.peers import PeerRecord
from flamingobank.sidecar.fleet.routes import RouteKind
from flamingobank.sidecar.links.messages import HomeReport, RefusalReason

SERVICE = ServiceName("orders")
FAILURE_DOMAINS = 6
HOMES_SHARE = 0.625
SLOTS = 2
UNSAFE_SHARE = 0.7
MEAN_DURATION_S = 0.29
FAST_FAILURE_S = 0.02
FAILING_RATE = 0.8
OBJECTIVE_S = 1.56
DEADLINE_S = 6.2
MAX_RUNS = 2
ROUND_TRIP_S = 0.003
RECOVERY_WAIT_S = 0.1


class Way(enum.Enum):
    """How entries choose homes."""

    RANDOM = "random"
    ALL_HOMES = "all_homes"
    SUBSET = "subset"


@dataclass
class Figures:
    """What one run of the model counted."""

    requests: int = 0
    unsafe: int = 0
    unsafe_ok: int = 0
    served: int = 0
    on_time: int = 0
    sent: int = 0
    refused: dict[str, int] = field(default_factory=dict)
    decision_s: float = 0.0


class ModelHome:
    """A home, its server and the state that admission looks at."""

    def __init__(self, fleet: "GrayFleet", record: PeerRecord) -> None:
        self.fleet = fleet
        self.record = record
        self.estimate = ServerEstimate(0.0)
        self.running = 0
        self.waiting: list[ModelRequest] = []
        self.probed_at = -9.0
        self.failing = False
        self.schedule_change()

    def schedule_change(self) -> None:
        """Start or end a gray failure after a random time."""
        rate = RECOVERY_PER_S if self.failing else ONSET_PER_S

        def change() -> None:
            self.failing = not self.failing
            self.schedule_change()

        self.fleet.call_later(self.fleet.rng.expovariate(rate), change)

    def report(self) -> HomeReport:
        """Return the report that travels with refusals and answers."""
        failing = self.estimate.read_failure_probability(self.fleet.now)
        return HomeReport(
            SERVICE, failing, self.running, len(self.waiting), SLOTS, True
        )

    def decide(self, request: "ModelRequest", forced: bool):
        """Return the verdict on an offer."""
        now = self.fleet.now
        state = AdmissionState(
            self.estimate.read_failure_probability(now),
            self.running,
            len(self.waiting),
            len(self.waiting),
            SLOTS,
            self.estimate.mean_duration_s,
            self.probed_at,
        )
        return decide_offer(
            request.is_final,
            forced,
            request.deadline - now,
            request.started_at + OBJECTIVE_S - now,
            state,
            now,
        )

    def run(self, request: "ModelRequest") -> None:
        """Run a request on the server."""
        fleet = self.fleet
        self.running += 1
        self.probed_at = fleet.now
        fails = self.failing and fleet.rng.random() < FAILING_RATE
        duration_s = fleet.rng.lognormvariate(0, 0.4) * MEAN_DURATION_S
        started_at = fleet.now

        def end() -> None:
            self.running -= 1
            self.estimate.note_answer(fleet.now - started_at, not fails)
            if self.estimate.observe(fails, fleet.now):
                fleet.push_report(self)
            request.on_answer(self, fails)
            if self.waiting and self.running < SLOTS:
                self.run(self.waiting.pop(0))

        fleet.figures.sent += 1
        fleet.call_later(FAST_FAILURE_S if fails else duration_s, end)


class ModelRequest:
    """One request of a caller at its entry."""

    def __init__(self, entry: "ModelEntry", unsafe: bool) -> None:
        self.entry = entry
        self.unsafe = unsafe
        self.started_at = entry.fleet.now
        self.deadline = self.started_at + DEADLINE_S
        self.runs = 0
        self.search = HomeSearch()

    @property
    def is_final(self) -> bool:
        """Return whether a failure of the next run ends the request."""
        return self.unsafe or self.runs + 1 >= MAX_RUNS

    def offer_next(self) -> None:
        """Offer the request to the next home."""
        fleet = self.entry.fleet
        if fleet.now > self.deadline:
            return
        started = time.process_time()
        view = None
        if fleet.way is not Way.SUBSET or not self.search.is_exhausted:
            view = self.entry.choose(self)
        forced = False
        if view is None:
            decision = self.search.decide_next(
                self.is_final, fleet.now - self.started_at, OBJECTIVE_S, fleet.now
            )
            if decision.step is NextStep.WAIT:
                fleet.call_later(RECOVERY_WAIT_S, self.offer_next)
                return
            if decision.step is NextStep.GIVE_UP:
                return
            view, forced = decision.home, True
        fleet.figures.decision_s += time.process_time() - started
        fleet.call_later(ROUND_TRIP_S, lambda: self.on_offered(view, forced))

    def on_offered(self, view: HomeView, forced: bool) -> None:
        """Handle the home's verdict."""
        fleet = self.entry.fleet
        home = fleet.homes[view.node]
        decision = home.decide(self, forced)
        if decision.verdict is OfferVerdict.GRANT:
            home.run(self)
            return
        if decision.verdict is OfferVerdict.QUEUE:
            home.waiting.append(self)
            return
        reason: RefusalReason = decision.reason
        counts = fleet.figures.refused
        counts[reason.value] = counts.get(reason.value, 0) + 1
        view.update_report(home.report(), fleet.now)
        self.search.note_refusal(view, reason, forced)
        self.offer_next()

    def on_answer(self, home: ModelHome, failed: bool) -> None:
        """Count a success, or try once more after a failure."""
        fleet = self.entry.fleet
        self.entry.get_view(home.record).update_report(home.report(), fleet.now)
        self.runs += 1
        self.search.ran_on.add(home.record.node)
        if not failed:
            fleet.figures.served += 1
            fleet.figures.unsafe_ok += self.unsafe
            fleet.figures.on_time += fleet.now <= self.started_at + OBJECTIVE_S
            return
        if not self.unsafe and self.runs < MAX_RUNS:
            self.offer_next()


class ModelEntry:
    """The entry of one sidecar."""

    def __init__(self, fleet: "GrayFleet", number: int) -> None:
        self.fleet = fleet
        self.node = NodeId(f"n{number}")
        self.domain = FailureDomain(f"z{number % FAILURE_DOMAINS}")
        self.views: dict[NodeId, HomeView] = {}
        self.subset = HomeSubset(self.node, self.domain)

    def get_view(self, record: PeerRecord) -> HomeView:
        """Return what this entry knows about a home."""
        view = self.views.get(record.node)
        if view is None:
            view = HomeView(record.node, record.failure_domain == self.domain)
            self.views[record.node] = view
        return view

    def choose(self, request: ModelRequest) -> HomeView | None:
        """Return the home that gets the next offer."""
        fleet = self.fleet
        homes = fleet.records
        if fleet.way is Way.SUBSET:
            homes = self.subset.choose(homes)
        excluded = request.search.excluded
        views = [
            self.get_view(record) for record in homes if record.node not in excluded
        ]
        if not views:
            return None
        if fleet.way is Way.RANDOM:
            return fleet.rng.choice(views)
        kind = RouteKind.UNSAFE if request.unsafe else RouteKind.SAFE
        return rank_homes(views, kind, request.is_final, fleet.now, fleet.rng)[0]


class GrayFleet:
    """Entries, homes and callers in virtual time."""

    def __init__(self, way: Way, sidecars: int, load: float, seed: int) -> None:
        self.way = way
        self.rng = random.Random(seed)
        self.now = 0.0
        self.figures = Figures()
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self.records = [
            PeerRecord(
                NodeId(f"n{number}"),
                1,
                1,
                ("10.0.0.1", number),
                FailureDomain(f"z{number % FAILURE_DOMAINS}"),
                SERVICE,
                True,
                False,
                (),
            )
            for number in range(round(sidecars * HOMES_SHARE))
        ]
        self.homes = {record.node: ModelHome(self, record) for record in self.records}
        self.entries = [ModelEntry(self, number) for number in range(sidecars)]
        self.rate = load * len(self.records) * SLOTS / MEAN_DURATION_S

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), callback))

    def push_report(self, home: ModelHome) -> None:
        """Send a report to the entries that have used a home."""
        report = home.report()
        for entry in self.entries:
            view = entry.views.get(home.record.node)
            if view is not None and view.report is not None:
                view.update_report(report, self.now)

    def run(self, seconds: float) -> Figures:
        """Run the model and return its figures."""
        self._schedule_request()
        while self._events and self._events[0][0] < seconds:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        return self.figures

    def _schedule_request(self) -> None:
        def start() -> None:
            self._schedule_request()
            figures = self.figures
            request = ModelRequest(
                self.rng.choice(self.entries), self.rng.random() < UNSAFE_SHARE
            )
            figures.requests += 1
            figures.unsafe += request.unsafe
            request.offer_next()

        self.call_later(self.rng.expovariate(self.rate), start)
