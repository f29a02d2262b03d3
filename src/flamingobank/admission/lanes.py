"""Order the four lanes of a service: short and long work of two traffic classes."""

import math

from flamingobank.admission.entries import QueueEntry, QueueEntryState
from flamingobank.admission.expiry import ExpiryHeap
from flamingobank.admission.fair_queue import FairQueue
from flamingobank.admission.long_work import LongWorkPolicy
from flamingobank.admission.meters import LoadMeter
from flamingobank.admission.slots import SlotLimit, SlotTable
from flamingobank.admission.work import Lane, Work
from flamingobank.objects import TrafficClass

# Internal work gets 1 start in 20 (5%) while customer work waits.
CUSTOMER_STARTS_PER_INTERNAL = 19
INTERNAL_SHARE = 0.05
# Estimated waits are multiplied by this before they are compared with a deadline,
# because they are computed from mean durations and the real wait can be longer.
WAIT_MARGIN = 1.25
# For this long after customer work was refused for lack of capacity, internal work does
# not get its guaranteed starts, as the next customer work could miss its deadline too.
RISK_AFTER_REFUSAL_S = 1.0
# Long work may use the slots reserved for short work only when no short work has
# arrived for this long, because running work is not preempted.
SHORT_QUIET_PERIOD_S = 5.0
# Waiting long work gets at least one in four of the slots, so that it is not starved.
LONG_GUARANTEED_SHARE = 0.25
# The reserve for short work exceeds its mean load by this many times the square root of
# the load.
SHORT_HEADROOM_DEVIATIONS = 1.5


class ClassLanes:
    """Waiting work of one traffic class."""

    __slots__ = ("expiry", "internal", "long", "long_load", "short", "short_load")

    def __init__(self, internal: bool) -> None:
        self.internal = internal
        self.short = FairQueue()
        self.long = FairQueue()
        self.expiry = ExpiryHeap()
        # Load of the admitted work, in slots.
        self.short_load = LoadMeter()
        self.long_load = LoadMeter()

    @property
    def count(self) -> int:
        """Return the number of waiting entries."""
        return self.short.count + self.long.count

    def get_queue(self, lane: Lane) -> FairQueue:
        """Return the queue for short or for long work."""
        return self.short if lane is Lane.SHORT else self.long

    def measure_load(self, now: float) -> float:
        """Return the mean number of slots that the admitted work occupies."""
        return self.short_load.measure(now) + self.long_load.measure(now)


class Lanes:
    """Waiting work of a service, and the rules for which lane is served next."""

    def __init__(self, slots: SlotTable, policy: LongWorkPolicy) -> None:
        self._slots = slots
        self._policy = policy
        self.customer = ClassLanes(internal=False)
        self.internal = ClassLanes(internal=True)
        self._last_short_at = -math.inf
        self._customer_refused_at = -math.inf
        self._customer_starts = 0

    @property
    def count(self) -> int:
        """Return the number of waiting entries."""
        return self.customer.count + self.internal.count

    @property
    def has_waiting_long(self) -> bool:
        """Return whether any long work waits."""
        return self.customer.long.count > 0 or self.internal.long.count > 0

    def get_group(self, work: Work) -> ClassLanes:
        """Return the lanes of the work's traffic class."""
        if work.traffic_class is TrafficClass.CUSTOMER:
            return self.customer
        return self.internal

    def push(self, entry: QueueEntry, now: float) -> None:
        """Add a new entry and count it in the load of its lane."""
        group = self.get_group(entry.work)
        if entry.lane is Lane.SHORT:
            group.short.push(entry)
            group.short_load.add(entry.cost_s, now)
            self._last_short_at = now
        else:
            group.long.push(entry)
            group.long_load.add(entry.cost_s, now)
        group.expiry.push(entry)

    def pop(self, group: ClassLanes, lane: Lane) -> QueueEntry:
        """Remove and return the next entry of a lane that is not empty."""
        entry = group.get_queue(lane).pop()
        group.expiry.compact(group.count)
        return entry

    def put_back(self, entry: QueueEntry) -> None:
        """Requeue an entry that was popped and could not be started."""
        group = self.get_group(entry.work)
        group.get_queue(entry.lane).put_back(entry)
        group.expiry.push(entry)

    def remove(self, entry: QueueEntry) -> None:
        """Remove an entry that has not started."""
        was_queued = entry.state is QueueEntryState.QUEUED
        entry.state = QueueEntryState.GONE
        if not was_queued:
            return
        group = self.get_group(entry.work)
        group.get_queue(entry.lane).note_removal(entry)
        group.expiry.compact(group.count)

    def note_refusal(self, work: Work, now: float) -> None:
        """Record that work was refused for lack of capacity."""
        if work.traffic_class is TrafficClass.CUSTOMER:
            self._customer_refused_at = now

    def note_start(self, work: Work) -> None:
        """Count a start towards the share of internal work."""
        if work.traffic_class is TrafficClass.INTERNAL:
            self._customer_starts = 0
            return
        # Starts count only while internal work waits, so that no share accumulates.
        if self.internal.count:
            self._customer_starts += 1

    def rank(self, now: float) -> list[tuple[ClassLanes, Lane]]:
        """Return the lanes that hold work, in the order in which to serve them."""
        ranked = []
        groups = (self.customer, self.internal)
        if self._is_internal_due(now):
            groups = (self.internal, self.customer)
        long_first = self._slots.long_in_use < self._count_guaranteed_slots()
        for group in groups:
            if long_first and group.long.count:
                ranked.append((group, Lane.LONG))
            if group.short.count:
                ranked.append((group, Lane.SHORT))
            if not long_first and group.long.count:
                ranked.append((group, Lane.LONG))
        return ranked

    def get_limit(self, group: ClassLanes, lane: Lane, now: float) -> SlotLimit | None:
        """Return the limit on the slots of a lane, or None if it must wait."""
        if lane is Lane.SHORT or self.is_short_quiet(now):
            return SlotLimit.ALL
        if self._slots.long_in_use >= self._count_long_slots(group, now):
            return None
        return SlotLimit.LONG_SHARE

    def is_short_quiet(self, now: float) -> bool:
        """Return whether no short work waits and none arrived in the quiet period."""
        # Uses the same sum as get_quiet_period_end(), so that both round alike.
        if now < self._last_short_at + SHORT_QUIET_PERIOD_S:
            return False
        return not (self.customer.short.count or self.internal.short.count)

    def get_quiet_period_end(self) -> float:
        """Return when the quiet period ends, or infinity if no long work waits."""
        return (
            self._last_short_at + SHORT_QUIET_PERIOD_S
            if self.has_waiting_long
            else math.inf
        )

    def estimate_wait(self, work: Work, lane: Lane, cost_s: float, now: float) -> float:
        """Estimate the seconds that new work waits before it starts."""
        group = self.get_group(work)
        queue = group.get_queue(lane)
        ahead_s = queue.estimate_ahead(work.workspace, work.deadline, cost_s)
        slots = self._count_serving_slots(group, lane, now)
        if group.internal:
            ahead_s += self.customer.get_queue(lane).backlog_s
            left = self._slots.usable - self.customer.measure_load(now)
            slots = max(INTERNAL_SHARE * self._slots.usable, min(slots, left))
        if self._slots.free <= 0:
            # Work must also wait until the first of the slots is freed. That takes
            # about the mean duration divided by the number of slots, so the mean is
            # added before the division.
            ahead_s += self._policy.short_mean_s
        return ahead_s / max(slots, INTERNAL_SHARE)

    def estimate_short_delay(self, now: float) -> float:
        """Estimate the seconds that short customer work waits before it starts."""
        ahead_s = self.customer.short.backlog_s
        if self._slots.free <= 0:
            ahead_s += self._policy.short_mean_s
        return ahead_s / self._count_serving_slots(self.customer, Lane.SHORT, now)

    def is_customer_at_risk(self, now: float) -> bool:
        """Return whether internal work could make customer work miss its deadline."""
        if now - self._customer_refused_at < RISK_AFTER_REFUSAL_S:
            return True
        customer = self.customer
        wait_s = 0.0
        for lane in (Lane.SHORT, Lane.LONG):
            slots = self._count_serving_slots(customer, lane, now)
            wait_s = max(wait_s, customer.get_queue(lane).backlog_s / slots)
        return now + WAIT_MARGIN * wait_s > customer.expiry.get_earliest_start()

    def _is_internal_due(self, now: float) -> bool:
        if self._customer_starts < CUSTOMER_STARTS_PER_INTERNAL:
            return False
        return self.internal.count > 0 and not self.is_customer_at_risk(now)

    def _count_serving_slots(self, group: ClassLanes, lane: Lane, now: float) -> int:
        """Return the number of slots that serve a lane, at least 1."""
        usable = self._slots.usable
        if lane is Lane.LONG:
            if self.is_short_quiet(now):
                return max(1, usable)
            return self._count_long_slots(group, now)
        held = self._slots.long_in_use
        if self.has_waiting_long:
            held = max(held, self._count_guaranteed_slots())
        return max(1, usable - held)

    def _count_guaranteed_slots(self) -> int:
        return max(1, int(LONG_GUARANTEED_SHARE * self._slots.usable))

    def _count_long_slots(self, group: ClassLanes, now: float) -> int:
        """Return how many of the service's slots long work may hold beside short work.

        One in four slots of each server is kept free of long work. That can be too few
        for the service's short work, so this limit also reserves its measured load.
        For long work of customers, only short work of customers is counted.
        """
        load = self.customer.short_load.measure(now)
        if group.internal:
            load += self.internal.short_load.measure(now)
        reserve = math.ceil(load + SHORT_HEADROOM_DEVIATIONS * math.sqrt(load))
        return max(self._count_guaranteed_slots(), self._slots.usable - reserve)
