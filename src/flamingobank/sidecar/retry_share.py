"""Bound the retries of the whole fleet by a share that each entry keeps to.

All entries together may send a service more arrivals than requests by a ratio of its
requests and a fixed number in any window. An entry counts its own requests for the
ratio and takes an equal part of the fixed number, so the sum holds without any talk
between entries, also while they cannot reach one another.
"""

from collections import deque

from flamingobank.core import ServiceName

# Leaves room for requests that a window's edge puts on the other side.
SAFETY = 0.85


class RetryShare:
    """Count requests and retries of one entry by service."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: dict[ServiceName, deque[float]] = {}
        self._retries: dict[ServiceName, deque[float]] = {}

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count a request of a caller."""
        self._requests.setdefault(service, deque()).append(now)

    def count_repeat(self, service: ServiceName, now: float) -> None:
        """Count an arrival that repeats earlier work."""
        self._retries.setdefault(service, deque()).append(now)

    def measure_allowance(
        self, service: ServiceName, entries: int, now: float
    ) -> float:
        """Return how many more retries may be sent now."""
        requests = self._trim(self._requests, service, now)
        retries = self._trim(self._retries, service, now)
        allowed = self._ratio * requests + self._extra / max(1, entries)
        return allowed * SAFETY - retries

    def spend(self, service: ServiceName, entries: int, now: float) -> bool:
        """Take one retry; return whether it may be sent."""
        if self.measure_allowance(service, entries, now) < 1.0:
            return False
        self.count_repeat(service, now)
        return True

    def _trim(
        self,
        counts: dict[ServiceName, deque[float]],
        service: ServiceName,
        now: float,
    ) -> int:
        times = counts.get(service)
        if times is None:
            return 0
        while times and times[0] < now - self._window_s:
            times.popleft()
        return len(times)
