"""Conditional writes and removals as operations.

A call whose answer is lost may still take effect later. The operation therefore
reads the object, compares its write id, and repeats the same write where that is
safe.
"""

import abc
import random
from typing import TypeVar

from expression import Error, Ok

from flamingobank.core import Revision
from flamingobank.store.calls import (
    Answer,
    CallFailed,
    StoreAnswer,
    StoreCall,
    build_delete,
    build_get,
    build_put,
    decode_json,
    decode_object,
    is_revision,
)
from flamingobank.store.operations import (
    REJECTING_STATUSES,
    Finished,
    Operation,
    SendCall,
    Step,
)
from flamingobank.store.resolution import Resolution, resolve_delete, resolve_put
from flamingobank.store.values import (
    Removed,
    Spec,
    StoredObject,
    StoreError,
    StoreErrorKind,
    Written,
)

T = TypeVar("T")

# Kinds whose creation may be sent again after a lost answer. It would take effect twice
# if the object were removed in between, but objects of these kinds are never removed
# while their creator may still repeat the creation.
REPEATABLE_CREATION_KINDS = ("audit", "key")


class WriteOperation(Operation[T], abc.ABC):
    """Send a write; after a lost answer, read the object to find the outcome."""

    def __init__(
        self, subject: str, kind: str, name: str, deadline: float, rng: random.Random
    ) -> None:
        super().__init__(subject, deadline, rng)
        self._read = build_get(kind, name)
        self._reading = False
        # Whether the answer to an attempt was lost, so that the attempt may have taken
        # effect or may do so later.
        self.ambiguous = False
        self._repeatable = True

    @abc.abstractmethod
    def _get_write(self) -> StoreCall:
        """Return the call that writes or removes the object."""

    @abc.abstractmethod
    def _resolve(self, current: StoredObject | None) -> Resolution:
        """Tell from the current object whether the write took effect."""

    @abc.abstractmethod
    def _confirm(self, revision: Revision | None) -> T:
        """Return the result of a write that took effect."""

    def begin(self) -> SendCall:
        """Return the first call."""
        return SendCall(self._get_write())

    def handle_answer(self, answer: Answer, now: float) -> Step:
        """Return the next step after an answer or a failed call."""
        if isinstance(answer, CallFailed) and answer.sent and not self._reading:
            self.ambiguous = True
            self._reading = True
        return super().handle_answer(answer, now)

    def handle_refusal(self, error: StoreError, now: float) -> Step:
        """Return the next step if the client refuses to send the call."""
        if self.ambiguous:
            return self.retry(error, now)
        return Finished(Error(error))

    def get_final_error(self, error: StoreError) -> StoreError:
        """Return the error to report when no time is left for another attempt."""
        if not self.ambiguous:
            return error
        detail = (
            f"the answer was lost and the outcome could not be read: {error.detail}"
        )
        return self.fail(StoreErrorKind.OUTCOME_UNKNOWN, detail)

    def _get_call(self) -> StoreCall:
        return self._read if self._reading else self._get_write()

    def _decide(self, answer: StoreAnswer, now: float) -> Step:
        if self._reading:
            return self._decide_read(answer, now)
        value = decode_json(answer)
        if answer.status == 200 and value and is_revision(value.get("revision")):
            return Finished(Ok(self._confirm(Revision(value["revision"]))))
        if answer.status == 413:
            detail = "the object is over the store's limit of 1 MB"
            return Finished(Error(self.fail(StoreErrorKind.TOO_LARGE, detail)))
        if answer.status == 404:
            return self._decide_absent(answer)
        if answer.status == 409:
            return self._decide_conflict(decode_object(value))
        if answer.status not in REJECTING_STATUSES:
            return self._read_outcome(answer, now)
        return self._reject_write(answer)

    def _read_outcome(self, answer: StoreAnswer, now: float) -> Step:
        """Read the object after an answer that does not tell the write's outcome."""
        self.ambiguous = True
        self._reading = True
        detail = f"answer {answer.status} {answer.body[:200]!r}"
        return self.retry(self.fail(StoreErrorKind.MALFORMED, detail), now)

    def _decide_absent(self, answer: StoreAnswer) -> Step:
        if not self.ambiguous:
            return Finished(
                Error(self.fail(StoreErrorKind.NOT_FOUND, "no such object exists"))
            )
        return self._finish_from_state(None)

    def _decide_conflict(self, current: StoredObject | None) -> Step:
        if self.ambiguous:
            return self._finish_from_state(current)
        held = "no object" if current is None else f"revision {current.revision}"
        error = self.fail(StoreErrorKind.CONFLICT, f"the store holds {held}", current)
        return Finished(Error(error))

    def _decide_read(self, answer: StoreAnswer, now: float) -> Step:
        current = None
        if answer.status != 404:
            current = decode_object(decode_json(answer))
            if answer.status != 200 or current is None:
                return self._reject_write(answer)
        if self._resolve(current) is not Resolution.PENDING:
            return self._finish_from_state(current)
        self._reading = not self._repeatable
        detail = "the write has not taken effect yet"
        return self.retry(self.fail(StoreErrorKind.OUTCOME_UNKNOWN, detail), now)

    def _finish_from_state(self, current: StoredObject | None) -> Finished:
        if self._resolve(current) is Resolution.LANDED:
            revision = None if current is None else current.revision
            return Finished(Ok(self._confirm(revision)))
        held = "no object" if current is None else f"write {current.write_id}"
        detail = f"the answer was lost and the store now holds {held}"
        kind = StoreErrorKind.OUTCOME_UNKNOWN
        return Finished(Error(self.fail(kind, detail, current)))

    def _reject_write(self, answer: StoreAnswer) -> Finished:
        if not self.ambiguous:
            return self.reject(answer)
        error = self.fail(StoreErrorKind.REJECTED, f"answer {answer.status}")
        return Finished(Error(self.get_final_error(error)))


class PutOperation(WriteOperation[Written]):
    """Write an object if it has the expected revision, or if it does not exist."""

    def __init__(
        self,
        kind: str,
        name: str,
        spec: Spec,
        write_id: str,
        expected: Revision | None,
        deadline: float,
        rng: random.Random,
    ) -> None:
        super().__init__(f"put {kind} {name}", kind, name, deadline, rng)
        self._write_id = write_id
        self._expected = expected
        self._write = build_put(kind, name, spec, write_id, expected)
        self._repeatable = expected is not None or kind in REPEATABLE_CREATION_KINDS

    def _get_write(self) -> StoreCall:
        return self._write

    def _resolve(self, current: StoredObject | None) -> Resolution:
        return resolve_put(self._write_id, self._expected, current)

    def _confirm(self, revision: Revision | None) -> Written:
        return Written(Revision(revision or 0))


class DeleteOperation(WriteOperation[Removed]):
    """Remove an object if it has the expected revision."""

    def __init__(
        self,
        kind: str,
        name: str,
        write_id: str,
        expected: Revision,
        deadline: float,
        rng: random.Random,
    ) -> None:
        super().__init__(f"delete {kind} {name}", kind, name, deadline, rng)
        self._expected = expected
        self._write = build_delete(kind, name, write_id, expected)

    def _get_write(self) -> StoreCall:
        return self._write

    def _resolve(self, current: StoredObject | None) -> Resolution:
        return resolve_delete(self._expected, current)

    def _confirm(self, revision: Revision | None) -> Removed:
        return Removed(revision)
