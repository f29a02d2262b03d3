"""Results and errors of calls to the store."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from flamingobank.core import Revision

Spec = Mapping[str, object]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """One version of an object."""

    kind: str
    name: str
    revision: Revision
    write_id: str
    spec: Spec


@dataclass(frozen=True, slots=True)
class Written:
    """Result of a write, with the new revision of the object."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Removed:
    """Result of a removal.

    The revision is None if the answer was lost and a later read found no object.
    """

    revision: Revision | None


@dataclass(frozen=True, slots=True)
class Listing:
    """All objects of a listing and the store's revision at its first page.

    A later page can show a newer revision of an object; a watch that starts at
    ``revision`` reports such changes again.
    """

    revision: Revision
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """One change reported by a watch; the spec is None for a deletion."""

    kind: str
    name: str
    revision: Revision
    spec: Spec | None


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """The changes up to a revision, in order."""

    revision: Revision
    changes: tuple[ObjectChange, ...]


class StoreErrorKind(enum.Enum):
    """Classify the failure of a call to the store."""

    # The call had no effect, unless a comment at the kind says something else.
    AWAY = "away"
    THROTTLED = "throttled"
    BUDGET = "budget"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    COMPACTED = "compacted"
    REJECTED = "rejected"
    # The answer to a read has an unexpected status or content.
    MALFORMED = "malformed"
    # The store returned a lower revision than one it returned earlier.
    REVERTED = "reverted"
    # A write may or may not have taken effect.
    OUTCOME_UNKNOWN = "outcome-unknown"


@dataclass(frozen=True, slots=True)
class StoreError:
    """A failed call, with the object that the store now holds if it is known."""

    kind: StoreErrorKind
    subject: str
    detail: str = ""
    current: StoredObject | None = None
    retry_after_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.subject}: {self.kind.value}, {self.detail}"
