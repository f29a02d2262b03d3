"""Validate the load that homes report, which may be stale, wrong or malformed."""

import enum
import math
from dataclasses import dataclass

# Entries ignore the reported load of a home after this time.
LOAD_TTL_S = 2.0
SLOTS_MAX = 4096
QUEUE_DELAY_MAX_S = 3600.0


class LoadProblem(enum.Enum):
    """Reason why reported load is not used."""

    MISSING = "missing"
    NOT_A_NUMBER = "not-a-number"
    OUT_OF_RANGE = "out-of-range"
    STALE = "stale"
    FROM_THE_FUTURE = "from-the-future"


@dataclass(frozen=True, slots=True)
class HomeLoad:
    """Load that a home reported with an answer."""

    queue_delay_s: float
    free_slots: int
    received_at: float


def read_home_load(
    queue_delay_s: float, free_slots: float, received_at: float
) -> HomeLoad | LoadProblem:
    """Validate load values received from another node."""
    for value in (queue_delay_s, free_slots, received_at):
        if not isinstance(value, int | float) or isinstance(value, bool):
            return LoadProblem.NOT_A_NUMBER
        if not math.isfinite(value):
            return LoadProblem.NOT_A_NUMBER
    if not 0.0 <= queue_delay_s <= QUEUE_DELAY_MAX_S:
        return LoadProblem.OUT_OF_RANGE
    if not 0 <= free_slots <= SLOTS_MAX:
        return LoadProblem.OUT_OF_RANGE
    return HomeLoad(float(queue_delay_s), int(free_slots), float(received_at))


def check_age(load: HomeLoad | None, now: float) -> LoadProblem | None:
    """Return why a load may not be used now, or None if it may."""
    if load is None:
        return LoadProblem.MISSING
    if load.received_at > now:
        return LoadProblem.FROM_THE_FUTURE
    if now - load.received_at >= LOAD_TTL_S:
        return LoadProblem.STALE
    return None
