"""Write the decisions that this node makes by itself to the audit trail."""

import random
import time

from flamingobank.audit import AuditEntry, AuditTrail
from flamingobank.core import Clock, NodeId
from flamingobank.loop import Timers
from flamingobank.store import StoreClient

AUDIT_KIND = "audit"
TICK_INTERVAL_S = 1.0


class DecisionAudit:
    """Collect decisions with their evidence and write them in batches."""

    def __init__(
        self,
        node_id: NodeId,
        boot: str,
        clock: Clock,
        timers: Timers,
        rng: random.Random,
        store: StoreClient,
    ) -> None:
        self._node_id = node_id
        self._clock = clock
        self._store = store
        self._trail = AuditTrail(boot, clock, rng)
        timers.call_every(TICK_INTERVAL_S, self._tick)

    def record(
        self, what: str, subject: str, before: str, after: str, evidence: str
    ) -> None:
        """Add a decision to the next batch.

        `what` names the kind of decision and `subject` the object it is about.
        """
        entry = AuditEntry(
            self._trail.new_entry_id(),
            f"node/{self._node_id}",
            f"{what} {subject}",
            time.time_ns() // 1_000_000,
            before,
            after,
            "done",
            evidence,
        )
        self._trail.add(entry)

    def _tick(self) -> None:
        batch = self._trail.tick(self._clock.now(), time.time())
        if batch is None:
            return
        self._store.put(
            AUDIT_KIND,
            batch.name,
            batch.spec,
            lambda result: self._trail.on_written(result, self._clock.now()),
            write_id=batch.write_id,
        )
