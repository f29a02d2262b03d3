"""Run a single case of the detection benchmark on either dispatcher."""

import random
from collections.abc import Callable

from benchmarks.detection_naive import NaiveDispatch
from benchmarks.detection_product import FLOOR, ProductDispatch
from benchmarks.detection_world import SERVERS, Demand

WARM_UP_S = 8.0
# Detection time that is recorded for a server that is not ejected within it.
DETECTION_LIMIT_S = 60.0
FLAP_S = 3.0
FLAPPING_RUN_S = 120.0
DISTURBANCE_S = 12.0
RECOVERY_S = 5.0

Dispatch = NaiveDispatch | ProductDispatch

FAULTS: dict[str, Callable] = {
    "half_failing_breaks_off": lambda server: server.set_fault(fail_share=0.5),
    "half_failing_at_end": lambda server: _fail_at_end(server),
    "ten_times_slower": lambda server: server.set_fault(speed=0.1),
}


def build_dispatch(kind: str, seed: int) -> Dispatch:
    """Return the dispatcher "naive", or else that with the product's decisions.

    Both use the same seeds for work and servers.
    """
    if kind == "naive":
        return NaiveDispatch(seed, SERVERS - FLOOR.count_servers(SERVERS))
    return ProductDispatch(seed)


def run_detection(kind: str, fault: str, seed: int) -> tuple[float, int]:
    """Return the seconds from a fault to the ejection, and the floor breaches."""
    rng = random.Random(f"{seed}/case")
    dispatch = build_dispatch(kind, seed)
    Demand(dispatch.events, random.Random(f"{seed}/demand"), dispatch.offer)
    bad = rng.randrange(SERVERS)
    onset_s = WARM_UP_S + rng.random()
    ejected_at: list[float] = []

    def record_ejection(index: int) -> None:
        if index == bad:
            ejected_at.append(dispatch.events.clock.now())

    dispatch.events.run_until(onset_s)
    dispatch.on_eject = record_ejection
    FAULTS[fault](dispatch.servers[bad])
    while not ejected_at and dispatch.events.clock.now() < onset_s + DETECTION_LIMIT_S:
        dispatch.events.run_until(dispatch.events.clock.now() + 0.2)
    detected_at = ejected_at[0] if ejected_at else onset_s + DETECTION_LIMIT_S
    return detected_at - onset_s, dispatch.floor_breaches


def run_flapping(kind: str, seed: int) -> float:
    """Return the share of all requests that fail on a flapping server."""
    dispatch = build_dispatch(kind, seed)
    demand = Demand(dispatch.events, random.Random(f"{seed}/demand"), dispatch.offer)
    dispatch.events.run_until(WARM_UP_S)
    server = dispatch.servers[seed % SERVERS]
    before = demand.offered
    end_s = WARM_UP_S + FLAPPING_RUN_S
    failing = False
    while dispatch.events.clock.now() < end_s:
        failing = not failing
        server.set_fault(fail_share=1.0 if failing else 0.0)
        dispatch.events.run_until(dispatch.events.clock.now() + FLAP_S)
    return server.injected_failures / (demand.offered - before)


def run_disturbance(kind: str, disturbance: str, seed: int) -> tuple[int, int, int]:
    """Return the false ejections, floor breaches and requests of a disturbance."""
    rng = random.Random(f"{seed}/{disturbance}")
    dispatch = build_dispatch(kind, seed)
    demand = Demand(dispatch.events, random.Random(f"{seed}/demand"), dispatch.offer)
    ejections: list[int] = []
    dispatch.on_eject = ejections.append
    dispatch.events.run_until(WARM_UP_S)
    DISTURBANCES[disturbance](dispatch, demand, rng)
    return len(ejections), dispatch.floor_breaches, demand.offered


def _fail_at_end(server) -> None:
    server.breaks_off = False
    server.set_fault(fail_share=0.5)


def _run(dispatch: Dispatch, seconds: float) -> None:
    dispatch.events.run_until(dispatch.events.clock.now() + seconds)


def _slow_service(dispatch: Dispatch, demand: Demand, rng: random.Random) -> None:
    """Slow all servers down at once, by a factor of up to ten."""
    speed = 1.0 / rng.uniform(1.5, 10.0)
    for server in dispatch.servers:
        server.set_fault(speed=speed)
    _run(dispatch, DISTURBANCE_S)
    for server in dispatch.servers:
        server.set_fault()
    _run(dispatch, RECOVERY_S)


def _fail_service(dispatch: Dispatch, demand: Demand, rng: random.Random) -> None:
    """Fail the same share of work on all servers.

    This happens if a caller sends bad requests or a shared store is down.
    """
    share = rng.uniform(0.05, 1.0)
    for server in dispatch.servers:
        server.set_fault(fail_share=share)
    _run(dispatch, DISTURBANCE_S)
    for server in dispatch.servers:
        server.set_fault()
    _run(dispatch, RECOVERY_S)


def _partition(dispatch: Dispatch, demand: Demand, rng: random.Random) -> None:
    """Cut the paths to two servers in one direction each, and between homes."""
    cut = rng.sample(range(SERVERS), 2)
    dispatch.servers[cut[0]].set_path(reachable=False, answers=True)
    dispatch.servers[cut[1]].set_path(reachable=True, answers=False)
    if isinstance(dispatch, ProductDispatch):
        names = list(dispatch.fleet.homes)
        for _ in range(20):
            pair = tuple(rng.sample(names, 2))
            dispatch.fleet.faults.blocked.add(pair)
    _run(dispatch, DISTURBANCE_S)
    for index in cut:
        dispatch.servers[index].set_path(reachable=True, answers=True)
    if isinstance(dispatch, ProductDispatch):
        dispatch.fleet.faults.blocked.clear()
    _run(dispatch, RECOVERY_S)


def _burst(dispatch: Dispatch, demand: Demand, rng: random.Random) -> None:
    """Raise the demand at once by a factor of up to 3 and lower it again, twice."""
    for _ in range(2):
        demand.factor = rng.uniform(1.5, 3.0)
        _run(dispatch, 3.0)
        demand.factor = rng.uniform(0.3, 1.0)
        _run(dispatch, 4.0)


def _misreport_load(dispatch: Dispatch, demand: Demand, rng: random.Random) -> None:
    """Let some servers report invalid, stale or too favorable loads."""
    if isinstance(dispatch, ProductDispatch):
        claims = [(0.0, 4.0), (-1.0, 2.0), (1e9, 0.0), (float("nan"), -3.0)]
        for state in rng.sample(dispatch.states, 6):
            state.claimed_load = rng.choice(claims)
    _run(dispatch, DISTURBANCE_S)


DISTURBANCES: dict[str, Callable] = {
    "service_slow": _slow_service,
    "service_failing": _fail_service,
    "one_way_partitions": _partition,
    "bursts": _burst,
    "misleading_load": _misreport_load,
}
