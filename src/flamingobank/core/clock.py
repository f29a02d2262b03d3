"""Clocks behind an interface, so that tests can control the time."""

import abc
import time


class Clock(abc.ABC):
    """Source of monotonic time in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the current reading in seconds."""


class MonotonicClock(Clock):
    """Monotonic clock of the machine, which also counts the time it is suspended.

    Leases, grants and deadlines of others run on meanwhile, so a process that wakes
    must find its own expired too. Linux leaves that time out of CLOCK_MONOTONIC.
    """

    def now(self) -> float:
        """Return the current reading in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


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


def read_wall_ms() -> int:
    """Return the wall-clock time in Unix milliseconds; it may be set back."""
    return time.time_ns() // 1_000_000
