"""Send changes immediately instead of with the next probes."""

import random

from flamingobank.membership.composer import Composer
from flamingobank.membership.messages import Gossip, SendDatagram
from flamingobank.membership.records import Records

# Number of members that a change is sent to immediately, one of them in another domain.
PUSH_FANOUT = 3
# Even if changes are frequent, pushes use at most 7.2 KB/s of the 17 KB/s that a node
# may use for control traffic.
PUSHES_PER_S = 2.0
PUSHES_CAPACITY = 5.0


class GossipPusher:
    """Pushes queued updates to a few random members, with a rate limit."""

    def __init__(
        self, records: Records, composer: Composer, rng: random.Random, now: float
    ) -> None:
        self._records = records
        self._composer = composer
        self._rng = rng
        self._available_tokens = PUSHES_CAPACITY
        self._refilled_at = now

    def tick(self, now: float) -> list[SendDatagram]:
        """Push if there are urgent updates and the rate limit allows it."""
        refill = (now - self._refilled_at) * PUSHES_PER_S
        self._available_tokens = min(
            PUSHES_CAPACITY, self._available_tokens + max(0.0, refill)
        )
        self._refilled_at = now
        if not self._records.has_urgent_updates or self._available_tokens < 1:
            return []
        self._available_tokens -= 1
        return self.push()

    def push(self) -> list[SendDatagram]:
        """Push queued updates without checking the rate limit."""
        self._records.has_urgent_updates = False
        own_domain = self._records.local_member.failure_domain
        table = self._records.table
        peers = table.pick(1, self._rng, lambda item: item.failure_domain != own_domain)
        chosen = {peer.node_id for peer in peers}
        peers += table.pick(
            PUSH_FANOUT - len(peers),
            self._rng,
            lambda item: item.node_id not in chosen,
        )
        return [self._composer.compose(Gossip, peer.udp) for peer in peers]
