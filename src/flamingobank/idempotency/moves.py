"""Remember which process keeps the keys of sealed keepers."""

from flamingobank.idempotency.keys import KeeperName
from flamingobank.idempotency.messages import KeeperMoved

# 14,000 restarts a day, for the lifetime of a key.
MAX_MOVES = 20_000


class KeeperMoveTable:
    """Find the process to ask about a key."""

    def __init__(self) -> None:
        self._successors: dict[KeeperName, KeeperName] = {}

    def record(self, moved: KeeperMoved) -> None:
        """Note that names passed on to a successor."""
        for keeper in moved.keepers:
            self._successors.pop(keeper, None)
            if keeper != moved.successor:
                self._successors[keeper] = moved.successor
        while len(self._successors) > MAX_MOVES:
            del self._successors[next(iter(self._successors))]

    def find(self, keeper: KeeperName) -> KeeperName:
        """Return the process that keeps a name now, as far as is known."""
        seen = {keeper}
        while keeper in self._successors:
            keeper = self._successors[keeper]
            if keeper in seen:
                break
            seen.add(keeper)
        return keeper

    def list_moves(self) -> list[KeeperMoved]:
        """Return all moves, for a node that boots."""
        return [KeeperMoved((old,), new) for old, new in self._successors.items()]
