"""Copy the tables of a peer by ranges of key hashes."""

from flamingobank.configuration.log import ConfigurationLog
from flamingobank.configuration.messages import Change, SnapshotChunk
from flamingobank.configuration.outcomes import Malformed, SnapshotLoaded
from flamingobank.configuration.packing import hash_key, unpack_record
from flamingobank.configuration.shards import MAX_KEY
from flamingobank.core import Revision

# Building and loading a chunk blocks the loop; 200 KiB would take about 15 ms, three
# times the latency that a request may gain.
CHUNK_BYTES = 24 * 1024
MAX_CHUNK_BYTES = 200 * 1024
RECORD_HEAD_BYTES = 5
START = -1


def build_chunk(log: ConfigurationLog, after: int) -> SnapshotChunk:
    """Return the packed records that follow a key hash."""
    records: list[bytes] = []
    size = 0
    until = MAX_KEY
    previous = after
    for key, record in log.tables.read_range(after, MAX_KEY):
        size += len(record) + RECORD_HEAD_BYTES
        # Records of one key hash stay together, so that a range has all of them.
        if records and size > CHUNK_BYTES and key != previous:
            until = previous
            break
        records.append(record)
        previous = key
    return SnapshotChunk(log.revision, after, until, tuple(records))


class SnapshotLoader:
    """Make the own tables equal to a peer's, range by range, while in use.

    Chunks of different revisions are safe: the result counts as the lowest of them,
    and the deltas above it are pulled afterwards.
    """

    def __init__(self, log: ConfigurationLog) -> None:
        self._log = log
        log.is_loading = True
        self._after = START
        self._lowest: Revision | None = None
        self._records = 0

    @property
    def after(self) -> int:
        """Return the key hash up to which the tables are loaded."""
        return self._after

    def load(
        self, chunk: SnapshotChunk, now: float
    ) -> SnapshotLoaded | Malformed | None:
        """Take the next chunk; None while more are needed."""
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
            changes = [unpack_record(record) for record in chunk.records]
        except ValueError as error:
            return Malformed(str(error))
        keys = [hash_key(change.kind, change.name) for change in changes]
        if any(not chunk.after < key <= chunk.until for key in keys):
            return Malformed("a record lies outside the range of its chunk")
        self._replace_range(chunk, changes, now)
        return self._finish(chunk)

    def _replace_range(
        self, chunk: SnapshotChunk, changes: list[Change], now: float
    ) -> None:
        present = {(change.kind, change.name) for change in changes}
        gone: list[Change] = []
        for _, record in self._log.tables.read_range(chunk.after, chunk.until):
            held = unpack_record(record)
            if (held.kind, held.name) not in present:
                gone.append(held)
        for held in gone:
            # Newer than the snapshot: a delta or an earlier pull brought it.
            if held.revision < chunk.revision:
                deletion = Change(held.kind, held.name, chunk.revision, None)
                self._log.apply_change(deletion, now)
        for change in changes:
            self._log.apply_change(change, now)
        self._records += len(changes)

    def _finish(self, chunk: SnapshotChunk) -> SnapshotLoaded | None:
        lowest = self._lowest
        self._lowest = chunk.revision if lowest is None else min(lowest, chunk.revision)
        self._after = chunk.until
        if chunk.until < MAX_KEY:
            return None
        self._log.finish_loading(self._lowest)
        return SnapshotLoaded(self._log.revision, self._records)
