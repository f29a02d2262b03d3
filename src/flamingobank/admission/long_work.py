"""Tell long work from short work, and estimate how long work runs."""

from collections import OrderedDict

from flamingobank.admission.work import Lane, Work
from flamingobank.core import RouteName

LONG_FACTOR = 8.0
# A route counts as short again well below the limit, so that it does not flap.
SHORT_AGAIN_FACTOR = 4.0
SAMPLE_WEIGHT = 0.05
MIN_SAMPLES = 3
MAX_ROUTES = 1024
# So many long runs in a row show that the short mean comes from a wrong expectation
# or from work that no longer comes.
LONG_RUNS_TO_RESET = 64
# Refusals by an observed mean end after this time without new samples, or a route
# that became slow once would be refused for ever.
OBSERVATION_TTL_S = 10.0
# A start this many mean deviations before the deadline finishes in time in about
# 96% of cases when durations are exponential.
MARGIN_DEVIATIONS = 3.0
MAX_COST_S = 600.0
MIN_COST_S = 0.0001


class _RouteStatistics:
    __slots__ = ("deviation_s", "last_at", "long", "mean_s", "samples")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.samples = 0
        self.last_at = 0.0
        self.long = False

    def add(self, duration_s: float, now: float) -> None:
        self.samples += 1
        self.last_at = now
        if self.samples == 1:
            self.mean_s = duration_s
            self.deviation_s = duration_s / 2
            return
        weight = max(1 / self.samples, SAMPLE_WEIGHT)
        error_s = duration_s - self.mean_s
        self.mean_s += weight * error_s
        self.deviation_s += weight * (abs(error_s) - self.deviation_s)


class LongWorkPolicy:
    """Classify work of one service by expectation and by observation."""

    def __init__(self, max_routes: int = MAX_ROUTES) -> None:
        self._max_routes = max(1, max_routes)
        # Ordered by last use, so that the memory is bounded by forgetting.
        self._routes: OrderedDict[RouteName, _RouteStatistics] = OrderedDict()
        self._short_mean_s: float | None = None
        self._long_runs = 0

    @property
    def short_mean_s(self) -> float:
        """Return the mean duration of short work, 0 before any work is known."""
        return self._short_mean_s or 0.0

    @property
    def long_after_s(self) -> float:
        """Return the duration from which on running work counts as long."""
        return LONG_FACTOR * self.short_mean_s

    @property
    def route_count(self) -> int:
        """Return the number of remembered routes."""
        return len(self._routes)

    def classify(self, work: Work) -> Lane:
        """Return the lane of work that is offered."""
        statistics = self._get_statistics(work.route)
        mean_s = statistics.mean_s if statistics else work.expected_s
        if self._short_mean_s is None or LONG_FACTOR * mean_s < self._short_mean_s:
            # What has been called short is long compared with this work.
            self._short_mean_s = max(mean_s, MIN_COST_S)
        if statistics is None:
            return Lane.LONG if mean_s > self.long_after_s else Lane.SHORT
        factor = SHORT_AGAIN_FACTOR if statistics.long else LONG_FACTOR
        statistics.long = mean_s > factor * self._short_mean_s
        return Lane.LONG if statistics.long else Lane.SHORT

    def estimate(self, work: Work, now: float) -> tuple[float, float]:
        """Return the mean duration of such work and the time to reserve for it."""
        statistics = self._get_statistics(work.route)
        if statistics is None or now - statistics.last_at > OBSERVATION_TTL_S:
            return (work.expected_s, work.expected_s)
        mean_s = statistics.mean_s
        # An idle server must not refuse work whose mean fits its deadline.
        spare_s = max(0.0, (work.deadline - now - mean_s) / 2)
        margin_s = min(MARGIN_DEVIATIONS * statistics.deviation_s, spare_s)
        return (mean_s, mean_s + margin_s)

    def observe(
        self, route: RouteName, lane: Lane, duration_s: float, now: float
    ) -> None:
        """Learn from work that completed."""
        statistics = self._routes.get(route)
        if statistics is None:
            statistics = self._routes[route] = _RouteStatistics()
            if len(self._routes) > self._max_routes:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        statistics.add(duration_s, now)
        if self._short_mean_s is None:
            return
        if lane is Lane.LONG:
            self._count_long_run()
            return
        self._long_runs = 0
        # Single long runs on short routes must not raise the limit they exceed.
        sample_s = min(duration_s, self.long_after_s)
        error_s = sample_s - self._short_mean_s
        self._short_mean_s = max(
            MIN_COST_S, self._short_mean_s + SAMPLE_WEIGHT * error_s
        )

    def _count_long_run(self) -> None:
        self._long_runs += 1
        if self._long_runs < LONG_RUNS_TO_RESET:
            return
        self._long_runs = 0
        means_s = [
            statistics.mean_s
            for statistics in self._routes.values()
            if statistics.samples >= MIN_SAMPLES
        ]
        self._short_mean_s = max(MIN_COST_S, min(means_s, default=MIN_COST_S))

    def _get_statistics(self, route: RouteName) -> _RouteStatistics | None:
        statistics = self._routes.get(route)
        if statistics is None or statistics.samples < MIN_SAMPLES:
            return None
        return statistics


def clamp_cost(run_s: float) -> float:
    """Return the slot time that a start is charged, in seconds."""
    return min(max(run_s, MIN_COST_S), MAX_COST_S)
