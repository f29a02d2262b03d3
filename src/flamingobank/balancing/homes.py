"""Choose the home node of a service for one request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from flamingobank.balancing.load import HomeLoad, check_age
from flamingobank.core import FailureDomain, NodeId

# A home whose load is unknown counts as half in use. Were it ranked behind every
# home that is known to be free, it would get no work and stay unknown for ever.
UNKNOWN_SHARE_IN_USE = 0.5
# A home with a longer queue than this has no room for more work.
CAPACITY_DELAY_MAX_S = 0.005
# Draws for a second, different home before one home is enough.
_SAMPLE_TRIES = 8


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """Describe a home that serves the service."""

    node_id: NodeId
    failure_domain: FailureDomain
    # Slots of the service's servers there; weighs the choice.
    slots: int
    load: HomeLoad | None = None


def choose_home(
    candidates: Sequence[HomeCandidate],
    local_domain: FailureDomain,
    rng: random.Random,
    now: float,
) -> HomeCandidate | None:
    """Take the better of two random homes, in the own domain while it has room.

    Homes are drawn by their slots, so that one with many servers gets more work.
    """
    usable = [home for home in candidates if home.slots > 0]
    local = [home for home in usable if home.failure_domain == local_domain]
    chosen = _choose_better(local, rng, now)
    if chosen is not None and has_capacity(chosen, now):
        return chosen
    remote = [home for home in usable if home.failure_domain != local_domain]
    other = _choose_better(remote, rng, now)
    if chosen is None or other is None:
        return chosen or other
    return min(chosen, other, key=lambda home: rank_home(home, now))


def has_capacity(home: HomeCandidate, now: float) -> bool:
    """Tell whether a home can start work at once, as far as is known."""
    if check_age(home.load, now) is not None:
        return True
    return home.load.free_slots > 0 and home.load.queue_delay_s <= CAPACITY_DELAY_MAX_S


def rank_home(home: HomeCandidate, now: float) -> tuple[float, float]:
    """Return a sort key: expected delay, then the share of slots in use."""
    if check_age(home.load, now) is not None:
        return (0.0, UNKNOWN_SHARE_IN_USE)
    load = home.load
    free = min(load.free_slots, home.slots) / home.slots
    return (load.queue_delay_s, 1.0 - free)


def _choose_better(
    homes: list[HomeCandidate], rng: random.Random, now: float
) -> HomeCandidate | None:
    if not homes:
        return None
    if len(homes) == 1:
        return homes[0]
    weights = [home.slots for home in homes]
    first = rng.choices(homes, weights)[0]
    second = first
    for _ in range(_SAMPLE_TRIES):
        if second is not first:
            break
        second = rng.choices(homes, weights)[0]
    return min(first, second, key=lambda home: rank_home(home, now))
