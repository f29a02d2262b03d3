"""Table of members, and the order that decides which record is newer."""

import random
import zlib
from array import array
from collections.abc import Callable, Iterator
from dataclasses import replace

from flamingobank.core import NodeId, Revision
from flamingobank.membership.messages import Address, Member, MemberState

# With 3,700 members, a bucket holds 58, which fit into four datagrams.
BUCKETS = 64
# Maximum number of random draws in pick(), which may find few acceptable members.
SAMPLE_LIMIT = 40
_DIGESTED_STATES = (MemberState.ALIVE, MemberState.SUSPECT, MemberState.UNREACHABLE)


def is_newer(new: Member, known: Member) -> bool:
    """Return whether a record replaces the known one.

    Records are ordered by incarnation, then state, then boot id, so that all nodes
    keep the same one of two records.
    """
    if new.incarnation != known.incarnation:
        return new.incarnation > known.incarnation
    if new.state is not known.state:
        return new.state > known.state
    if new.boot_id != known.boot_id:
        return new.boot_id > known.boot_id
    return new.leaving and not known.leaving


def find_bucket(node_id: NodeId) -> int:
    """Return the bucket of a member."""
    return zlib.crc32(node_id.encode()) % BUCKETS


def _digest_member(member: Member) -> int:
    # The state is not included. Suspicion and unreachability are the view of a single
    # node, and nodes remove dead members at different times, so that none of these
    # differences needs repair.
    text = f"{member.node_id}\x00{member.boot_id}\x00{member.incarnation}"
    return zlib.crc32(text.encode())


class MemberTable:
    """Members with indexes by id, by address and by bucket."""

    def __init__(self) -> None:
        self._members: dict[NodeId, Member] = {}
        self._by_address: dict[Address, NodeId] = {}
        self._digests = array("I", bytes(4 * BUCKETS))
        self._in_service = 0
        # Cached ids of members in service, or None after a change of the members.
        self._candidates: list[NodeId] | None = None

    def __len__(self) -> int:
        return len(self._members)

    def __iter__(self) -> Iterator[Member]:
        return iter(self._members.values())

    def get(self, node_id: NodeId) -> Member | None:
        """Return the record of a member, or None."""
        return self._members.get(node_id)

    def find_by_address(self, address: Address) -> NodeId | None:
        """Return the member in service with a datagram address, or None."""
        return self._by_address.get(address)

    def count_in_service(self) -> int:
        """Return the number of members that are alive or suspect."""
        return self._in_service

    def list_in_service(self) -> list[Member]:
        """Return the members that are alive or suspect."""
        return [item for item in self._members.values() if item.is_in_service]

    def pick(
        self, count: int, rng: random.Random, accept: Callable[[Member], bool]
    ) -> list[Member]:
        """Return up to count random members in service for which accept is true."""
        if self._candidates is None:
            self._candidates = [item.node_id for item in self.list_in_service()]
        if len(self._candidates) <= SAMPLE_LIMIT:
            ids = rng.sample(self._candidates, len(self._candidates))
        else:
            ids = [rng.choice(self._candidates) for _ in range(SAMPLE_LIMIT)]
        chosen: list[Member] = []
        for node_id in ids:
            if len(chosen) >= count:
                break
            member = self._members[node_id]
            if member in chosen or not accept(member):
                continue
            chosen.append(member)
        return chosen

    def put(self, member: Member) -> NodeId | None:
        """Store a record; return the member in service that had its address, if any."""
        self.remove(member.node_id)
        self._members[member.node_id] = member
        if member.state in _DIGESTED_STATES:
            bucket = find_bucket(member.node_id)
            self._digests[bucket] ^= _digest_member(member)
        if not member.is_in_service:
            return None
        self._in_service += 1
        self._candidates = None
        other = self._by_address.get(member.udp)
        self._by_address[member.udp] = member.node_id
        return other

    def remove(self, node_id: NodeId) -> None:
        """Remove the record of a member."""
        known = self._members.pop(node_id, None)
        if known is None:
            return
        if known.state in _DIGESTED_STATES:
            self._digests[find_bucket(node_id)] ^= _digest_member(known)
        if known.is_in_service:
            self._in_service -= 1
            self._candidates = None
        if self._by_address.get(known.udp) == node_id:
            del self._by_address[known.udp]

    def record_revision(self, node_id: NodeId, revision: Revision) -> bool:
        """Raise a member's configuration revision; return whether it changed."""
        known = self._members.get(node_id)
        if known is None or revision <= known.revision:
            return False
        self._members[node_id] = replace(known, revision=revision)
        return True

    def pack_digests(self) -> bytes:
        """Return one 4-byte big-endian digest per bucket."""
        return b"".join(value.to_bytes(4, "big") for value in self._digests)

    def find_differences(self, digests: bytes) -> set[int]:
        """Return the buckets whose digest differs from a peer's."""
        own = self.pack_digests()
        if len(digests) != len(own):
            return set(range(BUCKETS))
        return {
            bucket
            for bucket in range(BUCKETS)
            if own[4 * bucket : 4 * bucket + 4] != digests[4 * bucket : 4 * bucket + 4]
        }

    def list_members_in_buckets(self, ranks: dict[int, int]) -> list[Member]:
        """Return all records in the given buckets, including dead members.

        ranks maps each bucket to its position in the result.
        """
        found: list[tuple[int, Member]] = []
        for member in self._members.values():
            rank = ranks.get(find_bucket(member.node_id))
            if rank is not None:
                found.append((rank, member))
        found.sort(key=lambda item: item[0])
        return [member for _, member in found]

    def copy(self) -> "MemberTable":
        """Return a table with the same records."""
        table = MemberTable()
        table._members = dict(self._members)
        table._by_address = dict(self._by_address)
        table._digests = array("I", self._digests)
        table._in_service = self._in_service
        return table
