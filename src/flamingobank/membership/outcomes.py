"""Outcomes that the membership protocol reports to its node."""

import enum
from dataclasses import dataclass

from flamingobank.core import BootId, NodeId, Revision
from flamingobank.membership.messages import Address, Member


class RejectReason(enum.Enum):
    """Why a datagram or message was rejected."""

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
    """A datagram or message was dropped."""

    reason: RejectReason
    detail: str = ""


@dataclass(frozen=True, slots=True)
class InitialSyncDone:
    """The initial state exchange is complete."""

    members: int


@dataclass(frozen=True, slots=True)
class MemberJoined:
    """A member came into service, or returned after being unreachable or dead."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberRestarted:
    """The process of a member was replaced; its links and leases are invalid."""

    member: Member
    old_boot: BootId


@dataclass(frozen=True, slots=True)
class MemberRemoved:
    """A member is dead or has left."""

    member: Member


@dataclass(frozen=True, slots=True)
class MemberUnreachable:
    """A member became unreachable together with its whole region."""

    member: Member


@dataclass(frozen=True, slots=True)
class Refuted:
    """This node refuted a suspicion about itself."""

    incarnation: int


@dataclass(frozen=True, slots=True)
class ProcessPaused:
    """The process was paused for gap_s seconds; its leases must be dropped."""

    gap_s: float


@dataclass(frozen=True, slots=True)
class DuplicateId:
    """Another live process uses the id of this node."""

    node_id: NodeId
    own_boot: BootId
    other_boot: BootId
    other_address: Address
    # Whether this process stops taking part: the one with the greater boot id does.
    stands_down: bool


@dataclass(frozen=True, slots=True)
class DuplicateAddress:
    """Two live members claim the same datagram address."""

    address: Address
    first: NodeId
    second: NodeId


@dataclass(frozen=True, slots=True)
class RevisionSeen:
    """A peer has applied a higher configuration revision than this node."""

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
