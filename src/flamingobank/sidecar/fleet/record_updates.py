"""Collect changed records and choose which of them a datagram carries."""

import math
from dataclasses import dataclass

import msgpack

from flamingobank.sidecar.fleet.peers import PeerRecord, pack_record

# A changed record is repeated for this many rounds, in case datagrams are lost.
UPDATE_ROUNDS = 4
# Each process forwards the changed record of another to this many peers in other
# failure domains. As all processes forward it, more copies would reach peers that have
# it already, and traffic between failure domains costs most. Differences that remain
# are found by comparing digests.
MAX_REMOTE_COPIES = 2
# Keeps a datagram within one packet at the usual MTU.
MAX_DATAGRAM_BYTES = 1200


@dataclass(slots=True)
class _Update:
    record: PeerRecord
    packed: list
    packed_bytes: int
    remote_copies_left: float
    rounds_left: int = UPDATE_ROUNDS


class RecordUpdates:
    """Recently changed records, each with the copies that are still to be sent."""

    def __init__(self) -> None:
        # Oldest first.
        self._updates: list[_Update] = []

    def add(self, record: PeerRecord, forwarded: bool) -> None:
        """Add a changed record in place of an earlier state of it.

        The record of the own process, which is not forwarded, goes to any peer.
        """
        self._updates = [
            update for update in self._updates if update.record.node != record.node
        ]
        packed = pack_record(record)
        remote_copies = MAX_REMOTE_COPIES if forwarded else math.inf
        self._updates.append(
            _Update(record, packed, len(msgpack.packb(packed)), remote_copies)
        )

    def end_round(self) -> None:
        """Drop the records that have been repeated often enough."""
        for update in self._updates:
            update.rounds_left -= 1
        self._updates = [update for update in self._updates if update.rounds_left > 0]

    def take(self, remote: bool) -> list[list]:
        """Return the packed records for a datagram, the newest first.

        `remote` says whether the receiver is in another failure domain.
        """
        packed = []
        size = 0
        for update in reversed(self._updates):
            if remote and not update.remote_copies_left:
                continue
            size += update.packed_bytes
            if size > MAX_DATAGRAM_BYTES:
                break
            packed.append(update.packed)
            if remote:
                update.remote_copies_left -= 1
        return packed
