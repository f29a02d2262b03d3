"""Order the work that waits for one server, and choose what to refuse.

The order is by priority, calls of running requests first, work that can be on time
before work that can only be late, equal shares between workspaces, and the earlier due
time. Work that would start too late in this order is refused, or longer work of the
same priority in its place if that lets it be on time (the rule of Moore and Hodgson,
which makes the number of late pieces of work smallest on one machine).
"""

import math
from collections import OrderedDict

from flamingobank.admission.level_floor import MAX_LEVELS, STARTS_PER_FLOOR, LevelFloor
from flamingobank.admission.meters import LOAD_TIME_CONSTANT_S, LoadMeter
from flamingobank.admission.slot_schedule import Room, SlotSchedule
from flamingobank.admission.waiting_work import (
    Candidate,
    Placed,
    compute_refusal_cost,
)

# Recent work of a workspace counts in steps of its equal share of the slots, but not of
# less than this.
MIN_SHARE_STEP_S = 0.25
# Load below which a workspace without waiting work does not reduce the others' shares.
MIN_ACTIVE_LOAD = 0.05
MAX_METERED_SHARES = 256
# Less urgent work waits longer than the work ahead of it takes, as more urgent work
# arrives meanwhile. Its load is averaged over this time, and counted up to this share.
# Counted in full, a load near the capacity made homes refuse work that they could have
# answered late; at half, the refusals came after twice the wait.
LEVEL_TIME_CONSTANT_S = 4.0
MORE_URGENT_WEIGHT = 0.85
MAX_MORE_URGENT_SHARE = 1 - 1 / STARTS_PER_FLOOR
# Waiting work beyond this is refused, last in order first.
MAX_WAITING = 256


class Scarcity:
    """The order of one server's waiting work and what it must remember for it."""

    def __init__(self) -> None:
        self._floor = LevelFloor()
        # Recent slot time of each share, the least recently used evicted.
        self._meters: OrderedDict[str, LoadMeter] = OrderedDict()
        self._levels: dict[int, LoadMeter] = {}

    def note_start(self, candidate: Candidate, waiting: list[int], now: float) -> None:
        """Record that a candidate gets a slot; `waiting` are the others' priorities."""
        self._floor.note_start(candidate.priority, waiting)
        meter = self._meters.setdefault(candidate.share, LoadMeter())
        self._meters.move_to_end(candidate.share)
        meter.add(candidate.work_s, now)
        if len(self._levels) >= MAX_LEVELS:
            self._levels.clear()
        level = self._levels.get(candidate.priority)
        if level is None:
            level = LoadMeter(LEVEL_TIME_CONSTANT_S)
            self._levels[candidate.priority] = level
        level.add(candidate.work_s, now)
        if len(self._meters) > MAX_METERED_SHARES:
            self._meters.popitem(last=False)

    def list_order(
        self, candidates: list[Candidate], slots: int, now: float
    ) -> list[Placed]:
        """Return the candidates in the order in which they are to be started."""
        return self._floor.arrange(self._rank(candidates, slots, now))

    def choose_refused(
        self, candidates: list[Candidate], room: Room, now: float
    ) -> list[Candidate]:
        """Return the candidates that are refused so that the others are in time."""
        displaced: list[Candidate] = []
        ranked = self._rank(candidates, len(room.free_at), now)
        while True:
            late: list[Candidate] = []
            victim = _refuse_late(self._floor.arrange(ranked), late, room, now)
            if victim is None:
                return displaced + late
            # Without it, all that come after it start earlier.
            displaced.append(victim.candidate)
            ranked = [item for item in ranked if item is not victim]

    def _rank(
        self, candidates: list[Candidate], slots: int, now: float
    ) -> list[Placed]:
        by_due = []
        for candidate in candidates:
            due = -math.inf if candidate.fixed else candidate.get_due(now)
            by_due.append((due, candidate.sequence, candidate))
        by_due.sort(key=lambda item: item[:2])
        step_s = self._compute_share_step(candidates, slots, now)
        used_s: dict[tuple[int, str], float] = {}
        stretches: dict[int, float] = {}
        placed = []
        for due, sequence, candidate in by_due:
            round_number = 0
            if not (candidate.fixed or candidate.internal):
                key = (candidate.priority, candidate.share)
                before_s = used_s.get(key)
                if before_s is None:
                    before_s = self._measure_share(candidate.share, now)
                used_s[key] = before_s + candidate.work_s
                round_number = int(before_s / step_s)
            rank = (
                candidate.priority,
                not candidate.internal,
                not (candidate.fixed or candidate.can_be_on_time(now)),
                round_number,
                due,
                sequence,
            )
            stretch = stretches.get(candidate.priority)
            if stretch is None:
                stretch = self._compute_stretch(candidate.priority, slots, now)
                stretches[candidate.priority] = stretch
            cost = compute_refusal_cost(candidate)
            placed.append(Placed(candidate, rank, cost, stretch))
        placed.sort(key=lambda item: item.rank)
        return placed

    def _compute_stretch(self, priority: int, slots: int, now: float) -> float:
        load = 0.0
        for other, meter in self._levels.items():
            if other < priority:
                load += meter.measure(now)
        return 1 / (
            1 - min(MORE_URGENT_WEIGHT * load / max(1, slots), MAX_MORE_URGENT_SHARE)
        )

    def _measure_share(self, share: str, now: float) -> float:
        meter = self._meters.get(share)
        return 0.0 if meter is None else meter.measure(now) * LOAD_TIME_CONSTANT_S

    def _compute_share_step(
        self, candidates: list[Candidate], slots: int, now: float
    ) -> float:
        """Return the equal share of the slots of each workspace with recent work."""
        active = {candidate.share for candidate in candidates}
        for share, meter in self._meters.items():
            if meter.measure(now) >= MIN_ACTIVE_LOAD:
                active.add(share)
        equal_s = slots * LOAD_TIME_CONSTANT_S / max(1, len(active))
        return max(MIN_SHARE_STEP_S, equal_s)


def _refuse_late(
    order: list[Placed], refused: list[Candidate], room: Room, now: float
) -> Placed | None:
    """Append the late candidates to `refused`, leaving them out of the schedule.

    Stops at a late candidate in whose place another one is to be refused, and returns
    the other one.
    """
    schedule = SlotSchedule(room, now)
    kept: list[Placed] = []
    for item in order:
        candidate = item.candidate
        is_late = len(kept) >= MAX_WAITING or item.misses(schedule.find_start(), now)
        if is_late and not candidate.fixed:
            displaced = _find_displaced(kept, item, room, now)
            if displaced is not None:
                return displaced
            refused.append(candidate)
            continue
        kept.append(item)
        schedule.add(candidate.work_s)
    return None


def _find_displaced(
    kept: list[Placed], late: Placed, room: Room, now: float
) -> Placed | None:
    """Return what is refused so that a late candidate is in time; None for itself.

    That is work of the same priority whose refusal costs less, of the same workspace or
    of one that has used as much or more, and without which the late one is in time.
    """
    found, found_cost = None, late.refusal_cost
    for item in kept:
        if item.candidate.fixed or item.rank[:3] != late.rank[:3]:
            continue
        if item.candidate.share != late.candidate.share and item.round < late.round:
            continue
        if item.refusal_cost < found_cost:
            found, found_cost = item, item.refusal_cost
    if found is None:
        return None
    schedule = SlotSchedule(room, now)
    for item in kept:
        if item is not found:
            schedule.add(item.candidate.work_s)
    if late.misses(schedule.find_start(), now):
        return None
    return found
