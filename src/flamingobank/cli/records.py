"""Describe a change and the audit object that records it."""

import datetime
from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

from flamingobank.audit import AuditEntry, format_hour
from flamingobank.store import (
    BlockingStore,
    StoredObject,
    StoreError,
    StoreErrorKind,
)

STARTED = "started"


@dataclass(frozen=True, slots=True)
class PlannedChange:
    """Describe one write to an object.

    The write succeeds only if the object still has the revision of ``before``, or
    does not exist if ``before`` is None.
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


def make_write_id(now: datetime.datetime, suffix: str) -> str:
    """Return an id that starts with the time, so that lists are in order of time."""
    return f"{now:%Y%m%dT%H%M%S.%f}Z-{suffix}"


def make_audit_entry(
    change: PlannedChange, write_id: str, who: str, now: datetime.datetime
) -> AuditEntry:
    """Return the audit entry of a change that is about to be made."""
    lines = describe_difference(get_spec(change.before), change.spec)
    return AuditEntry(
        entry_id=write_id,
        who=who,
        what=f"{change.action} {change.title}",
        when_ms=int(now.timestamp() * 1000),
        from_value="; ".join(line[1:] for line in lines if line.startswith("-")),
        to_value="; ".join(line[1:] for line in lines if line.startswith("+")),
        result=STARTED,
        evidence=change.reason,
    )


def make_audit_object_name(entry: AuditEntry) -> str:
    """Return a name that sorts by time together with the names of nodes' batches."""
    hour = format_hour(entry.when_ms / 1000)
    return f"{hour}/{entry.who}/{entry.entry_id}"


def make_audit_spec(entry: AuditEntry) -> dict[str, object]:
    """Return the audit object that holds one entry."""
    return {"entries": [entry.to_json()]}


def format_time(now: datetime.datetime) -> str:
    """Return the time in ISO format with milliseconds."""
    return now.isoformat(timespec="milliseconds")


def get_spec(item: StoredObject | None) -> Mapping[str, object] | None:
    """Return the spec of an object, or None if there is no object."""
    return None if item is None else item.spec


def describe_difference(
    before: Mapping[str, object] | None, after: Mapping[str, object] | None
) -> list[str]:
    """Return lines with the old (-) and new (+) value of each key that differs."""
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


def read_current(
    store: BlockingStore, kind: str, name: str
) -> Result[StoredObject | None, StoreError]:
    """Return the object, or None when it does not exist."""
    found = store.get(kind, name)
    if found.is_ok():
        return Ok(found.ok)
    if found.error.kind is StoreErrorKind.NOT_FOUND:
        return Ok(None)
    return Error(found.error)
