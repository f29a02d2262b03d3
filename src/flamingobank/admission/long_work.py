"""Classify work as short or long, and estimate its duration."""

from flamingobank.admission.route_work import (
    OBSERVATION_TTL_S,
    SAMPLE_WEIGHT,
    RouteDurations,
    RouteStatistics,
)
from flamingobank.admission.work import Lane, Work
from flamingobank.core import RouteName

# Work above this many times the mean duration of short work is long.
LONG_FACTOR = 8.0
# A long route becomes short again only well below the limit, so that it does not flap.
SHORT_AGAIN_FACTOR = 4.0
MIN_SAMPLES = 3
MAX_ROUTES = 1024
# The mean duration of short work is reset after this many completed pieces of long work
# without a short one. The mean then came from a wrong expected duration or from work
# that no longer arrives.
LONG_RUNS_TO_RESET = 64
# Time to reserve beyond the mean duration of a route, in mean absolute deviations. With
# this margin, work whose durations are exponentially distributed finishes by its
# deadline in about 96% of cases.
MARGIN_DEVIATIONS = 3.0
MAX_COST_S = 600.0
MIN_COST_S = 0.0001


class LongWorkPolicy:
    """Classify the work of one service by expected and observed durations."""

    def __init__(self, max_routes: int = MAX_ROUTES) -> None:
        self._routes = RouteDurations(max_routes)
        self._short_mean_s: float | None = None
        self._long_runs = 0

    @property
    def short_mean_s(self) -> float:
        """Return the mean duration of short work, or 0 before any work was seen."""
        return self._short_mean_s or 0.0

    @property
    def long_after_s(self) -> float:
        """Return the duration above which running work counts as long."""
        return LONG_FACTOR * self.short_mean_s

    @property
    def route_count(self) -> int:
        """Return the number of routes that have statistics."""
        return len(self._routes)

    def classify(self, work: Work) -> Lane:
        """Return the lane of work that is offered."""
        statistics = self._get_statistics(work.route)
        mean_s = statistics.mean_s if statistics else work.expected_s
        if self._short_mean_s is None or LONG_FACTOR * mean_s < self._short_mean_s:
            # This is the first work, or the work classified as short so far takes more
            # than LONG_FACTOR times as long, so this work defines what is short.
            self._short_mean_s = max(mean_s, MIN_COST_S)
        if statistics is None:
            return Lane.LONG if mean_s > self.long_after_s else Lane.SHORT
        factor = SHORT_AGAIN_FACTOR if statistics.long else LONG_FACTOR
        statistics.long = mean_s > factor * self._short_mean_s
        return Lane.LONG if statistics.long else Lane.SHORT

    def estimate(self, work: Work, now: float) -> tuple[float, float]:
        """Return the expected duration of the work and the time to reserve for it."""
        statistics = self._get_statistics(work.route)
        if statistics is None or now - statistics.last_at > OBSERVATION_TTL_S:
            return (work.expected_s, work.expected_s)
        mean_s = statistics.mean_s
        # The margin is capped, so that an idle server does not refuse work whose mean
        # duration fits its deadline.
        spare_s = max(0.0, (work.deadline - now - mean_s) / 2)
        margin_s = min(MARGIN_DEVIATIONS * statistics.deviation_s, spare_s)
        return (mean_s, mean_s + margin_s)

    def observe(
        self, route: RouteName, lane: Lane, duration_s: float, now: float
    ) -> None:
        """Update the statistics with the duration of completed work."""
        self._routes.observe(route, duration_s, now)
        if self._short_mean_s is None:
            return
        if lane is Lane.LONG:
            self._count_long_run()
            return
        self._long_runs = 0
        # A single long run on a short route must not raise the limit that it exceeds.
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
            for statistics in self._routes
            if statistics.samples >= MIN_SAMPLES
        ]
        self._short_mean_s = max(MIN_COST_S, min(means_s, default=MIN_COST_S))

    def _get_statistics(self, route: RouteName) -> RouteStatistics | None:
        statistics = self._routes.get(route)
        if statistics is None or statistics.samples < MIN_SAMPLES:
            return None
        return statistics


def clamp_cost(run_s: float) -> float:
    """Return the slot time to charge for a start, in seconds."""
    return min(max(run_s, MIN_COST_S), MAX_COST_S)
