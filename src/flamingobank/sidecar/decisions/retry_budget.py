"""Limit retries across the fleet with a local budget at each entry.

In any window, the arrivals that all entries send to a service may exceed its requests
by at most a ratio of these requests plus a fixed number. Each entry applies the ratio
to its own requests and takes an equal part of the fixed number, so the fleet-wide limit
holds without coordination, even while entries cannot reach one another.
"""

from collections import deque
from collections.abc import Callable

from flamingobank.core import ServiceName

# Entries spend only this share of the permitted retries. The rest is a margin for
# windows that contain a retry but begin after the request that it repeats.
SAFETY_FACTOR = 0.85


class RetryBudget:
    """Retry budget of one entry for each service, over a sliding window."""

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: dict[ServiceName, deque[float]] = {}
        self._retries: dict[ServiceName, deque[float]] = {}

    def count_request(self, service: ServiceName, now: float) -> None:
        """Count a request of a caller towards the ratio."""
        self._count(self._requests, service, now)

    def count_retry(self, service: ServiceName, now: float) -> None:
        """Count a retry, or a call made by a repeated run, against the budget."""
        self._count(self._retries, service, now)

    def compute_allowance(
        self, service: ServiceName, entry_count: int, now: float
    ) -> float:
        """Return how many more retries may be sent now; negative when overspent."""
        retries = self._trim(self._retries, service, now)
        return self.compute_limit(service, entry_count, now) - retries

    def compute_limit(
        self, service: ServiceName, entry_count: int, now: float
    ) -> float:
        """Return how many retries may be sent in the window that ends now."""
        requests = self._trim(self._requests, service, now)
        allowed = self._ratio * requests + self._extra / max(1, entry_count)
        return allowed * SAFETY_FACTOR

    def try_spend(self, service: ServiceName, entry_count: int, now: float) -> bool:
        """Spend one retry if the budget allows it; return whether it may be sent."""
        if self.compute_allowance(service, entry_count, now) < 1.0:
            return False
        self.count_retry(service, now)
        return True

    def copy_for(self, service: ServiceName) -> "RetryBudget":
        """Return a copy of the budget of one service."""
        copied = RetryBudget(self._ratio, self._extra, self._window_s)
        copied._requests[service] = deque(self._requests.get(service, ()))
        copied._retries[service] = deque(self._retries.get(service, ()))
        return copied

    def _count(
        self,
        counts: dict[ServiceName, deque[float]],
        service: ServiceName,
        now: float,
    ) -> None:
        # Trimmed here too, as the allowance of a service may never be asked for.
        self._trim(counts, service, now)
        counts.setdefault(service, deque()).append(now)

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


class RepeatedRunLimiter:
    """Limit repeated runs by the retry budgets of the services that they call.

    A run that repeats an earlier one makes its calls again, and the called service sees
    them as retries. They start on the machine of the server that runs the request, so
    they are charged to the entry there, and its home checks that budget before it
    accepts a repeated run.
    """

    def __init__(self, budget: RetryBudget, count_entries: Callable[[], int]) -> None:
        self.open_runs = 0
        self._budget = budget
        self._count_entries = count_entries
        self._started_runs = 0
        self._calls_by_service: dict[ServiceName, int] = {}

    def start_run(self) -> None:
        """Count the start of a repeated run on this machine."""
        self.open_runs += 1
        self._started_runs += 1

    def end_run(self) -> None:
        """Count the end of a repeated run."""
        self.open_runs -= 1

    def note_request(self, service: ServiceName, now: float) -> None:
        """Charge a request that starts on this machine for another service.

        A call does not name the request that caused it, so every call that starts while
        a repeated run is in progress is charged as one of that run's calls.
        """
        if not self.open_runs:
            return
        self._calls_by_service[service] = self._calls_by_service.get(service, 0) + 1
        self._budget.count_retry(service, now)

    def can_start_run(self, now: float) -> bool:
        """Return whether the budgets permit one more repeated run.

        The new run and each one in progress are assumed to need as many calls of each
        service as a repeated run has made on average.
        """
        entry_count = self._count_entries()
        for service, calls in self._calls_by_service.items():
            usual = calls / max(1, self._started_runs)
            needed = usual * (self.open_runs + 1)
            if self._budget.compute_allowance(service, entry_count, now) < needed:
                return False
        return True
