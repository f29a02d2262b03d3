"""Replicate the record of each running request to another node.

A node in another failure domain is preferred.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from flamingobank.core import FailureDomain, NodeId, rank_by_rendezvous
from flamingobank.idempotency.keys import KeeperName, KeyId
from flamingobank.idempotency.messages import (
    KeyRecord,
    KeyRecordAck,
    RunGranted,
    SendToNode,
)
from flamingobank.idempotency.table import KeyEntry, KeyState

# A replica that has not confirmed a record after this time counts as unreachable, and
# the next one is tried. A round trip between failure domains takes only 2 ms.
REPLICA_TIMEOUT_S = 0.1
MAX_REPLICAS_TRIED = 3
FINAL_RESEND_INTERVAL_S = 0.5
MAX_FINAL_RESENDS = 20


def rank_replicas(
    keeper: KeeperName,
    domain: FailureDomain,
    members: Mapping[NodeId, FailureDomain],
) -> list[NodeId]:
    """Order the nodes by preference for a keeper's records.

    Nodes in other failure domains come first. Every node computes nearly the
    same order, so any node can ask the first few for the records of a lost keeper.
    """
    others = [node for node in members if node != keeper.node]
    ranked = rank_by_rendezvous(f"{keeper.node}/{keeper.epoch}", others)
    return sorted(ranked, key=lambda node: members[node] == domain)


@dataclass(slots=True)
class PendingRecord:
    """A request from its acceptance until its outcome is recorded."""

    run: RunGranted
    record: KeyRecord
    deadline: float
    candidates: tuple[NodeId, ...]
    tried: int
    sent_at: float
    started: bool = False
    replica: NodeId | None = None


@dataclass(slots=True)
class FinalRecord:
    """The record of an outcome that a node has not confirmed yet."""

    record: KeyRecord
    sent_at: float
    resends: int = 0


class Replication:
    """Send records, resend unconfirmed ones and report requests that are overdue."""

    def __init__(self) -> None:
        self.candidates: tuple[NodeId, ...] = ()
        self._pending: dict[KeyId, PendingRecord] = {}
        self._finals: dict[tuple[KeyId, NodeId], FinalRecord] = {}

    def begin(
        self, run: RunGranted, fingerprint: int, deadline: float, now: float
    ) -> list[SendToNode]:
        """Return the record for the best replica, or nothing without a candidate."""
        candidates = self.candidates[:MAX_REPLICAS_TRIED]
        entry = KeyEntry(KeyState.RUNNING, run.generation, 0, fingerprint)
        record = _make_record(run, entry, None)
        pending = PendingRecord(run, record, deadline, candidates, 1, now)
        self._pending[run.key_id] = pending
        if not candidates:
            return []
        return [SendToNode(candidates[0], record)]

    def confirm(self, ack: KeyRecordAck) -> PendingRecord | None:
        """Handle a confirmation; return the pending request it belongs to, if any."""
        self._drop_confirmed_final(ack)
        pending = self._pending.get(ack.key_id)
        if pending is None or ack.version != pending.record.version:
            return None
        if pending.replica is None:
            pending.replica = ack.replica
        return pending

    def mark_started(self, key_id: KeyId) -> None:
        """Record that the request was allowed to run."""
        self._pending[key_id].started = True

    def remove(self, key_id: KeyId) -> None:
        """Drop a request that was refused before it ran."""
        self._pending.pop(key_id, None)

    def list_unstarted(self) -> list[PendingRecord]:
        """Return the requests that still wait for a replica's confirmation."""
        return [each for each in self._pending.values() if not each.started]

    def end(
        self,
        run: RunGranted,
        entry: KeyEntry,
        answer: bytes | None,
        successor: NodeId | None,
        now: float,
    ) -> list[SendToNode]:
        """Send the outcome of a request to its replica and to the successor, if any."""
        pending = self._pending.pop(run.key_id)
        record = _make_record(run, entry, answer)
        nodes = [pending.replica]
        if successor != pending.replica:
            nodes.append(successor)
        sends: list[SendToNode] = []
        for node in nodes:
            sends += self.send_until_confirmed(record, node, now)
        return sends

    def send_until_confirmed(
        self, record: KeyRecord, node: NodeId | None, now: float
    ) -> list[SendToNode]:
        """Send the record of an outcome to a node; tick resends it until confirmed."""
        if node is None:
            return []
        self._finals[(record.key_id, node)] = FinalRecord(record, now)
        return [SendToNode(node, record)]

    def tick(self, now: float) -> tuple[list[SendToNode], list[PendingRecord]]:
        """Return the records to resend and the requests that no replica confirmed."""
        sends: list[SendToNode] = []
        overdue: list[PendingRecord] = []
        for pending in self._pending.values():
            if pending.started:
                continue
            if now >= pending.deadline:
                overdue.append(pending)
                continue
            if now < pending.sent_at + REPLICA_TIMEOUT_S:
                continue
            if pending.tried >= len(pending.candidates):
                overdue.append(pending)
                continue
            sends.append(SendToNode(pending.candidates[pending.tried], pending.record))
            pending.tried += 1
            pending.sent_at = now
        return sends + self._resend_finals(now), overdue

    def _resend_finals(self, now: float) -> list[SendToNode]:
        sends = []
        for (key_id, node), final in list(self._finals.items()):
            if now < final.sent_at + FINAL_RESEND_INTERVAL_S:
                continue
            if final.resends >= MAX_FINAL_RESENDS:
                del self._finals[(key_id, node)]
                continue
            final.resends += 1
            final.sent_at = now
            sends.append(SendToNode(node, final.record))
        return sends

    def _drop_confirmed_final(self, ack: KeyRecordAck) -> None:
        final = self._finals.get((ack.key_id, ack.replica))
        if final is not None and final.record.version <= ack.version:
            del self._finals[(ack.key_id, ack.replica)]


def _make_record(run: RunGranted, entry: KeyEntry, answer: bytes | None) -> KeyRecord:
    # The record of the outcome must have the version after that of the running record.
    # The generation of the run is used for both, because "not run" has already
    # incremented the one in the entry.
    version = 2 * run.generation + (0 if entry.state is KeyState.RUNNING else 1)
    return KeyRecord(
        run.key_id,
        version,
        entry.state,
        entry.generation,
        entry.status,
        entry.fingerprint,
        run.expiry_s,
        answer,
    )
