"""Store objects with their revisions, their previous versions and recent changes."""

import bisect
from collections import deque
from dataclasses import dataclass

CONFIGURATION_KINDS = ("route", "service", "workspace")
KINDS = (*CONFIGURATION_KINDS, "audit", "history", "key", "lease")

ObjectKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of an object."""

    kind: str
    name: str
    revision: int
    write_id: str
    spec: dict[str, object]

    def to_json(self) -> dict[str, object]:
        """Return the JSON form of the object in responses."""
        return {
            "kind": self.kind,
            "name": self.name,
            "revision": self.revision,
            "write_id": self.write_id,
            "spec": self.spec,
        }


@dataclass(frozen=True, slots=True)
class StoredChange:
    """One change of a configuration object; its spec is None if it was deleted."""

    kind: str
    name: str
    revision: int
    spec: dict[str, object] | None

    def to_json(self) -> dict[str, object]:
        """Return the JSON form of the change in watch responses."""
        return {
            "kind": self.kind,
            "name": self.name,
            "revision": self.revision,
            "spec": self.spec,
        }


class ObjectTable:
    """Objects of the store; each write and each deletion gets the next revision."""

    def __init__(self, history_limit: int = 10_000) -> None:
        self.revision = 0
        # Changes up to and including this revision are no longer kept.
        self.compacted_revision = 0
        self._history_limit = history_limit
        self._objects: dict[ObjectKey, StoredObject] = {}
        self._previous: dict[ObjectKey, StoredObject] = {}
        self._names: dict[str, list[str]] = {kind: [] for kind in KINDS}
        self._changes: deque[StoredChange] = deque()

    def __len__(self) -> int:
        return len(self._objects)

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return the current version, or None if the object does not exist."""
        return self._objects.get((kind, name))

    def get_previous(self, kind: str, name: str) -> StoredObject | None:
        """Return the version before the current one, as a stale replica would.

        The current version is returned if there is no previous one.
        """
        return self._previous.get((kind, name)) or self.get(kind, name)

    def put(self, kind: str, name: str, write_id: str, spec: dict) -> StoredObject:
        """Write a new version of an object and return it."""
        key = (kind, name)
        old = self._objects.get(key)
        if old is None:
            bisect.insort(self._names[kind], name)
        else:
            self._previous[key] = old
        self.revision += 1
        item = StoredObject(kind, name, self.revision, write_id, spec)
        self._objects[key] = item
        self._record_change(StoredChange(kind, name, self.revision, spec))
        return item

    def delete(self, kind: str, name: str) -> int:
        """Delete an object and return the revision of the deletion."""
        del self._objects[(kind, name)]
        self._previous.pop((kind, name), None)
        names = self._names[kind]
        del names[bisect.bisect_left(names, name)]
        self.revision += 1
        self._record_change(StoredChange(kind, name, self.revision, None))
        return self.revision

    def list_after(self, kind: str, name: str, limit: int) -> list[StoredObject]:
        """Return up to limit objects of a kind, ordered by name, that follow a name."""
        names = self._names[kind]
        start = bisect.bisect_right(names, name) if name else 0
        return [self._objects[(kind, found)] for found in names[start : start + limit]]

    def list_changes(self, after: int) -> list[StoredChange]:
        """Return the kept changes of configuration kinds after a revision, in order."""
        return [change for change in self._changes if change.revision > after]

    def compact(self) -> None:
        """Drop all kept changes, so that watches of older revisions fail."""
        self._changes.clear()
        self.compacted_revision = self.revision

    def _record_change(self, change: StoredChange) -> None:
        if change.kind not in CONFIGURATION_KINDS:
            return
        self._changes.append(change)
        if len(self._changes) > self._history_limit:
            self.compacted_revision = self._changes.popleft().revision
