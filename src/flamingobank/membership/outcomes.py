"""Describe what a node must learn from its membership as values."""

import enum
from dataclasses import dataclass

from flamingobank.core import BootId, NodeId, Revision
from flamingobank.membership.messages import Address, Member


class RejectReason(enum.Enum):
    """Name why a datagram or message was not used."""

    TOO_LARGE = "too-large"
    TRUNCATED = "truncated"
    VERSION = "version"
    FORGED = "forged"
    MALFORMED = "malformed"
    REPLAYED = "replayed"
    OLD_BOOT = "old-boot"
    MISDIRECTED = "misdirected"
    UNEXPECTED_ACK = "unexpected-ack"
    SENDER_GONE = "sender-gone"
    OWN_ECHO = "own-echo"


@dataclass(frozen=True, slots=True)
class Rejected:
    """Say which datagram or message was dropped and why."""

    reason: RejectReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class InitialSyncDone:
    """Say that the first full state exchange is complete."""

    members: int


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """Say that a member is in service; also after unreachable or dead."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberRestarted:
    """Say that a member's process was replaced; its links and leases are void."""

    member: Member
    old_boot: BootId


@dataclass(frozen=True, slots=True)
class MemberRemoved:
    """Say that a member is dead or left."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberUnreachable:
    """Say that a member vanished together with all of its region."""

    member: Member


@dataclass(frozen=True, slots=True)
class Refuted:
    """Say that this node contradicted a suspicion about itself."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """Say that the process did not run; its leases must be dropped."""

    gap_s: float


@dataclass(frozen=True, slots=True)
class DuplicateId:
    """Say that another live process uses this node's id."""

    node_id: NodeId
    own_boot: BootId
    other_boot: BootId
    other_address: Address
    # The process with the greater boot id stands down.
    stands_down: bool


@dataclass(frozen=True, slots=True)
class DuplicateAddress:
    """Say that two live members claim one datagram address."""

    address: Address
    first: NodeId
    second: NodeId


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """Say that a peer has applied a higher configuration revision."""

    node_id: NodeId
    revision: Revision


MembershipOutcome = (
    Rejected
    | InitialSyncDone
    | MemberJoined
    | MemberRestarted
    | MemberRemoved
    | MemberUnreachable
    | Refuted
    | ProcessPaused
    | DuplicateId
    | DuplicateAddress
    | RevisionSeen
)
