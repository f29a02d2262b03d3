"""Model a service in several failure domains that runs the decision code of entries.

Entries choose homes by load or by cost; homes admit offers with the code of the
product and report with refusals and answers. Time is virtual.
"""

import heapq
import itertools
import math
import random
from collections import Counter
from collections.abc import Callable

from flamingobank.core import NodeId, RouteName, ServiceName
from flamingobank.sidecar.callers.scheduling import (
    Candidates,
    Scheduling,
    SchedulingByLoad,
)
from flamingobank.sidecar.decisions.home_choice import HomeChoice, HomeQuery
from flamingobank.sidecar.decisions.home_search import NextStep
from flamingobank.sidecar.decisions.offer_admission import (
    AdmissionState,
    OfferVerdict,
    decide_offer,
)
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.decisions.server_estimate import ServerEstimate
from flamingobank.sidecar.fleet.routes import Route, RouteKind, WeightedService
from flamingobank.sidecar.links.messages import HomeReport, RefusalReason

WORK_S = 0.52
OBJECTIVE_S = 2.52
TIMEOUT_S = 10.0
SLOTS = 4
ROUND_TRIP_S = (0.003, 0.012)
FAILING_SHARE = 0.8
ORDERS = ServiceName("orders")
ROUTE = Route(
    RouteName("booking"),
    "x.example",
    "/a/",
    RouteKind.UNSAFE,
    (WeightedService(ORDERS, 1.0),),
    TIMEOUT_S,
    OBJECTIVE_S,
    max_attempts=1,
    priority=1,
)


class ModelHome:
    """A home with its server."""

    def __init__(
        self, fleet: "DomainFleet", number: int, domain: int, pace: float
    ) -> None:
        self.fleet = fleet
        self.node = NodeId(f"h{number}")
        self.domain = domain
        self.pace = pace
        self.estimate = ServerEstimate(0.0)
        self.running = 0
        self.waiting = []
        self.failing = False
        self.served = 0

    def report(self) -> HomeReport:
        """Return the report on this home."""
        ahead = max(0, self.running + len(self.waiting) + 1 - SLOTS)
        return HomeReport(
            ORDERS,
            self.estimate.read_failure_probability(self.fleet.now),
            self.running,
            len(self.waiting),
            SLOTS,
            True,
            SLOTS,
            ahead * WORK_S * self.pace / SLOTS,
            self.pace,
        )

    def on_offer(self, request: "ModelRequest", forced: bool) -> None:
        """Grant a slot, queue the request, or refuse it."""
        now = self.fleet.now
        state = AdmissionState(
            self.estimate.read_failure_probability(now),
            self.running,
            len(self.waiting),
            len(self.waiting),
            SLOTS,
            WORK_S * self.pace,
            0.0,
        )
        decision = decide_offer(
            True,
            forced,
            request.deadline - now,
            request.started_at + OBJECTIVE_S - now,
            state,
            now,
        )
        if decision.verdict is OfferVerdict.GRANT:
            self.start(request)
        elif decision.verdict is OfferVerdict.QUEUE:
            self.waiting.append(request)
        else:
            request.on_refused(self, decision.reason, forced)

    def start(self, request: "ModelRequest") -> None:
        """Run a request on the server."""
        self.running += 1
        fails = self.failing and self.fleet.rng.random() < FAILING_SHARE
        took_s = self.fleet.rng.lognormvariate(0, 0.3) * WORK_S * self.pace
        self.fleet.call_later(
            0.02 if fails else took_s, lambda: self.end(request, took_s, fails)
        )

    def end(self, request: "ModelRequest", took_s: float, fails: bool) -> None:
        """End a request, answer it and start the next one."""
        self.running -= 1
        self.served += 1
        if self.estimate.observe(fails, self.fleet.now):
            self.fleet.push_report(self)
        request.on_answer(self, took_s, fails)
        if self.waiting and self.running < SLOTS:
            self.start(self.waiting.pop(0))


class ModelRequest:
    """One request of a caller at its entry."""

    def __init__(self, entry: "ModelEntry") -> None:
        self.entry = entry
        self.fleet = entry.fleet
        self.started_at = self.fleet.now
        self.deadline = self.started_at + TIMEOUT_S
        self.offers = 0
        draw = entry.scheduling.draw_distance(self.fleet.rng)
        self.query = HomeQuery(
            ROUTE, True, self.started_at + OBJECTIVE_S, self.deadline, draw
        )
        self.search = entry.scheduling.create_search(self.query)

    def start(self) -> None:
        """Offer the request unless the service is short of room."""
        entry = self.entry
        shortage = entry.scheduling.find_shortage(
            ORDERS, entry.list_candidates, self.query, ROUTE.priority, self.fleet.now
        )
        if shortage is not None:
            self.fleet.counts["refused early"] += 1
            return
        self.offer_next()

    def offer_next(self) -> None:
        """Offer the request to the home that the entry chooses."""
        now = self.fleet.now
        choice = None
        if not self.search.is_exhausted:
            choice = self.entry.choose(self)
        if choice is not None:
            view, forced = choice.home, choice.forced
        else:
            waited_s = now - self.started_at
            decision = self.search.decide_next(True, waited_s, OBJECTIVE_S, now)
            if decision.step is NextStep.WAIT:
                self.fleet.call_later(0.1, self.offer_next)
                return
            if decision.step is NextStep.GIVE_UP:
                self.fleet.counts["refused"] += 1
                return
            view, forced = decision.home, True
        self.offers += 1
        self.entry.scheduling.note_offer(view, ROUTE)
        home = self.fleet.homes[view.node]
        self.fleet.call_later(
            ROUND_TRIP_S[home.domain != self.entry.domain],
            lambda: home.on_offer(self, forced),
        )

    def on_refused(self, home: ModelHome, reason: RefusalReason, forced: bool) -> None:
        """Try the next home."""
        view = self.entry.views[home.node]
        view.update_report(home.report(), self.fleet.now)
        self.search.note_refusal(view, reason, forced)
        self.offer_next()

    def on_answer(self, home: ModelHome, took_s: float, failed: bool) -> None:
        """Count the answer."""
        now = self.fleet.now
        self.entry.views[home.node].update_report(home.report(), now)
        counts = self.fleet.counts
        counts["offers"] += self.offers
        counts["left"] += home.domain != self.entry.domain
        counts["sent"] += 1
        if failed:
            counts["failed"] += 1
            return
        counts["on time"] += now <= self.started_at + OBJECTIVE_S
        self.entry.scheduling.note_answer(ORDERS, ROUTE, took_s, home.pace, now)


class ModelEntry:
    """The entry of one sidecar, which knows all homes."""

    def __init__(
        self, fleet: "DomainFleet", domain: int, scheduling: Scheduling
    ) -> None:
        self.fleet = fleet
        self.domain = domain
        self.scheduling = scheduling
        self.views = {
            home.node: HomeView(home.node, home.domain == domain)
            for home in fleet.homes.values()
        }

    def list_candidates(self) -> Candidates:
        """Return all homes."""
        return Candidates(list(self.views.values()), [])

    def choose(self, request: ModelRequest) -> HomeChoice | None:
        """Return the scheduling's choice of a home."""
        return self.scheduling.choose(
            self.list_candidates(),
            request.search.excluded,
            request.search.queue_candidates,
            request.query,
            self.fleet.now,
            self.fleet.rng,
        )


class DomainFleet:
    """Entries and homes in domains whose demand swings at different phases."""

    def __init__(
        self,
        create_scheduling: Callable[[], Scheduling] = SchedulingByLoad,
        entries_per_domain: int = 10,
        homes: tuple[int, ...] = (13, 13, 13, 12),
        load: float = 0.7,
        swing: float = 0.55,
        paces: tuple[float, ...] = (1.0,),
        failing_share: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.now = 0.0
        self.counts = Counter()
        self._order = itertools.count()
        self._events = []
        self.homes = {}
        for domain, count in enumerate(homes):
            for _ in range(count):
                number = len(self.homes)
                home = ModelHome(self, number, domain, paces[number % len(paces)])
                self.homes[home.node] = home
        self.entries = [
            [
                ModelEntry(self, domain, create_scheduling())
                for _ in range(entries_per_domain)
            ]
            for domain in range(len(homes))
        ]
        capacity = sum(SLOTS / home.pace for home in self.homes.values()) / WORK_S
        self.rate = load * capacity / len(homes)
        self.swing = swing
        self.failing_share = failing_share

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Run a callback after a delay."""
        heapq.heappush(self._events, (self.now + delay_s, next(self._order), callback))

    def push_report(self, home: ModelHome) -> None:
        """Send a report to all entries, as homes do when their server fails."""
        for entry in itertools.chain.from_iterable(self.entries):
            entry.views[home.node].update_report(home.report(), self.now)

    def run(self, seconds: float) -> Counter:
        """Run the model and return what was counted."""
        for domain in range(len(self.entries)):
            self._schedule(domain)
        if self.failing_share:
            for home in self.homes.values():
                self._schedule_failure(home)
        while self._events and self._events[0][0] < seconds:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        return self.counts

    def _schedule(self, domain: int) -> None:
        phase = 2 * math.pi * (self.now / 17 + domain / len(self.entries))
        rate = self.rate * (1 + self.swing * math.sin(phase))

        def start():
            self._schedule(domain)
            self.counts["requests"] += 1
            ModelRequest(self.rng.choice(self.entries[domain])).start()

        self.call_later(self.rng.expovariate(rate), start)

    def _schedule_failure(self, home: ModelHome) -> None:
        # Gray failures last 3 s on average.
        rate = 1 / 3
        if not home.failing:
            rate *= self.failing_share / (1 - self.failing_share)

        def change():
            home.failing = not home.failing
            self._schedule_failure(home)

        self.call_later(self.rng.expovariate(rate), change)
