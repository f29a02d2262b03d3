"""Keep the records of all sidecars and merge those that peers send.

Each process writes only its own record. A record with a higher incarnation, or with a
higher revision of the same incarnation, replaces an older one. No process declares
another one dead: each entry judges a home by its own network path to it, which stays
correct when a path fails in one direction only.
"""

import hashlib
import socket
import struct
from dataclasses import dataclass, replace

from flamingobank.core import FailureDomain, InstanceId, NodeId, ServiceName
from flamingobank.loop import Address

HASH_BYTES = 6
FIELD_COUNT = 9
# Bounds of the fields of a record from outside this process.
MAX_NAME_CHARACTERS = 250
MAX_PORT = 65_535
# Incarnations are in milliseconds since 1970; this one is in the year 2248.
MAX_INCARNATION = 2**43
MAX_REVISION = 2**63
# The bound that announcements of servers have.
MAX_START_MS = 2**63
MAX_RECORD_DEPARTURES = 64
# A record of a process that left is kept this long, so that every peer receives it.
LEFT_RETENTION_S = 30.0


@dataclass(frozen=True, slots=True)
class PeerRecord:
    """Describe one sidecar and the server beside it."""

    node: NodeId
    # Wall-clock milliseconds of the process start, or one more than the incarnation of
    # an earlier process if that is higher.
    incarnation: int
    revision: int
    address: Address
    failure_domain: FailureDomain
    service: ServiceName
    # The server accepts work.
    serving: bool
    # The process has announced that it stops.
    left: bool
    # Servers that this home acknowledged as leaving: instance and start.
    departures: tuple[tuple[InstanceId, int], ...]

    @property
    def version(self) -> tuple[int, int]:
        """Return a key that orders the records of one node."""
        return (self.incarnation, self.revision)


def pack_record(record: PeerRecord) -> list:
    """Return the fields of a record for the protocol between nodes."""
    return [
        record.node,
        record.incarnation,
        record.revision,
        list(record.address),
        record.failure_domain,
        record.service,
        record.serving,
        record.left,
        [list(departure) for departure in record.departures],
    ]


def unpack_record(values: object) -> PeerRecord:
    """Return the record of packed fields; raises ValueError when they are malformed."""
    if not isinstance(values, list | tuple) or len(values) != FIELD_COUNT:
        raise ValueError(
            f"peer record is {values!r:.80}, expected {FIELD_COUNT} fields"
        )
    node, incarnation, revision, address, domain, service, *rest = values
    serving, left, departures = rest
    if (
        not isinstance(departures, list | tuple)
        or len(departures) > MAX_RECORD_DEPARTURES
    ):
        raise ValueError(f"departures are {departures!r:.80}, expected a short list")
    return PeerRecord(
        NodeId(_check_name(node)),
        _check_number(incarnation, 0, MAX_INCARNATION),
        _check_number(revision, 0, MAX_REVISION),
        _check_address(address),
        FailureDomain(_check_name(domain)),
        ServiceName(_check_name(service)),
        _check_flag(serving),
        _check_flag(left),
        tuple(_check_departure(departure) for departure in departures),
    )


def _check_name(value: object) -> str:
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise ValueError(f"name is {value!r:.80}, expected a short text")
    # Raises UnicodeEncodeError, a ValueError, for text that cannot be sent.
    value.encode()
    return value


def _check_number(value: object, minimum: int, maximum: int) -> int:
    if type(value) is not int or not minimum <= value <= maximum:
        raise ValueError(f"number is {value!r:.80}, expected {minimum} to {maximum}")
    return value


def _check_flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"flag is {value!r:.80}, expected true or false")
    return value


def _check_address(value: object) -> Address:
    if not isinstance(value, list | tuple) or len(value) != 2:
        raise ValueError(f"address is {value!r:.80}, expected a host and a port")
    host, port = value
    try:
        socket.inet_pton(socket.AF_INET, _check_name(host))
    except OSError as error:
        raise ValueError(f"host is {host!r:.80}, expected an IPv4 address") from error
    return (host, _check_number(port, 1, MAX_PORT))


def _check_departure(value: object) -> tuple[InstanceId, int]:
    if not isinstance(value, list | tuple) or len(value) != 2:
        raise ValueError(f"departure is {value!r:.80}, expected instance and start")
    instance, started_ms = value
    return (
        InstanceId(_check_name(instance)),
        _check_number(started_ms, 0, MAX_START_MS),
    )


def hash_record(record: PeerRecord) -> bytes:
    """Return a short hash that changes with each version of a record."""
    digest = hashlib.blake2b(record.node.encode(), digest_size=HASH_BYTES)
    digest.update(struct.pack(">QQ", record.incarnation, record.revision))
    return digest.digest()


class PeerTable:
    """Merge records of peers; only this process can change the local record."""

    def __init__(self, local_record: PeerRecord) -> None:
        self.local_record = local_record
        self._records: dict[NodeId, PeerRecord] = {}
        self._hashes: dict[NodeId, bytes] = {
            local_record.node: hash_record(local_record)
        }
        # XOR of all record hashes, so that one changed record updates it at once.
        self._digest = _to_number(self._hashes[local_record.node])
        self._left_at: dict[NodeId, float] = {}
        self._nodes_by_address: dict[Address, NodeId] = {}
        # Views of the table that are built on first use after a change.
        self._peers: list[PeerRecord] | None = None
        self._homes: dict[ServiceName, list[PeerRecord]] | None = None

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digest(self) -> int:
        """Return a number that is equal for equal tables."""
        return self._digest

    def update_local(self, **changes: object) -> None:
        """Change fields of the local record and increment its revision."""
        self._set_local(
            replace(
                self.local_record, revision=self.local_record.revision + 1, **changes
            )
        )

    def merge(self, record: PeerRecord, now: float) -> bool:
        """Apply a record; return whether it changed the table."""
        if record.node == self.local_record.node:
            return self._refute(record)
        known = self._records.get(record.node)
        if known is not None and known.version >= record.version:
            return False
        # An address belongs to one process; the later start replaces the earlier.
        other_node = self._nodes_by_address.get(record.address, record.node)
        if other_node != record.node:
            if self._records[other_node].incarnation > record.incarnation:
                return False
            self._drop(other_node)
        if known is not None:
            self._drop(record.node)
        self._records[record.node] = record
        self._nodes_by_address[record.address] = record.node
        self._replace_hash(record.node, hash_record(record))
        if record.left:
            self._left_at[record.node] = now
        return True

    def find(self, node: NodeId) -> PeerRecord | None:
        """Return the record of a peer, or None if it is not known."""
        return self._records.get(node)

    def find_address(self, address: Address) -> PeerRecord | None:
        """Return the record of the peer at an address, or None if there is none."""
        node = self._nodes_by_address.get(address)
        return self._records[node] if node is not None else None

    def list_peers(self) -> list[PeerRecord]:
        """Return the peers that have not left; the caller must not change the list."""
        if self._peers is None:
            self._peers = [
                record for record in self._records.values() if not record.left
            ]
        return self._peers

    def list_homes(self, service: ServiceName) -> list[PeerRecord]:
        """Return the records of the homes whose server of a service accepts work.

        The caller must not change the list.
        """
        if self._homes is None:
            self._homes = {}
            for record in self.list_all():
                if record.serving and not record.left:
                    self._homes.setdefault(record.service, []).append(record)
        return self._homes.get(service, [])

    def list_unsaved(self, stored: list[PeerRecord]) -> list[PeerRecord]:
        """Return the peers whose process or departures are not in stored records."""
        stored_by_node = {record.node: record for record in stored}
        unsaved = []
        for record in self.list_peers():
            saved = stored_by_node.get(record.node)
            if (
                saved is None
                or saved.incarnation < record.incarnation
                or not set(record.departures) <= set(saved.departures)
            ):
                unsaved.append(record)
        return unsaved

    def find_left(self, stored: PeerRecord) -> PeerRecord | None:
        """Return the newer record of a stored process that has left since, if known."""
        known = self._records.get(stored.node)
        if known is None or not known.left or known.version <= stored.version:
            return None
        return known

    def list_all(self) -> list[PeerRecord]:
        """Return all records, including the local one and those that have left."""
        return [self.local_record, *self._records.values()]

    def list_hashes(self) -> bytes:
        """Return the concatenated hashes of all records."""
        return b"".join(self._hashes.values())

    def list_missing(self, hashes: bytes) -> tuple[list[PeerRecord], bool]:
        """Return the records that a peer lacks and whether it has others.

        `hashes` are the hashes of the peer's records.
        """
        peer_hashes = {
            hashes[start : start + HASH_BYTES]
            for start in range(0, len(hashes), HASH_BYTES)
        }
        missing = [
            record
            for record in self.list_all()
            if self._hashes[record.node] not in peer_hashes
        ]
        return missing, not peer_hashes <= set(self._hashes.values())

    def expire(self, now: float) -> None:
        """Drop the records of processes that left long ago."""
        for node, left_at in list(self._left_at.items()):
            if now > left_at + LEFT_RETENTION_S:
                self._drop(node)

    def _refute(self, record: PeerRecord) -> bool:
        """Raise the local record's version if a peer has a higher one of this node.

        Such a record was written by an earlier process and would replace the local one.
        """
        if record.version <= self.local_record.version:
            return False
        if record.incarnation >= MAX_INCARNATION:
            # Peers would take a higher one for malformed.
            return False
        self._set_local(
            replace(self.local_record, incarnation=record.incarnation + 1, revision=1)
        )
        return True

    def _set_local(self, record: PeerRecord) -> None:
        self.local_record = record
        self._replace_hash(record.node, hash_record(record))

    def _drop(self, node: NodeId) -> None:
        record = self._records.pop(node, None)
        if record is None:
            return
        self._nodes_by_address.pop(record.address, None)
        self._replace_hash(node, None)
        self._left_at.pop(node, None)

    def _replace_hash(self, node: NodeId, record_hash: bytes | None) -> None:
        """Replace the hash of a record, or remove it with None."""
        former_hash = self._hashes.pop(node, None)
        if former_hash is not None:
            self._digest ^= _to_number(former_hash)
        if record_hash is not None:
            self._hashes[node] = record_hash
            self._digest ^= _to_number(record_hash)
        self._peers = None
        self._homes = None


def _to_number(record_hash: bytes) -> int:
    return int.from_bytes(record_hash, "big")
