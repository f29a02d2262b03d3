"""Compute when waiting work is expected to start."""

import heapq
import math
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Room:
    """When slots of the server become free."""

    # One time for each slot, ascending.
    free_at: tuple[float, ...]
    # No work starts before this time, and then at most at this rate.
    opens_at: float = -math.inf
    rate_per_s: float = math.inf


class SlotSchedule:
    """Expected starts of work that is added in order."""

    def __init__(self, room: Room, now: float) -> None:
        self._free_at = [max(now, time) for time in room.free_at]
        self._opens_at = room.opens_at
        self._interval_s = 1 / room.rate_per_s
        heapq.heapify(self._free_at)

    def find_start(self) -> float:
        """Return when the next work can start."""
        return max(self._free_at[0], self._opens_at)

    def add(self, work_s: float) -> None:
        """Let work start next."""
        start = self.find_start()
        heapq.heapreplace(self._free_at, start + work_s)
        self._opens_at = start + self._interval_s
