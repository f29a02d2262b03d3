"""Write audit entries to the store in batches that never change.

A batch keeps its name, its entries and its write id until the store has confirmed
it, so a lost answer does not double an entry.
"""

import json
import random
from collections import deque
from dataclasses import dataclass
from datetime import UTC, datetime

from expression import Result

from flamingobank.audit.entries import AuditEntry
from flamingobank.core import Clock
from flamingobank.store import Backoff, Spec, StoreError, StoreErrorKind, Written

AUDIT_KIND = "audit"
# About 20,000 entries a day from 3,700 nodes cause at most 0.2 writes per second.
FLUSH_INTERVAL_S = 5.0
RETRY_BASE_S = 1.0
RETRY_MAX_S = 60.0
# Half of the store's limit, because JSON escapes can lengthen a batch.
MAX_BATCH_BYTES = 500_000
MAX_BUFFERED_ENTRIES = 4096
MAX_BUFFERED_BYTES = 2_000_000
DROPPED_ENTRIES_WHAT = "audit entries dropped"


@dataclass(frozen=True, slots=True)
class AuditBatch:
    """Describe one audit object that is to be created."""

    name: str
    write_id: str
    spec: Spec


class AuditTrail:
    """Buffer entries and return batches to write; ``now`` is monotonic, in seconds.

    ``writer`` is unique for each start of a node and holds only letters, digits,
    dots and dashes.
    """

    def __init__(self, writer: str, clock: Clock, rng: random.Random) -> None:
        self.dropped = 0
        self._writer = writer
        self._clock = clock
        self._backoff = Backoff(rng, RETRY_BASE_S, RETRY_MAX_S)
        self._buffer: deque[tuple[dict, int]] = deque()
        self._buffered_bytes = 0
        self._batch: AuditBatch | None = None
        self._write_pending = False
        self._sequence = 0
        self._next_write_at = 0.0
        self._unreported_drops = 0

    def __len__(self) -> int:
        """Return the number of entries that the store has not confirmed."""
        entries_in_batch = 0
        if self._batch is not None:
            entries_in_batch = len(self._batch.spec["entries"])
        return len(self._buffer) + entries_in_batch

    def new_entry_id(self) -> str:
        """Return an id that no other entry has."""
        self._sequence += 1
        return f"{self._writer}-{self._sequence}"

    def add(self, entry: AuditEntry) -> None:
        """Buffer an entry until it is written; drop the oldest above the limits."""
        value = entry.to_json()
        size = len(json.dumps(value))
        if not self._buffer and self._batch is None:
            self._next_write_at = max(
                self._next_write_at, self._clock.now() + FLUSH_INTERVAL_S
            )
        self._buffer.append((value, size))
        self._buffered_bytes += size
        while self._is_over_limit():
            _, dropped_bytes = self._buffer.popleft()
            self._buffered_bytes -= dropped_bytes
            self.dropped += 1
            self._unreported_drops += 1

    def tick(self, now: float, wall_s: float) -> AuditBatch | None:
        """Return the batch to create now, if there is one."""
        if self._write_pending or now < self._next_write_at:
            return None
        if self._batch is None and self._buffer:
            self._batch = self._make_batch(wall_s)
        self._write_pending = self._batch is not None
        return self._batch

    def on_written(self, result: Result[Written, StoreError], now: float) -> None:
        """Finish the batch if the store has it, or schedule the next attempt."""
        self._write_pending = False
        if result.is_ok() or self._is_own_write(result.error):
            self._batch = None
            self._backoff.reset()
            self._next_write_at = now + FLUSH_INTERVAL_S
            return
        self._next_write_at = now + RETRY_BASE_S + self._backoff.get_delay()
        if result.error.kind is StoreErrorKind.CONFLICT:
            # Another object has this name. Audit objects are never replaced, so the
            # batch is not in the store under this name and can get another one.
            self._batch = AuditBatch(
                f"{self._batch.name}-1", self._batch.write_id, self._batch.spec
            )

    def _is_own_write(self, error: StoreError) -> bool:
        current = error.current
        return current is not None and current.write_id == self._batch.write_id

    def _is_over_limit(self) -> bool:
        if len(self._buffer) > MAX_BUFFERED_ENTRIES:
            return True
        return self._buffered_bytes > MAX_BUFFERED_BYTES

    def _make_batch(self, wall_s: float) -> AuditBatch:
        self._sequence += 1
        write_id = f"{self._writer}-{self._sequence}"
        entries = []
        if self._unreported_drops:
            entries.append(self._make_drop_entry(write_id, wall_s))
        size = 0
        while self._buffer and size + self._buffer[0][1] <= MAX_BATCH_BYTES:
            value, value_bytes = self._buffer.popleft()
            entries.append(value)
            size += value_bytes
        self._buffered_bytes -= size
        name = f"{format_hour(wall_s)}/{self._writer}/{self._sequence:08d}"
        return AuditBatch(name, write_id, {"entries": entries})

    def _make_drop_entry(self, entry_id: str, wall_s: float) -> dict[str, object]:
        count = str(self._unreported_drops)
        self._unreported_drops = 0
        entry = AuditEntry(
            entry_id,
            self._writer,
            DROPPED_ENTRIES_WHAT,
            int(wall_s * 1000),
            "",
            count,
            "dropped",
        )
        return entry.to_json()


def format_hour(wall_s: float) -> str:
    """Return the UTC hour with which the names of batches made in it start."""
    return datetime.fromtimestamp(wall_s, UTC).strftime("%Y-%m-%dT%H")


def is_expired(name: str, wall_s: float, retention_s: float) -> bool:
    """Tell by its name whether a batch is older than the retention."""
    return name[:13] < format_hour(wall_s - retention_s)
