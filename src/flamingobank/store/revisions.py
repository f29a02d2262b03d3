"""Track the revisions seen, to notice a store that returns to an older state."""

from collections import OrderedDict
from dataclasses import dataclass

from flamingobank.core import Revision

MAX_TRACKED_OBJECTS = 4096


@dataclass(frozen=True, slots=True)
class RevisionMark:
    """The highest revisions that were known when a call was sent.

    An answer is compared with the mark of its call and not with the revisions known
    on its arrival, because concurrent calls may be answered in any order.
    """

    revision: Revision
    object_revision: Revision


class RevisionGuard:
    """Keep the highest revisions seen of the store and of recently used objects."""

    def __init__(self) -> None:
        self.highest = Revision(0)
        self._objects: OrderedDict[tuple[str, str], Revision] = OrderedDict()

    def mark(self, kind: str = "", name: str = "") -> RevisionMark:
        """Return the revisions that an answer to a call sent now must reach."""
        seen = self._objects.get((kind, name), Revision(0))
        return RevisionMark(self.highest, seen)

    def record(self, revision: Revision) -> None:
        """Record a revision of the store."""
        self.highest = max(self.highest, revision)

    def record_object(self, kind: str, name: str, revision: Revision) -> None:
        """Record a revision of an object."""
        self.record(revision)
        key = (kind, name)
        self._objects[key] = max(revision, self._objects.get(key, Revision(0)))
        self._objects.move_to_end(key)
        if len(self._objects) > MAX_TRACKED_OBJECTS:
            self._objects.popitem(last=False)
