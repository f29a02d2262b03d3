"""Judge whether a whole service is short of room, and what to refuse at the entry.

When most homes that reported lately are short, their servers have a common cause and no
other home helps. Hedges then take room from first attempts, and a request that no home
can finish in time only costs messages and its caller's time.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass

from flamingobank.core import RouteName
from flamingobank.sidecar.decisions.completion import (
    Expectation,
    count_capacity,
    estimate_completion_s,
)
from flamingobank.sidecar.decisions.home_choice import HomeQuery
from flamingobank.sidecar.decisions.selection import (
    AVOID_MIN_FAILURE_PROBABILITY,
    HomeView,
)
from flamingobank.sidecar.links.messages import HomeReport

# Only reports this recent tell about the room of a service.
RECENT_S = 3.0
# Fewer homes than this say nothing about the service, unless it has no more.
MIN_RECENT_HOMES = 3
# Shares of short homes above which a service becomes short of room, and below which it
# has room again.
SHORT_SHARE = 0.6
ROOM_SHARE = 0.4
# A home is short if its server rejects this share of its requests, or if a new request
# waits for this share of the work of one.
SHORT_SHEDDING = 0.2
SHORT_WAIT_SHARE = 0.5
# Factors of the earliest completion. It is the least of many estimates from old
# reports and so too early: with a factor of 1, two fifths of the answers of a service
# at 1.5 of its capacity were late, and with 1.6 less than a tenth. Urgent requests
# overtake others in the queue of a home, which states the wait of the usual priority;
# less urgent ones are overtaken.
URGENT_FACTOR = 0.9
USUAL_FACTOR = 1.6
LESS_URGENT_FACTOR = 2.0
# Distance from the mean priority within which a request is of the usual priority.
PRIORITY_TOLERANCE = 0.25
PRIORITY_SMOOTHING = 0.02
# A request that can only be late is refused if it is not expected to be done within
# this share of its route's timeout. A late answer has a quarter of its value or less,
# and takes the room of one in time.
LATE_SHARE = 0.25
# One in this many requests of a route that would be refused is offered anyway. It keeps
# each route served and shows when there is room again.
FLOOR_INTERVAL = 10
# Delay before a request that a server rejected is offered again while the service is
# short; doubled with each rejection.
FIRST_PAUSE_S = 0.1
# Share of the time to the objective that such a pause may take.
MAX_PAUSE_SHARE = 0.2


@dataclass(frozen=True, slots=True)
class HomeCounts:
    """How many homes of a service are short of room."""

    short: int
    # Homes that reported recently; only these can be short.
    recent: int
    known: int


@dataclass(frozen=True, slots=True)
class Shortage:
    """Why a request is refused before it is offered to any home."""

    # Time until the request is done at the home that would finish it first.
    earliest_s: float
    homes: HomeCounts


def is_home_short(report: HomeReport, work_s: float) -> bool:
    """Return whether a home has no room for a new request soon."""
    if report.shedding >= SHORT_SHEDDING:
        return True
    if report.backlog_s > 0:
        return report.backlog_s >= SHORT_WAIT_SHARE * work_s
    capacity = count_capacity(report)
    ahead = report.running + report.waiting - capacity
    return ahead >= SHORT_WAIT_SHARE * capacity


def count_short_homes(
    views: Collection[HomeView], work_s: float, now: float
) -> HomeCounts:
    """Count the homes that are short of room for requests of this work."""
    short = recent = 0
    for view in views:
        if view.report is None or now - view.reported_at > RECENT_S:
            continue
        recent += 1
        short += is_home_short(view.report, work_s)
    return HomeCounts(short, recent, len(views))


def estimate_earliest_s(
    views: Collection[HomeView], expectation: Expectation, now: float
) -> float:
    """Return the time until a request is done at the best home; inf if at none."""
    earliest_s = math.inf
    for view in views:
        if not _may_finish(view, now):
            continue
        usual_wait_s = expectation.find_wait_s(view)
        done_s = estimate_completion_s(view, expectation.work_s, usual_wait_s, now)
        earliest_s = min(earliest_s, done_s)
    return earliest_s


def _may_finish(view: HomeView, now: float) -> bool:
    """Return whether a request could be served at a home, as far as is known."""
    if view.report is None or now - view.reported_at > RECENT_S:
        return True
    if not view.report.accepting:
        return False
    return view.estimate_failure_probability(now) <= AVOID_MIN_FAILURE_PROBABILITY


class ServiceRoom:
    """The judgement of one entry on one service."""

    def __init__(self) -> None:
        self.is_short = False
        # Mean priority of the requests; None before the first.
        self._mean_priority: float | None = None
        # Requests of each route that were to be refused since one was offered anyway.
        self._refused: dict[RouteName, int] = {}

    def update(self, homes: HomeCounts, priority: int) -> bool:
        """Judge the service at the start of a request; return whether that changed."""
        if self._mean_priority is None:
            self._mean_priority = float(priority)
        difference = priority - self._mean_priority
        self._mean_priority += PRIORITY_SMOOTHING * difference
        was_short = self.is_short
        if homes.recent < min(MIN_RECENT_HOMES, homes.known):
            self.is_short = False
        else:
            share = homes.short / max(1, homes.recent)
            self.is_short = share >= (ROOM_SHARE if was_short else SHORT_SHARE)
        if not self.is_short:
            self._refused.clear()
        return was_short != self.is_short

    def compute_urgency(self, priority: int) -> float:
        """Return the factor of the expected completion of a priority."""
        difference = priority - (self._mean_priority or 0.0)
        if difference < -PRIORITY_TOLERANCE:
            return URGENT_FACTOR
        if difference > PRIORITY_TOLERANCE:
            return LESS_URGENT_FACTOR
        return USUAL_FACTOR

    def should_refuse(
        self, query: HomeQuery, earliest_s: float, priority: int, now: float
    ) -> bool:
        """Return whether a request is refused before it is offered to any home.

        Only for requests that have not been sent. The bound for a late answer follows
        the route's timeout and not the time that is left, so a caller that returns is
        treated like one that comes for the first time.
        """
        if not self.is_short:
            return False
        done_s = earliest_s * self.compute_urgency(priority)
        remaining_s = query.deadline - now
        limit_s = max(query.objective_at - now, LATE_SHARE * query.route.timeout_s)
        limit_s = min(limit_s, remaining_s)
        if done_s <= limit_s:
            return False
        return not self._passes_floor(query.route.name)

    def choose_pause_s(self, arrivals: int, objective_at: float, now: float) -> float:
        """Return how long a rejected request waits before its next offer."""
        if not self.is_short:
            return 0.0
        limit_s = max(0.0, MAX_PAUSE_SHARE * (objective_at - now))
        return min(limit_s, FIRST_PAUSE_S * 2 ** max(0, arrivals - 1))

    def _passes_floor(self, route: RouteName) -> bool:
        count = self._refused.get(route, 0) + 1
        self._refused[route] = count % FLOOR_INTERVAL
        return count == FLOOR_INTERVAL
