"""Estimate how long the work of each route takes."""

from collections import OrderedDict
from collections.abc import Iterator

from flamingobank.core import RouteName

SAMPLE_WEIGHT = 0.05
# Routes whose work one server estimates; the least recently used is evicted beyond it.
MAX_ROUTES_PER_SERVER = 256
# An observed mean is not used after this long without new samples; otherwise a route
# that was slow once would be refused forever.
OBSERVATION_TTL_S = 10.0
# The weight of one answer in the pace of a server.
PACE_WEIGHT = 0.05
MIN_PACE = 0.25
MAX_PACE = 4.0


class RouteStatistics:
    """Mean and mean absolute deviation of the durations of one route."""

    __slots__ = ("deviation_s", "last_at", "long", "mean_s", "samples")

    def __init__(self) -> None:
        self.mean_s = 0.0
        self.deviation_s = 0.0
        self.samples = 0
        self.last_at = 0.0
        # Whether LongWorkPolicy classified the route as long.
        self.long = False

    def add(self, duration_s: float, now: float) -> None:
        """Add the duration of one completed piece of work."""
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


class RouteDurations:
    """Statistics of a bounded number of routes, evicting the least recently used."""

    def __init__(self, max_routes: int) -> None:
        self._max_routes = max(1, max_routes)
        self._routes: OrderedDict[RouteName, RouteStatistics] = OrderedDict()

    def __len__(self) -> int:
        return len(self._routes)

    def __iter__(self) -> Iterator[RouteStatistics]:
        return iter(self._routes.values())

    def get(self, route: RouteName) -> RouteStatistics | None:
        """Return the statistics of a route, or None if it has none."""
        return self._routes.get(route)

    def observe(self, route: RouteName, duration_s: float, now: float) -> None:
        """Add the duration of completed work of a route."""
        statistics = self._routes.get(route)
        if statistics is None:
            statistics = self._routes[route] = RouteStatistics()
            if len(self._routes) > self._max_routes:
                self._routes.popitem(last=False)
        self._routes.move_to_end(route)
        statistics.add(duration_s, now)


class RouteWork:
    """Expected work of each route at one server, and the server's pace.

    The pace is the duration of answers divided by the duration that entries expected.
    """

    def __init__(self, max_routes: int = MAX_ROUTES_PER_SERVER) -> None:
        self._durations = RouteDurations(max_routes)
        self.pace = 1.0

    def estimate(
        self, route: RouteName, expected_s: float, fallback_s: float, now: float
    ) -> float:
        """Return the expected duration of a request of a route."""
        statistics = self._durations.get(route)
        if statistics is not None and now - statistics.last_at <= OBSERVATION_TTL_S:
            return statistics.mean_s
        if expected_s > 0:
            return expected_s * self.pace
        return statistics.mean_s if statistics is not None else fallback_s

    def observe(
        self, route: RouteName, expected_s: float, took_s: float, now: float
    ) -> None:
        """Add the duration of a successful answer."""
        self._durations.observe(route, took_s, now)
        if expected_s > 0:
            ratio = min(max(took_s / expected_s, MIN_PACE), MAX_PACE)
            self.pace += PACE_WEIGHT * (ratio - self.pace)
