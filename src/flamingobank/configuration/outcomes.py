"""Describe what became of changes as values."""

import enum
from dataclasses import dataclass

from flamingobank.configuration.messages import ConfigurationChange, Delta
from flamingobank.core import Revision
from flamingobank.objects import ObjectKind


class SkipReason(enum.Enum):
    """Name why a change inside a delta was not applied."""

    OLDER = "older"
    # Equal revisions with other content: the source is not the same history.
    CONFLICTING = "conflicting"


@dataclass(frozen=True, slots=True)
class SkippedChange:
    """Say which change would have reverted an object."""

    kind: ObjectKind
    name: str
    reason: SkipReason
    seen: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class DeltaApplied:
    """Say that a delta is in force; changes are the ones that took effect."""

    delta: Delta
    changes: tuple[ConfigurationChange, ...]
    skipped: tuple[SkippedChange, ...] = ()


@dataclass(frozen=True, slots=True)
class AlreadyApplied:
    """Say that a delta brought nothing new."""

    seen: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class Gap:
    """Say that a delta starts above the applied revision: pull first."""

    base: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class Loading:
    """Say that a delta came during a snapshot; it is pulled afterwards."""

    seen: Revision


@dataclass(frozen=True, slots=True)
class Malformed:
    """Say that a delta or a snapshot chunk contradicts itself."""

    detail: str


@dataclass(frozen=True, slots=True)
class RevisionRegressed:
    """Say that the store or a peer is behind what was already seen."""

    source: str
    seen: Revision
    known: Revision


@dataclass(frozen=True, slots=True)
class SnapshotLoaded:
    """Say that a snapshot is complete and which revision it gives."""

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
