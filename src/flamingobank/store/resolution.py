"""Decide from a read what became of a write whose answer was lost."""

import enum

from flamingobank.core import Revision
from flamingobank.store.values import StoredObject


class Resolution(enum.Enum):
    """Say what a read shows about a lost write."""

    LANDED = "landed"
    # It has not taken effect so far and still can; the same write is sent again.
    PENDING = "pending"
    # It cannot take effect any more; whether it did before cannot be told.
    UNKNOWN = "unknown"


def resolve_put(
    write_id: str, expected: Revision | None, current: StoredObject | None
) -> Resolution:
    """Compare the object now with the write and with the revision it expected."""
    if current is not None and current.write_id == write_id:
        return Resolution.LANDED
    if current is None and expected is None:
        return Resolution.PENDING
    if current is not None and current.revision == expected:
        return Resolution.PENDING
    return Resolution.UNKNOWN


def resolve_delete(expected: Revision, current: StoredObject | None) -> Resolution:
    """Compare the object now with the revision that was to be removed."""
    if current is None:
        return Resolution.LANDED
    if current.revision == expected:
        return Resolution.PENDING
    return Resolution.UNKNOWN
