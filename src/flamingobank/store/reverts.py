"""Turn an answer that is older than what was seen into an error."""

from expression import Error, Result

from flamingobank.core import Revision
from flamingobank.store.revisions import RevisionGuard, RevisionMark
from flamingobank.store.values import (
    Listing,
    Removed,
    StoredObject,
    StoreError,
    StoreErrorKind,
    WatchAnswer,
    Written,
)


def check_result(
    guard: RevisionGuard, mark: RevisionMark, subject: tuple[str, str], result: Result
) -> Result:
    """Compare a result with the mark of its call; remember what it shows."""
    if result.is_error():
        current = result.error.current
        if current is not None:
            guard.record_object(current.kind, current.name, current.revision)
        return result
    value = result.ok
    if isinstance(value, StoredObject):
        seen, shown = mark.object_revision, value.revision
        guard.record_object(value.kind, value.name, value.revision)
    elif isinstance(value, Written | Removed):
        return _check_written(guard, mark, subject, result, value.revision)
    elif isinstance(value, Listing | WatchAnswer):
        seen, shown = mark.revision, value.revision
        guard.record(value.revision)
    else:
        raise TypeError(f"expected a value of the store, got {type(value).__name__}")
    if shown >= seen:
        return result
    return _make_revert_error(
        f"{type(value).__name__} {'/'.join(subject)}", shown, seen
    )


def _check_written(
    guard: RevisionGuard,
    mark: RevisionMark,
    subject: tuple[str, str],
    result: Result,
    revision: Revision | None,
) -> Result:
    if revision is None:
        return result
    guard.record_object(*subject, revision)
    # A read back may show the write after the store has moved on, never before.
    if revision > mark.object_revision:
        return result
    return _make_revert_error("/".join(subject), revision, mark.object_revision)


def _make_revert_error(subject: str, shown: Revision, seen: Revision) -> Result:
    detail = f"the store shows revision {shown}, {seen} was seen before"
    return Error(StoreError(StoreErrorKind.REVERTED, subject, detail))
