"""Notice when the store shows an older state than before."""

from collections import OrderedDict
from dataclasses import dataclass

from flamingobank.core import Revision

MAX_TRACKED_OBJECTS = 4096


@dataclass(frozen=True, slots=True)
class RevisionMark:
    """Hold what had been seen when a call was sent.

    Answers are compared with the mark and not with the state at their arrival,
    because calls in flight together may be answered in any order.
    """

    revision: Revision
    object_revision: Revision


class RevisionGuard:
    """Remember the highest revisions seen, of the store and of recent objects."""

    def __init__(self) -> None:
        self.highest = Revision(0)
        self._objects: OrderedDict[tuple[str, str], Revision] = OrderedDict()

    def mark(self, kind: str = "", name: str = "") -> RevisionMark:
        """Return what an answer to a call sent now must not fall behind."""
        seen = self._objects.get((kind, name), Revision(0))
        return RevisionMark(self.highest, seen)

    def record(self, revision: Revision) -> None:
        """Remember a revision of the store."""
        self.highest = max(self.highest, revision)

    def record_object(self, kind: str, name: str, revision: Revision) -> None:
        """Remember a revision of an object."""
        self.record(revision)
        key = (kind, name)
        self._objects[key] = max(revision, self._objects.get(key, Revision(0)))
        self._objects.move_to_end(key)
        if len(self._objects) > MAX_TRACKED_OBJECTS:
            self._objects.popitem(last=False)
