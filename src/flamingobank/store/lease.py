"""Leases in the store with fencing tokens.

The clocks of two nodes cannot be compared, so the object holds the term of the
lease and no time of day. The holder counts the term from before it sent the write,
and a contender counts it from when it read the write, so the lease always expires
at the holder first.
"""

import enum
import random
from dataclasses import dataclass

from expression import Result

from flamingobank.core import Revision
from flamingobank.store.values import Spec, StoredObject, StoreErrorKind, Written

KIND = "lease"
TERM_S = 15.0
# Renewal after a third of the term leaves time for two more attempts.
RENEW_FRACTION = 1 / 3
# The clock rates of two nodes may differ by this ratio.
MAX_DRIFT_RATIO = 0.01


class LeaseActionKind(enum.Enum):
    """Name the store call that a lease needs."""

    READ = "read"
    WRITE = "write"
    RELEASE = "release"


@dataclass(frozen=True, slots=True)
class LeaseAction:
    """A store call that the caller must make for a lease.

    The caller passes its result to ``on_read`` or, with this action, to
    ``on_written``.
    """

    kind: LeaseActionKind
    name: str
    expected: Revision | None = None
    spec: Spec | None = None
    started_at: float = 0.0


class StoreLease:
    """Acquire, renew and release one lease; ``now`` is monotonic, in seconds.

    ``holder`` must be unique for each start of a process.
    """

    def __init__(
        self,
        name: str,
        holder: str,
        address: str,
        rng: random.Random,
        term_s: float = TERM_S,
    ) -> None:
        self.name = name
        # The fencing token grows with each acquisition; receivers refuse a lower one.
        self.token: Revision | None = None
        self._holder = holder
        self._address = address
        self._rng = rng
        self._term_s = term_s
        self._deadline = 0.0
        self._revision: Revision | None = None
        self._busy = False
        self._next_at = 0.0
        self._seen: StoredObject | None = None
        self._seen_at = 0.0

    def is_held(self, now: float) -> bool:
        """Tell whether the lease is held now; check again after any pause."""
        return self.token is not None and now < self._deadline

    def get_other_holder(self) -> Spec | None:
        """Return the lease's spec as last read if another node holds it."""
        if self._seen is None or self._seen.spec.get("holder") == self._holder:
            return None
        return self._seen.spec

    def tick(self, now: float) -> LeaseAction | None:
        """Return the next call to make, None if none is due."""
        if self.token is not None and now >= self._deadline:
            self._drop_lease(now)
        if self._busy or now < self._next_at:
            return None
        if self.token is not None:
            return self._write(self._revision, now)
        if self._seen is None or not self._may_acquire(now):
            self._busy = True
            return LeaseAction(LeaseActionKind.READ, self.name, started_at=now)
        return self._write(self._seen.revision, now)

    def on_read(
        self, result: Result[StoredObject, object], now: float
    ) -> LeaseAction | None:
        """Handle the result of a read; return a write if the lease can be acquired."""
        self._busy = False
        self._next_at = now + self._term_s * (0.2 + 0.3 * self._rng.random())
        if result.is_error():
            self._seen = None
            if result.error.kind is StoreErrorKind.NOT_FOUND:
                return self._write(None, now)
            return None
        if self._seen is None or self._seen.revision != result.ok.revision:
            self._seen = result.ok
            self._seen_at = now
        if self._may_acquire(now):
            return self._write(self._seen.revision, now)
        return None

    def on_written(
        self, action: LeaseAction, result: Result[Written, object], now: float
    ) -> None:
        """Handle the result of a write; the term counts from the start of the write."""
        self._busy = False
        if result.is_error():
            self._on_write_failed(result.error.kind, now)
            return
        revision = result.ok.revision
        deadline = action.started_at + self._term_s * (1 - MAX_DRIFT_RATIO)
        if self.token is None:
            # A renewal that is confirmed after the lease expired here counts as a
            # new acquisition as well.
            self.token = revision
        self._revision = revision
        self._deadline = deadline
        self._next_at = action.started_at + self._term_s * RENEW_FRACTION
        if now >= deadline:
            self._drop_lease(now)

    def release(self, now: float) -> LeaseAction | None:
        """Release the lease; return the call that removes its object, if any."""
        if self.token is None or self._revision is None:
            return None
        revision = self._revision
        self._drop_lease(now)
        self._next_at = now + self._term_s
        return LeaseAction(LeaseActionKind.RELEASE, self.name, revision)

    def _may_acquire(self, now: float) -> bool:
        if self._seen.spec.get("holder") == self._holder:
            return True
        term_ms = self._seen.spec.get("term_ms")
        term_s = term_ms / 1000 if isinstance(term_ms, int) else self._term_s
        return now >= self._seen_at + term_s * (1 + MAX_DRIFT_RATIO)

    def _write(self, expected: Revision | None, now: float) -> LeaseAction:
        spec = {
            "holder": self._holder,
            "address": self._address,
            "term_ms": int(self._term_s * 1000),
        }
        if self.token is not None:
            # The token is the revision of the write that acquired the lease. That write
            # cannot hold it, so without a token in the spec, the object's revision is
            # the token.
            spec["token"] = self.token
        self._busy = True
        return LeaseAction(LeaseActionKind.WRITE, self.name, expected, spec, now)

    def _on_write_failed(self, kind: StoreErrorKind, now: float) -> None:
        if kind in (StoreErrorKind.CONFLICT, StoreErrorKind.NOT_FOUND):
            self._drop_lease(now)
            return
        # After most errors the lease is kept until its old deadline and the write is
        # tried again. After an unknown outcome the lease is dropped and its revision
        # is read before the next write, because the write may have taken effect.
        self._next_at = now + self._term_s * 0.1 * self._rng.random()
        if kind is StoreErrorKind.OUTCOME_UNKNOWN:
            self._drop_lease(now)

    def _drop_lease(self, now: float) -> None:
        self.token = None
        self._revision = None
        self._deadline = 0.0
        self._seen = None
        self._next_at = now + self._term_s * 0.1 * self._rng.random()
