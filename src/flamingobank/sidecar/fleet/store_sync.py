"""Read the configuration and the peers from the platform's store.

Calls to the store are counted and charged, so only a few sidecars watch it; others get
changes from them. Each reading of the store is announced by gossip. When no sidecar has
read the store for a part of the time in which a change must be in force everywhere, the
watchers are taken to be cut off or gone, and a random choice of the others reads it.
"""

import random
from collections.abc import Callable

from expression import Result

from flamingobank.core import Clock, hash_text
from flamingobank.loop import Timers, estimate_arrival
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.fleet_store import (
    FleetStore,
    FleetStoreError,
    StoreEpoch,
    StorePosition,
    TableReading,
)
from flamingobank.sidecar.fleet.peers import PeerRecord, PeerTable
from flamingobank.sidecar.fleet.record_writer import SAVE_TIMEOUT_S, RecordWriter
from flamingobank.sidecar.fleet.routes import RoutingTable
from flamingobank.sidecar.metrics import SidecarMetrics

# Several watchers, so that one remains when some of them fail at the same time.
WATCHER_COUNT = 4
# A short timeout of a watch, so that a dead connection is detected soon. It is varied
# by WATCH_TIMEOUT_SPREAD, as watchers that started together would otherwise go on to
# read the store at the same time, and leave long gaps between their readings.
WATCH_TIMEOUT_S = 1.2
WATCH_TIMEOUT_SPREAD = 0.3
# A watch without a change ends at most this much before its requested time, which is
# sent in whole milliseconds.
WATCH_END_TOLERANCE_S = 0.005
# Other sidecars read the store when the newest reading is older than this share of the
# time in which a change must be in force. The rest of the time is for their reading and
# for the change to spread.
TAKEOVER_SHARE = 0.35
# Each sidecar decides at random whether to read, once in each interval of this length.
# The first time, TAKEOVER_READERS of the whole fleet are expected to do so. The number
# grows by TAKEOVER_GROWTH each time, since most of the fleet may be gone or cut off.
TAKEOVER_INTERVAL_S = 0.2
TAKEOVER_READERS = 8
TAKEOVER_GROWTH = 4
# A reading in place of the watchers or of a call that failed, or for a request that is
# refused meanwhile, only asks whether there was a change.
SHORT_WAIT_S = 0.02
# The least time from the last call to a reading for a request, as it may not help: a
# store that came back from a copy does not confirm a newer table.
MIN_READ_INTERVAL_S = 1.0
# A reading is announced to peers if the last announced one is older by this.
ANNOUNCE_INTERVAL_S = 0.3
# Watchers list the peers this often, to find sidecars that gossip does not reach.
LIST_INTERVAL_S = 10.0
CHECK_INTERVAL_S = 0.5
INITIAL_RETRY_DELAY_S = 0.25
MAX_RETRY_DELAY_S = 2.0


class StoreSync:
    """Read the routing table and the peers."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        rng: random.Random,
        event_log: EventLog,
        metrics: SidecarMetrics,
        store: FleetStore,
        peers: PeerTable,
        propagation_s: float,
    ) -> None:
        """Keep a change of the configuration within `propagation_s` of its writing."""
        self.on_table: Callable[[RoutingTable], None] = lambda table: None
        self.on_peers: Callable[[list[PeerRecord]], None] = lambda records: None
        # Called with the peers whose current records a listing lacks.
        self.on_unsaved_peers: Callable[[list[PeerRecord]], None] = lambda records: None
        # Called for a reading that peers should learn of, by this sidecar or another.
        self.on_newer_reading: Callable[[], None] = lambda: None
        # Called with a version and a time at which the store held it.
        self.on_confirmed: Callable[[int, float], None] = lambda version, at: None
        # Returns whether this process should read the store, however old the newest
        # reading in the fleet is.
        self.needs_reading: Callable[[], bool] = lambda: False
        self.stopping = False
        self._clock = clock
        self._timers = timers
        self._rng = rng
        self._event_log = event_log
        self._metrics = metrics
        self._store = store
        self._peers = peers
        self._position: StorePosition | None = None
        # The version at that position; None if it is not known.
        self._stored_version: int | None = None
        self._called_at = 0.0
        # How long the current call waits for a change.
        self._wait_s = 0.0
        self._takeover_age_s = TAKEOVER_SHARE * propagation_s
        self._newest_reading_at = -1e9
        self._announced_reading_at = -1e9
        # Decisions on a takeover since the newest reading or the last own attempt.
        self._takeover_decisions = 0
        self._call_pending = False
        self._store_available = True
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._retry_at = 0.0
        self._list_requested = False
        self._list_pending = False
        self._list_at = 0.0
        # The epoch of the store in which the peers were last listed, None before.
        self._listed_epoch: StoreEpoch | None = None
        self.record_writer = RecordWriter(
            clock, timers, rng, event_log, metrics, store, peers
        )
        # Processes that start together may list the records before the others have
        # written theirs. Of any two, the one that wrote later finds the other's record
        # by listing once more.
        self.record_writer.on_first_saved = self._list_peers
        self.record_writer.on_conflict = self._list_peers
        self._ranked_digest: int | None = None
        self._is_watcher = False

    @property
    def reading_age_s(self) -> float:
        """Return the age of the newest reading by any sidecar, as far as known."""
        return max(0.0, self._clock.now() - self._newest_reading_at)

    def start(self) -> None:
        """Read the peers and the table once, then follow changes."""
        # The record of an earlier process on this machine is read before it is
        # overwritten.
        self._list_peers()
        self._check()
        self._timers.call_every(CHECK_INTERVAL_S, self._check)
        self._schedule_takeover(self._clock.now() + self._takeover_age_s)

    def note_reading_age(self, reading_age_s: float) -> None:
        """Record the age of a reading by another sidecar."""
        self._note_reading(self._clock.now() - reading_age_s)

    def read_now(self) -> None:
        """Read the store, unless it has just been called or is not available."""
        now = self._clock.now()
        if self.stopping or self._call_pending or not self._store_available:
            return
        if now < self._called_at + MIN_READ_INTERVAL_S:
            return
        self._read(SHORT_WAIT_S)

    def is_watcher(self) -> bool:
        """Return whether this sidecar is one of those that watch the store."""
        # The digest changes with each record, so the rank is computed once for each
        # state of the table.
        if self._ranked_digest != self._peers.digest:
            self._ranked_digest = self._peers.digest
            local_hash = hash_text(self._peers.local_record.node)
            lower = [
                peer
                for peer in self._peers.list_peers()
                if hash_text(peer.node) < local_hash
            ]
            is_watcher = len(lower) < WATCHER_COUNT
            if is_watcher != self._is_watcher:
                self._is_watcher = is_watcher
                self._event_log.event("store:watcher", watching=is_watcher)
        return self._is_watcher

    def _check(self) -> None:
        now = self._clock.now()
        if self.stopping or now < self._retry_at:
            return
        if not self._list_requested or (now >= self._list_at and self.is_watcher()):
            self._list_peers()
        else:
            self.record_writer.save_if_needed()
        if self._position is None or self.is_watcher():
            self._read(self._choose_wait_s())

    def _choose_wait_s(self) -> float:
        if not self._store_available:
            # Changes that were missed meanwhile, and a restore, show at once.
            return SHORT_WAIT_S
        return WATCH_TIMEOUT_S * (
            1 + self._rng.uniform(-WATCH_TIMEOUT_SPREAD, WATCH_TIMEOUT_SPREAD)
        )

    def _read(self, wait_s: float) -> None:
        """Read the table, or wait for a change of the one that was read."""
        if self._call_pending:
            return
        self._call_pending = True
        self._called_at = self._clock.now()
        self._wait_s = wait_s
        if self._position is None:
            self._count("read")
            self._store.read_table(self._on_reading)
            return
        self._count("watch")
        self._store.await_table(self._position, wait_s, self._on_reading)

    def _note_reading(self, read_at: float) -> None:
        if read_at <= self._newest_reading_at:
            return
        self._newest_reading_at = read_at
        if read_at >= self._announced_reading_at + ANNOUNCE_INTERVAL_S:
            self._announced_reading_at = read_at
            self.on_newer_reading()

    def _schedule_takeover(self, earliest: float) -> None:
        # At a random time in the interval, so that one reading spares the others.
        decide_at = earliest + self._rng.uniform(0, TAKEOVER_INTERVAL_S)
        self._timers.call_at(decide_at, self._consider_takeover)

    def _consider_takeover(self) -> None:
        """Decide whether to read the store in place of the watchers."""
        now = self._clock.now()
        takeover_at = self._newest_reading_at + self._takeover_age_s
        if now < takeover_at and not self.needs_reading():
            self._takeover_decisions = 0
            self._schedule_takeover(takeover_at)
            return
        self._schedule_takeover(now + TAKEOVER_INTERVAL_S / 2)
        if self.stopping or self._call_pending or now < self._retry_at:
            return
        if self._rng.random() >= self._compute_takeover_probability():
            self._takeover_decisions += 1
            return
        self._takeover_decisions = 0
        self._event_log.event(
            "store:takeover", reading_age_s=round(self.reading_age_s, 2)
        )
        self._read(SHORT_WAIT_S)

    def _compute_takeover_probability(self) -> float:
        probability = TAKEOVER_READERS / (len(self._peers) + 1)
        if not self._store_available:
            # The last call of this process failed, so the store may be unavailable to
            # all, and more calls would not help.
            return probability
        return probability * TAKEOVER_GROWTH**self._takeover_decisions

    def _on_reading(self, result: Result[TableReading, FleetStoreError]) -> None:
        self._call_pending = False
        now = self._clock.now()
        if result.is_error():
            self._on_error(result.error, now)
            return
        self._on_success()
        reading = result.ok
        self._position = reading.position
        if reading.table is not None:
            self._stored_version = reading.table.version
            self.on_table(reading.table)
        self._confirm(reading, now)
        arrived_at = estimate_arrival(reading.arrived_after, now)
        self._note_reading(max(self._called_at, arrived_at))
        if self._listed_epoch not in (None, reading.position.epoch):
            # The restored store may lack records, and have those of former processes.
            self._list_peers()
        self._check()

    def _confirm(self, reading: TableReading, now: float) -> None:
        """Report when the store held the version that it was last read with."""
        if self._stored_version is None:
            return
        confirmed_at = self._called_at
        waited_until = self._called_at + self._wait_s - WATCH_END_TOLERANCE_S
        if reading.table is None and now >= waited_until:
            # The store waited for a change in vain, either for the whole time or until
            # it cut the watch off. How long its answer then was on the way, or waited
            # while this process was suspended, is unknown.
            waited_until = min(waited_until, reading.arrived_after)
            confirmed_at = max(confirmed_at, waited_until)
        self.on_confirmed(self._stored_version, confirmed_at)

    def _on_error(self, error: FleetStoreError, now: float) -> None:
        self._count_error(error)
        if error is FleetStoreError.CONNECTION_LOST:
            self._read(SHORT_WAIT_S)
            return
        if error in (FleetStoreError.HISTORY_GONE, FleetStoreError.MALFORMED):
            # The changes since the last position are unknown, so the next call reads
            # the current state.
            self._position = None
            self._stored_version = None
        if error is FleetStoreError.HISTORY_GONE:
            self._check()
            return
        if self._store_available:
            self._store_available = False
            self._event_log.event("store:lost", error=error.value)
        self._retry_at = now + self._retry_delay_s * self._rng.uniform(0.7, 1.3)
        self._retry_delay_s = min(MAX_RETRY_DELAY_S, self._retry_delay_s * 2)

    def _on_success(self) -> None:
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        if not self._store_available:
            self._store_available = True
            self._event_log.event("store:regained")

    def _list_peers(self) -> None:
        if self._list_pending:
            return
        self._list_pending = True
        self._list_requested = True
        self._list_at = self._clock.now() + LIST_INTERVAL_S
        self._count("list")
        self._store.list_peers(self._on_peers)

    def _on_peers(self, result: Result[list[PeerRecord], FleetStoreError]) -> None:
        self._list_pending = False
        if result.is_error():
            self._count_error(result.error)
            self._list_requested = False
            return
        is_first = self._listed_epoch is None
        self._listed_epoch = self._store.epoch
        self._list_at = self._clock.now() + LIST_INTERVAL_S
        self.on_peers(result.ok)
        # A restore brings back records of processes that have left, and nobody else
        # would retire them again.
        for record in result.ok:
            left_record = self._peers.find_left(record)
            if left_record is not None:
                self._retire(left_record)
        if not is_first:
            # At the start of a fleet, many have not written their records yet.
            self.on_unsaved_peers(self._peers.list_unsaved(result.ok))
        self.record_writer.allow_writes()

    def _retire(self, record: PeerRecord) -> None:
        """Retire the record of another process that has left."""
        if record.departures:
            self._count("save")
            self._store.save_peer(record, SAVE_TIMEOUT_S, self._on_retired)
            return
        self._count("remove")
        self._store.remove_peer(record, self._on_retired)

    def _on_retired(self, result: Result[None, FleetStoreError]) -> None:
        if result.is_error():
            self._count_error(result.error)

    def _count(self, operation: str) -> None:
        self._metrics.count("store_calls_total", operation=operation, outcome="sent")

    def _count_error(self, error: FleetStoreError) -> None:
        self._metrics.count("store_calls_total", operation="any", outcome=error.value)
