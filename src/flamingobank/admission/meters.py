"""Measure how many slots a stream of work needs."""

import math

LOAD_TIME_CONSTANT_S = 1.0


class LoadMeter:
    """Average offered work over about a second, in seconds of work per second."""

    __slots__ = ("_at", "_load")

    def __init__(self) -> None:
        self._load = 0.0
        self._at = 0.0

    def add(self, run_s: float, now: float) -> None:
        """Count work that will hold a slot for a number of seconds."""
        self._load = self.measure(now) + run_s / LOAD_TIME_CONSTANT_S
        self._at = now

    def measure(self, now: float) -> float:
        """Return the number of slots that the offered work keeps in use."""
        return self._load * math.exp((self._at - now) / LOAD_TIME_CONSTANT_S)
