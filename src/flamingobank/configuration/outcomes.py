"""Define the outcomes of configuration changes."""

import enum
from dataclasses import dataclass

from flamingobank.configuration.messages import ConfigurationChange, Delta
from flamingobank.core import Revision
from flamingobank.objects import ObjectKind


class SkipReason(enum.Enum):
    """Why a change inside a delta was not applied."""

    OLDER = "older"
    # The revision is equal but the content differs: the source has another history.
    CONFLICTING = "conflicting"


@dataclass(frozen=True, slots=True)
class SkippedChange:
    """A change that was not applied because it would have reverted an object."""

    kind: ObjectKind
    name: str
    reason: SkipReason
    seen: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class DeltaApplied:
    """A delta was applied; ``changes`` holds the changes that took effect."""

    delta: Delta
    changes: tuple[ConfigurationChange, ...]
    skipped: tuple[SkippedChange, ...] = ()


@dataclass(frozen=True, slots=True)
class AlreadyApplied:
    """A delta does not go beyond the revision in force."""

    seen: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class Gap:
    """A delta starts above the revision in force; earlier ones must be pulled first."""

    base: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class Loading:
    """A delta arrived while the tables were loading; it is pulled afterwards."""

    seen: Revision


@dataclass(frozen=True, slots=True)
class Malformed:
    """A delta or a snapshot chunk is not valid."""

    detail: str


@dataclass(frozen=True, slots=True)
class RevisionRegressed:
    """The store or a peer reported a lower revision than one already seen."""

    source: str
    seen: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """A snapshot or a listing was loaded completely, at this revision."""

    revision: Revision
    records: int


ConfigurationOutcome = (
    DeltaApplied
    | AlreadyApplied
    | Gap
    | Loading
    | Malformed
    | RevisionRegressed
    | SnapshotLoaded
    | SkippedChange
)
