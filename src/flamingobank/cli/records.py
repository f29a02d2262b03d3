"""Describe the history and audit objects that go with each change."""

import datetime
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from flamingobank.cli.objects_api import (
    ObjectsApi,
    ProblemKind,
    StoredObject,
    StoreProblem,
    list_all,
)

AUDIT_KIND = "audit"
HISTORY_KIND = "history"
STARTED = "started"


@dataclass(frozen=True, slots=True)
class Change:
    """Describe one write to an object.

    The object must have the revision of ``before``, or must not exist without it.
    """

    action: str
    kind: str
    name: str
    # None deletes the object.
    spec: Mapping[str, str] | None
    before: StoredObject | None
    reason: str = ""

    @property
    def title(self) -> str:
        """Return the kind and name."""
        return f"{self.kind} {self.name}"


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """Hold one attempt to change an object, with the content that it wrote."""

    write_id: str
    who: str
    when: str
    action: str
    spec: Mapping[str, str] | None
    replaced_revision: int
    replaced_write_id: str


def make_write_id(now: datetime.datetime, suffix: str) -> str:
    """Return an id that sorts by time, so that lists are in order of time."""
    return f"{now:%Y%m%dT%H%M%S.%f}Z-{suffix}"


def make_audit_spec(
    change: Change, who: str, now: datetime.datetime, outcome: str = STARTED
) -> dict[str, object]:
    """Return the audit object of a change."""
    return {
        "who": who,
        "when": now.isoformat(timespec="milliseconds"),
        "action": change.action,
        "kind": change.kind,
        "name": change.name,
        "changes": describe_difference(get_spec(change.before), change.spec),
        "reason": change.reason,
        "outcome": outcome,
    }


def make_history_spec(
    change: Change, who: str, now: datetime.datetime
) -> dict[str, object]:
    """Return the history object of a change."""
    before = change.before
    return {
        "who": who,
        "when": now.isoformat(timespec="milliseconds"),
        "action": change.action,
        "spec": None if change.spec is None else dict(change.spec),
        "replaced_revision": 0 if before is None else before.revision,
        "replaced_write_id": "" if before is None else before.write_id,
    }


def get_spec(item: StoredObject | None) -> Mapping[str, object] | None:
    """Return the spec of an object that may not exist."""
    return None if item is None else item.spec


def describe_difference(
    before: Mapping[str, object] | None, after: Mapping[str, object] | None
) -> list[str]:
    """Return one line for each key that differs, -old then +new."""
    before = before or {}
    after = after or {}
    lines = []
    for key in sorted({*before, *after}):
        if before.get(key) == after.get(key):
            continue
        if key in before:
            lines.append(f"-{key} = {before[key]}")
        if key in after:
            lines.append(f"+{key} = {after[key]}")
    return lines


def read_history(
    store: ObjectsApi, kind: str, name: str
) -> Result[list[HistoryEntry], StoreProblem]:
    """Return the attempts to change an object, oldest first."""
    page = list_all(store, HISTORY_KIND, prefix=f"{kind}/{name}/")
    if page.is_error():
        return Error(page.error)
    return Ok([_parse_history(item) for item in page.ok.items])


def read_current(
    store: ObjectsApi, kind: str, name: str
) -> Result[StoredObject | None, StoreProblem]:
    """Return the object, or None when it does not exist."""
    found = store.get(kind, name)
    if found.is_ok():
        return Ok(found.ok)
    if found.error.kind is ProblemKind.NOT_FOUND:
        return Ok(None)
    return Error(found.error)


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


def _parse_history(item: StoredObject) -> HistoryEntry:
    spec = item.spec
    return HistoryEntry(
        write_id=item.name.rpartition("/")[2],
        who=str(spec.get("who", "")),
        when=str(spec.get("when", "")),
        action=str(spec.get("action", "")),
        spec=spec.get("spec"),
        replaced_revision=int(spec.get("replaced_revision", 0)),
        replaced_write_id=str(spec.get("replaced_write_id", "")),
    )
