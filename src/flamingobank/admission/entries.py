"""Queue entries, which hold the state of one piece of work."""

import enum

from flamingobank.admission.slots import ServerCapacity, SlotLimit
from flamingobank.admission.work import Lane, Work


class QueueEntryState(enum.Enum):
    """State of a queue entry; GONE means finished, cancelled or refused."""

    QUEUED = "queued"
    TAKEN = "taken"
    RUNNING = "running"
    GONE = "gone"


class QueueEntry:
    """One piece of work, from its offer until it ends."""

    __slots__ = (
        "cost_s",
        "lane",
        "latest_start",
        "limit",
        "sequence",
        "server",
        "slot_lane",
        "started_at",
        "state",
        "work",
    )

    def __init__(
        self,
        work: Work,
        lane: Lane,
        cost_s: float,
        latest_start: float,
        sequence: int,
    ) -> None:
        self.work = work
        self.lane = lane
        self.cost_s = cost_s
        self.latest_start = latest_start
        self.sequence = sequence
        self.state = QueueEntryState.QUEUED
        self.limit = SlotLimit.ALL
        self.server: ServerCapacity | None = None
        self.started_at: float | None = None
        # Lane under which the slot in use is counted: LONG once short work has run for
        # longer than LongWorkPolicy.long_after_s, otherwise the same as lane.
        self.slot_lane = lane
