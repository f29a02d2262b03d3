"""Ids, clocks, outcomes and invariants that all packages share."""

from flamingobank.core.clock import (
    Clock,
    MonotonicClock,
    VirtualClock,
    read_wall_ms,
)
from flamingobank.core.hashing import hash_text, rank_by_rendezvous
from flamingobank.core.ids import (
    BootId,
    FailureDomain,
    Fingerprint,
    InstanceId,
    NodeId,
    RequestId,
    Revision,
    RouteName,
    ServiceName,
    WorkspaceId,
)
from flamingobank.core.invariants import (
    Invariant,
    InvariantError,
    check_invariant,
)
from flamingobank.core.outcomes import Disposition, Refusal, RefusalCause

__all__ = [
    "BootId",
    "Clock",
    "Disposition",
    "FailureDomain",
    "Fingerprint",
    "InstanceId",
    "Invariant",
    "InvariantError",
    "MonotonicClock",
    "NodeId",
    "RefusalCause",
    "Refusal",
    "RequestId",
    "Revision",
    "RouteName",
    "ServiceName",
    "VirtualClock",
    "WorkspaceId",
    "check_invariant",
    "hash_text",
    "rank_by_rendezvous",
    "read_wall_ms",
]
