"""Queue that is fair between workspaces and orders each one's work by deadline."""

import heapq
from collections import deque

from flamingobank.admission.entries import QueueEntry, QueueEntryState
from flamingobank.core import WorkspaceId

# Waiting work is grouped by deadline into buckets of this width. The slot time that it
# needs is summed per bucket, so that the work ahead of a deadline is known without
# iterating over the queue.
BUCKET_S = 0.25
MAX_BUCKETS_SUMMED = 64
# Items that left the queue are dropped once they outnumber the waiting ones by this
# many.
MAX_STALE_ITEMS = 32


class _WorkspaceQueue:
    """Waiting work of one workspace, ordered by deadline."""

    __slots__ = ("backlog_s", "buckets", "count", "deficit_s", "heap", "visited")

    def __init__(self) -> None:
        self.heap: list[tuple[float, int, QueueEntry]] = []
        self.count = 0
        self.backlog_s = 0.0
        self.buckets: dict[int, list] = {}
        self.deficit_s = 0.0
        self.visited = False

    def push(self, entry: QueueEntry) -> None:
        deadline = entry.work.deadline
        heapq.heappush(self.heap, (deadline, entry.sequence, entry))
        self.count += 1
        self.backlog_s += entry.cost_s
        bucket = self.buckets.setdefault(int(deadline / BUCKET_S), [0, 0.0])
        bucket[0] += 1
        bucket[1] += entry.cost_s

    def peek(self) -> QueueEntry:
        while self.heap[0][2].state is not QueueEntryState.QUEUED:
            heapq.heappop(self.heap)
        return self.heap[0][2]

    def note_removal(self, entry: QueueEntry) -> None:
        self.count -= 1
        self.backlog_s -= entry.cost_s
        number = int(entry.work.deadline / BUCKET_S)
        bucket = self.buckets[number]
        bucket[0] -= 1
        bucket[1] -= entry.cost_s
        if not bucket[0]:
            del self.buckets[number]
        if len(self.heap) > 2 * self.count + MAX_STALE_ITEMS:
            self.heap = [
                item for item in self.heap if item[2].state is QueueEntryState.QUEUED
            ]
            heapq.heapify(self.heap)

    def sum_ahead(self, deadline: float) -> float:
        """Return the seconds of work whose deadline is not after the given one."""
        if len(self.buckets) > MAX_BUCKETS_SUMMED:
            return self.backlog_s
        last = int(deadline / BUCKET_S)
        ahead_s = 0.0
        for number, bucket in self.buckets.items():
            if number <= last:
                ahead_s += bucket[1]
        return ahead_s


class FairQueue:
    """Deficit round robin over workspaces, measured in seconds of slot time."""

    def __init__(self) -> None:
        self._workspaces: dict[WorkspaceId, _WorkspaceQueue] = {}
        self._ring: deque[_WorkspaceQueue] = deque()
        # Slot time granted to a workspace per visit. It is at least the largest cost of
        # an entry, so that each visit starts some work.
        self._quantum_s = 0.0
        # Number of waiting entries, and the seconds of slot time that they need.
        self.count = 0
        self.backlog_s = 0.0

    def push(self, entry: QueueEntry) -> None:
        """Add an entry in the state QUEUED."""
        queue = self._workspaces.get(entry.work.workspace)
        if queue is None:
            queue = self._workspaces[entry.work.workspace] = _WorkspaceQueue()
            self._ring.append(queue)
        queue.push(entry)
        self._quantum_s = max(self._quantum_s, entry.cost_s)
        self.count += 1
        self.backlog_s += entry.cost_s

    def pop(self) -> QueueEntry:
        """Remove and return the next entry; the queue must not be empty."""
        while True:
            queue = self._ring[0]
            if not queue.count:
                self._ring.popleft()
                continue
            entry = queue.peek()
            if queue.deficit_s >= entry.cost_s:
                break
            if queue.visited:
                queue.visited = False
                self._ring.rotate(-1)
                continue
            queue.visited = True
            queue.deficit_s += self._quantum_s
        queue.deficit_s -= entry.cost_s
        heapq.heappop(queue.heap)
        entry.state = QueueEntryState.TAKEN
        self.note_removal(entry)
        return entry

    def put_back(self, entry: QueueEntry) -> None:
        """Requeue an entry that was popped and could not be started."""
        entry.state = QueueEntryState.QUEUED
        self.push(entry)
        queue = self._workspaces[entry.work.workspace]
        if self._ring[-1] is queue and queue.count == 1:
            self._ring.rotate(1)
        queue.deficit_s += entry.cost_s

    def note_removal(self, entry: QueueEntry) -> None:
        """Update the totals for an entry that has just left the state QUEUED."""
        queue = self._workspaces[entry.work.workspace]
        queue.note_removal(entry)
        self.count -= 1
        self.backlog_s -= entry.cost_s
        if not queue.count:
            # Drops the deficit too, as deficit round robin requires: a workspace
            # without waiting work must not save up slot time.
            del self._workspaces[entry.work.workspace]
        if not self.count:
            self.backlog_s = 0.0
            self._quantum_s = 0.0
            self._ring.clear()
            return
        if len(self._ring) > 2 * len(self._workspaces) + MAX_STALE_ITEMS:
            self._ring = deque([queue for queue in self._ring if queue.count])

    def estimate_ahead(
        self, workspace: WorkspaceId, deadline: float, cost_s: float
    ) -> float:
        """Return an upper bound of the slot time served before a new entry.

        The workspace gets at least its equal share, so each other workspace counts
        at most as much as this one's own work.
        """
        queue = self._workspaces.get(workspace)
        if queue is None:
            others = len(self._workspaces)
            return min(self.backlog_s, cost_s * others)
        others = len(self._workspaces) - 1
        ahead_s = queue.sum_ahead(deadline)
        others_s = self.backlog_s - queue.backlog_s
        return ahead_s + min(others_s, (ahead_s + cost_s) * others)
