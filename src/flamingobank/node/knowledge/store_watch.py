"""Run the store operations that the watch election requests."""

import random
from collections.abc import Callable
from functools import partial

import eliot
from expression import Result

from flamingobank.configuration import (
    AnswerLost,
    ChangesSeen,
    ChangesWatched,
    ConfigurationChange,
    Delta,
    LeaseAcquired,
    LeaseConflict,
    LeaseLost,
    LeaseObject,
    LeaseRead,
    LeaseWritten,
    ListingLoader,
    ListingNeeded,
    ReadLease,
    StoreOperation,
    StoreUnavailable,
    WatchChanges,
    WatchCompacted,
    WatchElection,
    WriteLease,
)
from flamingobank.core import BootId, Clock, FailureDomain, NodeId, Revision
from flamingobank.loop import Timers
from flamingobank.node.knowledge.configuration_sync import ConfigurationSync
from flamingobank.objects import ObjectKind
from flamingobank.store import (
    Listing,
    StoreClient,
    StoredObject,
    StoreError,
    StoreErrorKind,
)
from flamingobank.store.client import CALL_BURST, CALLS_PER_S

TICK_INTERVAL_S = 0.1
LEASE_KIND = "lease"
# A watcher makes one call per change and reads listings in pages, for which the default
# rate of a node is too low. 20 watchers at this rate use a fifth of the store's 2,000
# reads per second.
WATCHER_CALLS_PER_S = 20.0
WATCHER_BURST = 40.0
OBJECT_KINDS = {kind.value: kind for kind in ObjectKind}
# Errors after which a write may have taken effect.
UNKNOWN_OUTCOME_ERRORS = (StoreErrorKind.OUTCOME_UNKNOWN, StoreErrorKind.MALFORMED)


class StoreWatch:
    """Watch the store while this node holds a watch lease of its domain."""

    def __init__(
        self,
        node_id: NodeId,
        boot: str,
        domain: FailureDomain,
        address: str,
        clock: Clock,
        timers: Timers,
        rng: random.Random,
        store: StoreClient,
        configuration: ConfigurationSync,
        list_domain: Callable[[FailureDomain], list[NodeId]],
    ) -> None:
        self.last_contact: float | None = None
        self.reachable = False
        self.election = WatchElection(
            node_id, BootId(boot), domain, address, rng, clock.now()
        )
        self._domain = domain
        self._clock = clock
        self._store = store
        self._configuration = configuration
        self._list_domain = list_domain
        self._listing_pending = False
        timers.call_every(TICK_INTERVAL_S, self._tick)

    @property
    def is_watcher(self) -> bool:
        """Return whether this node holds a watch lease."""
        return bool(self.election.tokens)

    def _tick(self) -> None:
        now = self._clock.now()
        self.election.set_members(self._list_domain(self._domain))
        for operation in self.election.tick(now, self._configuration.revision):
            self._run(operation)
        self._process_outcomes()

    def _run(self, operation: StoreOperation) -> None:
        if isinstance(operation, ReadLease):
            self._store.get(
                LEASE_KIND,
                operation.slot.object_name,
                partial(self._on_lease_read, operation),
            )
            return
        if isinstance(operation, WriteLease):
            self._store.put(
                LEASE_KIND,
                operation.slot.object_name,
                {
                    "holder": operation.holder,
                    "address": operation.address,
                    "token": operation.token,
                },
                partial(self._on_lease_written, operation),
                expected=operation.expected or None,
                write_id=operation.write_id,
            )
            return
        self._store.watch(
            operation.after,
            partial(self._on_watched, operation),
            timeout_s=operation.timeout_s,
        )

    def _on_lease_read(self, operation: ReadLease, result: Result) -> None:
        self._note_contact(result)
        if result.is_ok():
            self._handle_result(LeaseRead(operation.operation, _read_lease(result.ok)))
            return
        if result.error.kind is StoreErrorKind.NOT_FOUND:
            self._handle_result(LeaseRead(operation.operation, None))
            return
        self._handle_result(_make_failure(operation, result.error))

    def _on_lease_written(self, operation: WriteLease, result: Result) -> None:
        self._note_contact(result)
        if result.is_ok():
            self._handle_result(LeaseWritten(operation.operation, result.ok.revision))
            return
        error = result.error
        if error.kind in (StoreErrorKind.CONFLICT, StoreErrorKind.NOT_FOUND):
            lease = _read_lease(error.current) if error.current is not None else None
            self._handle_result(LeaseConflict(operation.operation, lease))
            return
        self._handle_result(_make_failure(operation, error))

    def _on_watched(self, operation: WatchChanges, result: Result) -> None:
        self._note_contact(result)
        if result.is_error():
            if result.error.kind is StoreErrorKind.COMPACTED:
                self._handle_result(WatchCompacted(operation.operation))
                return
            self._handle_result(_make_failure(operation, result.error))
            return
        answer = result.ok
        changes = tuple(
            ConfigurationChange(
                OBJECT_KINDS[change.kind], change.name, change.revision, change.spec
            )
            for change in answer.changes
            if change.kind in OBJECT_KINDS
        )
        delta = Delta(operation.after, answer.revision, changes)
        self._handle_result(ChangesWatched(operation.operation, delta))

    def _handle_result(self, result) -> None:
        self.election.handle(result, self._clock.now())
        self._process_outcomes()

    def _update_call_rate(self) -> None:
        """Set the rate of store calls: higher while this node is a watcher."""
        if self.is_watcher:
            self._store.set_call_rate(WATCHER_CALLS_PER_S, WATCHER_BURST)
        else:
            self._store.set_call_rate(CALLS_PER_S, CALL_BURST)

    def _process_outcomes(self) -> None:
        for outcome in self.election.take_outcomes():
            if isinstance(outcome, ChangesSeen):
                self._configuration.publish(outcome.delta)
            elif isinstance(outcome, ListingNeeded):
                self._start_listing()
            elif isinstance(outcome, LeaseAcquired):
                self._update_call_rate()
                eliot.log_message(
                    message_type="watch:acquired",
                    lease=outcome.slot.object_name,
                    token=outcome.token,
                )
            elif isinstance(outcome, LeaseLost):
                self._update_call_rate()
                eliot.log_message(
                    message_type="watch:gone",
                    lease=outcome.slot.object_name,
                    why=outcome.reason,
                )

    def _start_listing(self) -> None:
        if self._listing_pending:
            return
        self._listing_pending = True
        self._store.list_all("", self._on_listed, timeout_s=60.0)

    def _on_listed(self, result: Result[Listing, StoreError]) -> None:
        self._listing_pending = False
        self._note_contact(result)
        if result.is_error():
            return
        listing = result.ok
        now = self._clock.now()
        loader = ListingLoader(self._configuration.log, listing.revision)
        loader.load_page(
            (
                ConfigurationChange(
                    OBJECT_KINDS[item.kind], item.name, item.revision, item.spec
                )
                for item in listing.items
                if item.kind in OBJECT_KINDS
            ),
            now,
        )
        loader.finish(now)
        self._configuration.reload_services()
        self._configuration.on_revision(self._configuration.revision)

    def _note_contact(self, result: Result) -> None:
        self.reachable = result.is_ok() or result.error.kind not in (
            StoreErrorKind.AWAY,
            StoreErrorKind.OUTCOME_UNKNOWN,
            StoreErrorKind.BUDGET,
        )
        if self.reachable:
            self.last_contact = self._clock.now()


def _read_lease(stored: StoredObject) -> LeaseObject:
    spec = stored.spec
    return LeaseObject(
        stored.revision,
        stored.write_id,
        NodeId(str(spec.get("holder", ""))),
        str(spec.get("address", "")),
        Revision(int(spec.get("token", 0))),
    )


def _make_failure(operation: StoreOperation, error: StoreError):
    if error.kind in UNKNOWN_OUTCOME_ERRORS:
        return AnswerLost(operation.operation)
    return StoreUnavailable(operation.operation, error.retry_after_s)
