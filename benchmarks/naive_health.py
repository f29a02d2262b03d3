"""Simple algorithms with which flamingobank's decisions on health are compared."""

from flamingobank.balancing import ServerSlots
from flamingobank.core import InstanceId
from flamingobank.health import Cusum

CONSECUTIVE_FAILURES = 5
EJECTION_S = 30.0


def count_in_order(test: Cusum, misses: int) -> None:
    """Add observations in which the tested event did not occur, one by one.

    The event is for example the failure of a request.
    """
    for _ in range(misses):
        test.add(False, 0.0)


class NaiveHealthFleet:
    """Round-robin choice with ejection after 5 consecutive failures and no floor."""

    def __init__(self, servers: int) -> None:
        self._next = 0
        self._failures = [0] * servers
        self.ejected_until = [0.0] * servers

    def choose(self, now: float) -> int | None:
        """Return the next server that is not ejected, or None if all are."""
        size = len(self._failures)
        for _ in range(size):
            index = self._next
            self._next = (index + 1) % size
            if self.ejected_until[index] <= now:
                return index
        return None

    def record(self, index: int, failed: bool, now: float) -> bool:
        """Record an outcome; return whether it ejects the server."""
        if not failed:
            self._failures[index] = 0
            return False
        self._failures[index] += 1
        if self._failures[index] < CONSECUTIVE_FAILURES:
            return False
        self._failures[index] = 0
        if self.ejected_until[index] > now:
            return False
        self.ejected_until[index] = now + EJECTION_S
        return True


def list_allowed_servers(servers: list[ServerSlots], now: float) -> list[InstanceId]:
    """Return the least loaded servers with a free slot, by a linear search."""
    shares = {
        server.instance: server.in_use / server.count_usable(now)
        for server in servers
        if server.in_use < server.count_usable(now)
    }
    return [name for name, share in shares.items() if share == min(shares.values())]
