"""Store client for the event loop, which keeps to a call budget."""

import random
from collections import deque
from collections.abc import Callable
from functools import partial

from expression import Result

from flamingobank.core import Clock, Revision
from flamingobank.store.active import ActiveOperation, Callback
from flamingobank.store.budget import CallBudget
from flamingobank.store.calls import Answer, CallFailed, StoreCall, limit_timeout
from flamingobank.store.circuit_breaker import CircuitBreaker, CircuitState
from flamingobank.store.interfaces import ClientCounters, Scheduler, Transport
from flamingobank.store.operations import (
    Finished,
    GetOperation,
    ListOperation,
    Operation,
    SendCall,
    Step,
    WatchOperation,
)
from flamingobank.store.reverts import check_result
from flamingobank.store.revisions import RevisionGuard
from flamingobank.store.values import (
    Listing,
    Removed,
    Spec,
    StoredObject,
    StoreError,
    StoreErrorKind,
    WatchAnswer,
    Written,
)
from flamingobank.store.writes import DeleteOperation, PutOperation

OPERATION_TIMEOUT_S = 5.0
# A node's fair share is about 0.5 reads/s (2,000/s among 3,700 nodes).
CALLS_PER_S = 0.5
CALL_BURST = 20.0
MAX_QUEUED = 256


class StoreClient:
    """Read and write objects; each callback is called once, with a Result.

    ``writer`` must be unique for each process, because write ids are made from it.
    """

    def __init__(
        self,
        transport: Transport,
        scheduler: Scheduler,
        clock: Clock,
        rng: random.Random,
        writer: str,
        calls_per_s: float = CALLS_PER_S,
        burst: float = CALL_BURST,
        on_revert: Callable[[StoreError], None] | None = None,
    ) -> None:
        self.circuit_breaker = CircuitBreaker(rng)
        self.counters = ClientCounters()
        self.guard = RevisionGuard()
        self._transport = transport
        self._scheduler = scheduler
        self._clock = clock
        self._rng = rng
        self._writer = writer
        self._write_count = 0
        self._budget = CallBudget(calls_per_s, burst, clock.now())
        self._on_revert = on_revert
        self._reads: dict[tuple, ActiveOperation] = {}
        self._queue: deque[tuple[ActiveOperation, StoreCall]] = deque()
        self._in_flight = 0
        self._sending_queued = False

    def new_write_id(self) -> str:
        """Return a unique write id from the unique writer name and a counter."""
        self._write_count += 1
        return f"{self._writer}-{self._write_count}"

    def set_call_rate(self, calls_per_s: float, burst: float) -> None:
        """Change the call budget.

        Holders of a watch lease need more, because they read more than other nodes.
        """
        self._budget.set_rate(calls_per_s, burst, self._clock.now())

    def get(
        self,
        kind: str,
        name: str,
        callback: Callable[[Result[StoredObject, StoreError]], None],
        timeout_s: float = OPERATION_TIMEOUT_S,
    ) -> None:
        """Read one object; identical reads in progress share one call."""
        operation = GetOperation(kind, name, self._get_deadline(timeout_s), self._rng)
        self._read(("get", kind, name), operation, callback, (kind, name))

    def list_all(
        self,
        kind: str,
        callback: Callable[[Result[Listing, StoreError]], None],
        after: str = "",
        timeout_s: float = OPERATION_TIMEOUT_S,
    ) -> None:
        """Read all pages of a kind; an empty kind lists all configuration objects."""
        deadline = self._get_deadline(timeout_s)
        operation = ListOperation(kind, after, deadline, self._rng)
        self._read(("list", kind, after), operation, callback)

    def watch(
        self,
        after: Revision,
        callback: Callable[[Result[WatchAnswer, StoreError]], None],
        timeout_s: float = 30.0,
    ) -> None:
        """Wait for the next changes after a revision.

        To continue, the caller calls again with the revision of the answer.
        """
        deadline = self._get_deadline(timeout_s + OPERATION_TIMEOUT_S)
        operation = WatchOperation(after, timeout_s, deadline, self._rng)
        self._read(("watch", after), operation, callback, is_watch=True)

    def put(
        self,
        kind: str,
        name: str,
        spec: Spec,
        callback: Callable[[Result[Written, StoreError]], None],
        expected: Revision | None = None,
        write_id: str = "",
        timeout_s: float = OPERATION_TIMEOUT_S,
        prepaid: bool = False,
    ) -> None:
        """Write an object if it is at the expected revision.

        Without an expected revision the object must not exist yet. A prepaid write
        does not use this client's call budget, because its caller has taken a token
        of another budget, as is done for idempotency keys that callers choose.
        """
        operation = PutOperation(
            kind,
            name,
            spec,
            write_id or self.new_write_id(),
            expected,
            self._get_deadline(timeout_s),
            self._rng,
        )
        self._write(operation, callback, (kind, name), prepaid)

    def delete(
        self,
        kind: str,
        name: str,
        expected: Revision,
        callback: Callable[[Result[Removed, StoreError]], None],
        write_id: str = "",
        timeout_s: float = OPERATION_TIMEOUT_S,
    ) -> None:
        """Remove an object if it is at the expected revision."""
        operation = DeleteOperation(
            kind,
            name,
            write_id or self.new_write_id(),
            expected,
            self._get_deadline(timeout_s),
            self._rng,
        )
        self._write(operation, callback, (kind, name))

    def _get_deadline(self, timeout_s: float) -> float:
        return self._clock.now() + timeout_s

    def _read(
        self,
        key: tuple,
        operation: Operation,
        callback: Callback,
        subject: tuple[str, str] = ("", ""),
        is_watch: bool = False,
    ) -> None:
        shared = self._reads.get(key)
        mark = self.guard.mark(*subject)
        # A read that was sent before this client received a newer revision may
        # return an older one, so it is not shared.
        if shared is not None and shared.mark == mark:
            self.counters.coalesced += 1
            shared.callbacks.append(callback)
            return
        active = ActiveOperation(operation, mark, [callback], key, subject, is_watch)
        self._reads[key] = active
        self._submit(active, operation.begin().call)

    def _write(
        self,
        operation: Operation,
        callback: Callback,
        subject: tuple[str, str],
        prepaid: bool = False,
    ) -> None:
        mark = self.guard.mark(*subject)
        active = ActiveOperation(
            operation, mark, [callback], subject=subject, prepaid=prepaid
        )
        self._submit(active, operation.begin().call)

    def _submit(self, active: ActiveOperation, call: StoreCall) -> None:
        now = self._clock.now()
        if (
            not active.is_watch
            and self._in_flight >= self.circuit_breaker.in_flight_limit
        ):
            if len(self._queue) < MAX_QUEUED:
                self._queue.append((active, call))
                return
            self._refuse(
                active,
                StoreErrorKind.BUDGET,
                f"{MAX_QUEUED} calls are queued already",
            )
            return
        max_wait_s = active.operation.deadline - now
        if max_wait_s <= 0:
            self._refuse(active, StoreErrorKind.AWAY, "the deadline passed")
            return
        wait_s = 0.0 if active.prepaid else self._budget.reserve(now, max_wait_s)
        if wait_s is None:
            self._refuse(active, StoreErrorKind.BUDGET, "the call budget is used up")
            return
        if not active.is_watch:
            self._in_flight += 1
        if wait_s > 0:
            self._scheduler.call_at(now + wait_s, partial(self._send, active, call))
            return
        self._send(active, call)

    def _send(self, active: ActiveOperation, call: StoreCall) -> None:
        now = self._clock.now()
        if not self._may_send(active, now):
            self._release_in_flight(active)
            wait_s = self.circuit_breaker.get_wait(now)
            self._refuse(active, StoreErrorKind.AWAY, "the circuit is open", wait_s)
            self._send_queued()
            return
        self.counters.calls += 1
        active.sent_at = now
        call = limit_timeout(call, active.operation.deadline - now)
        self._transport.send(call, partial(self._on_answer, active))

    def _may_send(self, active: ActiveOperation, now: float) -> bool:
        # The store may hold back the answer to a watch for its whole timeout, so a
        # watch as a probe would show too late whether the store works.
        if active.is_watch and self.circuit_breaker.state is not CircuitState.CLOSED:
            return False
        return self.circuit_breaker.allow(now)

    def _on_answer(self, active: ActiveOperation, answer: Answer) -> None:
        now = self._clock.now()
        if isinstance(answer, CallFailed) or answer.status == 503:
            self.circuit_breaker.record_failure(now)
        else:
            latency_s = 0.0 if active.is_watch else now - active.sent_at
            self.circuit_breaker.record_answer(latency_s)
        self._release_in_flight(active)
        self._advance(active, active.operation.handle_answer(answer, now))
        self._send_queued()

    def _release_in_flight(self, active: ActiveOperation) -> None:
        if not active.is_watch:
            self._in_flight -= 1

    def _send_queued(self) -> None:
        if self._sending_queued:
            return
        self._sending_queued = True
        while self._queue and self._in_flight < self.circuit_breaker.in_flight_limit:
            active, call = self._queue.popleft()
            self._submit(active, call)
        self._sending_queued = False

    def _refuse(
        self,
        active: ActiveOperation,
        kind: StoreErrorKind,
        detail: str,
        wait_s: float = 0.0,
    ) -> None:
        self.counters.refused += 1
        error = active.operation.fail(kind, detail, wait_s=wait_s)
        self._advance(active, active.operation.handle_refusal(error, self._clock.now()))

    def _advance(self, active: ActiveOperation, step: Step) -> None:
        if isinstance(step, SendCall):
            submit = partial(self._submit, active, step.call)
            self._scheduler.call_at(self._clock.now() + step.delay_s, submit)
            return
        self._finish(active, step)

    def _finish(self, active: ActiveOperation, step: Finished) -> None:
        if active.key is not None and self._reads.get(active.key) is active:
            del self._reads[active.key]
        result = check_result(self.guard, active.mark, active.subject, step.result)
        if result.is_error():
            self._count_error(result.error)
        for callback in active.callbacks:
            callback(result)

    def _count_error(self, error: StoreError) -> None:
        if error.kind is StoreErrorKind.OUTCOME_UNKNOWN:
            self.counters.unknown_writes += 1
        if error.kind is not StoreErrorKind.REVERTED:
            return
        self.counters.reverts += 1
        if self._on_revert is not None:
            self._on_revert(error)
