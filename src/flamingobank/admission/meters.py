"""Measure how many slots the offered work needs."""

import math

LOAD_TIME_CONSTANT_S = 1.0


class LoadMeter:
    """Exponential average of the offered load over about one second.

    The unit is seconds of work per second, which is the number of slots in use.
    """

    __slots__ = ("_at", "_load")

    def __init__(self) -> None:
        self._load = 0.0
        self._at = 0.0

    def add(self, run_s: float, now: float) -> None:
        """Count work that will occupy a slot for run_s seconds."""
        self._load = self.measure(now) + run_s / LOAD_TIME_CONSTANT_S
        self._at = now

    def measure(self, now: float) -> float:
        """Return the mean number of slots that the offered work occupies."""
        return self._load * math.exp((self._at - now) / LOAD_TIME_CONSTANT_S)
