"""Define a watcher's store operations, their results and the election's outcomes."""

from dataclasses import dataclass

from flamingobank.configuration.messages import Delta
from flamingobank.core import NodeId, Revision


@dataclass(frozen=True, slots=True)
class LeaseSlot:
    """Identify a watch lease, stored as the object lease/watch/<domain>/<index>."""

    domain: str
    index: int

    @property
    def object_name(self) -> str:
        """Return the name of the lease object."""
        return f"watch/{self.domain}/{self.index}"


@dataclass(frozen=True, slots=True)
class LeaseObject:
    """The content of a lease object in the store."""

    revision: Revision
    write_id: str
    holder: NodeId
    address: str
    # The revision of the write that acquired the lease; 0 if this is that write.
    token: Revision


@dataclass(frozen=True, slots=True)
class ReadLease:
    """Ask the node to read a lease object."""

    operation: int
    slot: LeaseSlot


@dataclass(frozen=True, slots=True)
class WriteLease:
    """Ask for a conditional write; expected 0 means that the object must not exist."""

    operation: int
    slot: LeaseSlot
    expected: Revision
    write_id: str
    holder: NodeId
    address: str
    token: Revision


@dataclass(frozen=True, slots=True)
class WatchChanges:
    """Ask for a long poll of the store for configuration changes."""

    operation: int
    after: Revision
    timeout_s: float


@dataclass(frozen=True, slots=True)
class LeaseRead:
    """Return the lease object that was read, or None for 404."""

    operation: int
    lease: LeaseObject | None


@dataclass(frozen=True, slots=True)
class LeaseWritten:
    """Return the revision of an accepted write."""

    operation: int
    revision: Revision


@dataclass(frozen=True, slots=True)
class LeaseConflict:
    """Return the current object, which made a conditional write fail."""

    operation: int
    lease: LeaseObject | None


@dataclass(frozen=True, slots=True)
class ChangesWatched:
    """Return the changes that a watch received; the delta is empty on a timeout."""

    operation: int
    delta: Delta


@dataclass(frozen=True, slots=True)
class WatchCompacted:
    """Report that the store has compacted the watched revision (410)."""

    operation: int


@dataclass(frozen=True, slots=True)
class StoreUnavailable:
    """Report that the store refused the call and wrote nothing (429, 503)."""

    operation: int
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class AnswerLost:
    """Report that no answer arrived; a write may have taken effect."""

    operation: int


@dataclass(frozen=True, slots=True)
class LeaseAcquired:
    """Report that this node now watches the store for its domain."""

    slot: LeaseSlot
    token: Revision


@dataclass(frozen=True, slots=True)
class LeaseLost:
    """Report that this node no longer holds a lease, and why."""

    slot: LeaseSlot
    reason: str


@dataclass(frozen=True, slots=True)
class ChangesSeen:
    """Carry a delta that the node must pass to ConfigurationGossip.publish."""

    delta: Delta


@dataclass(frozen=True, slots=True)
class ListingNeeded:
    """Report that the changes after a revision are only available by a listing."""

    after: Revision


StoreOperation = ReadLease | WriteLease | WatchChanges
LeaseResult = LeaseRead | LeaseWritten | LeaseConflict | StoreUnavailable | AnswerLost
StoreResult = LeaseResult | ChangesWatched | WatchCompacted
