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
    """Return whether a put took effect.

    It did if the current object carries the write's id. It still can while the object
    has the expected revision, or does not exist and was to be created.
    """
    if current is not None and current.write_id == write_id:
        return Resolution.LANDED
    if current is None and expected is None:
        return Resolution.PENDING
    if current is not None and current.revision == expected:
        return Resolution.PENDING
    return Resolution.UNKNOWN


def resolve_delete(expected: Revision, current: StoredObject | None) -> Resolution:
    """Return whether a delete took effect.

    It did if there is no object. It still can while the object has the expected
    revision.
    """
    if current is None:
        return Resolution.LANDED
    if current.revision == expected:
        return Resolution.PENDING
    return Resolution.UNKNOWN
