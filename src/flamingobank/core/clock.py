"""Clocks behind an interface, so that tests can control the time."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the current reading in seconds."""


class MonotonicClock(Clock):
    """Monotonic clock of the machine."""

    def now(self) -> float:
        """Return the current reading in seconds."""
        return time.monotonic()


class VirtualClock(Clock):
    """Clock that advances only by calls of its methods."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance_to(self, reading: float) -> None:
        """Advance the clock to a reading; an earlier reading has no effect."""
        self._now = max(self._now, reading)

    def advance(self, seconds: float) -> None:
        """Advance the clock by a number of seconds; a negative number has no effect."""
        self._now += max(0.0, seconds)
