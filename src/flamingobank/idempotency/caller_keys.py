"""Run requests with caller-chosen keys at most once, coordinated by the store.

The store object of a key is created before the request runs and is not removed until
the key expires. The process whose write created the object, or changed it from "not
run" back to "running", may run the request.
"""

import hashlib
from dataclasses import dataclass

from expression import Result

from flamingobank.core import Fingerprint, RefusalCause, Revision, WorkspaceId
from flamingobank.idempotency.keys import KeeperName, shorten_fingerprint
from flamingobank.idempotency.messages import (
    KeyRejected,
    OutcomeUnknown,
    Replay,
    StillRunning,
)
from flamingobank.store import (
    GroupBudget,
    Spec,
    StoredObject,
    StoreError,
    StoreErrorKind,
    Written,
)

OBJECT_KIND = "key"
MAX_ANSWER_BYTES = 16_384
ISSUED_KEYS_HINT = "keys from POST /.flamingobank/keys work while the store is away"
RUNNING = "running"
DONE = "done"
NOT_RUN = "not-run"
UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class CallerKeyRun:
    """Permission to run a request once, with the store revision that granted it."""

    name: str
    revision: Revision
    fingerprint: int


@dataclass(frozen=True, slots=True)
class KeyWrite:
    """Ask this process to write a key's store object conditionally."""

    name: str
    spec: Spec
    expected: Revision | None
    fingerprint: int


CallerKeyDecision = (
    CallerKeyRun | KeyWrite | Replay | StillRunning | OutcomeUnknown | KeyRejected
)


def name_caller_key(workspace: WorkspaceId, key: str) -> str:
    """Return the name of a key's store object.

    The hash includes the workspace, so workspaces cannot use each other's keys.
    """
    text = f"{len(workspace)}/{workspace}/{key}"
    return hashlib.blake2b(text.encode(), digest_size=20).hexdigest()


class CallerKeys:
    """Decide from the store's answers whether a request with a caller key may run."""

    def __init__(self, owner: KeeperName, budget: GroupBudget) -> None:
        self._owner = owner
        self._budget = budget

    def begin(
        self, name: str, fingerprint: Fingerprint, expiry_s: int, now: float
    ) -> KeyWrite | KeyRejected:
        """Return the write that creates the key's object, or reject the request."""
        if not self._budget.take(now):
            detail = (
                f"the fleet's rate limit for chosen keys is reached; {ISSUED_KEYS_HINT}"
            )
            return KeyRejected(RefusalCause.LIMIT, detail)
        short = shorten_fingerprint(fingerprint)
        return KeyWrite(name, self._make_spec(RUNNING, short, expiry_s), None, short)

    def on_written(
        self, write: KeyWrite, result: Result[Written, StoreError], now: float
    ) -> CallerKeyDecision:
        """Decide from the result of a write that begin or this method returned."""
        if result.is_ok():
            return CallerKeyRun(write.name, result.ok.revision, write.fingerprint)
        error = result.error
        if error.kind is StoreErrorKind.CONFLICT and error.current is not None:
            return self._decide_existing(write, error.current)
        if error.kind is StoreErrorKind.THROTTLED:
            self._budget.record_throttled(now)
        if error.kind in (StoreErrorKind.OUTCOME_UNKNOWN, StoreErrorKind.REVERTED):
            return OutcomeUnknown(RefusalCause.STORE_AWAY)
        # Every other kind of error means that the write has no effect.
        return KeyRejected(RefusalCause.STORE_AWAY, f"{error}; {ISSUED_KEYS_HINT}")

    def end(
        self,
        run: CallerKeyRun,
        state: str,
        expiry_s: int,
        status: int = 0,
        text: str = "",
    ) -> KeyWrite:
        """Return the write that records the outcome: done, not-run or unknown."""
        spec = self._make_spec(state, run.fingerprint, expiry_s)
        if state == DONE:
            spec["status"] = status
            spec["answer"] = text if len(text) <= MAX_ANSWER_BYTES else None
        return KeyWrite(run.name, spec, run.revision, run.fingerprint)

    def _decide_existing(
        self, write: KeyWrite, stored: StoredObject
    ) -> CallerKeyDecision:
        spec = stored.spec
        if spec.get("fingerprint") != f"{write.fingerprint:016x}":
            return KeyRejected(
                RefusalCause.KEY_INVALID, "the key was used for another request"
            )
        state = spec.get("state")
        if state == DONE:
            answer = spec.get("answer")
            kept = answer.encode() if isinstance(answer, str) else None
            return Replay(int(spec.get("status", 0)), kept)
        if state == RUNNING:
            return StillRunning()
        if state != NOT_RUN or write.expected is not None:
            return OutcomeUnknown(RefusalCause.BROKEN)
        # The write succeeds only at the revision that was read. Of several writes that
        # change this object from "not run" to "running", even delayed ones, one
        # succeeds.
        return KeyWrite(write.name, write.spec, stored.revision, write.fingerprint)

    def _make_spec(self, state: str, fingerprint: int, expiry_s: int) -> dict:
        return {
            "state": state,
            "owner": f"{self._owner.node}/{self._owner.epoch}",
            "fingerprint": f"{fingerprint:016x}",
            "expiry_s": expiry_s,
        }
