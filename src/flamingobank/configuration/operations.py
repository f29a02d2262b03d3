"""Define the store operations of a watcher, their results and its outcomes."""

from dataclasses import dataclass

from flamingobank.configuration.messages import Delta
from flamingobank.core import NodeId, Revision


@dataclass(frozen=True, slots=True)
class LeaseSlot:
    """Name one watch lease; the store's object is lease/watch/<domain>/<index>."""

    domain: str
    index: int

    @property
    def object_name(self) -> str:
        """Return the name of the lease object."""
        return f"watch/{self.domain}/{self.index}"


@dataclass(frozen=True, slots=True)
class LeaseObject:
    """Hold a lease as the store has it."""

    revision: Revision
    write_id: str
    holder: NodeId
    address: str
    # The revision of the write that acquired the lease; 0 in that write itself.
    token: Revision


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Ask the node to read a lease object."""

    operation: int
    slot: LeaseSlot


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Ask for a conditional write; expected 0 means that the object must be new."""

    operation: int
    slot: LeaseSlot
    expected: Revision
    write_id: str
    holder: NodeId
    address: str
    token: Revision


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Ask for a waiting watch of the configuration kinds."""

    operation: int
    after: Revision
    timeout_s: float


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Return a lease object, or None for 404."""

    operation: int
    lease: LeaseObject | None


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Return the revision of an accepted write."""

    operation: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class LeaseConflict:
    """Return the object that refused a conditional write."""

    operation: int
    lease: LeaseObject | None


@dataclass(frozen=True, slots=True)
class ChangesWatched:
    """Return what a watch saw; a time-out gives an empty delta."""

    operation: int
    delta: Delta


@dataclass(frozen=True, slots=True)
class WatchCompacted:
    """Return that the store no longer has the watched revision (410)."""

    operation: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Return that the store refused the call, so nothing was written (429, 503)."""

    operation: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """Return that no answer came; a write may have taken effect."""

    operation: int


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Say that this node now watches the store for its domain."""

    slot: LeaseSlot
    token: Revision


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Say that a lease lapsed or went to another node."""

    slot: LeaseSlot
    reason: str


@dataclass(frozen=True, slots=True)
class ChangesSeen:
    """Carry a delta that the node must give to ConfigurationGossip.publish."""

    delta: Delta


@dataclass(frozen=True, slots=True)
class ListingNeeded:
    """Say that the changes since a revision are only to be had by listing."""

    after: Revision


StoreOperation = ReadLease | WriteLease | WatchChanges
LeaseResult = LeaseRead | LeaseWritten | LeaseConflict | StoreUnavailable | AnswerLost
StoreResult = LeaseResult | ChangesWatched | WatchCompacted
