"""Members and the messages that they exchange in datagrams."""

import enum
from dataclasses import dataclass

from flamingobank.core import BootId, FailureDomain, NodeId, Revision

Address = tuple[str, int]
NO_REVISION = Revision(0)


class MemberState(enum.IntEnum):
    """State of a member; at the same incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    UNREACHABLE = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class Member:
    """Record of one process of the fleet at one incarnation."""

    node_id: NodeId
    boot_id: BootId
    udp: Address
    tcp: Address
    failure_domain: FailureDomain
    region: str
    incarnation: int = 1
    state: MemberState = MemberState.ALIVE
    revision: Revision = NO_REVISION
    leaving: bool = False

    @property
    def is_in_service(self) -> bool:
        """Return whether the member counts as live."""
        return self.state <= MemberState.SUSPECT


@dataclass(frozen=True, slots=True)
class Ping:
    """Requests an Ack with the same probe number from a member."""

    sender: Member
    sequence: int
    probe: int
    target: NodeId
    updates: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Ack:
    """Confirms that the subject answered a probe."""

    sender: Member
    sequence: int
    probe: int
    subject: NodeId
    updates: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class PingRequest:
    """Asks a helper to probe a target and to relay its Ack."""

    sender: Member
    sequence: int
    probe: int
    target: NodeId
    target_udp: Address
    updates: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class Gossip:
    """Carries updates without a probe."""

    sender: Member
    sequence: int
    updates: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class StateRequest:
    """Requests the members of each bucket whose digest differs."""

    sender: Member
    sequence: int
    # One 4-byte big-endian digest per bucket of the member table.
    digests: bytes
    updates: tuple[Member, ...] = ()


@dataclass(frozen=True, slots=True)
class StatePart:
    """Carries members of differing buckets; last marks the final part of an answer."""

    sender: Member
    sequence: int
    last: bool
    updates: tuple[Member, ...] = ()


Message = Ping | Ack | PingRequest | Gossip | StateRequest | StatePart


@dataclass(frozen=True, slots=True)
class SendDatagram:
    """A message that the node has to send to an address."""

    address: Address
    message: Message
