"""Measure how many slots the offered work needs."""

import math

LOAD_TIME_CONSTANT_S = 1.0


class LoadMeter:
    """Exponential average of the offered load over a time constant.

    The unit is seconds of work per second, which is the number of slots in use.
    """

    __slots__ = ("_at", "_load", "_time_constant_s")

    def __init__(self, time_constant_s: float = LOAD_TIME_CONSTANT_S) -> None:
        self._time_constant_s = time_constant_s
        self._load = 0.0
        self._at = 0.0

    def add(self, run_s: float, now: float) -> None:
        """Count work that will occupy a slot for run_s seconds."""
        self._load = self.measure(now) + run_s / self._time_constant_s
        self._at = now

    def measure(self, now: float) -> float:
        """Return the mean number of slots that the offered work occupies."""
        return self._load * math.exp((self._at - now) / self._time_constant_s)
