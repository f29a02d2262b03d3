"""Measure failure detection and its cost with real node processes.

One-way partitions cannot be created between processes here. Their figures come from
the model in virtual time (benchmark membership_model), which runs as part of this
benchmark.
"""

import argparse
import os
import signal
import statistics
import sys
import time
from pathlib import Path

from benchmarks import membership_model
from flamingobank_standins.local_fleet import LocalFleet, NodeProcess, wait_until

SIZES = (10, 20, 40)
DOMAINS = ("domain-a", "domain-b", "domain-c", "domain-d")
IDLE_S = 10.0
KILLS = 3
PAUSE_S = 6.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def add_arguments(parser) -> None:
    """Add the options of this benchmark."""
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))


def measure(options) -> dict:
    """Return figures for each number of nodes, and the increase in cost per node."""
    nodes = {}
    for size in options.sizes:
        print(f"measuring {size} nodes", file=sys.stderr)
        nodes[str(size)] = _measure_size(size)
    model = _run_model(options)
    figures = {
        "killed_p99_s": max(one["killed_p99_s"] for one in nodes.values()),
        "paused_p99_s": max(one["paused_s"] for one in nodes.values()),
        "one_way_model": model,
        "false_removals": sum(one["false_removals"] for one in nodes.values()),
        "nodes": nodes,
    }
    if len(nodes) > 1:
        sizes = [int(size) for size in nodes]
        for name in ("bytes_per_s", "cpu_percent"):
            values = [one[name] for one in nodes.values()]
            slope = statistics.linear_regression(sizes, values).slope
            figures[f"{name}_per_node"] = round(slope, 4)
    return figures


def _run_model(options) -> dict:
    parser = argparse.ArgumentParser()
    if hasattr(membership_model, "add_arguments"):
        membership_model.add_arguments(parser)
    parser.set_defaults(seed=options.seed, json=True)
    found = membership_model.measure(parser.parse_args(["--nodes", "10,20,40"]))
    return {
        size: {
            "one_way_p99_s": one.get("one_way_p99_s"),
            "false_removals": one.get("false_removals"),
        }
        for size, one in found["nodes"].items()
    }


def _measure_size(size: int) -> dict:
    with LocalFleet("bench") as fleet:
        for index in range(size):
            fleet.start_node(f"node-{index}", DOMAINS[index % len(DOMAINS)])
        fleet.wait_for_nodes()
        everyone = set(fleet.nodes)
        wait_until(lambda: _all_know(fleet, everyone), "all nodes know each other")
        time.sleep(3.0)
        bytes_before, cpu_before = _read_cost(fleet)
        false_removals = _count_missing_while_idle(fleet, everyone)
        bytes_after, cpu_after = _read_cost(fleet)
        killed = [_kill(fleet, f"node-{size - 1 - index}") for index in range(KILLS)]
        paused_s, returned_s = _pause(fleet, "node-0")
        return {
            "killed_p99_s": round(max(killed), 3),
            "paused_s": round(paused_s, 3),
            "paused_returned_s": round(returned_s, 3),
            "false_removals": false_removals,
            "bytes_per_s": round((bytes_after - bytes_before) / IDLE_S / size, 1),
            "cpu_percent": round(100 * (cpu_after - cpu_before) / IDLE_S / size, 3),
        }


def _count_missing_while_idle(fleet: LocalFleet, everyone: set[str]) -> int:
    """Count the members that a node does not list while nothing fails."""
    missing = 0
    ends = time.monotonic() + IDLE_S
    node = fleet.nodes["node-0"]
    while time.monotonic() < ends:
        # Only one node is read, once a second, so that reading adds little to the cost.
        missing += len(everyone - _list_members(fleet, node))
        time.sleep(max(0.0, min(1.0, ends - time.monotonic())))
    return missing


def _kill(fleet: LocalFleet, name: str) -> float:
    process = fleet.nodes.pop(name).process
    process.kill()
    process.wait()
    return wait_until(lambda: _none_know(fleet, name), f"{name} is removed")


def _pause(fleet: LocalFleet, name: str) -> tuple[float, float]:
    """Suspend a process; return the seconds until its removal and until its return."""
    node = fleet.nodes.pop(name)
    os.kill(node.process.pid, signal.SIGSTOP)
    started = time.monotonic()
    removed_s = wait_until(lambda: _none_know(fleet, name), f"{name} is removed")
    time.sleep(max(0.0, started + PAUSE_S - time.monotonic()))
    os.kill(node.process.pid, signal.SIGCONT)
    everyone = {name, *fleet.nodes}
    returned_s = wait_until(lambda: _all_know(fleet, everyone), f"{name} is back")
    fleet.nodes[name] = node
    return removed_s, returned_s


def _all_know(fleet: LocalFleet, names: set[str]) -> bool:
    return all(names <= _list_members(fleet, node) for node in fleet.nodes.values())


def _none_know(fleet: LocalFleet, name: str) -> bool:
    return not any(name in _list_members(fleet, node) for node in fleet.nodes.values())


def _list_members(fleet: LocalFleet, node: NodeProcess) -> set[str]:
    return {row["node"] for row in fleet.read_status(node)["members"]}


def _read_cost(fleet: LocalFleet) -> tuple[int, float]:
    """Return the datagram bytes in both directions and the CPU seconds of all nodes."""
    total_bytes = 0
    total_cpu = 0.0
    for node in fleet.nodes.values():
        counted = fleet.read_status(node)["datagram_bytes"]
        total_bytes += counted["sent"] + counted["received"]
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().split()
        total_cpu += (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S
    return total_bytes, total_cpu
