"""Estimate how long the requests of each route take at an average server.

The estimate is the entry's own, over all homes. The duration at a home is divided by
the pace that the home reports, so slow and fast servers give the same estimate.
"""

from flamingobank.core import RouteName

# Share of a new duration in the estimate; about the last ten answers count.
SMOOTHING = 0.1
# A pace outside these bounds comes from too few answers or from a faulty report.
MIN_PACE = 0.2
MAX_PACE = 5.0
# Routes beyond this number are forgotten together, as configurations may rename them.
MAX_ROUTES = 1024


def limit_pace(pace: float) -> float:
    """Return a reported pace within the bounds; 1 for a value that is not a number."""
    if not pace > 0:
        return 1.0
    return min(MAX_PACE, max(MIN_PACE, pace))


class RouteWork:
    """Running estimates of the work of routes, in seconds."""

    def __init__(self) -> None:
        self._estimates_s: dict[RouteName, float] = {}

    def observe(self, route: RouteName, duration_s: float, pace: float) -> None:
        """Include the duration of a successful answer at a home of this pace."""
        sample_s = duration_s / limit_pace(pace)
        estimate_s = self._estimates_s.get(route)
        if estimate_s is None:
            if len(self._estimates_s) >= MAX_ROUTES:
                self._estimates_s.clear()
            self._estimates_s[route] = sample_s
            return
        self._estimates_s[route] = estimate_s + SMOOTHING * (sample_s - estimate_s)

    def read(self, route: RouteName) -> float:
        """Return the estimate for a route; 0 before its first answer."""
        return self._estimates_s.get(route, 0.0)
