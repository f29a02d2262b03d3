"""Rank the homes of a service for one request.

The cost of a home grows with the failure probability of its server, with its load and
with its distance. A share of the repeatable requests goes to suspect homes first,
because only real requests show whether a server has recovered from a gray failure.
"""

import math
import random
from dataclasses import dataclass

from flamingobank.core import NodeId
from flamingobank.sidecar.decisions.failure_estimate import (
    LONG_RUN_PROBABILITY,
    decay_probability,
)
from flamingobank.sidecar.fleet.routes import RouteKind
from flamingobank.sidecar.links.messages import HomeReport

# Factors for a home's failure probability in its cost. The failure of a final attempt
# fails the request; any other attempt can still be followed by a retry.
FINAL_ATTEMPT_FAILURE_COST = 16.0
FAILURE_COST = 1.5
# Added to the cost of a home in another failure domain. Traffic between failure domains
# is charged by the byte, so downloads with their large answers cost most.
DISTANCE_COST = {RouteKind.UNSAFE: 0.04, RouteKind.SAFE: 0.04, RouteKind.DOWNLOAD: 0.5}
# Added to the cost of a home whose running and waiting requests fill all its slots.
SATURATION_COST = 1.0
COST_JITTER = 0.15
STALENESS_BONUS_PER_S = 0.4
MAX_STALENESS_S = 2.0
PROBE_SHARE = 0.3
# A home above this failure probability may be probed with a repeatable request. Final
# attempts avoid such homes, so only probes can show that one has recovered.
PROBE_MIN_FAILURE_PROBABILITY = 0.18
# Requests queue at a home above this failure probability only if there is no other.
AVOID_MIN_FAILURE_PROBABILITY = 0.4
# Time after which a reported load has decayed halfway to DEFAULT_LOAD.
LOAD_HALF_LIFE_S = 0.6
DEFAULT_LOAD = 0.35


@dataclass(slots=True)
class HomeView:
    """What an entry knows about a home."""

    node: NodeId
    same_failure_domain: bool
    report: HomeReport | None = None
    reported_at: float = 0.0
    # Requests of this entry that are in flight at the home.
    own_in_flight: int = 0
    # Offers of this entry since the newest report, and the work of them in seconds.
    # Counted only while requests are scheduled by cost.
    offers_since_report: int = 0
    offered_work_s: float = 0.0
    # When the entry first knew the home.
    first_seen_at: float = -math.inf

    def update_report(self, report: HomeReport, now: float) -> None:
        """Store the newest report and its time."""
        self.report = report
        self.reported_at = now
        self.offers_since_report = 0
        self.offered_work_s = 0.0

    def note_offer(self, work_s: float) -> None:
        """Count an offer that the newest report does not include."""
        self.offers_since_report += 1
        self.offered_work_s += work_s

    def estimate_failure_probability(self, now: float) -> float:
        """Return the probability that the home's server is failing at `now`."""
        if self.report is None:
            return LONG_RUN_PROBABILITY
        return decay_probability(self.report.failing, now - self.reported_at)

    def estimate_load(self, now: float) -> float:
        """Return the estimated load as a share of the server's slots.

        Waiting requests count as load, so it can exceed 1.
        """
        if self.report is None:
            return DEFAULT_LOAD
        slots = max(1, self.report.slots)
        reported = (self.report.running + self.report.waiting) / slots
        remaining = math.exp2(-(now - self.reported_at) / LOAD_HALF_LIFE_S)
        load = DEFAULT_LOAD + (reported - DEFAULT_LOAD) * remaining
        return max(load, self.own_in_flight / slots)


def rank_homes(
    views: list[HomeView],
    kind: RouteKind,
    final_attempt: bool,
    now: float,
    rng: random.Random,
) -> list[HomeView]:
    """Return the homes in the order in which to offer them the request."""
    ranked = sorted(
        (
            compute_load_cost(view, kind, final_attempt, now)
            + rng.uniform(0, COST_JITTER),
            index,
        )
        for index, view in enumerate(views)
    )
    order = [views[index] for _, index in ranked]
    if final_attempt or rng.random() >= PROBE_SHARE:
        return order
    suspects = [
        view
        for view in order
        if view.estimate_failure_probability(now) > PROBE_MIN_FAILURE_PROBABILITY
    ]
    if suspects:
        # Probes the home with the oldest report, as a recovery of its server since then
        # is not known yet.
        probed = min(suspects, key=lambda view: view.reported_at)
        order.remove(probed)
        order.insert(0, probed)
    return order


def choose_queue_home(views: list[HomeView], now: float) -> HomeView:
    """Return the home at which to queue a request that all homes have refused.

    Queueing for a healthy server is better than an immediate failure at a failing one,
    so homes up to AVOID_MIN_FAILURE_PROBABILITY are preferred at any load.
    """
    return min(
        views,
        key=lambda view: (
            view.estimate_failure_probability(now) > AVOID_MIN_FAILURE_PROBABILITY,
            view.estimate_failure_probability(now) + view.estimate_load(now),
        ),
    )


def compute_load_cost(
    view: HomeView, kind: RouteKind, final_attempt: bool, now: float
) -> float:
    """Return the cost of a home for a request, without the jitter."""
    load = view.estimate_load(now)
    failure_cost = FINAL_ATTEMPT_FAILURE_COST if final_attempt else FAILURE_COST
    cost = failure_cost * view.estimate_failure_probability(now) + load
    if load >= 1:
        cost += SATURATION_COST
    if not final_attempt:
        # Requests that may be retried prefer homes without a recent report. This keeps
        # the estimates current, which final attempts rely on, and prevents a working
        # server from getting no requests because of an outdated estimate.
        staleness_s = min(MAX_STALENESS_S, now - view.reported_at)
        cost -= STALENESS_BONUS_PER_S * staleness_s
    if not view.same_failure_domain:
        cost += DISTANCE_COST[kind]
    return cost
