"""Order the homes of a service for one request.

Answers gray failures under load: the cost of a home grows with the chance that its
server fails, with its load and with the distance, and a share of repeatable work goes
to suspects first, since only real work shows that they have recovered.
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

# A failure is final for a final attempt; other work is only lost by a second one.
FINAL_ATTEMPT_FAILURE_COST = 16.0
FAILURE_COST = 1.5
# Bytes between failure domains have a price, which large answers feel most.
DISTANCE_COST = {RouteKind.UNSAFE: 0.04, RouteKind.SAFE: 0.04, RouteKind.DOWNLOAD: 0.5}
SATURATION_COST = 1.0
COST_JITTER = 0.15
STALENESS_BONUS_PER_S = 0.4
MAX_STALENESS_S = 2.0
PROBE_SHARE = 0.3
# Final attempts avoid homes above this, so without probes nobody would learn of them.
PROBE_MIN_FAILURE_PROBABILITY = 0.18
# Queueing elsewhere is better than a server above this.
AVOID_MIN_FAILURE_PROBABILITY = 0.4
# What was reported of load is half forgotten after this time.
LOAD_HALF_LIFE_S = 0.6
DEFAULT_LOAD = 0.35


@dataclass(slots=True)
class HomeView:
    """Hold what an entry knows of a home."""

    node: NodeId
    same_failure_domain: bool
    report: HomeReport | None = None
    reported_at: float = 0.0
    # Requests of this entry that are under way there.
    own_in_flight: int = 0

    def take_report(self, report: HomeReport, now: float) -> None:
        """Note the newest report."""
        self.report = report
        self.reported_at = now

    def estimate_failure_probability(self, now: float) -> float:
        """Return the probability that the home's server fails work now."""
        if self.report is None:
            return LONG_RUN_PROBABILITY
        return decay_probability(self.report.failing, now - self.reported_at)

    def estimate_load(self, now: float) -> float:
        """Return the share of the server's slots that are in use."""
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
    """Return the homes in the order in which to ask them."""
    ranked = sorted(
        (
            _compute_cost(view, kind, final_attempt, now) + rng.uniform(0, COST_JITTER),
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
        # The one that was heard of least lately may have recovered unnoticed.
        probed = min(suspects, key=lambda view: view.reported_at)
        order.remove(probed)
        order.insert(0, probed)
    return order


def choose_queue_home(views: list[HomeView], now: float) -> HomeView:
    """Return the home at which to queue when all have turned a request down.

    Waiting for a server that works beats being failed at once by one that does not.
    """
    return min(
        views,
        key=lambda view: (
            view.estimate_failure_probability(now) > AVOID_MIN_FAILURE_PROBABILITY,
            view.estimate_failure_probability(now) + view.estimate_load(now),
        ),
    )


def _compute_cost(
    view: HomeView, kind: RouteKind, final_attempt: bool, now: float
) -> float:
    load = view.estimate_load(now)
    failure_cost = FINAL_ATTEMPT_FAILURE_COST if final_attempt else FAILURE_COST
    cost = failure_cost * view.estimate_failure_probability(now) + load
    if load >= 1:
        cost += SATURATION_COST
    if not final_attempt:
        # Work that can be tried again keeps the knowledge of every home fresh, which
        # final attempts rely on, and keeps working servers from being left out.
        staleness_s = min(MAX_STALENESS_S, now - view.reported_at)
        cost -= STALENESS_BONUS_PER_S * staleness_s
    if not view.same_failure_domain:
        cost += DISTANCE_COST[kind]
    return cost
