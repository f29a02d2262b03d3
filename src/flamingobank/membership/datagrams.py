"""Encode messages as authenticated msgpack datagrams."""

import hashlib
import hmac
import sys
from collections.abc import Callable, Iterable, Sequence

import msgpack
from expression import Error, Ok, Result

from flamingobank.core import BootId, FailureDomain, NodeId, Revision
from flamingobank.membership.messages import (
    Ack,
    Gossip,
    Member,
    MemberState,
    Message,
    Ping,
    PingRequest,
    StatePart,
    StateRequest,
)
from flamingobank.membership.outcomes import Rejected, RejectReason

# Larger datagrams are fragmented on paths through tunnels, where fragments get lost.
DATAGRAM_BYTES = 1200
VERSION = 1
MAC_BYTES = 16
HEADER_BYTES = 1 + MAC_BYTES
# Prevents MACs of other protocols that use the same secret from being accepted.
MAC_PERSONALIZATION = b"fb-membership"
TEXT_CHARACTERS_MAX = 255
COUNTER_LIMIT = 1 << 63

_TYPES: dict[type, int] = {
    Ping: 1,
    Ack: 2,
    PingRequest: 3,
    Gossip: 4,
    StateRequest: 5,
    StatePart: 6,
}
_pack = msgpack.Packer(use_bin_type=True, autoreset=True).pack


class _MalformedError(ValueError):
    """A field does not have the expected type or value."""


def pack_member(member: Member) -> list[object]:
    """Return the fields of a member in the order of the wire format."""
    return [
        member.node_id,
        member.boot_id,
        member.udp,
        member.tcp,
        member.failure_domain,
        member.region,
        member.incarnation,
        int(member.state),
        member.revision,
        member.leaving,
    ]


def measure_member(member: Member) -> int:
    """Return the encoded size of a member in bytes."""
    return len(_pack(pack_member(member)))


def encode_datagram(message: Message, secret: bytes) -> bytes:
    """Return a message as version, MAC and msgpack body."""
    fields: list[object] = [_TYPES[type(message)], message.sequence]
    fields.append(pack_member(message.sender))
    fields.append([pack_member(update) for update in message.updates])
    if isinstance(message, Ping):
        fields += [message.probe, message.target]
    elif isinstance(message, Ack):
        fields += [message.probe, message.subject]
    elif isinstance(message, PingRequest):
        fields += [message.probe, message.target, message.target_udp]
    elif isinstance(message, StateRequest):
        fields += [message.digests]
    elif isinstance(message, StatePart):
        fields += [message.last]
    body = _pack(fields)
    return bytes([VERSION]) + _compute_mac(body, secret) + body


def decode_datagram(data: bytes, secrets: Sequence[bytes]) -> Result[Message, Rejected]:
    """Authenticate a datagram with any of the secrets and return its message."""
    if len(data) > DATAGRAM_BYTES:
        return _reject(RejectReason.TOO_LARGE, f"{len(data)} bytes")
    if len(data) <= HEADER_BYTES:
        return _reject(RejectReason.TRUNCATED, f"{len(data)} bytes")
    if data[0] != VERSION:
        return _reject(RejectReason.VERSION, f"version {data[0]}, expected {VERSION}")
    body = data[HEADER_BYTES:]
    mac = data[1:HEADER_BYTES]
    if not any(_verify_mac(mac, body, secret) for secret in secrets):
        return _reject(RejectReason.FORGED, "MAC does not match any accepted secret")
    try:
        return Ok(_read_message(msgpack.unpackb(body)))
    except (ValueError, TypeError, IndexError, RecursionError) as error:
        return _reject(RejectReason.MALFORMED, str(error))


def _reject(reason: RejectReason, detail: str) -> Result[Message, Rejected]:
    return Error(Rejected(reason, detail))


def _compute_mac(body: bytes, secret: bytes) -> bytes:
    return hashlib.blake2b(
        body, digest_size=MAC_BYTES, key=secret, person=MAC_PERSONALIZATION
    ).digest()


def _verify_mac(mac: bytes, body: bytes, secret: bytes) -> bool:
    return hmac.compare_digest(mac, _compute_mac(body, secret))


def _read_message(fields: list) -> Message:
    kind = _read_counter(fields[0])
    sequence = _read_counter(fields[1])
    sender = _read_member(fields[2])
    updates = tuple(_read_member(item) for item in fields[3])
    reader = _READERS.get(kind)
    if reader is None:
        raise _MalformedError(f"unknown message type {kind}")
    # Additional fields are ignored, so that newer nodes can add fields at the end.
    return reader(sender, sequence, updates, fields)


def _read_ping(sender, sequence, updates, fields) -> Ping:
    target = NodeId(_read_text(fields[5]))
    return Ping(sender, sequence, _read_counter(fields[4]), target, updates)


def _read_ack(sender, sequence, updates, fields) -> Ack:
    subject = NodeId(_read_text(fields[5]))
    return Ack(sender, sequence, _read_counter(fields[4]), subject, updates)


def _read_ping_request(sender, sequence, updates, fields) -> PingRequest:
    target = NodeId(_read_text(fields[5]))
    address = _read_address(fields[6])
    probe = _read_counter(fields[4])
    return PingRequest(sender, sequence, probe, target, address, updates)


def _read_gossip(sender, sequence, updates, fields) -> Gossip:
    return Gossip(sender, sequence, updates)


def _read_state_request(sender, sequence, updates, fields) -> StateRequest:
    digests = fields[4]
    if not isinstance(digests, bytes) or len(digests) % 4:
        raise _MalformedError("digests are not a sequence of 4-byte values")
    return StateRequest(sender, sequence, digests, updates)


def _read_state_part(sender, sequence, updates, fields) -> StatePart:
    return StatePart(sender, sequence, fields[4] is True, updates)


_READERS: dict[int, Callable[..., Message]] = {
    1: _read_ping,
    2: _read_ack,
    3: _read_ping_request,
    4: _read_gossip,
    5: _read_state_request,
    6: _read_state_part,
}


def _read_member(fields: list) -> Member:
    if not isinstance(fields, list):
        raise _MalformedError("a member is not an array")
    udp = _read_address(fields[2])
    tcp = _read_address(fields[3])
    if tcp[0] == udp[0]:
        # The host is usually the same; sharing its string saves memory.
        tcp = (udp[0], tcp[1])
    return Member(
        node_id=NodeId(_read_text(fields[0])),
        boot_id=BootId(_read_text(fields[1])),
        udp=udp,
        tcp=tcp,
        # Interned so that each is stored once, as a fleet has few domains and regions.
        failure_domain=FailureDomain(sys.intern(_read_text(fields[4]))),
        region=sys.intern(_read_text(fields[5])),
        incarnation=_read_counter(fields[6]),
        state=MemberState(fields[7]),
        revision=Revision(_read_counter(fields[8])),
        leaving=fields[9] is True,
    )


def _read_text(value: object) -> str:
    if not isinstance(value, str) or len(value) > TEXT_CHARACTERS_MAX:
        raise _MalformedError(f"expected a short text, got {value!r:.40}")
    return value


def _read_counter(value: object) -> int:
    if type(value) is not int or not 0 <= value < COUNTER_LIMIT:
        raise _MalformedError(f"expected a counter, got {value!r:.40}")
    return value


def _read_address(value: object) -> tuple[str, int]:
    if not isinstance(value, list) or len(value) != 2:
        raise _MalformedError(f"expected an address, got {value!r:.40}")
    host, port = value
    if _read_counter(port) > 65535:
        raise _MalformedError(f"expected a port, got {port}")
    return _read_text(host), port


def measure_members(members: Iterable[Member]) -> int:
    """Return the total encoded size of several members in bytes."""
    return sum(measure_member(member) for member in members)
