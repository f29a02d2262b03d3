"""Decide whether this node watches the store for its failure domain."""

import random
from collections.abc import Sequence

from flamingobank.configuration.claims import (
    FIRST_RETRY_S,
    MAX_RETRY_S,
    OPERATION_TIMEOUT_S,
    ClaimOutcome,
    LeaseClaim,
)
from flamingobank.configuration.operations import (
    AnswerLost,
    ChangesSeen,
    ChangesWatched,
    LeaseSlot,
    ListingNeeded,
    StoreOperation,
    StoreResult,
    StoreUnavailable,
    WatchChanges,
    WatchCompacted,
)
from flamingobank.configuration.outcomes import RevisionRegressed
from flamingobank.core import (
    BootId,
    FailureDomain,
    NodeId,
    Revision,
    rank_by_rendezvous,
)

LEASES_PER_DOMAIN = 2
# Only this many members of a domain compete for a lease, so the number of nodes that
# call the store does not grow with the domain.
CANDIDATES_PER_LEASE = 3
WATCH_TIMEOUT_S = 30.0

ElectionOutcome = ClaimOutcome | ChangesSeen | ListingNeeded


class WatchElection:
    """Claim the watch leases of the domain and watch the store while holding one.

    ``tick`` returns store operations; the node passes the result of each to ``handle``.
    """

    def __init__(
        self,
        local_node: NodeId,
        boot: BootId,
        domain: FailureDomain,
        address: str,
        rng: random.Random,
        now: float,
    ) -> None:
        self._local_node = local_node
        self._rng = rng
        self._claims = [
            LeaseClaim(LeaseSlot(domain, index), local_node, address, boot, rng)
            for index in range(LEASES_PER_DOMAIN)
        ]
        for claim in self._claims:
            claim.delay_first_call(now)
        self._candidates: dict[int, list[str]] = {}
        self._is_only_member = False
        self._last_operation = 0
        self._watch: WatchChanges | None = None
        self._watch_due_at = 0.0
        self._next_watch_at = now
        self._failures = 0
        self._outcomes: list[ElectionOutcome] = []

    @property
    def tokens(self) -> dict[LeaseSlot, Revision]:
        """Return the fencing token of each lease that this node holds."""
        return {claim.slot: claim.token for claim in self._claims if claim.is_held}

    def set_members(self, live: Sequence[NodeId]) -> None:
        """Set the live nodes of this node's domain, including this node."""
        self._is_only_member = len(live) <= 1
        for claim in self._claims:
            ranked = rank_by_rendezvous(claim.slot.object_name, live)
            self._candidates[claim.slot.index] = ranked[:CANDIDATES_PER_LEASE]

    def take_outcomes(self) -> list[ElectionOutcome]:
        """Return the outcomes since the last call, oldest first."""
        outcomes = self._outcomes
        for claim in self._claims:
            outcomes = outcomes + claim.outcomes
            claim.outcomes = []
        self._outcomes = []
        return outcomes

    def tick(self, now: float, revision: Revision) -> list[StoreOperation]:
        """Return the operations that are due; ``revision`` is the one in force here."""
        operations: list[StoreOperation] = []
        for claim in self._claims:
            operation = claim.tick(now, self._may_claim(claim), self._next_operation)
            if operation is not None:
                operations.append(operation)
        watch = self._tick_watch(now, revision)
        if watch is not None:
            operations.append(watch)
        return operations

    def handle(self, result: StoreResult, now: float) -> None:
        """Handle the result of an operation; ignore results of unknown or old ones."""
        if self._watch is not None and result.operation == self._watch.operation:
            self._handle_watch_result(result, now)
            return
        if isinstance(result, ChangesWatched | WatchCompacted):
            return
        for claim in self._claims:
            if claim.handle(result, now):
                return

    def _may_claim(self, claim: LeaseClaim) -> bool:
        if self._local_node not in self._candidates.get(claim.slot.index, ()):
            return False
        # If one node held both leases, the domain would have no second watcher.
        others = (other for other in self._claims if other is not claim)
        return self._is_only_member or not any(other.is_held for other in others)

    def _tick_watch(self, now: float, revision: Revision) -> WatchChanges | None:
        if not self.tokens:
            self._watch = None
            return None
        if self._watch is not None:
            if now < self._watch_due_at:
                return None
            self._watch = None
            self._back_off(now, 0.0)
        if now < self._next_watch_at:
            return None
        self._watch = WatchChanges(self._next_operation(), revision, WATCH_TIMEOUT_S)
        self._watch_due_at = now + WATCH_TIMEOUT_S + OPERATION_TIMEOUT_S
        return self._watch

    def _handle_watch_result(self, result: StoreResult, now: float) -> None:
        watch = self._watch
        self._watch = None
        if isinstance(result, AnswerLost | StoreUnavailable):
            at_least_s = getattr(result, "retry_after_s", 0.0)
            self._back_off(now, at_least_s)
            return
        if isinstance(result, WatchCompacted):
            self._outcomes.append(ListingNeeded(watch.after))
            self._back_off(now, 0.0)
            return
        if not isinstance(result, ChangesWatched):
            return
        if result.delta.revision < watch.after:
            regressed = RevisionRegressed("store", result.delta.revision, watch.after)
            self._outcomes.append(regressed)
            self._back_off(now, 0.0)
            return
        self._failures = 0
        self._next_watch_at = now
        if result.delta.changes:
            self._outcomes.append(ChangesSeen(result.delta))

    def _back_off(self, now: float, at_least_s: float) -> None:
        limit = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._next_watch_at = now + at_least_s + self._rng.uniform(0.0, limit)

    def _next_operation(self) -> int:
        self._last_operation += 1
        return self._last_operation
