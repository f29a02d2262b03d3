"""Bound the retries of the whole fleet by a share that each entry keeps to.

All entries together may send a service more arrivals than requests by a ratio of its
requests and a fixed number in any window. An entry counts its own requests for the
ratio and takes an equal part of the fixed number, so the sum holds without any talk
between entries, also while they cannot reach one another.
"""

from collections import deque
from collections.abc import Callable

from flamingobank.core import ServiceName

# Leaves room for requests that a window's edge puts on the other side.
SAFETY_FACTOR = 0.85


class RetryBudget:
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

    def count_retry(self, service: ServiceName, now: float) -> None:
        """Count an arrival that repeats earlier work."""
        self._retries.setdefault(service, deque()).append(now)

    def compute_allowance(
        self, service: ServiceName, entry_count: int, now: float
    ) -> float:
        """Return how many more retries may be sent now."""
        requests = self._trim(self._requests, service, now)
        retries = self._trim(self._retries, service, now)
        allowed = self._ratio * requests + self._extra / max(1, entry_count)
        return allowed * SAFETY_FACTOR - retries

    def try_spend(self, service: ServiceName, entry_count: int, now: float) -> bool:
        """Take one retry; return whether it may be sent."""
        if self.compute_allowance(service, entry_count, now) < 1.0:
            return False
        self.count_retry(service, now)
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


class RepeatedCalls:
    """Hold back repeated runs whose calls the called service's budget cannot bear.

    A run that repeats an earlier one makes its calls again, and these are repeats at
    the service that is called. They begin on the machine of the server that runs it,
    so the entry there pays for them, and its home asks it before it takes such a run.
    """

    def __init__(self, budget: RetryBudget, count_entries: Callable[[], int]) -> None:
        self.open_runs = 0
        self._budget = budget
        self._count_entries = count_entries
        self._started_runs = 0
        self._calls_by_service: dict[ServiceName, int] = {}

    def start_run(self) -> None:
        """Count a repeated run that starts on this machine."""
        self.open_runs += 1
        self._started_runs += 1

    def end_run(self) -> None:
        """Count the end of a repeated run."""
        self.open_runs -= 1

    def note_request(self, service: ServiceName, now: float) -> None:
        """Charge a request to another service that begins on this machine.

        A call does not name its parent, so any that begins while a repeated run is
        under way is taken for one of its calls.
        """
        if not self.open_runs:
            return
        self._calls_by_service[service] = self._calls_by_service.get(service, 0) + 1
        self._budget.count_retry(service, now)

    def can_start_run(self, now: float) -> bool:
        """Tell whether one more repeated run may start beside those under way."""
        entry_count = self._count_entries()
        for service, calls in self._calls_by_service.items():
            usual = calls / max(1, self._started_runs)
            needed = usual * (self.open_runs + 1)
            if self._budget.compute_allowance(service, entry_count, now) < needed:
                return False
        return True
