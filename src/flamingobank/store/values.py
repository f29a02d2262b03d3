"""Define what the store returns and how a call to it fails."""

import enum
from collections.abc import Mapping
from dataclasses import dataclass

from flamingobank.core import Revision

Spec = Mapping[str, object]


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold one version of an object."""

    kind: str
    name: str
    revision: Revision
    write_id: str
    spec: Spec


@dataclass(frozen=True, slots=True)
class Written:
    """Confirm a write with the revision it got."""

    revision: Revision


@dataclass(frozen=True, slots=True)
class Removed:
    """Confirm a removal; without a revision its answer was lost and it is gone."""

    revision: Revision | None


@dataclass(frozen=True, slots=True)
class Listing:
    """Hold all objects of a listing and the store's revision at its first page.

    A later page can show a newer revision of an object; a watch that starts at
    ``revision`` reports such changes again.
    """

    revision: Revision
    items: tuple[StoredObject, ...]


@dataclass(frozen=True, slots=True)
class ObjectChange:
    """Hold one change seen by a watch; no spec means deleted."""

    kind: str
    name: str
    revision: Revision
    spec: Spec | None


@dataclass(frozen=True, slots=True)
class WatchAnswer:
    """Hold the changes up to a revision, in order."""

    revision: Revision
    changes: tuple[ObjectChange, ...]


class StoreErrorKind(enum.Enum):
    """Name how a call to the store failed."""

    # The call had no effect.
    AWAY = "away"
    THROTTLED = "throttled"
    BUDGET = "budget"
    CONFLICT = "conflict"
    NOT_FOUND = "not-found"
    TOO_LARGE = "too-large"
    COMPACTED = "compacted"
    REJECTED = "rejected"
    MALFORMED = "malformed"
    # The store returned a lower revision than one seen before.
    REVERTED = "reverted"
    # A write may or may not have taken effect.
    OUTCOME_UNKNOWN = "outcome-unknown"


@dataclass(frozen=True, slots=True)
class StoreError:
    """Say which call failed, how, and what the store holds now if it said so."""

    kind: StoreErrorKind
    subject: str
    detail: str = ""
    current: StoredObject | None = None
    retry_after_s: float = 0.0

    def __str__(self) -> str:
        return f"{self.subject}: {self.kind.value}, {self.detail}"
