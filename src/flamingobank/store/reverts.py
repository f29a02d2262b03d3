"""Detect answers that are older than earlier ones and report them as errors."""

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
    """Return the result, or an error if it is older than the mark of its call.

    The revisions in the result are recorded in the guard in either case.
    """
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
        raise TypeError(f"expected a result of the store, got {type(value).__name__}")
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
    # The revision of a write must be newer than any revision of the object that was
    # known before the call. This also holds if only a later read confirmed the write.
    if revision > mark.object_revision:
        return result
    return _make_revert_error("/".join(subject), revision, mark.object_revision)


def _make_revert_error(subject: str, shown: Revision, seen: Revision) -> Result:
    detail = f"the store shows revision {shown}, {seen} was seen before"
    return Error(StoreError(StoreErrorKind.REVERTED, subject, detail))
