"""Model of how crash reports reach the other nodes."""

import random
from collections.abc import Callable

from benchmarks.events import EventQueue
from flamingobank.core import Fingerprint
from flamingobank.quarantine import Clearance, CrashLedger, CrashReport

# A node that receives something new pushes it to 4 others, so each node is sent about 4
# copies.
PUSH_COPIES = 4
PUSH_DELAY_S = (0.001, 0.02)
LOSS_RATIO = 0.1
# A node that received no copy gets the report in an exchange of revisions.
REPAIR_DELAY_S = (0.5, 2.0)


class CrashGossip:
    """Crash ledger of one node, whose reports and clearances go to its peers."""

    def __init__(self, events: EventQueue, rng: random.Random) -> None:
        self._events = events
        self._rng = rng
        self._ledger = CrashLedger()
        self.peers: list[CrashGossip] = []

    def report(self, report: CrashReport) -> None:
        """Record a crash that this node observed and send it to the peers."""
        self._broadcast(lambda node: node.receive(report))

    def receive(self, report: CrashReport) -> None:
        """Record a crash that another node observed."""
        self._ledger.record_crash(
            report.fingerprint,
            report.instance,
            report.crash_id,
            self._events.clock.now(),
        )

    def report_completion(self, fingerprint: Fingerprint) -> None:
        """Record that a request completed here and send its clearances to the peers."""
        now = self._events.clock.now()
        for clearance in self._ledger.record_completion(fingerprint, now):
            self._broadcast_clearance(clearance)

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether this node's ledger quarantines the request."""
        return self._ledger.is_quarantined(fingerprint, self._events.clock.now())

    def is_suspect(self, fingerprint: Fingerprint) -> bool:
        """Return whether this node's ledger has an uncleared report of the request."""
        return self._ledger.is_suspect(fingerprint, self._events.clock.now())

    def _broadcast_clearance(self, clearance: Clearance) -> None:
        def deliver(node: "CrashGossip") -> None:
            node._ledger.record_clearance(clearance, self._events.clock.now())

        self._broadcast(deliver)

    def _broadcast(self, deliver: Callable[["CrashGossip"], None]) -> None:
        deliver(self)
        for peer in self.peers:
            if peer is self:
                continue
            self._events.call_after(self._draw_delay(), lambda peer=peer: deliver(peer))

    def _draw_delay(self) -> float:
        delays = [
            self._rng.uniform(*PUSH_DELAY_S)
            for _ in range(PUSH_COPIES)
            if self._rng.random() >= LOSS_RATIO
        ]
        return min(delays) if delays else self._rng.uniform(*REPAIR_DELAY_S)
