"""Model how crash reports reach the other nodes."""

import random
from collections.abc import Callable

from benchmarks.events import EventQueue
from flamingobank.core import Fingerprint, InstanceId
from flamingobank.quarantine import Clearance, CrashLedger

PUSH_S = (0.001, 0.02)
# A lost push is repaired by the next exchange of revisions.
LOSS_RATIO = 0.1
REPAIR_S = (0.5, 2.0)


class CrashGossip:
    """Hold the ledger of one node and pass its reports on."""

    def __init__(self, events: EventQueue, rng: random.Random) -> None:
        self._events = events
        self._rng = rng
        self._ledger = CrashLedger()
        self.peers: list[CrashGossip] = []

    def report(
        self, fingerprint: Fingerprint, instance: InstanceId, crash_id: str
    ) -> None:
        """Record a crash seen here."""

        def deliver(node: "CrashGossip") -> None:
            now = self._events.clock.now()
            node._ledger.record_crash(fingerprint, instance, crash_id, now)

        self._spread(deliver)

    def report_completion(self, fingerprint: Fingerprint) -> None:
        """Record that a request completed here."""
        now = self._events.clock.now()
        for clearance in self._ledger.record_completion(fingerprint, now):
            self._spread_clearance(clearance)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Ask the ledger of this node."""
        return self._ledger.is_quarantined(fingerprint, self._events.clock.now())

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Ask the ledger of this node."""
        return self._ledger.is_suspect(fingerprint, self._events.clock.now())

    def _spread_clearance(self, clearance: Clearance) -> None:
        def deliver(node: "CrashGossip") -> None:
            node._ledger.record_clearance(clearance, self._events.clock.now())

        self._spread(deliver)

    def _spread(self, deliver: Callable[["CrashGossip"], None]) -> None:
        deliver(self)
        for peer in self.peers:
            if peer is self:
                continue
            delay_s = self._rng.uniform(*PUSH_S)
            if self._rng.random() < LOSS_RATIO:
                delay_s = self._rng.uniform(*REPAIR_S)
            self._events.call_after(delay_s, lambda peer=peer: deliver(peer))
