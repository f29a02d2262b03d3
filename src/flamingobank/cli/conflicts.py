"""Find out who changed an object and whether an unanswered write took effect."""

from collections.abc import Mapping, Sequence

from flamingobank.cli.object_history import (
    HistoryEntry,
    find_revisions,
    read_history,
)
from flamingobank.cli.records import (
    PlannedChange,
    describe_difference,
)
from flamingobank.store import BlockingStore, StoredObject


def find_write_effect(
    change: PlannedChange,
    write_id: str,
    current: StoredObject | None,
    entries: Sequence[HistoryEntry],
) -> tuple[str, int] | None:
    """Find out whether a write whose answer was lost took effect.

    Return a text about the later change of the object, empty if there is none, and
    the revision of the write, 0 if only the fact of a deletion is known. Return None
    if no effect is known.
    """
    if current is not None and current.write_id == write_id:
        return "", current.revision
    for entry in entries:
        if entry.replaced_write_id == write_id:
            detail = f"replaced since by {entry.who} at {entry.when}"
            return detail, entry.replaced_revision
    if change.spec is not None:
        return None
    if current is None:
        return "", 0
    revisions = find_revisions(entries, current)
    for entry in entries:
        is_new = entry.spec is not None and not entry.replaced_write_id
        if is_new and entry.write_id > write_id and entry.write_id in revisions:
            return f"created again since by {entry.who} at {entry.when}", 0
    return None


def find_spec_at(
    store: BlockingStore, change: PlannedChange, revision: int
) -> Mapping[str, object] | None:
    """Return the spec that an object had at a store revision, None if unknown."""
    entries = read_history(store, change.kind, change.name).default_value([])
    revisions = find_revisions(entries, change.before)
    known_entries = [
        entry
        for entry in entries
        if entry.write_id in revisions and revisions[entry.write_id] <= revision
    ]
    latest = max(
        known_entries, key=lambda entry: revisions[entry.write_id], default=None
    )
    return None if latest is None else latest.spec


def describe_conflict(
    store: BlockingStore,
    change: PlannedChange,
    current: StoredObject | None,
    known_spec: Mapping[str, object] | None,
) -> str:
    """Return who changed the object, when, and how it differs from the known spec."""
    if current is None:
        who = _describe_deleter(store, change)
        return f"{change.title} was deleted by {who}; your change was not made"
    what = "; ".join(describe_difference(known_spec, current.spec)) or "no key differs"
    who = f"an unknown writer (write id {current.write_id}, no history entry)"
    entries = read_history(store, change.kind, change.name).default_value([])
    for entry in entries:
        if entry.write_id == current.write_id:
            who = f"{entry.who} at {entry.when}"
    return (
        f"{change.title} was changed by {who} to revision {current.revision} ({what}); "
        "your change was not made"
    )


def _describe_deleter(store: BlockingStore, change: PlannedChange) -> str:
    entries = read_history(store, change.kind, change.name).default_value([])
    for entry in reversed(entries):
        if entry.spec is None:
            return f"{entry.who} at {entry.when}"
    return "an unknown writer (no history entry)"
