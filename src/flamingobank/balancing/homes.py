"""Choose the home node of a service for one request."""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from flamingobank.balancing.load import HomeLoad, check_age
from flamingobank.core import FailureDomain, NodeId

# A home whose load is unknown counts as half in use. If it ranked behind every home
# that is known to be free, it would get no work and its load would stay unknown.
UNKNOWN_SHARE_IN_USE = 0.5
# A home whose reported queue delay is longer than this cannot start work at once.
CAPACITY_DELAY_MAX_S = 0.005
# Maximum number of draws for a second, different home; then the first one is used.
_SAMPLE_TRIES = 8


@dataclass(frozen=True, slots=True)
class HomeCandidate:
    """Home of the service that a request can be sent to."""

    node_id: NodeId
    failure_domain: FailureDomain
    # Slots of the service's servers there; the weight in the random choice.
    slots: int
    load: HomeLoad | None = None


def choose_home(
    candidates: Sequence[HomeCandidate],
    local_domain: FailureDomain,
    rng: random.Random,
    now: float,
) -> HomeCandidate | None:
    """Choose the better of two random homes, preferably in the local failure domain.

    A remote home is considered when the chosen local one has no capacity. Homes are
    drawn with their slots as weights, so that one with many servers gets more work.
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
    """Return whether a home can start work at once; True if its load is unknown."""
    if check_age(home.load, now) is not None:
        return True
    return home.load.free_slots > 0 and home.load.queue_delay_s <= CAPACITY_DELAY_MAX_S


def rank_home(home: HomeCandidate, now: float) -> tuple[float, float]:
    """Return a sort key: the queue delay, then the share of slots in use."""
    if check_age(home.load, now) is not None:
        return (0.0, UNKNOWN_SHARE_IN_USE)
    load = home.load
    free_share = min(load.free_slots, home.slots) / home.slots
    return (load.queue_delay_s, 1.0 - free_share)


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
