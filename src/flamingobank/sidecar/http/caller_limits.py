"""Keep the callers of one address within the memory and descriptors of the process."""

from collections.abc import Callable, Collection
from typing import TYPE_CHECKING

from flamingobank.core import Clock
from flamingobank.loop import Poller, Timers
from flamingobank.sidecar.decisions.memory_account import (
    SMALL_REQUEST_BYTES,
    STALLED_S,
    Holding,
    MemoryAccount,
    ShedReason,
    choose_largest,
    choose_stalled,
)

if TYPE_CHECKING:
    from flamingobank.sidecar.http.caller_connection import CallerConnection

# After a scan that found nothing to give up, the next one is made this much later.
SCAN_INTERVAL_S = 0.05
# Share of the connections that are closed at once for new ones.
CLOSED_SHARE = 0.0625


class CallerLimits:
    """Choose whom to refuse or cut off when the account or the descriptors are full."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        poller: Poller,
        connections: Collection["CallerConnection"],
        memory: MemoryAccount,
        max_descriptors: int | None,
        on_shed: Callable[[ShedReason], None],
        reserved_connections: int = 0,
    ) -> None:
        self.memory = memory
        self.on_shed = on_shed
        self._clock = clock
        self._timers = timers
        self._poller = poller
        self._connections = connections
        self._max_descriptors = max_descriptors
        # Up to so many connections are accepted whatever else is open.
        self._reserved_connections = reserved_connections
        self._next_scan_at = float("-inf")
        self._limits_later = False
        self._next_closing_at = float("-inf")

    def make_room(self, held_bytes: int) -> bool:
        """Give up what makes the least progress; return whether there is room now.

        `held_bytes` are those of the request that needs the room.
        """
        memory = self.memory
        now = self._clock.now()
        if now < self._next_scan_at:
            return memory.has_room(held_bytes)
        self._shed_bodies(now, ShedReason.BODY_STALLED)
        if memory.is_shared_full:
            self._reset_readers(now, stalled_only=True)
        # A large request that finds no room is refused itself.
        is_small = held_bytes <= SMALL_REQUEST_BYTES
        if is_small and memory.is_full:
            self._shed_bodies(now, ShedReason.BODY_LARGE)
        if is_small and memory.is_full:
            self._drop_held_answers(now)
        if is_small and memory.is_full:
            self._reset_readers(now, stalled_only=False)
        has_room = memory.has_room(held_bytes)
        if not has_room:
            self._next_scan_at = now + SCAN_INTERVAL_S
        return has_room

    def limit_held_later(self) -> None:
        """Make room for answers that wait, when none is being passed on."""
        if not self._limits_later:
            self._limits_later = True
            self._timers.call_soon(self._limit_held)

    def _limit_held(self) -> None:
        """Leave the reserve for small requests to them."""
        self._limits_later = False
        memory = self.memory
        now = self._clock.now()
        if now < self._next_scan_at:
            return
        if memory.is_shared_full:
            self._shed_bodies(now, ShedReason.BODY_STALLED)
        if memory.is_shared_full:
            self._reset_readers(now, stalled_only=True)
        if memory.is_shared_full:
            self._drop_held_answers(now)
        if memory.is_full:
            self._reset_readers(now, stalled_only=False)
        if memory.is_shared_full:
            self._next_scan_at = now + SCAN_INTERVAL_S

    def limit_output(self) -> None:
        """Cut off the slowest readers when all memory is taken."""
        now = self._clock.now()
        if not self.memory.is_full or now < self._next_scan_at:
            return
        self._shed_bodies(now, ShedReason.BODY_STALLED)
        if self.memory.is_full:
            self._reset_readers(now, stalled_only=True)
        if self.memory.is_full and self._holds_answers():
            # Output is being sent, which a replaced answer could come in between.
            self.limit_held_later()
            return
        if self.memory.is_full:
            self._reset_readers(now, stalled_only=False)
        if self.memory.is_full:
            self._next_scan_at = now + SCAN_INTERVAL_S

    def make_descriptor_room(self) -> bool:
        """Return whether a caller may be accepted, after closing unused connections."""
        if self._max_descriptors is None:
            return True
        if self._poller.count_descriptors() < self._max_descriptors:
            return True
        if len(self._connections) < self._reserved_connections:
            return True
        now = self._clock.now()
        if now >= self._next_closing_at:
            if self._close_some(now):
                return True
            self._next_closing_at = now + SCAN_INTERVAL_S
        self.on_shed(ShedReason.NO_DESCRIPTOR)
        return False

    def _close_some(self, now: float) -> bool:
        """Close connections without progress; return whether any was closed."""
        unused = []
        stalled = []
        for connection in self._connections:
            if connection.is_unused:
                unused.append(connection)
            elif now >= connection.stalled_since + STALLED_S:
                stalled.append(connection)
        # Those that never had a request come first, then those that wait for longest.
        unused.sort(key=lambda found: (found.served, found.waits_since))
        stalled.sort(key=lambda found: found.stalled_since)
        count = max(1, int(len(self._connections) * CLOSED_SHARE))
        closed = 0
        for connection in unused + stalled:
            if closed == count:
                break
            # A request may have arrived on a connection that was unused.
            if connection.give_up():
                self.on_shed(ShedReason.NO_DESCRIPTOR)
                closed += 1
        return closed > 0

    def _shed_bodies(self, now: float, reason: ShedReason) -> None:
        holdings = []
        for connection in self._connections:
            held_bytes = connection.incoming_bytes
            if held_bytes:
                holdings.append(Holding(connection, held_bytes, connection.progress_at))
        choose = choose_stalled
        if reason is ShedReason.BODY_LARGE:
            choose = choose_largest
        for connection in choose(holdings, self.memory.count_excess(), now):
            connection.refuse(reason)

    def _holds_answers(self) -> bool:
        return any(connection.held_output_bytes for connection in self._connections)

    def _drop_held_answers(self, now: float) -> None:
        holdings = []
        for connection in self._connections:
            held_bytes = connection.held_output_bytes
            if held_bytes:
                holdings.append(Holding(connection, held_bytes, now))
        for connection in choose_largest(holdings, self.memory.count_excess(), now):
            connection.drop_held_answers()

    def _reset_readers(self, now: float, stalled_only: bool) -> None:
        holdings = []
        for connection in self._connections:
            held_bytes = connection.queued_output_bytes
            if held_bytes:
                holdings.append(
                    Holding(connection, held_bytes, connection.output_since)
                )
        choose = choose_stalled if stalled_only else choose_largest
        for connection in choose(holdings, self.memory.count_excess(), now):
            self.on_shed(ShedReason.OUTPUT_UNREAD)
            connection.connection.reset("caller does not read its answer")
