"""Record which process took over the keys of sealed keepers."""

from flamingobank.idempotency.keys import KeeperName
from flamingobank.idempotency.messages import KeeperMoved

# Covers the lifetime of a key, a day, at 14,000 restarts a day.
MAX_MOVES = 20_000


class KeeperMoveTable:
    """Map each sealed keeper to its successor."""

    def __init__(self) -> None:
        self._successors: dict[KeeperName, KeeperName] = {}

    def record(self, moved: KeeperMoved) -> None:
        """Record that a successor took over the keys of the given keepers."""
        for keeper in moved.keepers:
            self._successors.pop(keeper, None)
            if keeper != moved.successor:
                self._successors[keeper] = moved.successor
        while len(self._successors) > MAX_MOVES:
            del self._successors[next(iter(self._successors))]

    def find(self, keeper: KeeperName) -> KeeperName:
        """Return the last known process that answers for a keeper's keys."""
        seen = {keeper}
        while keeper in self._successors:
            keeper = self._successors[keeper]
            if keeper in seen:
                break
            seen.add(keeper)
        return keeper

    def list_moves(self) -> list[KeeperMoved]:
        """Return all recorded moves, to send to a node that boots."""
        return [KeeperMoved((old,), new) for old, new in self._successors.items()]
