"""Admit, order and start the work of one service on a home."""

import itertools
import math
from collections import deque

from flamingobank.admission.entries import QueueEntry, QueueEntryState
from flamingobank.admission.lanes import WAIT_MARGIN, Lanes
from flamingobank.admission.long_work import LongWorkPolicy, clamp_cost
from flamingobank.admission.refusals import (
    refuse,
    refuse_duplicate,
    refuse_late,
    validate_work,
)
from flamingobank.admission.slots import SlotTable
from flamingobank.admission.work import (
    Admitted,
    CancelOutcome,
    Lane,
    RefusedWork,
    ServerChange,
    ServiceLoad,
    StartOutcome,
    TakenWork,
    Work,
)
from flamingobank.core import (
    InstanceId,
    Invariant,
    Refusal,
    RefusalCause,
    RequestId,
    ServiceName,
    check_invariant,
)

# Bounds memory when deadlines are far away and durations are tiny.
MAX_WAITING = 10_000
LONG_SHARE = 0.75


class AdmissionQueue:
    """Hold the waiting and running work of one service on its home.

    All readings are seconds of one monotonic clock; a reading that jumped back
    counts as the latest one seen.
    """

    def __init__(
        self,
        service: ServiceName,
        long_share: float = LONG_SHARE,
        policy: LongWorkPolicy | None = None,
    ) -> None:
        self.service = service
        self._policy = policy or LongWorkPolicy()
        self._slots = SlotTable(long_share)
        self._lanes = Lanes(self._slots, self._policy)
        self._entries: dict[RequestId, QueueEntry] = {}
        # Short work in slots, in order of its start.
        self._running_short: deque[QueueEntry] = deque()
        self._refused: list[RefusedWork] = []
        self._sequence = itertools.count()
        self._now = 0.0

    @property
    def waiting(self) -> int:
        """Return how many pieces of work wait."""
        return self._lanes.count

    def set_server(self, instance: InstanceId, slots: int) -> ServerChange:
        """Set the slots that a server announced."""
        return self._slots.set_slots(instance, slots)

    def set_usable(self, instance: InstanceId, usable: int | None) -> ServerChange:
        """Bound the slots to fill on a server; 0 for a drain or an ejection.

        The bound outlives announcements; None removes it.
        """
        return self._slots.set_usable(instance, usable)

    def remove_server(self, instance: InstanceId) -> bool:
        """Forget a server; finish() is still due for the work on it."""
        return self._slots.remove(instance)

    def list_running(self, instance: InstanceId) -> list[Work]:
        """Return the work in flight on a server, for a crash report."""
        return [
            entry.work
            for entry in self._entries.values()
            if entry.server is not None and entry.server.instance == instance
        ]

    def measure_load(self, now: float) -> ServiceLoad:
        """Return the load that each answer tells to the entry."""
        self._advance_clock(now)
        return ServiceLoad(
            self._lanes.estimate_short_delay(self._now),
            self._slots.free,
            self._slots.usable,
        )

    def offer(self, work: Work, now: float) -> Admitted | Refusal:
        """Queue work, or refuse it at once as not run."""
        self._advance_clock(now)
        refusal = self._validate_offer(work)
        if refusal is not None:
            return refusal
        lane = self._policy.classify(work)
        run_s, reserve_s = self._policy.estimate(work, self._now)
        cost_s = clamp_cost(run_s)
        wait_s = self._lanes.estimate_wait(work, lane, cost_s, self._now)
        if self._now + WAIT_MARGIN * wait_s + reserve_s > work.deadline:
            self._lanes.note_refusal(work, self._now)
            return refuse_late(work, wait_s, run_s, self._now)
        latest_start = work.deadline - reserve_s
        entry = QueueEntry(work, lane, cost_s, latest_start, next(self._sequence))
        self._entries[work.request_id] = entry
        self._lanes.push(entry, self._now)
        return Admitted(lane, wait_s)

    def take(self, now: float) -> TakenWork | None:
        """Return the next work to start and where; None when nothing may start.

        Each taken work needs a start() or put_back() before the next take().
        """
        self._advance_clock(now)
        self._reclassify_overdue()
        self._expire()
        if self._slots.free <= 0:
            return None
        for group, lane in self._lanes.rank(self._now):
            limit = self._lanes.get_limit(group, lane, self._now)
            if limit is None:
                continue
            servers = self._slots.list_available(lane, limit)
            if not servers:
                continue
            entry = self._lanes.pop(group, lane)
            entry.limit = limit
            return TakenWork(entry.work, entry.lane, servers)
        return None

    def start(self, work: Work, instance: InstanceId, now: float) -> StartOutcome:
        """Give taken work a slot of a server; only STARTED work may be sent."""
        self._advance_clock(now)
        entry = self._entries.get(work.request_id)
        if entry is None or entry.state is not QueueEntryState.TAKEN:
            return StartOutcome.NOT_TAKEN
        if work.deadline <= self._now:
            self._refuse_waiting(entry)
            return StartOutcome.NOT_TAKEN
        server = self._slots.acquire(instance, entry.lane, entry.limit)
        if server is None:
            self._lanes.put_back(entry)
            return StartOutcome.NO_SLOT
        check_invariant(
            Invariant.NOT_RUN, entry.started_at is None, request=work.request_id
        )
        entry.state = QueueEntryState.RUNNING
        entry.server = server
        entry.started_at = self._now
        self._lanes.note_start(work)
        if entry.lane is Lane.SHORT:
            self._running_short.append(entry)
        return StartOutcome.STARTED

    def put_back(self, work: Work, now: float) -> bool:
        """Return taken work to its place; False when it is not taken."""
        self._advance_clock(now)
        entry = self._entries.get(work.request_id)
        if entry is None or entry.state is not QueueEntryState.TAKEN:
            return False
        self._lanes.put_back(entry)
        return True

    def finish(self, work: Work, now: float, completed: bool = True) -> bool:
        """Free the slot of work; False when it does not run here.

        Only completed work, not broken or cancelled work, counts as a measured run.
        """
        self._advance_clock(now)
        entry = self._entries.get(work.request_id)
        if entry is None or entry.state is not QueueEntryState.RUNNING:
            return False
        del self._entries[work.request_id]
        entry.state = QueueEntryState.GONE
        self._slots.release(entry.server, entry.slot_lane)
        if completed:
            duration_s = self._now - entry.started_at
            self._policy.observe(work.route, entry.lane, duration_s, self._now)
        return True

    def cancel(self, request_id: RequestId, now: float) -> CancelOutcome:
        """Drop work that waits; running work keeps its slot until finish()."""
        self._advance_clock(now)
        entry = self._entries.get(request_id)
        if entry is None:
            return CancelOutcome.NOT_FOUND
        if entry.state is QueueEntryState.RUNNING:
            return CancelOutcome.RUNNING
        self._drop(entry)
        return CancelOutcome.NOT_RUN

    def expire(self, now: float) -> list[RefusedWork]:
        """Return the work that was refused as not run since the last call."""
        self._advance_clock(now)
        self._expire()
        refused = self._refused
        self._refused = []
        return refused

    def get_next_wakeup(self) -> float:
        """Return when expire() and take() are due without another event."""
        lanes = self._lanes
        quiet_period_end = lanes.get_quiet_period_end()
        if quiet_period_end <= self._now:
            quiet_period_end = math.inf
        first = min(
            lanes.customer.expiry.get_earliest_start(),
            lanes.internal.expiry.get_earliest_start(),
        )
        # At its latest start work may still start; it is late right after it.
        return min(math.nextafter(first, math.inf), quiet_period_end)

    def _advance_clock(self, now: float) -> None:
        if now > self._now and now != math.inf:
            self._now = now

    def _validate_offer(self, work: Work) -> Refusal | None:
        if work.request_id in self._entries:
            return refuse_duplicate(work)
        refusal = validate_work(work, self._now)
        if refusal is not None:
            return refusal
        if self._slots.usable <= 0:
            detail = f"service {self.service} has no usable slot here"
            return refuse(RefusalCause.NO_CAPACITY, detail)
        if self._lanes.count >= MAX_WAITING:
            return refuse(
                RefusalCause.LIMIT,
                f"service {self.service}: {self._lanes.count} pieces of work wait, "
                f"at most {MAX_WAITING} may",
            )
        return None

    def _expire(self) -> None:
        for heap in (self._lanes.customer.expiry, self._lanes.internal.expiry):
            entry = heap.pop_due(self._now)
            while entry is not None:
                self._lanes.note_refusal(entry.work, self._now)
                self._refuse_waiting(entry)
                entry = heap.pop_due(self._now)

    def _refuse_waiting(self, entry: QueueEntry) -> None:
        check_invariant(
            Invariant.NOT_RUN,
            entry.started_at is None and entry.server is None,
            request=entry.work.request_id,
            state=entry.state.value,
        )
        self._drop(entry)
        detail = f"request {entry.work.request_id}: too late to finish by its deadline"
        self._refused.append(
            RefusedWork(entry.work, refuse(RefusalCause.DEADLINE, detail))
        )

    def _drop(self, entry: QueueEntry) -> None:
        """Forget an entry that has not started."""
        self._lanes.remove(entry)
        del self._entries[entry.work.request_id]

    def _reclassify_overdue(self) -> None:
        """Count short work that runs too long as long from now on."""
        long_after_s = self._policy.long_after_s
        while self._running_short:
            entry = self._running_short[0]
            if entry.state is QueueEntryState.RUNNING:
                if self._now - entry.started_at <= long_after_s:
                    return
                entry.slot_lane = Lane.LONG
                self._slots.reclassify_as_long(entry.server)
            self._running_short.popleft()
