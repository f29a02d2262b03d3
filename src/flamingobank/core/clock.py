"""Read time through an interface that tests can replace."""

import abc
import time


class Clock(abc.ABC):
    """Read a monotonic clock in seconds."""

    @abc.abstractmethod
    def now(self) -> float:
        """Return the current reading in seconds."""


class MonotonicClock(Clock):
    """Read the monotonic clock of the machine."""

    def now(self) -> float:
        """Return the current reading in seconds."""
        return time.monotonic()


class VirtualClock(Clock):
    """Hold a reading that only moves when told to."""

    def __init__(self, start: float = 0.0) -> None:
        self._now = start

    def now(self) -> float:
        """Return the current reading in seconds."""
        return self._now

    def advance_to(self, reading: float) -> None:
        """Move the clock forward to a reading; earlier readings are ignored."""
        self._now = max(self._now, reading)

    def advance(self, seconds: float) -> None:
        """Move the clock forward by a number of seconds."""
        self._now += max(0.0, seconds)
