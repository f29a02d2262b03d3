"""Compare how much the server of one home rejects with the other homes of its service.

When all servers reject alike, the cause is common and no other home helps. A server
that rejects much more than the others costs each request an arrival and time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from flamingobank.sidecar.decisions.selection import HomeView

# Only reports this recent tell how much the other servers reject now.
RECENT_S = 3.0
# Differences up to this are within the noise of shares that are measured over a few
# arrivals.
NOISE_SHARE = 0.2
# Time after which a stated share counts half. A home that is avoided reports no
# recovery, so requests must return to it without one.
HALF_LIFE_S = 1.0


@dataclass(frozen=True, slots=True)
class ServiceShedding:
    """Sum of the shares that the homes of a service reported recently."""

    total: float = 0.0
    homes: int = 0

    def compute_excess(self, view: HomeView, now: float) -> float:
        """Return by how much a home's server rejects more than the others do."""
        if view.report is None or view.report.shedding <= NOISE_SHARE:
            return 0.0
        age_s = max(0.0, now - view.reported_at)
        shedding = view.report.shedding
        total, others = self.total, self.homes
        if _states_shedding(view, now):
            total, others = total - shedding, others - 1
        if others <= 0:
            return 0.0
        excess = shedding - total / others - NOISE_SHARE
        return max(0.0, excess) * math.exp2(-age_s / HALF_LIFE_S)


NO_SHEDDING = ServiceShedding()


def measure_service_shedding(views: Iterable[HomeView], now: float) -> ServiceShedding:
    """Return what the homes of a service state about rejections."""
    total = 0.0
    homes = 0
    for view in views:
        if not _states_shedding(view, now):
            continue
        homes += 1
        total += view.report.shedding
    return ServiceShedding(total, homes)


def _states_shedding(view: HomeView, now: float) -> bool:
    """Return whether a home stated recently how much its server rejects.

    Homes that state no limit do not schedule by cost. They count rejections as
    failures.
    """
    if view.report is None or not view.report.limit:
        return False
    return now - view.reported_at <= RECENT_S
