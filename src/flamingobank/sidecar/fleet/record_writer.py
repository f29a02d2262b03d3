"""Write the record of this process to the store.

The record lists the departures of servers that this home confirms. A later process on
the machine reads it there, so a departure is confirmed only once the store has it.
Writes follow one another, and each replaces only the record that was read or written
before, as a write without an answer may take effect after a later one.
"""

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from expression import Result

from flamingobank.core import Clock, InstanceId
from flamingobank.loop import Timers
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.fleet_store import (
    FleetStore,
    FleetStoreError,
    StoreEpoch,
)
from flamingobank.sidecar.fleet.peers import PeerRecord, PeerTable
from flamingobank.sidecar.metrics import SidecarMetrics

SAVE_TIMEOUT_S = 0.5
# A server waits one second for the answer to its notice.
CONFIRM_TIMEOUT_S = 0.8
RETRY_DELAY_S = 0.15
# Several watchers may report the record as missing from the store while it is being
# written. Reports are ignored this long after a write.
MIN_SAVE_AGAIN_INTERVAL_S = 2.0
# A restored store lacks the records of many processes, which write them at random times
# within this span.
SAVE_AGAIN_SPREAD_S = 0.3


@dataclass(eq=False, slots=True)
class PendingDepartures:
    """Departures whose writing is awaited."""

    departures: frozenset[tuple[InstanceId, int]]
    on_done: Callable[[bool], None]


class RecordWriter:
    """Keep the local record in the store, one call at a time."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        rng: random.Random,
        event_log: EventLog,
        metrics: SidecarMetrics,
        store: FleetStore,
        peers: PeerTable,
    ) -> None:
        # Called when this process has written its record for the first time.
        self.on_first_saved: Callable[[], None] = lambda: None
        # Called when the store has another record of this node than the one that was
        # read. It may list departures, so it is read before it is overwritten.
        self.on_conflict: Callable[[], None] = lambda: None
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._event_log = event_log
        self._metrics = metrics
        self._store = store
        self._peers = peers
        self._may_write = False
        self._in_flight = False
        self._stopping = False
        self._retire_pending = False
        # The newest record that the store has confirmed, in the epoch of its writing;
        # None if it is to be written again.
        self._saved: PeerRecord | None = None
        self._saved_epoch: StoreEpoch | None = None
        self._saved_at: float | None = None
        self._pending: list[PendingDepartures] = []

    def allow_writes(self) -> None:
        """Write from now on: what the store has of this node has been read."""
        self._may_write = True
        self._write_next()

    def save_if_needed(self) -> None:
        """Write the record unless the store has it in its current epoch."""
        self._write_next()

    def save_again(self) -> None:
        """Write the record, which a peer did not find in the store."""
        now = self._clock.now()
        # Before the first write there is nothing to repeat.
        if self._saved_at is None or now < self._saved_at + MIN_SAVE_AGAIN_INTERVAL_S:
            return
        self._saved = None
        self._timers.call_at(
            now + self._rng.uniform(0, SAVE_AGAIN_SPREAD_S), self._write_next
        )

    def save_departures(self, on_done: Callable[[bool], None]) -> None:
        """Write the departures of the local record.

        `on_done` is called once, within CONFIRM_TIMEOUT_S, with whether the store has
        them. If it has not, they are written when it is available again.
        """
        pending = PendingDepartures(
            frozenset(self._peers.local_record.departures), on_done
        )
        if self._holds(pending.departures):
            on_done(True)
            return
        self._pending.append(pending)
        self._timers.call_at(
            self._clock.now() + CONFIRM_TIMEOUT_S, lambda: self._give_up(pending)
        )
        self._write_next()

    def retire(self) -> None:
        """Remove the record from the store, as this process stops.

        A record with departures is kept and marked as left, for the next process.
        """
        self._stopping = True
        self._retire_pending = True
        self._write_next()

    def _holds(self, departures: Iterable[tuple[InstanceId, int]]) -> bool:
        """Return whether the store has the record of this process, with departures."""
        return (
            self._saved is not None
            and self._saved_epoch == self._store.epoch
            and set(departures) <= set(self._saved.departures)
        )

    def _give_up(self, pending: PendingDepartures) -> None:
        if pending in self._pending:
            self._pending.remove(pending)
            pending.on_done(False)

    def _needs_write(self) -> bool:
        if self._pending:
            return True
        if self._stopping:
            return False
        return not self._holds(self._peers.local_record.departures)

    def _write_next(self) -> None:
        if self._in_flight or not self._may_write:
            return
        record = self._peers.local_record
        if self._retire_pending:
            self._retire_pending = False
            if not record.departures:
                self._in_flight = True
                self._count("remove")
                self._store.remove_peer(record, self._on_removed)
                return
        elif not self._needs_write():
            return
        self._in_flight = True
        self._count("save")
        self._store.save_peer(
            record, SAVE_TIMEOUT_S, lambda result: self._on_saved(record, result)
        )

    def _on_saved(
        self, record: PeerRecord, result: Result[None, FleetStoreError]
    ) -> None:
        self._in_flight = False
        if result.is_error():
            self._count_error(result.error)
            self._saved = None
            retry_at = self._clock.now() + RETRY_DELAY_S
            if result.error is FleetStoreError.CONFLICT:
                self._may_write = False
                self._timers.call_at(retry_at, lambda: self.on_conflict())
            elif self._pending:
                self._timers.call_at(retry_at, self._write_next)
            return
        is_first = self._saved_at is None
        self._saved = record
        self._saved_epoch = self._store.epoch
        self._saved_at = self._clock.now()
        self._event_log.event(
            "store:record-saved",
            epoch=self._saved_epoch,
            departures=len(record.departures),
        )
        saved = [
            pending for pending in self._pending if self._holds(pending.departures)
        ]
        self._pending = [pending for pending in self._pending if pending not in saved]
        for pending in saved:
            pending.on_done(True)
        if is_first:
            self.on_first_saved()
        self._write_next()

    def _on_removed(self, result: Result[None, FleetStoreError]) -> None:
        self._in_flight = False
        if result.is_error():
            self._count_error(result.error)
        self._write_next()

    def _count(self, operation: str) -> None:
        self._metrics.count("store_calls_total", operation=operation, outcome="sent")

    def _count_error(self, error: FleetStoreError) -> None:
        self._metrics.count("store_calls_total", operation="any", outcome=error.value)
