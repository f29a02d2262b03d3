"""Find waiting work that can no longer finish by its deadline."""

import heapq
import itertools
import math

from flamingobank.admission.entries import QueueEntry, QueueEntryState

# Items of entries that left the queue stay in the heap until they outnumber the waiting
# ones by this many.
MAX_STALE_ITEMS = 64


class ExpiryHeap:
    """Heap of waiting entries, ordered by latest start time."""

    def __init__(self) -> None:
        self._heap: list[tuple[float, int, QueueEntry]] = []
        self._order = itertools.count()

    def push(self, entry: QueueEntry) -> None:
        """Add a waiting entry."""
        heapq.heappush(self._heap, (entry.latest_start, next(self._order), entry))

    def get_earliest_start(self) -> float:
        """Return the earliest latest start time, or infinity if nothing waits."""
        while self._heap and self._heap[0][2].state is not QueueEntryState.QUEUED:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else math.inf

    def pop_due(self, now: float) -> QueueEntry | None:
        """Remove and return an entry whose latest start time has passed, or None."""
        # The first item is checked before stale items are dropped, which is only needed
        # if it is due.
        if (
            not self._heap
            or self._heap[0][0] >= now
            or self.get_earliest_start() >= now
        ):
            return None
        return heapq.heappop(self._heap)[2]

    def compact(self, waiting: int) -> None:
        """Drop the items of entries that left the queue, if there are too many."""
        if len(self._heap) <= 2 * waiting + MAX_STALE_ITEMS:
            return
        self._heap = [
            item for item in self._heap if item[2].state is QueueEntryState.QUEUED
        ]
        heapq.heapify(self._heap)
