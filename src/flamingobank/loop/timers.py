"""Timers for the circuits loop."""

import heapq
import itertools
from collections.abc import Callable

from circuits.core import BaseComponent, handler

from flamingobank.core import Clock

# Periodic callbacks run at multiples of this time, so that those of different intervals
# share wake-ups of an otherwise idle process.
PERIODIC_GRID_S = 0.1


class TimerHandle:
    """Handle to cancel a callback that has not run yet."""

    __slots__ = ("callback", "deadline")

    def __init__(self, deadline: float, callback: Callable[[], None]) -> None:
        self.deadline = deadline
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent the callback from running."""
        self.callback = None


class Timers(BaseComponent):
    """All timers of a process in one heap.

    With one component per timer, as in circuits.core.Timer, each timer would be
    called in each turn of the loop.
    """

    channel = "timers"

    def __init__(self, clock: Clock) -> None:
        super().__init__(channel=self.channel)
        self._clock = clock
        self._heap: list[tuple[float, int, TimerHandle]] = []
        self._order = itertools.count()
        self._grid_start = clock.now()

    def call_at(self, deadline: float, callback: Callable[[], None]) -> TimerHandle:
        """Run a callback when the clock reaches a deadline in seconds."""
        handle = TimerHandle(deadline, callback)
        heapq.heappush(self._heap, (deadline, next(self._order), handle))
        return handle

    def call_soon(self, callback: Callable[[], None]) -> TimerHandle:
        """Run a callback in the next turn of the loop."""
        return self.call_at(self._clock.now(), callback)

    def call_every(self, interval_s: float, callback: Callable[[], None]) -> None:
        """Run a callback at a fixed interval for the life of the process.

        Runs at intervals of PERIODIC_GRID_S or more start on a grid that all periodic
        callbacks of the process share.
        """

        def run() -> None:
            self.call_at(self._find_next_run(interval_s), run)
            callback()

        self.call_at(self._find_next_run(interval_s), run)

    def _find_next_run(self, interval_s: float) -> float:
        next_run = self._clock.now() + interval_s
        if interval_s < PERIODIC_GRID_S:
            return next_run
        steps = round((next_run - self._grid_start) / PERIODIC_GRID_S)
        return self._grid_start + steps * PERIODIC_GRID_S

    @handler("generate_events", priority=1)
    def _on_generate_events(self, event) -> None:
        remaining_s = self.run_due()
        if remaining_s is not None:
            event.reduce_time_left(remaining_s)

    def run_due(self) -> float | None:
        """Run the callbacks that are due.

        Return the seconds until the next deadline, None if there is none.
        """
        now = self._clock.now()
        while self._heap:
            deadline, _, handle = self._heap[0]
            if handle.callback is None:
                heapq.heappop(self._heap)
                continue
            if deadline > now:
                return deadline - now
            heapq.heappop(self._heap)
            callback = handle.callback
            handle.callback = None
            callback()
        return None
