"""Compute results that several benchmarks report."""

import math
from collections.abc import Sequence

from benchmarks.service_model.requests import Request


def compute_percentile(values: Sequence[float], percent: float) -> float | None:
    """Return the nearest-rank percentile, or None if there are no values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(1, math.ceil(len(ordered) * percent / 100))
    return round(ordered[rank - 1], 6)


def find_recovery(requests: Sequence[Request], end_s: float) -> float:
    """Return the seconds from end_s to the last arrival that was not served in time."""
    failed = [
        request.arrival_s
        for request in requests
        if request.arrival_s >= end_s and not request.in_time
    ]
    return round(max(failed, default=end_s) - end_s, 3)
