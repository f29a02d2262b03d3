"""Estimate how long a request would take at a home, from a report that ages.

The home states how long a request waits for a slot. What this entry has offered there
since then is added, and the stated wait decays to what the other homes report.
"""

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from flamingobank.sidecar.decisions.route_work import limit_pace
from flamingobank.sidecar.decisions.selection import (
    DEFAULT_LOAD,
    LOAD_HALF_LIFE_S,
    HomeView,
)
from flamingobank.sidecar.decisions.shedding import (
    NO_SHEDDING,
    ServiceShedding,
    measure_service_shedding,
)
from flamingobank.sidecar.links.messages import HomeReport

# Work of a route that has not answered yet, as a share of its latency objective. The
# customers' routes take between 0.09 and 0.3 of theirs.
UNKNOWN_WORK_SHARE = 0.25
# Weight of a home without a wait in the usual wait. It makes an entry that knows
# nothing of a group of homes try them, and lets old reports lose their effect.
EMPTY_HOME_WEIGHT = 0.5
# Longer waits are limited to this, so that one faulty report does not decide what is
# expected of all homes without one.
MAX_WAIT_S = 30.0
# Time after which a report counts half in the usual wait.
USUAL_WAIT_HALF_LIFE_S = 1.5
# Time after which a reported pace has decayed halfway to 1. A slow server gets no
# requests while fast ones are idle, and so would never show that it has become faster.
PACE_HALF_LIFE_S = 10.0


def count_capacity(report: HomeReport) -> int:
    """Return how many requests the server takes at once; 1 at least."""
    if report.limit > 0:
        return max(1, min(report.limit, report.slots))
    return max(1, report.slots)


def read_wait_s(report: HomeReport, work_s: float) -> float:
    """Return the wait for a slot at the time of a report.

    Homes of earlier builds state no wait. It then follows from the requests there, as a
    slot becomes free about once in the work of one request divided by the slots.
    """
    if report.backlog_s > 0:
        return min(MAX_WAIT_S, report.backlog_s)
    capacity = count_capacity(report)
    ahead = report.running + report.waiting + 1 - capacity
    return min(MAX_WAIT_S, max(0, ahead) * work_s / capacity)


def estimate_wait_s(
    view: HomeView, work_s: float, usual_wait_s: float, now: float
) -> float:
    """Return the expected wait for a slot of a request that is offered now."""
    report = view.report
    if report is None:
        return usual_wait_s
    capacity = count_capacity(report)
    reported_s = read_wait_s(report, work_s)
    remaining = math.exp2(-max(0.0, now - view.reported_at) / LOAD_HALF_LIFE_S)
    wait_s = usual_wait_s + (reported_s - usual_wait_s) * remaining
    free = max(0, capacity - report.running - report.waiting)
    if view.offers_since_report <= free:
        return wait_s
    # The offers that found a free slot delay nobody.
    queued_share = 1 - free / view.offers_since_report
    return wait_s + queued_share * view.offered_work_s / capacity


def estimate_completion_s(
    view: HomeView, work_s: float, usual_wait_s: float, now: float
) -> float:
    """Return the expected time until a request that is offered now is done."""
    return estimate_wait_s(view, work_s, usual_wait_s, now) + work_s * estimate_pace(
        view, now
    )


def estimate_pace(view: HomeView, now: float) -> float:
    """Return the expected pace of a home's server."""
    if view.report is None:
        return 1.0
    remaining = math.exp2(-max(0.0, now - view.reported_at) / PACE_HALF_LIFE_S)
    return 1.0 + (limit_pace(view.report.pace) - 1.0) * remaining


def estimate_load_share(view: HomeView, now: float) -> float:
    """Return the expected share of the slots in use, 1 at most."""
    if view.report is None:
        return DEFAULT_LOAD
    capacity = count_capacity(view.report)
    reported = (view.report.running + view.report.waiting) / capacity
    remaining = math.exp2(-max(0.0, now - view.reported_at) / LOAD_HALF_LIFE_S)
    load = DEFAULT_LOAD + (reported - DEFAULT_LOAD) * remaining
    return min(1.0, load + view.offers_since_report / capacity)


def compute_usual_wait_s(views: Iterable[HomeView], work_s: float, now: float) -> float:
    """Return the wait to expect at a home of this group without a recent report."""
    total_weight = EMPTY_HOME_WEIGHT
    total_s = 0.0
    for view in views:
        if view.report is None:
            continue
        age_s = max(0.0, now - view.reported_at)
        weight = math.exp2(-age_s / USUAL_WAIT_HALF_LIFE_S)
        total_weight += weight
        total_s += weight * read_wait_s(view.report, work_s)
    return total_s / total_weight


@dataclass(frozen=True, slots=True)
class Expectation:
    """What a request is expected to need at the homes of its service."""

    work_s: float
    # Wait at a home without a recent report, in the own and in other failure domains.
    own_wait_s: float
    other_wait_s: float
    shedding: ServiceShedding = NO_SHEDDING

    def find_wait_s(self, view: HomeView) -> float:
        """Return the wait to expect at a home without a recent report."""
        return self.own_wait_s if view.same_failure_domain else self.other_wait_s


def build_expectation(
    views: Collection[HomeView], work_s: float, now: float
) -> Expectation:
    """Return what a request of this work needs at homes."""
    own = [view for view in views if view.same_failure_domain]
    others = [view for view in views if not view.same_failure_domain]
    return Expectation(
        work_s,
        compute_usual_wait_s(own, work_s, now),
        compute_usual_wait_s(others, work_s, now),
        measure_service_shedding(views, now),
    )
