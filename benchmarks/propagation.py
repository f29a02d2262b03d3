"""Measure how fast a change is in force on all nodes, and the calls to the store.

The nodes are real processes. Halfway, one node is replaced and the store slows down.
"""

import http.client
import sys
import time

from flamingobank_standins.local_fleet import (
    LocalFleet,
    NodeProcess,
    call_json,
    wait_until,
)

SIZES = (10, 20, 40)
DOMAINS = ("domain-a", "domain-b", "domain-c", "domain-d")
CHANGES = 20
IDLE_S = 20.0
STORE_DELAY_MS = 300.0
IN_FORCE_TIMEOUT_S = 30.0


def add_arguments(parser) -> None:
    """Add the options of this benchmark."""
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--changes", type=int, default=CHANGES)


def measure(options) -> dict:
    """Return the figures for each number of nodes and their totals."""
    nodes = {}
    for size in options.sizes:
        print(f"measuring {size} nodes", file=sys.stderr)
        nodes[str(size)] = _measure_size(size, options.changes)
    return {
        "p99_s": max(figures["p99_s"] for figures in nodes.values()),
        "reverts": sum(figures["reverts"] for figures in nodes.values()),
        "nodes": nodes,
    }


def _measure_size(size: int, changes: int) -> dict:
    with LocalFleet("bench") as fleet:
        fleet.start_store()
        for index in range(size):
            fleet.start_node(f"node-{index}", DOMAINS[index % len(DOMAINS)])
        fleet.wait_for_nodes()
        revision = _write(fleet, 0)
        _wait_in_force(fleet, revision)
        time.sleep(2.0)
        before = _read_calls(fleet)
        time.sleep(IDLE_S)
        idle_calls_per_s = (_read_calls(fleet) - before) / IDLE_S
        before = _read_calls(fleet)
        started = time.monotonic()
        delays = []
        highest: dict[str, int] = {}
        reverts = 0
        for number in range(1, changes + 1):
            if number == changes // 2:
                _replace_node(fleet, f"node-{size // 2}")
                _set_store_faults(fleet, delay_ms=STORE_DELAY_MS)
            revision = _write(fleet, number)
            accepted = time.monotonic()
            reverts += _wait_in_force(fleet, revision, highest)
            delays.append(time.monotonic() - accepted)
        _set_store_faults(fleet, delay_ms=0.0)
        elapsed = time.monotonic() - started
        calls = _read_calls(fleet) - before - idle_calls_per_s * elapsed
        return {
            "p50_s": round(sorted(delays)[len(delays) // 2], 3),
            "p99_s": round(max(delays), 3),
            "reverts": reverts,
            "store_calls_per_change": round(calls / changes, 2),
            "store_calls_per_s_at_rest": round(idle_calls_per_s, 2),
        }


def _replace_node(fleet: LocalFleet, name: str) -> None:
    old = fleet.nodes[name]
    old.process.kill()
    old.process.wait()
    fleet.start_node(name, old.settings.failure_domain, settings=old.settings)


def _wait_in_force(
    fleet: LocalFleet, revision: int, highest: dict[str, int] | None = None
) -> int:
    """Wait until all nodes have a revision; return how often a revision decreased."""
    reverts = 0
    waiting = dict(fleet.nodes)

    def all_in_force() -> bool:
        nonlocal reverts
        for name, node in list(waiting.items()):
            seen = _read_revision(node)
            if seen is None:
                continue
            key = f"{name}/{node.process.pid}"
            if highest is not None:
                reverts += seen < highest.get(key, 0)
                highest[key] = max(seen, highest.get(key, 0))
            if seen >= revision:
                del waiting[name]
        return not waiting

    wait_until(all_in_force, f"revision {revision} is in force", IN_FORCE_TIMEOUT_S)
    return reverts


def _read_revision(node: NodeProcess) -> int | None:
    try:
        return call_json(node.settings.operators, "GET", "/status")["revision"]
    except (OSError, http.client.HTTPException, ValueError):
        return None


def _write(fleet: LocalFleet, number: int) -> int:
    spec = {"selector": f"app=bench-{number}", "floor": "50%"}
    return fleet.write_object("service", f"bench-{number}", spec)


def _set_store_faults(fleet: LocalFleet, **fields: object) -> dict:
    return call_json(fleet.store_address, "POST", "/control", fields)


def _read_calls(fleet: LocalFleet) -> int:
    """Return the number of reads, writes and watches; a long poll counts once."""
    counters = call_json(fleet.store_address, "GET", "/control")["counters"]
    return counters["reads"] + counters["writes"] + counters["watches"]
