"""Store all attempts to change an object in one history object.

A single object is read with one call. If each change had a history object of its own,
it would have to be found among those of all objects, which grow by 4,100 a day.
"""

import datetime
import json
from collections.abc import Iterable, Mapping
from dataclasses import asdict, dataclass

from expression import Error, Ok, Result

from flamingobank.cli.records import PlannedChange, format_time, read_current
from flamingobank.store import (
    BlockingStore,
    StoredObject,
    StoreError,
    StoreErrorKind,
)

HISTORY_KIND = "history"
MAX_HISTORY_ENTRIES = 100
# The store accepts values of up to 1 MB.
MAX_HISTORY_BYTES = 500_000
# An append starts again when another operator adds an entry at the same time.
MAX_APPEND_ATTEMPTS = 5


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Hold one attempt to change an object, with the content that it wrote."""

    write_id: str
    who: str
    when: str
    action: str
    spec: Mapping[str, str] | None
    replaced_revision: int = 0
    replaced_write_id: str = ""


def make_history_entry(
    change: PlannedChange, write_id: str, who: str, now: datetime.datetime
) -> HistoryEntry:
    """Return the entry of a change that is about to be made."""
    before = change.before
    return HistoryEntry(
        write_id=write_id,
        who=who,
        when=format_time(now),
        action=change.action,
        spec=None if change.spec is None else dict(change.spec),
        replaced_revision=0 if before is None else before.revision,
        replaced_write_id="" if before is None else before.write_id,
    )


def append_history_entry(
    store: BlockingStore, kind: str, name: str, entry: HistoryEntry
) -> Result[None, StoreError]:
    """Add an entry and drop the oldest entries that exceed the limits."""
    for _ in range(MAX_APPEND_ATTEMPTS):
        stored_history = read_current(store, HISTORY_KIND, f"{kind}/{name}")
        if stored_history.is_error():
            return Error(stored_history.error)
        # Entries written by a newer version are kept unchanged.
        spec = {
            "entries": _drop_oldest([*_get_entries(stored_history.ok), asdict(entry)])
        }
        revision = None if stored_history.ok is None else stored_history.ok.revision
        written = store.put(
            HISTORY_KIND, f"{kind}/{name}", spec, revision, entry.write_id
        )
        if written.is_ok():
            return Ok(None)
        if written.error.kind is not StoreErrorKind.CONFLICT:
            return Error(written.error)
    return Error(written.error)


def read_history(
    store: BlockingStore, kind: str, name: str
) -> Result[list[HistoryEntry], StoreError]:
    """Return the attempts to change an object, oldest first."""
    return read_current(store, HISTORY_KIND, f"{kind}/{name}").map(_parse_entries)


def find_revisions(
    entries: Iterable[HistoryEntry], current: StoredObject | None
) -> dict[str, int]:
    """Return the revision of each write that is known to have taken effect.

    A write took effect when the object carries its id, or when a later write
    replaced it.
    """
    revisions = {
        entry.replaced_write_id: entry.replaced_revision
        for entry in entries
        if entry.replaced_write_id
    }
    if current is not None:
        revisions[current.write_id] = current.revision
    return revisions


def _get_entries(stored_history: StoredObject | None) -> list[object]:
    entries = [] if stored_history is None else stored_history.spec.get("entries")
    return entries if isinstance(entries, list) else []


def _parse_entries(stored_history: StoredObject | None) -> list[HistoryEntry]:
    parsed = [_parse_entry(value) for value in _get_entries(stored_history)]
    return [entry for entry in parsed if entry is not None]


def _parse_entry(value: object) -> HistoryEntry | None:
    """Return an entry, or None when a field is missing or has another type."""
    if not isinstance(value, dict):
        return None
    names = ("write_id", "who", "when", "action", "replaced_write_id")
    texts = [value.get(name) for name in names]
    spec, revision = value.get("spec"), value.get("replaced_revision")
    if not all(isinstance(text, str) for text in texts):
        return None
    if not isinstance(spec, dict | None) or type(revision) is not int:
        return None
    write_id, who, when, action, replaced_write_id = texts
    return HistoryEntry(write_id, who, when, action, spec, revision, replaced_write_id)


def _drop_oldest(entries: list[object]) -> list[object]:
    entries = entries[-MAX_HISTORY_ENTRIES:]
    sizes = [len(json.dumps(entry)) for entry in entries]
    while len(entries) > 1 and sum(sizes) > MAX_HISTORY_BYTES:
        entries.pop(0)
        sizes.pop(0)
    return entries
