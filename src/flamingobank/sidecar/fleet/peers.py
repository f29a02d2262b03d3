"""Keep the records of all sidecars and merge those that peers send.

Each process writes only its own record. A record with a higher incarnation, or with a
higher revision of the same incarnation, replaces an older one. No process declares
another one dead: each entry judges a home by its own network path to it, which stays
correct when a path fails in one direction only.
"""

import hashlib
import struct
from dataclasses import dataclass, replace

from flamingobank.core import FailureDomain, InstanceId, NodeId, ServiceName
from flamingobank.loop import Address

HASH_BYTES = 6
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


def unpack_record(values: list) -> PeerRecord:
    """Return the record of packed fields; raises ValueError when they are malformed."""
    try:
        node, incarnation, revision, address, domain, service, *rest = values
        serving, left, departures = rest
        return PeerRecord(
            NodeId(str(node)),
            int(incarnation),
            int(revision),
            (str(address[0]), int(address[1])),
            FailureDomain(str(domain)),
            ServiceName(str(service)),
            bool(serving),
            bool(left),
            tuple((InstanceId(str(i)), int(started)) for i, started in departures),
        )
    except (TypeError, IndexError) as error:
        raise ValueError(f"peer record is malformed: {error}") from error


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
        self._digest: int | None = None
        self._left_at: dict[NodeId, float] = {}

    def __len__(self) -> int:
        return len(self._records)

    @property
    def digest(self) -> int:
        """Return a number that is equal for equal tables."""
        if self._digest is None:
            digest = 0
            for record_hash in self._hashes.values():
                digest ^= int.from_bytes(record_hash, "big")
            self._digest = digest
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
        for node, other in list(self._records.items()):
            # An address belongs to one process; the later start replaces the earlier.
            if other.address != record.address or node == record.node:
                continue
            if other.incarnation > record.incarnation:
                return False
            self._drop(node)
        self._records[record.node] = record
        self._hashes[record.node] = hash_record(record)
        self._digest = None
        if record.left:
            self._left_at[record.node] = now
        else:
            self._left_at.pop(record.node, None)
        return True

    def find(self, node: NodeId) -> PeerRecord | None:
        """Return the record of a peer, or None if it is not known."""
        return self._records.get(node)

    def list_peers(self) -> list[PeerRecord]:
        """Return the peers that have not left."""
        return [record for record in self._records.values() if not record.left]

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
        self._set_local(
            replace(self.local_record, incarnation=record.incarnation + 1, revision=1)
        )
        return True

    def _set_local(self, record: PeerRecord) -> None:
        self.local_record = record
        self._hashes[record.node] = hash_record(record)
        self._digest = None

    def _drop(self, node: NodeId) -> None:
        self._records.pop(node, None)
        self._hashes.pop(node, None)
        self._left_at.pop(node, None)
        self._digest = None
