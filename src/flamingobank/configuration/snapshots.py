"""Copy the tables of a peer in ranges of key hashes."""

from typing import NamedTuple

from flamingobank.configuration.log import ConfigurationLog
from flamingobank.configuration.messages import ConfigurationChange, SnapshotChunk
from flamingobank.configuration.outcomes import Malformed, SnapshotLoaded
from flamingobank.configuration.packing import (
    KIND_CODES,
    hash_kind_code,
    unpack_fields,
    unpack_record,
)
from flamingobank.configuration.shards import MAX_KEY
from flamingobank.core import Revision
from flamingobank.objects import ObjectKind

# Building or loading a chunk blocks the event loop. A chunk of 200 KiB would take about
# 8 ms, more than the latency that the proxy may add to a request.
CHUNK_BYTES = 24 * 1024
MAX_CHUNK_BYTES = 200 * 1024
RECORD_OVERHEAD_BYTES = 5
BEFORE_FIRST_KEY = -1
WORKSPACE_CODE = KIND_CODES[ObjectKind.WORKSPACE]


def build_chunk(log: ConfigurationLog, after: int) -> SnapshotChunk:
    """Return the packed records that follow a key hash."""
    records: list[bytes] = []
    size = 0
    until = MAX_KEY
    previous = after
    for key, record in log.tables.read_range(after, MAX_KEY):
        size += len(record) + RECORD_OVERHEAD_BYTES
        # Records with the same key hash stay in one chunk, so that a range is complete.
        if records and size > CHUNK_BYTES and key != previous:
            until = previous
            break
        records.append(record)
        previous = key
    return SnapshotChunk(log.revision, after, until, tuple(records))


class _RecordItem(NamedTuple):
    key: int
    record: bytes
    # None for a workspace: its spec is not indexed, so it is not unpacked here.
    change: ConfigurationChange | None


def _read_record(record: bytes) -> _RecordItem:
    code, name, _, _ = unpack_fields(record)
    change = None if code == WORKSPACE_CODE else unpack_record(record)
    return _RecordItem(hash_kind_code(code, name), record, change)


class SnapshotLoader:
    """Make this node's tables equal to a peer's, range by range, while they are in use.

    Chunks may have different revisions: the tables then count as being at the lowest
    of them, and the deltas above it are pulled afterwards.
    """

    def __init__(self, log: ConfigurationLog) -> None:
        self._log = log
        log.is_loading = True
        self._after = BEFORE_FIRST_KEY
        self._lowest_revision: Revision | None = None
        self._records = 0

    @property
    def after(self) -> int:
        """Return the key hash up to which the tables have been loaded."""
        return self._after

    def load(
        self, chunk: SnapshotChunk, now: float
    ) -> SnapshotLoaded | Malformed | None:
        """Load the next chunk; return None while more chunks are needed."""
        if chunk.after != self._after or chunk.until <= chunk.after:
            return Malformed(
                f"chunk after {chunk.after} until {chunk.until}, "
                f"expected after {self._after}"
            )
        if chunk.revision < self._log.revision:
            return Malformed(
                f"snapshot of revision {chunk.revision}, "
                f"expected at least {self._log.revision}"
            )
        try:
            items = [_read_record(record) for record in chunk.records]
        except ValueError as error:
            return Malformed(str(error))
        if any(not chunk.after < item.key <= chunk.until for item in items):
            return Malformed("a record is outside the key range of its chunk")
        self._replace_range(chunk, items, now)
        return self._finish(chunk)

    def _replace_range(
        self, chunk: SnapshotChunk, items: list[_RecordItem], now: float
    ) -> None:
        local = [
            unpack_record(record)
            for _, record in self._log.tables.read_range(chunk.after, chunk.until)
        ]
        if local or self._log.has_tombstones:
            self._merge_range(chunk, local, items, now)
        else:
            # There is nothing to merge with; the packed records are stored unchanged.
            self._log.tables.load(items)
        self._records += len(items)

    def _merge_range(
        self,
        chunk: SnapshotChunk,
        local: list[ConfigurationChange],
        items: list[_RecordItem],
        now: float,
    ) -> None:
        changes = [item.change or unpack_record(item.record) for item in items]
        present = {(change.kind, change.name) for change in changes}
        for held in local:
            # Keep objects that a delta or an earlier pull brought after the snapshot.
            if (held.kind, held.name) in present or held.revision >= chunk.revision:
                continue
            deletion = ConfigurationChange(held.kind, held.name, chunk.revision, None)
            self._log.apply_change(deletion, now)
        for change in changes:
            self._log.apply_change(change, now)

    def _finish(self, chunk: SnapshotChunk) -> SnapshotLoaded | None:
        lowest = self._lowest_revision
        self._lowest_revision = (
            chunk.revision if lowest is None else min(lowest, chunk.revision)
        )
        self._after = chunk.until
        self._log.tables.trim(chunk.after, chunk.until)
        if chunk.until < MAX_KEY:
            return None
        self._log.finish_loading(self._lowest_revision)
        return SnapshotLoaded(self._log.revision, self._records)
