"""Anti-entropy: synchronize two member tables by comparing bucket digests."""

import random
from collections.abc import Sequence

from flamingobank.membership.composer import Composer
from flamingobank.membership.datagrams import measure_member
from flamingobank.membership.messages import (
    Address,
    Member,
    SendDatagram,
    StatePart,
    StateRequest,
)
from flamingobank.membership.records import Records

# Limits an answer to what the receive buffer of a socket holds; datagrams beyond it
# would be lost.
PARTS_PER_ANSWER = 8
# With parts of 1,200 B, answers use at most 9.6 KB/s of the 17 KB/s that a node may use
# for control traffic.
PARTS_PER_S = 8.0
PARTS_CAPACITY = 256.0
REQUEST_TIMEOUT_S = 0.5
EXCHANGE_INTERVAL_S = 30.0
# Nodes that start together can form separate groups that do not know each other. Each
# group therefore keeps sending requests to seeds that are not among its members.
FOREIGN_SEED_INTERVAL_S = 5.0


class StateExchange:
    """Requests differing records from one peer at a time, and answers such requests."""

    def __init__(
        self,
        records: Records,
        composer: Composer,
        seeds: Sequence[Address],
        rng: random.Random,
        now: float,
    ) -> None:
        self._records = records
        self._composer = composer
        self._seeds: tuple[Address, ...] = ()
        self.add_seeds(seeds)
        self._rng = rng
        self.is_joined = not self._seeds
        self._peer: Address | None = None
        self._requested_at = now
        self._next_request_at = now
        self._next_foreign_seed_at = now + FOREIGN_SEED_INTERVAL_S
        self._received_changes = False
        self._available_tokens = PARTS_CAPACITY
        self._refilled_at = now

    def tick(self, now: float) -> list[SendDatagram]:
        """Send a request to a random member or a seed when it is due."""
        if self._peer is not None and now - self._requested_at < REQUEST_TIMEOUT_S:
            return []
        if self.is_joined and now >= self._next_foreign_seed_at:
            return self._request_foreign_seed(now)
        if self.is_joined and now < self._next_request_at:
            return []
        peer = self._choose_peer()
        if peer is None:
            self._next_request_at = now + REQUEST_TIMEOUT_S
            return []
        return [self._request_state(peer, now)]

    def add_seeds(self, seeds: Sequence[Address]) -> None:
        """Add addresses at which members may be found."""
        local_address = self._records.local_member.udp
        known = dict.fromkeys((*self._seeds, *seeds))
        self._seeds = tuple(seed for seed in known if seed != local_address)

    def request_soon(self, now: float) -> None:
        """Schedule the next request within a second, if the table may be outdated."""
        self._next_request_at = min(
            self._next_request_at, now + self._rng.uniform(0.0, 1.0)
        )

    def restart(self) -> None:
        """Require a new initial exchange."""
        self.is_joined = not self._seeds
        self._peer = None

    def answer(self, request: StateRequest, now: float) -> list[SendDatagram]:
        """Return the records of differing buckets, limited by PARTS_PER_S."""
        self._refill(now)
        if self._available_tokens < 1:
            return []
        buckets = list(self._records.table.find_differences(request.digests))
        self._rng.shuffle(buckets)
        ranks = {bucket: rank for rank, bucket in enumerate(buckets)}
        members = self._records.table.list_members_in_buckets(ranks)
        parts = self._split(members)
        self._available_tokens -= len(parts)
        return [
            self._composer.compose(
                StatePart,
                request.sender.udp,
                updates=part,
                last=index == len(parts) - 1,
            )
            for index, part in enumerate(parts)
        ]

    def handle_part(
        self, part: StatePart, has_changes: bool, now: float
    ) -> list[SendDatagram]:
        """Process a part; repeat the request while the peer sends new records."""
        self._received_changes |= has_changes
        if not part.last or part.sender.udp != self._peer:
            return []
        self._peer = None
        # Parts of an answer can be lost, so the exchange ends only with an answer that
        # brought no new record. Remaining differences are repaired by the peer.
        if self._received_changes:
            return [self._request_state(part.sender.udp, now)]
        self.is_joined = True
        return []

    def _choose_peer(self) -> Address | None:
        peers = self._records.table.pick(1, self._rng, lambda member: not member.state)
        if peers and (self.is_joined or self._rng.random() < 0.5):
            return peers[0].udp
        if self._seeds:
            return self._rng.choice(self._seeds)
        return peers[0].udp if peers else None

    def _request_foreign_seed(self, now: float) -> list[SendDatagram]:
        self._next_foreign_seed_at = now + FOREIGN_SEED_INTERVAL_S
        table = self._records.table
        foreign = [seed for seed in self._seeds if table.find_by_address(seed) is None]
        if not foreign:
            return []
        return [self._request_state(self._rng.choice(foreign), now)]

    def _request_state(self, peer: Address, now: float) -> SendDatagram:
        self._peer = peer
        self._requested_at = now
        self._received_changes = False
        self._next_request_at = now + EXCHANGE_INTERVAL_S * self._rng.uniform(0.5, 1.5)
        digests = self._records.table.pack_digests()
        return self._composer.compose(StateRequest, peer, digests=digests)

    def _split(self, members: list[Member]) -> list[tuple[Member, ...]]:
        budget = self._composer.compute_budget(StatePart)
        limit = min(PARTS_PER_ANSWER, int(self._available_tokens))
        parts: list[tuple[Member, ...]] = []
        while members and len(parts) < limit:
            parts.append(_take_members(members, budget))
        return parts or [()]

    def _refill(self, now: float) -> None:
        refill = (now - self._refilled_at) * PARTS_PER_S
        self._available_tokens = min(
            PARTS_CAPACITY, self._available_tokens + max(0.0, refill)
        )
        self._refilled_at = now


def _take_members(members: list[Member], budget: int) -> tuple[Member, ...]:
    part: list[Member] = []
    while members:
        budget -= measure_member(members[-1])
        if budget < 0 and part:
            break
        part.append(members.pop())
    return tuple(part)
