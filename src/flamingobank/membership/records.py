"""Merge received member records and run suspicion timers."""

import enum
import math
from collections import deque
from dataclasses import replace

from flamingobank.core import BootId, NodeId, Revision
from flamingobank.membership.dissemination import UpdateQueue
from flamingobank.membership.messages import Member, MemberState
from flamingobank.membership.outcomes import (
    DuplicateAddress,
    DuplicateId,
    MemberJoined,
    MemberRemoved,
    MemberRestarted,
    MembershipOutcome,
    MemberUnreachable,
    Refuted,
)
from flamingobank.membership.table import MemberTable, is_newer

MIN_SUSPICION_S = 1.5
SUSPICION_S_PER_DECADE = 0.8
UNREACHABLE_RETENTION_S = 3600.0
# Longer than any node keeps a member as unreachable, so that no node still announces a
# dead member as alive after the others have removed its record.
DEAD_RETENTION_S = 2 * UNREACHABLE_RETENTION_S
RETENTION_CHECK_S = 10.0
# Another process that has claimed the id of this node this often, although this process
# refuted it each time, counts as alive. A process that this one replaced could not
# answer the refutations.
DUPLICATE_REFUTATIONS = 3
# Limits the outcomes kept if take_outcomes() is not called.
OUTCOMES_MAX = 4096
SHARED_ADDRESSES_MAX = 1024

_REMOVED_STATES = (MemberState.DEAD, MemberState.LEFT)


def compute_suspicion_s(members: int) -> float:
    """Return how long a suspect member has to refute the suspicion, in seconds."""
    return max(MIN_SUSPICION_S, SUSPICION_S_PER_DECADE * math.log10(max(1, members)))


class MergeResult(enum.Enum):
    """How a received record compares with the known one."""

    NEWER = "newer"
    SAME = "same"
    STALE = "stale"


class Records:
    """Record of this node and records of all other members."""

    def __init__(self, local_member: Member) -> None:
        self.local_member = local_member
        self.table = MemberTable()
        self.updates = UpdateQueue()
        self.outcomes: deque[MembershipOutcome] = deque(maxlen=OUTCOMES_MAX)
        # Set if a change should be sent immediately and not only with the next probe.
        self.has_urgent_updates = False
        self.stood_down = False
        self.newly_suspected: list[NodeId] = []
        self.newly_in_service: list[NodeId] = []
        self.newly_forgotten: list[NodeId] = []
        self._suspected_at: dict[NodeId, float] = {}
        self._out_of_service_since: dict[NodeId, float] = {}
        self._last_ack_at: dict[str, float] = {}
        self._contradictions: dict[BootId, int] = {}
        self._shared_addresses: set[tuple[NodeId, NodeId]] = set()
        self._next_retention_at = 0.0

    def merge_record(self, record: Member, now: float) -> MergeResult:
        """Merge a received record of any member, including this node."""
        if record.node_id == self.local_member.node_id:
            self._merge_own_record(record)
            return MergeResult.SAME
        known = self.table.get(record.node_id)
        if known is None:
            return self._merge_new_member(record, now)
        if not is_newer(record, known):
            return self._compare_older(record, known)
        if record.state is MemberState.DEAD and known.is_in_service:
            # The report may come from a single node that receives nothing from the
            # member. The member is therefore only suspected here and can still refute.
            record = replace(record, state=MemberState.SUSPECT)
        elif record.state is MemberState.UNREACHABLE and known.is_in_service:
            # Another node cannot reach the member's region. That is not adopted,
            # because each node decides for itself which regions it reaches.
            return MergeResult.SAME
        if not is_newer(record, known):
            return MergeResult.SAME
        self._store(record, known, now)
        return MergeResult.NEWER

    def suspect(self, node_id: NodeId, now: float, disseminate: bool) -> None:
        """Suspect a member whose probe failed, and notify the others if disseminate."""
        known = self.table.get(node_id)
        if known is None or known.state is not MemberState.ALIVE:
            return
        self._store(replace(known, state=MemberState.SUSPECT), known, now)
        if not disseminate:
            self.updates.drop(node_id)

    def record_ack(self, region: str, now: float) -> None:
        """Record that a member of a region has answered a probe."""
        self._last_ack_at[region] = now

    def raise_revision(self, node_id: NodeId, revision: Revision) -> None:
        """Record the configuration revision that a member reported, if it is higher."""
        if self.table.record_revision(node_id, revision):
            self.updates.raise_revision(node_id, revision)

    def expire(self, now: float) -> None:
        """Remove members that did not refute in time, and drop outdated records."""
        if self._suspected_at:
            self._expire_suspicions(now)
        if now < self._next_retention_at:
            return
        self._next_retention_at = now + RETENTION_CHECK_S
        for node_id, since in list(self._out_of_service_since.items()):
            self._expire_out_of_service(node_id, now - since, now)

    def restart_timers(self, now: float) -> None:
        """Restart all suspicion timers, after a pause of this process."""
        for node_id in self._suspected_at:
            self._suspected_at[node_id] = now

    def clear(self) -> None:
        """Drop all other members, because their records are outdated."""
        self.table = MemberTable()
        self.updates = UpdateQueue()
        self._suspected_at.clear()
        self._out_of_service_since.clear()
        self._last_ack_at.clear()

    def renew_incarnation(self, above: int) -> None:
        """Replace this node's record by one that refutes records up to an incarnation.

        The new incarnation is greater than above and the current one.
        """
        incarnation = max(self.local_member.incarnation, above) + 1
        self.local_member = replace(self.local_member, incarnation=incarnation)
        self.announce()

    def announce(self) -> None:
        """Queue the record of this node as an urgent update."""
        self.updates.add(self.local_member)
        self.has_urgent_updates = True

    def list_lost(self) -> list[Member]:
        """Return unreachable and dead members, which may return."""
        lost = (self.table.get(node_id) for node_id in self._out_of_service_since)
        return [item for item in lost if item and item.state is not MemberState.LEFT]

    def _merge_own_record(self, record: Member) -> None:
        local_member = self.local_member
        if local_member.state is MemberState.LEFT or self.stood_down:
            return
        if record.boot_id == local_member.boot_id:
            if record.incarnation < local_member.incarnation or not is_newer(
                record, local_member
            ):
                return
            self.renew_incarnation(record.incarnation)
            self.outcomes.append(Refuted(self.local_member.incarnation))
            return
        if record.incarnation < local_member.incarnation:
            return
        if record.is_in_service:
            self._count_contradiction(record)
        if self.stood_down:
            return
        self.renew_incarnation(record.incarnation)

    def _count_contradiction(self, record: Member) -> None:
        count = self._contradictions.get(record.boot_id, 0) + 1
        self._contradictions[record.boot_id] = count
        if count != DUPLICATE_REFUTATIONS:
            return
        self.stood_down = self.local_member.boot_id > record.boot_id
        self.outcomes.append(
            DuplicateId(
                node_id=self.local_member.node_id,
                own_boot=self.local_member.boot_id,
                other_boot=record.boot_id,
                other_address=record.udp,
                stands_down=self.stood_down,
            )
        )

    def _merge_new_member(self, record: Member, now: float) -> MergeResult:
        if record.state in _REMOVED_STATES:
            # A node that has removed a dead member does not take its record over again;
            # otherwise nodes would adopt it from each other and never remove it.
            return MergeResult.SAME
        self._store(record, None, now)
        return MergeResult.NEWER

    def _compare_older(self, record: Member, known: Member) -> MergeResult:
        if known.boot_id == record.boot_id:
            self.raise_revision(record.node_id, record.revision)
        if not is_newer(known, record):
            return MergeResult.SAME
        if known.incarnation == record.incarnation and known.is_in_service:
            # The sender does not know of a suspicion that this node knows. It need not
            # be corrected, because probes resolve the suspicion.
            return MergeResult.SAME
        return MergeResult.STALE

    def _store(self, record: Member, known: Member | None, now: float) -> None:
        if known is not None and record.boot_id == known.boot_id:
            revision = max(record.revision, known.revision)
            if revision != record.revision:
                record = replace(record, revision=revision)
        other = self.table.put(record)
        self._set_timers(record, now)
        if record.state is not MemberState.UNREACHABLE:
            self.updates.add(record)
            self.has_urgent_updates = True
        self._report_change(record, known)
        if other is not None and other != record.node_id:
            self._report_shared_address(record, other)

    def _set_timers(self, record: Member, now: float) -> None:
        node_id = record.node_id
        self._suspected_at.pop(node_id, None)
        if record.is_in_service:
            self._out_of_service_since.pop(node_id, None)
        else:
            self._out_of_service_since[node_id] = now
        if record.state is MemberState.SUSPECT:
            self._suspected_at[node_id] = now
            self.newly_suspected.append(node_id)

    def _report_change(self, record: Member, known: Member | None) -> None:
        was_in_service = known is not None and known.is_in_service
        in_service = record.is_in_service
        if in_service and not was_in_service:
            self.newly_in_service.append(record.node_id)
            self.outcomes.append(MemberJoined(record))
        if in_service and known is not None and known.boot_id != record.boot_id:
            self.outcomes.append(MemberRestarted(record, known.boot_id))
        if in_service:
            return
        if record.state is MemberState.UNREACHABLE:
            self.outcomes.append(MemberUnreachable(record))
        elif known is None or known.state not in _REMOVED_STATES:
            self.outcomes.append(MemberRemoved(record))

    def _report_shared_address(self, record: Member, other: NodeId) -> None:
        first, second = sorted((record.node_id, other))
        if (first, second) in self._shared_addresses:
            return
        if len(self._shared_addresses) >= SHARED_ADDRESSES_MAX:
            self._shared_addresses.clear()
        self._shared_addresses.add((first, second))
        self.outcomes.append(DuplicateAddress(record.udp, first, second))

    def _expire_suspicions(self, now: float) -> None:
        # The table does not contain this process, which is a member too.
        limit = compute_suspicion_s(self.table.count_in_service() + 1)
        for node_id, since in list(self._suspected_at.items()):
            if now - since < limit:
                continue
            known = self.table.get(node_id)
            reached = self._last_ack_at.get(known.region, -math.inf) > since
            state = MemberState.DEAD if reached else MemberState.UNREACHABLE
            self._store(replace(known, state=state), known, now)

    def _expire_out_of_service(self, node_id: NodeId, age_s: float, now: float) -> None:
        known = self.table.get(node_id)
        if known.state is MemberState.UNREACHABLE:
            if age_s >= UNREACHABLE_RETENTION_S:
                self._store(replace(known, state=MemberState.DEAD), known, now)
            return
        if age_s < DEAD_RETENTION_S:
            return
        del self._out_of_service_since[node_id]
        self.table.remove(node_id)
        self.updates.drop(node_id)
        self.newly_forgotten.append(node_id)
