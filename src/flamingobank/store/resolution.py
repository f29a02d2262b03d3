"""Determine from a read whether a write with a lost answer took effect."""

import enum

from flamingobank.core import Revision
from flamingobank.store.values import StoredObject


class Resolution(enum.Enum):
    """Tell what a read shows about a write whose answer was lost."""

    LANDED = "landed"
    # The object is unchanged. The write has not taken effect yet and still can, so it
    # may be sent again.
    PENDING = "pending"
    # The object was changed by another write. The write in question can no longer take
    # effect, but it may have done so before that change.
    UNKNOWN = "unknown"


def resolve_put(
    write_id: str, expected: Revision | None, current: StoredObject | None
) -> Resolution:
    """Compare the current object with the write's id and its expected revision."""
    if current is not None and current.write_id == write_id:
        return Resolution.LANDED
    if current is None and expected is None:
        return Resolution.PENDING
    if current is not None and current.revision == expected:
        return Resolution.PENDING
    return Resolution.UNKNOWN


def resolve_delete(expected: Revision, current: StoredObject | None) -> Resolution:
    """Compare the current object with the revision that was to be removed."""
    if current is None:
        return Resolution.LANDED
    if current.revision == expected:
        return Resolution.PENDING
    return Resolution.UNKNOWN
