"""Measure detection, false removals and cost of membership in virtual time."""

import math
import random
import sys
import tracemalloc

from benchmarks.fleet_model import FleetModel, ModelNode
from flamingobank.membership import MemberRemoved, MemberUnreachable

DOMAINS = 10
REGIONS = 4
WARM_UP_S = 3.0
VICTIMS = 6
GONE = (MemberRemoved, MemberUnreachable)


def add_arguments(parser) -> None:
    """Add options for fleet sizes, datagram loss and durations."""
    parser.add_argument("--nodes", default="10,20,40,400,3700")
    parser.add_argument("--loss", type=float, default=0.01)
    parser.add_argument("--quiet-seconds", type=float, default=60.0)
    parser.add_argument("--large-quiet-seconds", type=float, default=10.0)
    # A member that is not removed within this time counts as undetected.
    parser.add_argument("--detection-seconds", type=float, default=25.0)
    parser.add_argument("--large-detection-seconds", type=float, default=12.0)


def build_fleet(count: int, seed: int, loss: float) -> FleetModel:
    """Return a fleet in which all nodes know each other from the start."""
    fleet = FleetModel(seed)
    fleet.loss = loss
    for index in range(count):
        domain = index % DOMAINS
        region = f"region-{domain % REGIONS}"
        fleet.add(f"node-{index:04d}", f"domain-{domain}", region)
    nodes = list(fleet.nodes.values())
    seeds = [node.address for node in nodes[:3]]
    for node in nodes:
        fleet.start(node, seeds)
    _share_tables(nodes)
    return fleet


def _share_tables(nodes: list[ModelNode]) -> None:
    """Let all nodes share one set of records; separate ones would be 14 M objects."""
    first = nodes[0].membership._records
    for node in nodes:
        first.table.put(node.membership.local_member)
    whole = first.table
    for node in nodes:
        records = node.membership._records
        records.table = whole.copy()
        records.table.remove(node.name)
        node.membership._exchange.is_joined = True


def _reset_counts(fleet: FleetModel) -> None:
    for node in fleet.nodes.values():
        node.outcomes.clear()
        node.cpu_s = 0.0
        node.datagrams = node.bytes = 0


def _list_removal_delays(
    fleet: FleetModel, victim: ModelNode, since: float
) -> list[float]:
    """Return the time that each other node took to remove the victim, in seconds."""
    delays = []
    for node in fleet.nodes.values():
        if node is victim or not node.is_running:
            continue
        times = [
            at - since
            for at, outcome in node.outcomes
            if isinstance(outcome, GONE) and outcome.member.node_id == victim.name
        ]
        delays.append(min(times, default=math.inf))
    return delays


def _count_false(fleet: FleetModel, victims: set[str]) -> int:
    return sum(
        isinstance(outcome, GONE) and outcome.member.node_id not in victims
        for node in fleet.nodes.values()
        if node.name not in victims
        for _, outcome in node.outcomes
    )


def _quantile(values: list[float], share: float) -> float | None:
    ordered = sorted(values)
    value = ordered[min(len(ordered) - 1, math.ceil(share * len(ordered)) - 1)]
    return round(value, 2) if math.isfinite(value) else None


def _measure_quiet(fleet: FleetModel, seconds: float) -> dict[str, float]:
    _reset_counts(fleet)
    fleet.run(seconds)
    nodes = fleet.nodes.values()
    total = len(nodes) * seconds
    return {
        "datagrams_per_s": round(sum(node.datagrams for node in nodes) / total, 2),
        "bytes_per_s": round(sum(node.bytes for node in nodes) / total, 1),
        "cpu_us_per_s": round(sum(node.cpu_s for node in nodes) / total * 1e6, 1),
        "quiet_false_removals": _count_false(fleet, set()),
    }


def _measure_faults(
    fleet: FleetModel, rng: random.Random, wait_s: float
) -> dict[str, object]:
    killed: list[float] = []
    one_way: list[float] = []
    victims: set[str] = set()
    false_removals = 0
    for trial in range(VICTIMS):
        running = [node for node in fleet.nodes.values() if node.is_running]
        victim = rng.choice(running)
        victims.add(victim.name)
        since = fleet.now
        _reset_counts(fleet)
        if trial % 2:
            fleet.is_blocked = lambda _, target, deaf=victim: target is deaf
        else:
            fleet.stop(victim)
        fleet.run(wait_s)
        (one_way if trial % 2 else killed).extend(
            _list_removal_delays(fleet, victim, since)
        )
        false_removals += _count_false(fleet, victims)
        fleet.stop(victim)
        fleet.is_blocked = lambda _, __: False
    return {
        "killed_p50_s": _quantile(killed, 0.5),
        "killed_p99_s": _quantile(killed, 0.99),
        "one_way_p50_s": _quantile(one_way, 0.5),
        "one_way_p99_s": _quantile(one_way, 0.99),
        "undetected": sum(not math.isfinite(item) for item in killed + one_way),
        "false_removals": false_removals,
    }


def measure_member_bytes(members: int) -> float:
    """Return the memory per member of a node that has decoded all records itself."""
    fleet = FleetModel(1)
    seed = fleet.add("seed", "domain-0", "region-0")
    fleet.start(seed, [])
    other = build_fleet(members, 1, 0.0)
    for node in other.nodes.values():
        seed.membership._records.table.put(node.membership.local_member)
    del other
    new = fleet.add("new", "domain-1", "region-1")
    tracemalloc.start()
    fleet.start(new, [seed.address])
    before = tracemalloc.get_traced_memory()[0]
    for _ in range(20):
        fleet.run(0.1)
        if len(new.membership.members()) >= members:
            break
    known = len(new.membership.members())
    new.outcomes.clear()
    fleet.queue._heap.clear()
    after = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (after - before) / known


def measure(options) -> dict[str, object]:
    """Return one row of figures per size of the fleet."""
    figures: dict[str, object] = {"seed": options.seed, "loss": options.loss}
    by_nodes = {}
    for text in options.nodes.split(","):
        count = int(text)
        is_large = count > 1000
        quiet_s = options.large_quiet_seconds if is_large else options.quiet_seconds
        print(f"membership_model: {count} nodes", file=sys.stderr)
        fleet = build_fleet(count, options.seed, options.loss)
        fleet.run(WARM_UP_S)
        row = _measure_quiet(fleet, quiet_s)
        rng = random.Random(options.seed)
        wait_s = options.detection_seconds
        if is_large:
            wait_s = options.large_detection_seconds
        row |= _measure_faults(fleet, rng, wait_s)
        row["cpu_percent"] = round(row["cpu_us_per_s"] / 1e4, 3)
        row["largest_datagram"] = max(n.largest for n in fleet.nodes.values())
        by_nodes[text] = row
        del fleet
    figures["nodes"] = by_nodes
    figures["bytes_per_member"] = round(measure_member_bytes(400), 1)
    return figures
