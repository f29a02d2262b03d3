"""Find waiting work that can no longer finish by its deadline."""

import heapq
import itertools
import math

from flamingobank.admission.entries import QueueEntry, QueueEntryState

MAX_STALE_ITEMS = 64


class ExpiryHeap:
    """Order waiting entries by their latest start."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueueEntry]] = []
        self._order = itertools.count()

    def push(self, entry: QueueEntry) -> None:
        """Add a waiting entry."""
        heapq.heappush(self._heap, (entry.latest_start, next(self._order), entry))

    def get_earliest_start(self) -> float:
        """Return the earliest latest start, infinite when nothing waits."""
        while self._heap and self._heap[0][2].state is not QueueEntryState.QUEUED:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> QueueEntry | None:
        """Take out an entry whose latest start has passed."""
        # The first item may be dead, so this is checked before dropping such items.
        if (
            not self._heap
            or self._heap[0][0] >= now
            or self.get_earliest_start() >= now
        ):
            return None
        return heapq.heappop(self._heap)[2]

    def compact(self, waiting: int) -> None:
        """Drop the entries that left the queue once they are the majority."""
        if len(self._heap) <= 2 * waiting + MAX_STALE_ITEMS:
            return
        self._heap = [
            item for item in self._heap if item[2].state is QueueEntryState.QUEUED
        ]
        heapq.heapify(self._heap)
