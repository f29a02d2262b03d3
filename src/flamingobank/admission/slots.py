"""Count the slots in use on each server of a service."""

import enum
import math
import operator

from flamingobank.admission.work import Lane, ServerChange
from flamingobank.core import InstanceId, Invariant, check_invariant

# A larger count is an error in the announcement; a typical server has 4 slots.
MAX_SLOTS = 1024


_GET_IN_USE = operator.attrgetter("in_use")


class SlotLimit(enum.Enum):
    """Which slots of a server work may use: all, or the share for long work."""

    ALL = "all"
    LONG_SHARE = "long-share"


class ServerCapacity:
    """Slots of one server and their use."""

    __slots__ = (
        "attached",
        "in_use",
        "instance",
        "long_in_use",
        "slots",
        "usable",
        "usable_limit",
    )

    def __init__(self, instance: InstanceId, slots: int) -> None:
        self.instance = instance
        # Announced slots, and how many of them may be used given health and warm-up.
        self.slots = slots
        self.usable = slots
        self.usable_limit: int | None = None
        self.in_use = 0
        self.long_in_use = 0
        self.attached = True

    @property
    def free(self) -> int:
        """Return the number of usable slots that are free."""
        return max(0, self.usable - self.in_use)


class SlotTable:
    """Slots of all servers of one service on their home."""

    def __init__(self, long_share: float) -> None:
        self._long_share = long_share
        self._servers: dict[InstanceId, ServerCapacity] = {}
        self.usable = 0
        self.free = 0
        self.long_in_use = 0

    def set_slots(self, instance: InstanceId, slots: int) -> ServerChange:
        """Set the announced slots of a server; running work is not affected."""
        if not _is_count(slots):
            return ServerChange.REJECTED
        server = self._servers.get(instance)
        if server is not None and server.slots == slots:
            return ServerChange.UNCHANGED
        change = ServerChange.CHANGED
        if server is None:
            server = self._servers[instance] = ServerCapacity(instance, slots)
            change = ServerChange.ADDED
        server.slots = slots
        # A new announcement must not undo a drain or an ejection.
        server.usable = (
            slots if server.usable_limit is None else min(server.usable_limit, slots)
        )
        self._recount()
        return change if slots else ServerChange.WITHOUT_SLOTS

    def set_usable(self, instance: InstanceId, usable: int | None) -> ServerChange:
        """Limit the usable slots of a server; None removes the limit."""
        server = self._servers.get(instance)
        if server is None or not (usable is None or _is_count(usable)):
            return ServerChange.REJECTED
        server.usable_limit = usable
        usable = server.slots if usable is None else min(usable, server.slots)
        if server.usable == usable:
            return ServerChange.UNCHANGED
        server.usable = usable
        self._recount()
        return ServerChange.CHANGED

    def remove(self, instance: InstanceId) -> bool:
        """Remove a server; release() still works for its slots in use."""
        server = self._servers.pop(instance, None)
        if server is None:
            return False
        server.attached = False
        self._recount()
        return True

    def list_available(self, lane: Lane, limit: SlotLimit) -> tuple[InstanceId, ...]:
        """Return the servers with a slot for the work, fewest slots in use first."""
        available = [
            server
            for server in self._servers.values()
            if server.in_use < server.usable and self._is_available(server, lane, limit)
        ]
        if len(available) > 1:
            available.sort(key=_GET_IN_USE)
        return tuple([server.instance for server in available])

    def acquire(
        self, instance: InstanceId, lane: Lane, limit: SlotLimit
    ) -> ServerCapacity | None:
        """Take a slot of a server; return None if it has none for this work."""
        server = self._servers.get(instance)
        if server is None or not self._is_available(server, lane, limit):
            return None
        server.in_use += 1
        self.free -= 1
        if lane is Lane.LONG:
            server.long_in_use += 1
            self.long_in_use += 1
        check_invariant(
            Invariant.SLOTS,
            0 < server.in_use <= server.slots and self.free >= 0,
            instance=instance,
            in_use=server.in_use,
            slots=server.slots,
            free=self.free,
        )
        return server

    def release(self, server: ServerCapacity, lane: Lane) -> None:
        """Release a slot that acquire() returned the server for."""
        was_free = server.free
        server.in_use -= 1
        if lane is Lane.LONG:
            server.long_in_use -= 1
        check_invariant(
            Invariant.SLOTS,
            0 <= server.long_in_use <= server.in_use,
            instance=server.instance,
            in_use=server.in_use,
            long_in_use=server.long_in_use,
        )
        if not server.attached:
            return
        self.free += server.free - was_free
        if lane is Lane.LONG:
            self.long_in_use -= 1

    def reclassify_as_long(self, server: ServerCapacity) -> None:
        """Count a slot in use by short work as held by long work from now on."""
        server.long_in_use += 1
        if server.attached:
            self.long_in_use += 1

    def count_long_slots(self, usable: int) -> int:
        """Return how many slots of a server long work may hold.

        A server with a single slot accepts long work; otherwise a service of such
        servers could never run any.
        """
        return max(1, math.floor(usable * self._long_share + 1e-9))

    def _is_available(
        self, server: ServerCapacity, lane: Lane, limit: SlotLimit
    ) -> bool:
        if server.in_use >= server.usable:
            return False
        if lane is Lane.SHORT or limit is SlotLimit.ALL:
            return True
        return server.long_in_use < self.count_long_slots(server.usable)

    def _recount(self) -> None:
        servers = self._servers.values()
        self.usable = sum(server.usable for server in servers)
        self.free = sum(server.free for server in servers)
        self.long_in_use = sum(server.long_in_use for server in servers)


def _is_count(value: object) -> bool:
    return isinstance(value, int) and 0 <= value <= MAX_SLOTS
