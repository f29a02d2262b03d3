"""An event queue that runs callbacks in virtual time."""

import heapq
import itertools
from collections.abc import Callable

from flamingobank.core import VirtualClock


class EventQueue:
    """Runs callbacks in order of time.

    Callbacks that are due at the same time run in the order of their scheduling.
    """

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def call_at(self, time_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a virtual time in seconds."""
        heapq.heappush(self._heap, (time_s, next(self._order), callback))

    def call_after(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedule a callback after a delay in seconds."""
        self.call_at(self.clock.now() + delay_s, callback)

    def run_until(self, end_s: float) -> None:
        """Run every callback that is due up to a virtual time."""
        while self._heap and self._heap[0][0] <= end_s:
            time_s, _, callback = heapq.heappop(self._heap)
            self.clock.advance_to(time_s)
            callback()
        self.clock.advance_to(end_s)
