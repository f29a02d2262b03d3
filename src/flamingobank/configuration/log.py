"""Apply deltas in order of revision and keep the recent ones for peers."""

import enum
from collections import deque
from dataclasses import replace

from flamingobank.configuration.messages import ConfigurationChange, Delta
from flamingobank.configuration.outcomes import (
    AlreadyApplied,
    DeltaApplied,
    Gap,
    Loading,
    Malformed,
    RevisionRegressed,
    SkippedChange,
    SkipReason,
)
from flamingobank.configuration.tables import PackedTables
from flamingobank.core import Invariant, Revision, check_invariant
from flamingobank.objects import ObjectKind

TOMBSTONE_RETENTION_S = 24 * 3600.0
# A day has 4,100 changes of about 1 KB each. After an absence that needs more deltas
# than are kept, a snapshot is cheaper.
MAX_DELTAS = 1024
MAX_DELTA_BYTES = 2_000_000
# Frames have at most 256 KiB; this leaves room for their headers.
MAX_ANSWER_BYTES = 200 * 1024
# Allowance per change for field keys, names and headers besides its texts.
CHANGE_OVERHEAD_BYTES = 32


class Unchanged(enum.Enum):
    """The result of checking a change that is already in force."""

    UNCHANGED = "unchanged"


UNCHANGED = Unchanged.UNCHANGED


def measure_delta(delta: Delta) -> int:
    """Return the approximate size of a delta on the wire in bytes."""
    size = CHANGE_OVERHEAD_BYTES
    for change in delta.changes:
        size += CHANGE_OVERHEAD_BYTES + len(change.name)
        for key, value in (change.spec or {}).items():
            size += len(key) + len(value) + 4
    return size


class ConfigurationLog:
    """Apply changes to the tables; no object goes back to a lower revision."""

    def __init__(self, tables: PackedTables) -> None:
        self.tables = tables
        self._revision = Revision(0)
        # True while a snapshot or a listing of the store replaces the tables.
        self.is_loading = False
        self._deltas: deque[tuple[Delta, int]] = deque()
        self._delta_bytes = 0
        self._tombstones: dict[tuple[ObjectKind, str], tuple[Revision, float]] = {}

    @property
    def revision(self) -> Revision:
        """Return the revision in force."""
        return self._revision

    def apply(
        self, delta: Delta, now: float
    ) -> DeltaApplied | AlreadyApplied | Gap | Loading | Malformed:
        """Apply a delta that covers the revision in force, or return why it cannot."""
        error = _find_error(delta)
        if error is not None:
            return Malformed(error)
        if delta.revision <= self._revision:
            return AlreadyApplied(delta.revision, self._revision)
        if self.is_loading:
            # The delta could restore an object that the snapshot has already deleted.
            return Loading(delta.revision)
        if delta.base_revision > self._revision:
            return Gap(delta.base_revision, self._revision)
        changes: list[ConfigurationChange] = []
        skipped: list[SkippedChange] = []
        for change in delta.changes:
            verdict = self._check_change(change, self._revision)
            if verdict is None:
                self._store(change, now)
                changes.append(change)
            elif isinstance(verdict, SkippedChange):
                skipped.append(verdict)
        self.advance(delta.revision)
        self._add_to_history(delta)
        return DeltaApplied(delta, tuple(changes), tuple(skipped))

    def apply_change(self, change: ConfigurationChange, now: float) -> bool:
        """Apply a single change; return False if the object is already as new."""
        if self._check_change(change, Revision(0)) is not None:
            return False
        self._store(change, now)
        return True

    def find_revision(self, kind: ObjectKind, name: str) -> Revision | None:
        """Return the revision of an object or of its deletion, or None if unknown."""
        held = self.tables.get(kind, name)
        if held is not None:
            return held.revision
        tombstone = self._tombstones.get((kind, name))
        return tombstone[0] if tombstone else None

    @property
    def has_tombstones(self) -> bool:
        """Tell whether any deletion is still recorded."""
        return bool(self._tombstones)

    def advance(self, revision: Revision) -> None:
        """Raise the revision in force."""
        check_invariant(
            Invariant.NO_REVERT,
            revision >= self._revision,
            seen=revision,
            known=self._revision,
        )
        self._revision = revision

    def check_source(self, source: str, revision: Revision) -> RevisionRegressed | None:
        """Return a RevisionRegressed if a source is behind the revision in force."""
        if revision >= self._revision:
            return None
        return RevisionRegressed(source, revision, self._revision)

    def merge_deltas_after(self, base: Revision) -> Delta | None:
        """Return the changes after a revision, or None if they need a snapshot."""
        if base >= self._revision:
            return Delta(self._revision, self._revision, ())
        merged: Delta | None = None
        size = 0
        for delta, delta_size in self._deltas:
            if delta.revision <= base:
                continue
            if merged is None:
                if delta.base_revision > base:
                    return None
                merged, size = delta, delta_size
                continue
            size += delta_size
            if size > MAX_ANSWER_BYTES:
                break
            merged = replace(
                merged,
                revision=delta.revision,
                changes=merged.changes + delta.changes,
            )
        return merged

    def drop_old_tombstones(self, now: float) -> None:
        """Drop tombstones so old that no node can still send the deleted object."""
        for key, (_, deleted_at) in list(self._tombstones.items()):
            if now - deleted_at >= TOMBSTONE_RETENTION_S:
                del self._tombstones[key]

    def finish_loading(self, revision: Revision) -> None:
        """Advance to a loaded revision and drop the kept deltas.

        No deltas connect them to the loaded revision.
        """
        self.is_loading = False
        self._deltas.clear()
        self._delta_bytes = 0
        self.advance(max(revision, self._revision))

    def _check_change(
        self, change: ConfigurationChange, applied: Revision
    ) -> SkippedChange | Unchanged | None:
        """Return None if a change must be applied, else why it is not applied."""
        known = self.find_revision(change.kind, change.name)
        if known is None:
            # A change up to the revision in force was already applied. If its object is
            # unknown, it was deleted so long ago that its tombstone was dropped.
            return UNCHANGED if change.revision <= applied else None
        if change.revision == known and self._is_same(change):
            return UNCHANGED
        if change.revision > known:
            return None
        reason = (
            SkipReason.CONFLICTING if change.revision >= known else SkipReason.OLDER
        )
        return SkippedChange(change.kind, change.name, reason, change.revision, known)

    def _store(self, change: ConfigurationChange, now: float) -> None:
        key = (change.kind, change.name)
        if change.spec is None:
            self.tables.delete(*key, change.revision)
            self._tombstones[key] = (change.revision, now)
            return
        self._tombstones.pop(key, None)
        self.tables.put(change)

    def _is_same(self, change: ConfigurationChange) -> bool:
        held = self.tables.get(change.kind, change.name)
        return change.spec is None if held is None else held == change

    def _add_to_history(self, delta: Delta) -> None:
        size = measure_delta(delta)
        self._deltas.append((delta, size))
        self._delta_bytes += size
        while len(self._deltas) > 1 and (
            len(self._deltas) > MAX_DELTAS or self._delta_bytes > MAX_DELTA_BYTES
        ):
            self._delta_bytes -= self._deltas.popleft()[1]


def _find_error(delta: Delta) -> str | None:
    if delta.revision < delta.base_revision:
        return f"revision {delta.revision} is below base {delta.base_revision}"
    for change in delta.changes:
        if not delta.base_revision < change.revision <= delta.revision:
            return (
                f"{change.kind.value} {change.name!r} has revision {change.revision}, "
                f"expected {delta.base_revision + 1} to {delta.revision}"
            )
    return None
