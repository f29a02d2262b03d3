"""Choose the home and the server of a request."""

from flamingobank.balancing.homes import (
    HomeCandidate,
    choose_home,
    has_capacity,
    rank_home,
)
from flamingobank.balancing.load import (
    LOAD_TTL_S,
    HomeLoad,
    LoadProblem,
    check_age,
    read_home_load,
)
from flamingobank.balancing.servers import (
    DRAIN_GRACE_S,
    RAMP_UP_S,
    SelectionCriteria,
    ServerSlots,
    SlotProblem,
    choose_server,
    count_free_slots,
)

__all__ = [
    "DRAIN_GRACE_S",
    "LOAD_TTL_S",
    "RAMP_UP_S",
    "HomeCandidate",
    "HomeLoad",
    "LoadProblem",
    "ServerSlots",
    "SlotProblem",
    "SelectionCriteria",
    "check_age",
    "choose_home",
    "choose_server",
    "count_free_slots",
    "has_capacity",
    "rank_home",
    "read_home_load",
]
