"""Queue membership updates and choose which ones each datagram carries."""

import math
from dataclasses import replace

from flamingobank.core import NodeId, Revision
from flamingobank.membership.datagrams import measure_member
from flamingobank.membership.messages import Member

RETRANSMIT_FACTOR = 3


def count_transmissions(members: int) -> int:
    """Return how many times a node sends each update in a fleet of this size."""
    return max(1, math.ceil(RETRANSMIT_FACTOR * math.log2(max(2, members))))


class _Update:
    __slots__ = ("member", "order", "sent", "size")

    def __init__(self, member: Member, size: int, order: int) -> None:
        self.member = member
        self.size = size
        self.order = order
        self.sent = 0


class UpdateQueue:
    """Queue of one update per member; the least often sent ones come first."""

    def __init__(self) -> None:
        self._updates: dict[NodeId, _Update] = {}
        self._order = 0

    def __len__(self) -> int:
        return len(self._updates)

    def add(self, member: Member) -> None:
        """Queue the newest record of a member in place of an older one."""
        self._order += 1
        size = measure_member(member)
        self._updates[member.node_id] = _Update(member, size, self._order)

    def drop(self, node_id: NodeId) -> None:
        """Remove the update about a member, if there is one."""
        self._updates.pop(node_id, None)

    def take(
        self, budget: int, members: int, first: Member | None = None
    ) -> tuple[Member, ...]:
        """Return updates of at most budget bytes and count one transmission of each.

        The record first, if given, comes before the others.
        """
        chosen: list[Member] = []
        if first is not None:
            size = measure_member(first)
            if size > budget:
                return ()
            budget -= size
            chosen.append(first)
        if not self._updates:
            return tuple(chosen)
        limit = count_transmissions(members)
        waiting = sorted(
            self._updates.values(), key=lambda item: (item.sent, -item.order)
        )
        for update in waiting:
            if update.size > budget:
                break
            node_id = update.member.node_id
            if first is None or node_id != first.node_id:
                budget -= update.size
                chosen.append(update.member)
            update.sent += 1
            if update.sent >= limit:
                del self._updates[node_id]
        return tuple(chosen)

    def raise_revision(self, node_id: NodeId, revision: Revision) -> None:
        """Set the revision of a queued update without adding transmissions."""
        waiting = self._updates.get(node_id)
        if waiting is None:
            return
        waiting.member = replace(waiting.member, revision=revision)
        waiting.size = measure_member(waiting.member)
