"""Choose the homes of a service that one entry uses by default.

In a large fleet an entry sends few requests to each home. An entry that spread them
over all homes would know none of them, and each home would have a link to every entry.
With a fixed subset, links, reports and the cost of a choice do not grow with the fleet.
Rendezvous hashing gives each home about the same number of entries, and changes a
subset by one home when a home joins or leaves.
"""

from flamingobank.core import FailureDomain, NodeId, hash_text
from flamingobank.sidecar.fleet.peers import PeerRecord

# Enough homes that some are healthy and have a free slot while a third of the servers
# fail and most others are busy.
SUBSET_SIZE = 24
# At most this share of a subset is in the entry's own failure domain, so that the loss
# or overload of the domain leaves enough other homes.
MAX_LOCAL_SHARE = 0.5
# The share where requests are scheduled by cost. They stay in the own domain while one
# of its homes is in time, so more of its homes must be known; six others are enough to
# take what does not fit, and all homes are sampled when the subset has refused.
MAX_LOCAL_SHARE_BY_COST = 0.75


class HomeSubset:
    """The subset of one entry for one service."""

    def __init__(
        self,
        entry: NodeId,
        failure_domain: FailureDomain,
        max_local_share: float = MAX_LOCAL_SHARE,
    ) -> None:
        self._max_local_share = max_local_share
        self._entry = entry
        self._failure_domain = failure_domain
        self._weights: dict[NodeId, int] = {}
        self._all_homes: list[PeerRecord] = []
        self._chosen: list[PeerRecord] = []

    def choose(self, homes: list[PeerRecord]) -> list[PeerRecord]:
        """Return the subset of all homes of the service."""
        if homes is self._all_homes:
            return self._chosen
        self._all_homes = homes
        self._chosen = self._select(homes)
        return self._chosen

    def _select(self, homes: list[PeerRecord]) -> list[PeerRecord]:
        if len(homes) <= SUBSET_SIZE:
            return homes
        self._weights = {home.node: self._compute_weight(home.node) for home in homes}
        ranked = sorted(homes, key=lambda home: self._weights[home.node])
        local_count = int(SUBSET_SIZE * self._max_local_share)
        local = [
            home for home in ranked if home.failure_domain == self._failure_domain
        ][:local_count]
        chosen_nodes = {home.node for home in local}
        others = [home for home in ranked if home.node not in chosen_nodes]
        return local + others[: SUBSET_SIZE - len(local)]

    def _compute_weight(self, node: NodeId) -> int:
        weight = self._weights.get(node)
        return hash_text(f"{self._entry}/{node}") if weight is None else weight
