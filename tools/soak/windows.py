"""Count events in sliding windows of time."""

from collections.abc import Sequence


def count_most(times: Sequence[float], window_s: float) -> int:
    """Return the most of some ascending times that lie within one window."""
    most, first = 0, 0
    for last, time in enumerate(times):
        while times[first] <= time - window_s:
            first += 1
        most = max(most, last - first + 1)
    return most
