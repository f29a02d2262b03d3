"""Admission queue for the work of one service on its home."""

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

# Bounds the memory when deadlines are far away and durations are tiny.
MAX_WAITING = 10_000
# Share of each server's slots that long work may hold beside short work.
LONG_SHARE = 0.75


class AdmissionQueue:
    """Waiting and running work of one service on its home.

    All times are seconds of one monotonic clock. A time earlier than the latest one
    seen is treated as the latest one.
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
        # Running short work, in order of start.
        self._running_short: deque[QueueEntry] = deque()
        self._refused: list[RefusedWork] = []
        self._sequence = itertools.count()
        self._now = 0.0

    @property
    def waiting(self) -> int:
        """Return the number of waiting pieces of work."""
        return self._lanes.count

    def set_server(self, instance: InstanceId, slots: int) -> ServerChange:
        """Set the number of slots that a server announced; add the server if new."""
        return self._slots.set_slots(instance, slots)

    def set_usable(self, instance: InstanceId, usable: int | None) -> ServerChange:
        """Limit the usable slots of a server; 0 for a drain or an ejection.

        The limit stays in force across announcements; None removes it.
        """
        return self._slots.set_usable(instance, usable)

    def remove_server(self, instance: InstanceId) -> bool:
        """Remove a server; finish() must still be called for the work on it."""
        return self._slots.remove(instance)

    def list_running(self, instance: InstanceId) -> list[Work]:
        """Return the work in flight on a server, for crash reports."""
        return [
            entry.work
            for entry in self._entries.values()
            if entry.server is not None and entry.server.instance == instance
        ]

    def measure_load(self, now: float) -> ServiceLoad:
        """Return the load to report to the entry with each answer."""
        self._advance_clock(now)
        return ServiceLoad(
            self._lanes.estimate_short_delay(self._now),
            self._slots.free,
            self._slots.usable,
        )

    def offer(self, work: Work, now: float) -> Admitted | Refusal:
        """Queue the work, or refuse it at once as not run."""
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
        """Take the next work to start, with its possible servers; None if none may.

        Call start() or put_back() for the taken work before the next take().
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
        """Assign taken work a slot of a server; only STARTED work may be sent."""
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
        """Put taken work back in its place; return False if it is not taken."""
        self._advance_clock(now)
        entry = self._entries.get(work.request_id)
        if entry is None or entry.state is not QueueEntryState.TAKEN:
            return False
        self._lanes.put_back(entry)
        return True

    def finish(self, work: Work, now: float, completed: bool = True) -> bool:
        """Release the slot of work; return False if it is not running here.

        Only the duration of completed work, not of failed or cancelled work, is
        included in the statistics.
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
        """Cancel waiting work; running work keeps its slot until finish()."""
        self._advance_clock(now)
        entry = self._entries.get(request_id)
        if entry is None:
            return CancelOutcome.NOT_FOUND
        if entry.state is QueueEntryState.RUNNING:
            return CancelOutcome.RUNNING
        self._drop(entry)
        return CancelOutcome.NOT_RUN

    def expire(self, now: float) -> list[RefusedWork]:
        """Refuse overdue work; return all work refused since the last call.

        The returned work was not run.
        """
        self._advance_clock(now)
        self._expire()
        refused = self._refused
        self._refused = []
        return refused

    def get_next_wakeup(self) -> float:
        """Return when to call expire() and take() if no other event occurs."""
        lanes = self._lanes
        quiet_period_end = lanes.get_quiet_period_end()
        if quiet_period_end <= self._now:
            quiet_period_end = math.inf
        first = min(
            lanes.customer.expiry.get_earliest_start(),
            lanes.internal.expiry.get_earliest_start(),
        )
        # Work may still start exactly at its latest start time, and is late just after.
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
            detail = f"service {self.service} has no usable slot on this home"
            return refuse(RefusalCause.NO_CAPACITY, detail)
        if self._lanes.count >= MAX_WAITING:
            return refuse(
                RefusalCause.LIMIT,
                f"service {self.service}: {self._lanes.count} requests are queued, "
                f"at most {MAX_WAITING} are allowed",
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
        detail = f"request {entry.work.request_id} cannot finish by its deadline"
        self._refused.append(
            RefusedWork(entry.work, refuse(RefusalCause.DEADLINE, detail))
        )

    def _drop(self, entry: QueueEntry) -> None:
        """Remove an entry that has not started."""
        self._lanes.remove(entry)
        del self._entries[entry.work.request_id]

    def _reclassify_overdue(self) -> None:
        """Reclassify running short work that exceeds the limit as long."""
        long_after_s = self._policy.long_after_s
        while self._running_short:
            entry = self._running_short[0]
            if entry.state is QueueEntryState.RUNNING:
                if self._now - entry.started_at <= long_after_s:
                    return
                entry.slot_lane = Lane.LONG
                self._slots.reclassify_as_long(entry.server)
            self._running_short.popleft()
