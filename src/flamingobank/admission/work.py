"""Types for work and for the decisions of admission control."""

import enum
from dataclasses import dataclass

from flamingobank.core import (
    InstanceId,
    Refusal,
    RequestId,
    RouteName,
    WorkspaceId,
)
from flamingobank.objects import TrafficClass


@dataclass(frozen=True, slots=True)
class Work:
    """One attempt of a request; the deadline is in monotonic clock time."""

    request_id: RequestId
    route: RouteName
    workspace: WorkspaceId
    traffic_class: TrafficClass
    deadline: float
    expected_s: float
    idempotent: bool = True
    # 0 for the first attempt; each retry or hedge adds 1.
    attempt: int = 0


class Lane(enum.Enum):
    """Class of work by its duration, compared with the service's short work."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Admitted:
    """Result of an offer that was queued, with the estimated wait in seconds."""

    lane: Lane
    wait_s: float


@dataclass(frozen=True, slots=True)
class TakenWork:
    """Work to start, and its possible servers, fewest slots in use first."""

    work: Work
    lane: Lane
    servers: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class RefusedWork:
    """Work that was refused while it waited, and the refusal."""

    work: Work
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Load of a service on its home, as reported to entries.

    queue_delay_s is how long short customer work waits.
    """

    queue_delay_s: float
    free_slots: int
    total_slots: int


class ServerChange(enum.Enum):
    """Effect of a change to a server's slots."""

    ADDED = "added"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    # The server is known, and gets no work until it announces slots.
    WITHOUT_SLOTS = "without-slots"
    REJECTED = "rejected"


class StartOutcome(enum.Enum):
    """Whether taken work got a slot."""

    STARTED = "started"
    # The work was put back in its place in the queue.
    NO_SLOT = "no-slot"
    # The work was cancelled, refused or never taken; it must not be sent.
    NOT_TAKEN = "not-taken"


class CancelOutcome(enum.Enum):
    """State of work when it was cancelled."""

    NOT_RUN = "not-run"
    # The work keeps its slot until finish() is called.
    RUNNING = "running"
    NOT_FOUND = "not-found"
