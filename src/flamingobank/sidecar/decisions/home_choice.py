"""Choose the home of a request by the time at which it would be done there.

The cost of a home is a share of the value of one answer in time. It adds the time to
completion relative to the objective, the risk of a late answer, the risk of a failure
and, for a home in another failure domain, the price of the distance.
"""

import enum
import math
import random
from collections.abc import Collection
from dataclasses import dataclass

from flamingobank.sidecar.decisions.completion import (
    Expectation,
    estimate_completion_s,
    estimate_load_share,
    estimate_wait_s,
)
from flamingobank.sidecar.decisions.failure_estimate import (
    LONG_RUN_PROBABILITY,
    ONSET_PER_S,
    RECOVERY_PER_S,
)
from flamingobank.sidecar.decisions.selection import (
    AVOID_MIN_FAILURE_PROBABILITY,
    PROBE_SHARE,
    HomeView,
)
from flamingobank.sidecar.fleet.routes import Route, RouteKind

# Cost of a completion at the objective. A home that needs the whole objective is worse
# than an idle one even if the answer is still in time.
TIME_COST = 0.3
# Expected loss of a late answer, which is worth a quarter or less. A completion
# expected before SURE_SHARE of the objective is in time, one after MISSED_SHARE late.
LATE_COST = 0.75
SURE_SHARE = 0.3
MISSED_SHARE = 1.1
# Cost of a certain failure. Other attempts can be followed by a retry. At 12, homes
# without recent outcomes were avoided so much that the others became full, and fewer
# requests were on time.
FINAL_FAILURE_COST = 4.0
RETRIED_FAILURE_COST = 1.5
# Cost of a certain rejection by a server that rejects more than the others. The request
# may be sent again, also if it is not repeatable, but spends a retry and time.
REJECTION_COST = 1.5
# Estimates up to this say only how long a server had no outcomes, and do not tell
# healthy servers apart. A higher one needs a failure. With a lower bound, servers that
# had no requests for some seconds were avoided like failing ones and stayed unused.
NOISE_PROBABILITY = LONG_RUN_PROBABILITY + 0.01
# Cost of a home about whose server nothing is known; it may refuse as suspect, which
# costs a round trip.
UNKNOWN_COST = 0.08
# Repeatable requests prefer homes that have not reported for this time, which keeps the
# estimates current for others.
STALENESS_BONUS = 0.1
MAX_STALENESS_S = 2.0
LOAD_COST = 0.05
# A home that is new to the entry gets less at first. Below COST_JITTER, so that it gets
# some requests at once.
COLD_COST = 0.05
WARM_AFTER_S = 5.0
COST_JITTER = 0.1
# Bounds of the price of a request in another failure domain. Each request draws its own
# within them, so the share of requests that leave the domain grows with what they gain,
# and the entries of a domain do not leave or return together.
# Downloads have large answers.
MIN_DISTANCE_COST = 0.2
MAX_DISTANCE_COST = 0.4
DOWNLOAD_DISTANCE_FACTOR = 3.0
# Each request compares a random part of the homes, so that entries with the same stale
# reports do not all choose the same home.
COMPARED_SHARE = 0.5
MIN_COMPARED = 3
# A request is queued at once at a home that was full when it reported this recently.
FRESH_REPORT_S = 0.4
# A home above this cost of failure is suspect.
SUSPECT_COST = 0.3

_DECAY_PER_S = ONSET_PER_S + RECOVERY_PER_S


class ChoiceReason(enum.Enum):
    """Why the home of a request is in its failure domain."""

    OWN_DOMAIN = "own-domain"
    # No home of the own failure domain can be reached, or all refused the request.
    NO_OWN_HOME = "no-own-home"
    OWN_SUSPECT = "own-suspect"
    OWN_LATE = "own-late"
    # All homes that were asked refused, and this one is expected to be done first.
    ALL_REFUSED = "all-refused"
    # Chosen by load, without regard to these reasons.
    BY_LOAD = "by-load"


@dataclass(frozen=True, slots=True)
class HomeQuery:
    """The properties of a request that the choice of its home depends on."""

    route: Route
    final_attempt: bool
    # When the latency objective is missed.
    objective_at: float
    deadline: float
    # Random number from [0, 1) that places the request between the bounds of the price
    # of the distance; the same for all offers of a request.
    distance_draw: float = 0.0

    @property
    def distance_cost(self) -> float:
        """Return the price of the distance to another failure domain."""
        width = MAX_DISTANCE_COST - MIN_DISTANCE_COST
        cost = MIN_DISTANCE_COST + self.distance_draw * width
        if self.route.kind is RouteKind.DOWNLOAD:
            return DOWNLOAD_DISTANCE_FACTOR * cost
        return cost


@dataclass(frozen=True, slots=True)
class HomeChoice:
    """The home of the next offer of a request."""

    home: HomeView
    # The home queues the request if it is busy.
    forced: bool = False
    reason: ChoiceReason = ChoiceReason.BY_LOAD


def compute_failure_cost(view: HomeView, final_attempt: bool, now: float) -> float:
    """Return the cost of what the home last stated about failures of its server.

    The evidence fades at the rate at which servers change their state. Estimates within
    the noise of healthy servers cost nothing.
    """
    if view.report is None:
        return 0.0
    # A home that accepts no work refuses at once, and may accept some again later.
    failing = view.report.failing if view.report.accepting else 1.0
    excess = failing - NOISE_PROBABILITY
    if excess <= 0:
        return 0.0
    fading = math.exp(-_DECAY_PER_S * max(0.0, now - view.reported_at))
    return (FINAL_FAILURE_COST if final_attempt else RETRIED_FAILURE_COST) * (
        excess * fading
    )


def compute_time_cost(done_s: float, query: HomeQuery, now: float) -> float:
    """Return the cost of a completion after a time.

    A request that has missed its objective is measured by its deadline.
    """
    objective_s = query.objective_at - now
    if objective_s <= 0:
        objective_s = max(0.01, query.deadline - now)
    share = done_s / objective_s
    late = (share - SURE_SHARE) / (MISSED_SHARE - SURE_SHARE)
    return TIME_COST * min(2.0, share) + LATE_COST * min(1.0, max(0.0, late))


def compute_cost(
    view: HomeView, query: HomeQuery, expectation: Expectation, now: float
) -> float:
    """Return the cost of a home for a request, without the jitter."""
    usual_wait_s = expectation.find_wait_s(view)
    done_s = estimate_completion_s(view, expectation.work_s, usual_wait_s, now)
    cost = compute_time_cost(done_s, query, now)
    cost += compute_failure_cost(view, query.final_attempt, now)
    cost += REJECTION_COST * expectation.shedding.compute_excess(view, now)
    cost += LOAD_COST * estimate_load_share(view, now)
    if query.final_attempt:
        known = LONG_RUN_PROBABILITY - view.estimate_failure_probability(now)
        cost += UNKNOWN_COST * (1 - max(0.0, known) / LONG_RUN_PROBABILITY)
    else:
        staleness_s = min(MAX_STALENESS_S, now - view.reported_at)
        cost -= STALENESS_BONUS * staleness_s / MAX_STALENESS_S
    cost += COLD_COST * max(0.0, 1 - (now - view.first_seen_at) / WARM_AFTER_S)
    if not view.same_failure_domain:
        cost += query.distance_cost
    return cost


def choose_by_cost(
    views: Collection[HomeView],
    refused: Collection[HomeView],
    query: HomeQuery,
    expectation: Expectation,
    now: float,
    rng: random.Random,
) -> HomeChoice | None:
    """Return the best home for a request, or None if there is none.

    `views` have not been asked. `refused` were busy or suspect and may queue the
    request. Their reports are new, so one of them is chosen if no other is expected to
    be better.
    """
    probed = _choose_probe(views, query, now, rng)
    if probed is not None:
        return HomeChoice(probed, False, ChoiceReason.OWN_DOMAIN)
    best_cost, best, forced = math.inf, None, False
    best_own: HomeView | None = None
    best_own_cost = math.inf
    for view in _sample(views, rng):
        cost = compute_cost(view, query, expectation, now)
        cost += rng.uniform(0, COST_JITTER)
        if cost < best_cost:
            best_cost, best = cost, view
        if view.same_failure_domain and cost < best_own_cost:
            best_own_cost, best_own = cost, view
    if best is not None:
        forced = _is_known_to_be_full(best, query, expectation, now)
    for view in refused:
        if view.estimate_failure_probability(now) > AVOID_MIN_FAILURE_PROBABILITY:
            # The search decides whether to wait for a recovery.
            continue
        cost = compute_cost(view, query, expectation, now)
        if cost < best_cost:
            best_cost, best, forced = cost, view, True
        if view.same_failure_domain and cost < best_own_cost:
            best_own_cost, best_own = cost, view
    if best is None:
        return None
    return HomeChoice(
        best, forced, _find_reason(best, best_own, query, expectation, now)
    )


def _sample(views: Collection[HomeView], rng: random.Random) -> list[HomeView]:
    """Return a random part of the homes of the own and of other failure domains."""
    own = [view for view in views if view.same_failure_domain]
    others = [view for view in views if not view.same_failure_domain]
    compared = []
    for group in (own, others):
        count = max(MIN_COMPARED, round(COMPARED_SHARE * len(group)))
        compared += group if count >= len(group) else rng.sample(group, count)
    return compared


def _is_known_to_be_full(
    view: HomeView, query: HomeQuery, expectation: Expectation, now: float
) -> bool:
    """Return whether asking the home for a free slot would be in vain."""
    if view.report is None or now - view.reported_at > FRESH_REPORT_S:
        return False
    if compute_failure_cost(view, query.final_attempt, now) > 0:
        return False
    return estimate_wait_s(view, expectation.work_s, 0.0, now) > 0


def _find_reason(
    best: HomeView,
    best_own: HomeView | None,
    query: HomeQuery,
    expectation: Expectation,
    now: float,
) -> ChoiceReason:
    if best.same_failure_domain:
        return ChoiceReason.OWN_DOMAIN
    if best_own is None:
        return ChoiceReason.NO_OWN_HOME
    risk_cost = compute_failure_cost(best_own, query.final_attempt, now)
    risk_cost += REJECTION_COST * expectation.shedding.compute_excess(best_own, now)
    if risk_cost > SUSPECT_COST:
        return ChoiceReason.OWN_SUSPECT
    return ChoiceReason.OWN_LATE


def _choose_probe(
    views: Collection[HomeView],
    query: HomeQuery,
    now: float,
    rng: random.Random,
) -> HomeView | None:
    """Return a suspect home of the own failure domain that a request should probe.

    Only real requests show that a server has recovered. Each failure domain probes its
    own servers, so that probes cost no bytes between domains.
    """
    if query.final_attempt:
        return None
    suspects = [
        view
        for view in views
        if view.same_failure_domain
        and (view.report is not None and view.report.accepting)
        and compute_failure_cost(view, True, now) > SUSPECT_COST
    ]
    if not suspects or rng.random() >= PROBE_SHARE:
        return None
    return min(suspects, key=lambda view: view.reported_at)
