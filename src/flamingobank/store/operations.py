"""Operations on the store, which turn each answer into a call or a result.

This module holds their base class and the reads; no operation does I/O.
"""

import abc
import random
from dataclasses import dataclass
from typing import Generic, TypeVar

from expression import Error, Ok, Result

from flamingobank.core import Revision
from flamingobank.store.backoff import Backoff
from flamingobank.store.calls import (
    Answer,
    CallFailed,
    StoreAnswer,
    StoreCall,
    build_get,
    build_list,
    build_watch,
    decode_change,
    decode_json,
    decode_object,
    is_revision,
)
from flamingobank.store.values import (
    Listing,
    StoredObject,
    StoreError,
    StoreErrorKind,
    WatchAnswer,
)

T = TypeVar("T")

PAGE_ITEMS = 1000
# Bounds the memory of a listing, because each page may hold up to 1 MB.
MAX_PAGES = 2000
# Keeps the delays between the attempts of an operation well below its deadline.
ATTEMPT_MAX_DELAY_S = 2.0

# Answers that say that the store did not execute the call.
REJECTING_STATUSES = (400, 401, 403, 404, 405, 428)


@dataclass(frozen=True, slots=True)
class SendCall:
    """Step that asks for a call to be sent after a delay in seconds."""

    call: StoreCall
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Finished(Generic[T]):
    """Step that ends an operation with its result."""

    result: Result[T, StoreError]


Step = SendCall | Finished


class Operation(abc.ABC, Generic[T]):
    """Decide on the calls of an operation until it has a result or times out."""

    def __init__(self, subject: str, deadline: float, rng: random.Random) -> None:
        self.subject = subject
        self.deadline = deadline
        self._backoff = Backoff(rng, max_s=ATTEMPT_MAX_DELAY_S)

    @abc.abstractmethod
    def begin(self) -> SendCall:
        """Return the first call."""

    @abc.abstractmethod
    def _decide(self, answer: StoreAnswer, now: float) -> Step:
        """Return the next step after an answer other than status 429 or 503."""

    @abc.abstractmethod
    def _get_call(self) -> StoreCall:
        """Return the call to send next."""

    def handle_answer(self, answer: Answer, now: float) -> Step:
        """Return the next step after an answer or a failed call."""
        if isinstance(answer, CallFailed):
            return self.retry(self.fail(StoreErrorKind.AWAY, answer.reason), now)
        if answer.status == 503:
            return self.retry(self.fail(StoreErrorKind.AWAY, "answer 503"), now)
        if answer.status == 429:
            wait_s = _read_seconds(answer.headers.get("retry-after", ""))
            error = self.fail(StoreErrorKind.THROTTLED, "answer 429", wait_s=wait_s)
            return self.retry(error, now)
        return self._decide(answer, now)

    def handle_refusal(self, error: StoreError, now: float) -> Step:
        """Return the next step if the client refuses to send the call."""
        return Finished(Error(error))

    def retry(self, error: StoreError, now: float) -> Step:
        """Repeat the call after a delay, or end with the error.

        The operation ends if the delay would reach its deadline.
        """
        # A random part is added to the store's Retry-After time, so that nodes do
        # not all retry at the same time.
        delay_s = error.retry_after_s + self._backoff.get_delay()
        if now + delay_s >= self.deadline:
            return Finished(Error(self.get_final_error(error)))
        return SendCall(self._get_call(), delay_s)

    def get_final_error(self, error: StoreError) -> StoreError:
        """Return the error to report when no time is left for another attempt."""
        return error

    def fail(
        self,
        kind: StoreErrorKind,
        detail: str,
        current: StoredObject | None = None,
        wait_s: float = 0.0,
    ) -> StoreError:
        """Return an error that names this operation."""
        return StoreError(kind, self.subject, detail, current, wait_s)

    def reject(self, answer: StoreAnswer) -> Finished:
        """End the operation after an answer that it cannot handle."""
        detail = f"answer {answer.status} {answer.body[:200]!r}"
        known = answer.status in REJECTING_STATUSES
        kind = StoreErrorKind.REJECTED if known else StoreErrorKind.MALFORMED
        return Finished(Error(self.fail(kind, detail)))


class GetOperation(Operation[StoredObject]):
    """Read one object."""

    def __init__(self, kind: str, name: str, deadline: float, rng: random.Random):
        super().__init__(f"get {kind} {name}", deadline, rng)
        self._call = build_get(kind, name)

    def begin(self) -> SendCall:
        """Return the first call."""
        return SendCall(self._call)

    def _get_call(self) -> StoreCall:
        return self._call

    def _decide(self, answer: StoreAnswer, now: float) -> Step:
        if answer.status == 404:
            return Finished(
                Error(self.fail(StoreErrorKind.NOT_FOUND, "no such object exists"))
            )
        if answer.status != 200:
            return self.reject(answer)
        found = decode_object(decode_json(answer))
        if found is None:
            return self.reject(answer)
        return Finished(Ok(found))


class ListOperation(Operation[Listing]):
    """Read all pages of a listing; an empty kind lists all configuration objects."""

    def __init__(self, kind: str, after: str, deadline: float, rng: random.Random):
        super().__init__(f"list {kind or 'configuration'}", deadline, rng)
        self._kind = kind
        self._after = after
        self._revision: Revision | None = None
        self._items: list[StoredObject] = []
        self._pages = 0

    def begin(self) -> SendCall:
        """Return the first call."""
        return SendCall(self._get_call())

    def _get_call(self) -> StoreCall:
        return build_list(self._kind, self._after, PAGE_ITEMS)

    def _decide(self, answer: StoreAnswer, now: float) -> Step:
        value = decode_json(answer) if answer.status == 200 else None
        if value is None or not is_revision(value.get("revision")):
            return self.reject(answer)
        items = [decode_object(item) for item in value.get("items", ())]
        following = value.get("next")
        if None in items or not isinstance(following, str | None):
            return self.reject(answer)
        self._items += items
        if self._revision is None:
            self._revision = Revision(value["revision"])
        if value["revision"] < self._revision:
            detail = (
                f"a page is at revision {value['revision']}, "
                f"older than the first page at {self._revision}"
            )
            return Finished(Error(self.fail(StoreErrorKind.REVERTED, detail)))
        if not following:
            return Finished(Ok(Listing(self._revision, tuple(self._items))))
        self._pages += 1
        if self._pages >= MAX_PAGES:
            detail = f"{self._pages} pages were read; at most {MAX_PAGES} are allowed"
            return Finished(Error(self.fail(StoreErrorKind.TOO_LARGE, detail)))
        self._after = following
        self._backoff.reset()
        return SendCall(self._get_call())


class WatchOperation(Operation[WatchAnswer]):
    """Wait for the next changes after a revision; the caller repeats the watch."""

    def __init__(
        self, after: Revision, timeout_s: float, deadline: float, rng: random.Random
    ) -> None:
        super().__init__(f"watch after {after}", deadline, rng)
        self._call = build_watch(after, timeout_s)

    def begin(self) -> SendCall:
        """Return the first call."""
        return SendCall(self._call)

    def _get_call(self) -> StoreCall:
        return self._call

    def _decide(self, answer: StoreAnswer, now: float) -> Step:
        if answer.status == 410:
            return Finished(Error(self.fail(StoreErrorKind.COMPACTED, "answer 410")))
        value = decode_json(answer) if answer.status == 200 else None
        if value is None or not is_revision(value.get("revision")):
            return self.reject(answer)
        changes = [decode_change(change) for change in value.get("events", ())]
        if None in changes:
            return self.reject(answer)
        revision = Revision(value["revision"])
        return Finished(Ok(WatchAnswer(revision, tuple(changes))))


def _read_seconds(text: str) -> float:
    return float(text) if text.isdecimal() else 1.0
