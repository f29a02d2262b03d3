"""Blocking store client for the command line; it makes one call at a time."""

import http.client
import random
import time
from collections.abc import Callable
from typing import TypeVar

from expression import Result

from flamingobank.core import Clock, MonotonicClock, Revision
from flamingobank.store.calls import (
    Answer,
    CallFailed,
    StoreAnswer,
    StoreCall,
    limit_timeout,
)
from flamingobank.store.operations import (
    Finished,
    GetOperation,
    ListOperation,
    Operation,
)
from flamingobank.store.reverts import check_result
from flamingobank.store.revisions import RevisionGuard
from flamingobank.store.values import (
    Listing,
    Removed,
    Spec,
    StoredObject,
    StoreError,
    Written,
)
from flamingobank.store.writes import DeleteOperation, PutOperation

T = TypeVar("T")

# The command line reports the store as unavailable after this time.
OPERATION_TIMEOUT_S = 10.0


class BlockingStore:
    """Read and write objects with blocking calls and the errors of StoreClient."""

    def __init__(
        self,
        address: tuple[str, int],
        token: str,
        writer: str,
        rng: random.Random | None = None,
        clock: Clock | None = None,
        sleep: Callable[[float], None] = time.sleep,
    ) -> None:
        self._address = address
        self._token = token
        self._writer = writer
        self._rng = rng or random.SystemRandom()
        self._clock = clock or MonotonicClock()
        self._sleep = sleep
        self._guard = RevisionGuard()

    def new_write_id(self) -> str:
        """Return a unique write id from the writer's name and a random number."""
        return f"{self._writer}-{self._rng.getrandbits(64):016x}"

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreError]:
        """Read one object."""
        operation = GetOperation(kind, name, self._get_deadline(), self._rng)
        return self._run(operation, (kind, name))

    def list_all(self, kind: str, after: str = "") -> Result[Listing, StoreError]:
        """Read all pages of a kind; an empty kind lists all configuration objects."""
        return self._run(ListOperation(kind, after, self._get_deadline(), self._rng))

    def put(
        self,
        kind: str,
        name: str,
        spec: Spec,
        expected: Revision | None = None,
        write_id: str = "",
    ) -> Result[Written, StoreError]:
        """Write an object if it is at the expected revision.

        Without an expected revision the object must not exist yet.
        """
        write_id = write_id or self.new_write_id()
        deadline = self._get_deadline()
        operation = PutOperation(
            kind, name, spec, write_id, expected, deadline, self._rng
        )
        return self._run(operation, (kind, name))

    def delete(
        self, kind: str, name: str, expected: Revision, write_id: str = ""
    ) -> Result[Removed, StoreError]:
        """Remove an object if it is at the expected revision."""
        write_id = write_id or self.new_write_id()
        deadline = self._get_deadline()
        operation = DeleteOperation(kind, name, write_id, expected, deadline, self._rng)
        return self._run(operation, (kind, name))

    def _get_deadline(self) -> float:
        return self._clock.now() + OPERATION_TIMEOUT_S

    def _run(
        self, operation: Operation[T], subject: tuple[str, str] = ("", "")
    ) -> Result[T, StoreError]:
        mark = self._guard.mark(*subject)
        step = operation.begin()
        while not isinstance(step, Finished):
            if step.delay_s > 0:
                self._sleep(step.delay_s)
            remaining_s = operation.deadline - self._clock.now()
            answer = self._exchange(limit_timeout(step.call, remaining_s))
            step = operation.handle_answer(answer, self._clock.now())
        return check_result(self._guard, mark, subject, step.result)

    def _exchange(self, call: StoreCall) -> Answer:
        connection = http.client.HTTPConnection(*self._address, timeout=call.timeout_s)
        try:
            connection.connect()
        except OSError as error:
            return CallFailed(f"connect failed: {error}", sent=False)
        try:
            headers = {"Authorization": f"Bearer {self._token}", **dict(call.headers)}
            connection.request(call.method, call.target, call.body or None, headers)
            answer = connection.getresponse()
            body = answer.read()
        except (OSError, http.client.HTTPException) as error:
            return CallFailed(f"no answer: {error}", sent=True)
        finally:
            connection.close()
        lowered = {name.lower(): value for name, value in answer.getheaders()}
        return StoreAnswer(answer.status, lowered, body)
