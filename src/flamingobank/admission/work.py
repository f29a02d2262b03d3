"""Describe work and what admission decides about it."""

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
    """Describe one request; the deadline is a reading of the monotonic clock."""

    request_id: RequestId
    route: RouteName
    workspace: WorkspaceId
    traffic_class: TrafficClass
    deadline: float
    expected_s: float
    idempotent: bool = True
    # 0 for the first attempt, counted up by retries and hedges.
    attempt: int = 0


class Lane(enum.Enum):
    """Tell work that is over soon from work that holds a slot for long."""

    SHORT = "short"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class Admitted:
    """Confirm that work waits; its estimated wait is in seconds."""

    lane: Lane
    wait_s: float


@dataclass(frozen=True, slots=True)
class TakenWork:
    """Offer work for a start on one of the servers, fewest slots in use first."""

    work: Work
    lane: Lane
    servers: tuple[InstanceId, ...]


@dataclass(frozen=True, slots=True)
class RefusedWork:
    """Name work that left the queue without having been started."""

    work: Work
    refusal: Refusal


@dataclass(frozen=True, slots=True)
class ServiceLoad:
    """Tell entries how long short customer work waits and how many slots are free."""

    queue_delay_s: float
    free_slots: int
    total_slots: int


class ServerChange(enum.Enum):
    """Say what a server's announced slots led to."""

    ADDED = "added"
    CHANGED = "changed"
    UNCHANGED = "unchanged"
    # It is known, and gets no work until it announces slots.
    WITHOUT_SLOTS = "without-slots"
    REJECTED = "rejected"


class StartOutcome(enum.Enum):
    """Say whether taken work got a slot."""

    STARTED = "started"
    # The work went back to its place in the queue.
    NO_SLOT = "no-slot"
    # It was cancelled, refused or never taken; it must not be sent.
    NOT_TAKEN = "not-taken"


class CancelOutcome(enum.Enum):
    """Say what was known about work when it was cancelled."""

    NOT_RUN = "not-run"
    # It keeps its slot until finish() is called.
    RUNNING = "running"
    NOT_FOUND = "not-found"
