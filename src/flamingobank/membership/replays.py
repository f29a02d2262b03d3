"""Detect replayed datagrams by a sliding window of sequence numbers."""

from flamingobank.core import BootId, NodeId
from flamingobank.membership.messages import Member

# A datagram that arrives out of order by this many or more is rejected as replayed.
WINDOW_SIZE = 64
# Two live processes with the same id need a window each, and so do late datagrams of
# a replaced process. Older boots are recognized by their incarnation.
BOOTS_PER_MEMBER = 4
_WINDOW_MASK = (1 << WINDOW_SIZE) - 1


class _Window:
    __slots__ = ("highest", "seen")

    def __init__(self) -> None:
        self.highest = -1
        self.seen = 0

    def accept(self, sequence: int) -> bool:
        ahead = sequence - self.highest
        if ahead > 0:
            self.seen = ((self.seen << min(ahead, WINDOW_SIZE)) | 1) & _WINDOW_MASK
            self.highest = sequence
            return True
        bit = 1 << -ahead
        if -ahead >= WINDOW_SIZE or self.seen & bit:
            return False
        self.seen |= bit
        return True


class ReplayGuard:
    """Accepts each sequence number of a process once, even out of order."""

    def __init__(self) -> None:
        self._boots: dict[NodeId, dict[BootId, _Window]] = {}

    def accept(self, sender: Member, sequence: int) -> bool:
        """Record a sequence number; return whether it is new."""
        boots = self._boots.setdefault(sender.node_id, {})
        window = boots.get(sender.boot_id)
        if window is None:
            if len(boots) >= BOOTS_PER_MEMBER:
                del boots[next(iter(boots))]
            window = boots[sender.boot_id] = _Window()
        return window.accept(sequence)

    def remove(self, node_id: NodeId) -> None:
        """Drop the windows of a member that is no longer in the table."""
        self._boots.pop(node_id, None)
