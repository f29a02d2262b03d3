"""Acquire and renew one watch lease with conditional writes."""

import random
from collections.abc import Callable

from flamingobank.configuration.operations import (
    AnswerLost,
    LeaseAcquired,
    LeaseConflict,
    LeaseLost,
    LeaseObject,
    LeaseRead,
    LeaseResult,
    LeaseSlot,
    LeaseWritten,
    ReadLease,
    StoreUnavailable,
    WriteLease,
)
from flamingobank.configuration.outcomes import RevisionRegressed
from flamingobank.core import NodeId, Revision

# Three renewal intervals: a renewal that the store answers with an error can be
# repeated before the lease lapses.
LEASE_S = 15.0
# With 10 domains, two watchers per domain that renew every 5 s cause 4 writes/s.
RENEW_INTERVAL_S = 5.0
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 30.0
OPERATION_TIMEOUT_S = 10.0

ClaimOutcome = LeaseAcquired | LeaseLost | RevisionRegressed


class LeaseClaim:
    """Claim one lease, renew it and notice its loss.

    All times are readings of this node's clock; clocks of different nodes are never
    compared. A lease has lapsed when its revision has not changed for LEASE_S since
    this node first read that revision.
    """

    def __init__(
        self,
        slot: LeaseSlot,
        local_node: NodeId,
        address: str,
        boot: str,
        rng: random.Random,
    ) -> None:
        self.slot = slot
        self._local_node = local_node
        self._address = address
        self._boot = boot
        self._rng = rng
        self.outcomes: list[ClaimOutcome] = []
        self.token: Revision | None = None
        self._lease: LeaseObject | None = None
        self._highest_revision = Revision(0)
        self._was_read = False
        self._revision_seen_at = 0.0
        self._deadline = 0.0
        self._next_at = 0.0
        self._failures = 0
        self._writes = 0
        self._pending: ReadLease | WriteLease | None = None
        self._pending_since = 0.0
        # Id and sending time of a write whose answer was lost, until a read shows
        # whether the write took effect.
        self._unconfirmed_write: tuple[str, float] | None = None

    @property
    def is_held(self) -> bool:
        """Tell whether this node held the lease at the last tick or result."""
        return self.token is not None

    def delay_first_call(self, now: float) -> None:
        """Delay the first store call randomly, so that nodes do not call at once."""
        self._next_at = now + self._rng.uniform(0.0, RENEW_INTERVAL_S)

    def tick(
        self, now: float, may_claim: bool, next_operation: Callable[[], int]
    ) -> ReadLease | WriteLease | None:
        """Return the next store operation if one is due."""
        self._check_deadline(now)
        if self._pending is not None:
            if now - self._pending_since < OPERATION_TIMEOUT_S:
                return None
            self._handle_lost_answer(now)
        if now < self._next_at or not (may_claim or self.is_held):
            return None
        self._pending_since = now
        self._pending = self._choose_operation(now, next_operation())
        return self._pending

    def handle(self, result: LeaseResult, now: float) -> bool:
        """Handle a result; return False if it answers no operation of this claim."""
        pending = self._pending
        if pending is None or result.operation != pending.operation:
            return False
        self._check_deadline(now)
        if isinstance(result, AnswerLost):
            self._handle_lost_answer(now)
            return True
        self._pending = None
        if isinstance(result, StoreUnavailable):
            self._back_off(now, result.retry_after_s)
            return True
        self._failures = 0
        if isinstance(result, LeaseWritten):
            self._handle_written(pending, result.revision, now)
        elif isinstance(result, LeaseConflict):
            # This process may have written it: a write can take effect after its answer
            # was lost.
            if not self._is_own_write(result.lease):
                self._drop_lease("another node wrote the lease")
            self._update_lease(result.lease, now)
        elif isinstance(result, LeaseRead):
            self._handle_read(result.lease, now)
        return True

    def _choose_operation(self, now: float, operation: int) -> ReadLease | WriteLease:
        if self._unconfirmed_write is not None or not (
            self.is_held or self._has_lapsed(now)
        ):
            return ReadLease(operation, self.slot)
        self._writes += 1
        return WriteLease(
            operation,
            self.slot,
            self._lease.revision if self._lease else Revision(0),
            f"{self._local_node}/{self._boot}/{self.slot.index}/{self._writes}",
            self._local_node,
            self._address,
            self.token or Revision(0),
        )

    def _has_lapsed(self, now: float) -> bool:
        if not self._was_read:
            return False
        if self._lease is None or self._is_own_write(self._lease):
            return True
        return now - self._revision_seen_at >= LEASE_S

    def _is_own_write(self, lease: LeaseObject | None) -> bool:
        prefix = f"{self._local_node}/{self._boot}/"
        return lease is not None and lease.write_id.startswith(prefix)

    def _handle_read(self, lease: LeaseObject | None, now: float) -> None:
        unconfirmed = self._unconfirmed_write
        self._unconfirmed_write = None
        if unconfirmed is not None and lease and lease.write_id == unconfirmed[0]:
            self._hold_lease(lease, sent_at=unconfirmed[1], now=now)
            return
        if self.is_held and (lease is None or lease.holder != self._local_node):
            self._drop_lease("another node holds the lease")
        self._update_lease(lease, now)

    def _update_lease(self, lease: LeaseObject | None, now: float) -> None:
        revision = lease.revision if lease else Revision(0)
        if lease is not None and revision < self._highest_revision:
            # The store went back to an older state, so its holder cannot be trusted.
            regressed = RevisionRegressed("store", revision, self._highest_revision)
            self.outcomes.append(regressed)
            self._back_off(now, 0.0)
            return
        self._highest_revision = max(self._highest_revision, revision)
        known = self._lease.revision if self._lease else Revision(0)
        if revision != known or not self._was_read:
            self._revision_seen_at = now
        self._was_read = True
        self._lease = lease
        if self.is_held:
            self._next_at = now
            return
        # The random delay keeps candidates for one lease from writing at the same time.
        wait_s = max(0.0, self._revision_seen_at + LEASE_S - now)
        if lease is None or self._is_own_write(lease):
            wait_s = 0.0
        self._next_at = now + wait_s + self._rng.uniform(0.0, RENEW_INTERVAL_S)

    def _handle_written(
        self, write: ReadLease | WriteLease, revision: Revision, now: float
    ) -> None:
        if not isinstance(write, WriteLease):
            return
        lease = LeaseObject(
            revision, write.write_id, self._local_node, self._address, write.token
        )
        self._hold_lease(lease, sent_at=self._pending_since, now=now)

    def _hold_lease(self, lease: LeaseObject, sent_at: float, now: float) -> None:
        if lease.revision < self._highest_revision:
            self.outcomes.append(
                RevisionRegressed("store", lease.revision, self._highest_revision)
            )
            self._back_off(now, 0.0)
            return
        self._lease = lease
        self._highest_revision = lease.revision
        self._revision_seen_at = now
        # Other nodes count LEASE_S from when they first read this revision, which
        # cannot be before the write was sent. The lease therefore ends here no later
        # than it lapses for them.
        self._deadline = sent_at + LEASE_S
        self._next_at = sent_at + RENEW_INTERVAL_S
        if self.token is None and now < self._deadline:
            self.token = lease.token or lease.revision
            self.outcomes.append(LeaseAcquired(self.slot, self.token))

    def _handle_lost_answer(self, now: float) -> None:
        if isinstance(self._pending, WriteLease):
            self._unconfirmed_write = (self._pending.write_id, self._pending_since)
        self._pending = None
        self._back_off(now, 0.0)

    def _back_off(self, now: float, at_least_s: float) -> None:
        limit = min(MAX_RETRY_S, FIRST_RETRY_S * 2**self._failures)
        self._failures = min(self._failures + 1, 10)
        self._next_at = now + at_least_s + self._rng.uniform(0.0, limit)

    def _check_deadline(self, now: float) -> None:
        if self.is_held and now >= self._deadline:
            self._drop_lease("the lease was not renewed in time")

    def _drop_lease(self, reason: str) -> None:
        if self.token is None:
            return
        self.token = None
        self.outcomes.append(LeaseLost(self.slot, reason))
