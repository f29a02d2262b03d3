"""Compute the budgets of a node and of the store from measured slopes."""

import math
from collections.abc import Mapping

from flamingobank.configuration.claims import RENEW_INTERVAL_S
from flamingobank.configuration.election import WATCH_TIMEOUT_S
from flamingobank.node.knowledge.directory_sync import BROADCAST_EXTRA, COMPARE_S
from flamingobank.node.links.links import IDLE_TIMEOUT_S
from flamingobank.node.servers.announcements import RENEW_MS

DAY_S = 86_400.0
TARGET = {
    "nodes": 3700.0,
    "servers": 46_000.0,
    "services": 2900.0,
    "routes": 48_000.0,
    "workspaces": 330_000.0,
    "requests_per_s": 1_000_000.0,
    "changes_per_day": 4100.0,
    "restarts_per_day": 14_000.0,
    "domains": 10.0,
}
BUDGETS = {
    "control_core_percent": 3.9,
    "control_memory_mb": 64.0,
    "control_kb_per_s": 17.0,
    "store_reads_per_s": 2000.0,
    "store_writes_per_s": 300.0,
    "in_force_s": 6.0,
    "added_p99_ms": 4.9,
}
PUSHES_PER_CHANGE = 4
WATCHERS_PER_DOMAIN = 2
# A server that leaves, drains and returns causes three updates of its home.
UPDATES_PER_SERVER_RESTART = 3
# Assumed delivery time of an update, during which two directories differ.
UPDATE_DELIVERY_S = 0.05
# A configuration write reads the object first, then writes the object, an audit entry
# and a history entry.
READS_PER_CHANGE, WRITES_PER_CHANGE = 1, 3
# Assumed share of all requests that carry a key chosen by the caller: 0.01%.
CALLER_CHOSEN_KEY_SHARE = 1e-4


def scale_size(factor: float) -> dict[str, float]:
    """Return the target size, with all but the number of failure domains multiplied."""
    return {
        name: value if name == "domains" else value * factor
        for name, value in TARGET.items()
    }


def work_out_rates(size: Mapping[str, float]) -> dict[str, float]:
    """Return event rates per second by name, and the fan-out of an update.

    Directory updates and configuration changes are counted over the whole fleet; the
    other rates are those of one node.
    """
    nodes, servers = size["nodes"], size["servers"]
    per_node = servers / nodes
    # Nodes run on some of the instances and restart with them. The servers of a home
    # move to other homes when it stops, and again when it returns.
    node_restarts = size["restarts_per_day"] * nodes / servers
    updates = size["restarts_per_day"] * UPDATES_PER_SERVER_RESTART
    updates += node_restarts * (2 + 2 * per_node)
    fanout = math.ceil(math.log(nodes)) + BROADCAST_EXTRA
    return {
        "announcements": per_node * 1000 / RENEW_MS,
        "directory_updates": updates / DAY_S,
        # A server is placed when it restarts, and when its home stops and returns.
        "servers_placed": (size["restarts_per_day"] + 2 * node_restarts * per_node)
        / DAY_S
        / nodes,
        "fanout": float(fanout),
        "changes": size["changes_per_day"] / DAY_S,
        "requests": size["requests_per_s"] / nodes,
        "digests": 2 / COMPARE_S,
    }


def work_out_traffic(figures: dict, size: Mapping[str, float]) -> dict[str, tuple]:
    """Return the traffic of one node by mechanism.

    Each value holds messages sent per second, bytes sent per second and CPU in
    microseconds per second.
    """
    slopes, full_size = figures["slopes"], figures["full_size"]
    rates = work_out_rates(size)
    look_up = full_size["look_up_us"]
    node_factor = size["nodes"] / TARGET["nodes"]

    def slope(name: str) -> float:
        return slopes[name]["slope"]

    def extrapolate(name: str, count: float) -> float:
        return slopes[name]["intercept"] + slopes[name]["slope"] * count

    pushes = rates["directory_updates"] * rates["fanout"]
    update_bytes = extrapolate(
        "directory_update_wire_bytes", size["servers"] / size["nodes"]
    )
    differing_share = min(1.0, rates["directory_updates"] * UPDATE_DELIVERY_S)
    summaries = rates["digests"] / 2 * differing_share
    summary_bytes = full_size["summary_wire_bytes"] * node_factor
    return {
        "announcements": (
            rates["announcements"],
            rates["announcements"] * slope("announcement_wire_bytes"),
            rates["announcements"]
            * slope("announcement_us")
            * _scale_announcement_cost(node_factor),
        ),
        "servers placed": (
            0.0,
            0.0,
            rates["servers_placed"]
            * slope("new_server_us")
            * size["services"]
            / TARGET["services"],
        ),
        "directory updates": (
            pushes,
            pushes * update_bytes,
            rates["directory_updates"] * look_up["directory_update"]["mean"],
        ),
        "links for updates": (
            pushes,
            pushes * slope("handshake_wire_bytes"),
            2 * pushes * slope("link_accept_us"),
        ),
        "directory comparison": (
            rates["digests"] / 2 + summaries,
            summaries * summary_bytes,
            node_factor
            * (
                rates["digests"] * look_up["directory_digest"]["mean"]
                + 2 * summaries * look_up["directory_summary"]["mean"]
            ),
        ),
        "membership": (
            2.0,
            max(0.0, extrapolate("membership_bytes_per_s", size["nodes"])),
            max(0.0, extrapolate("membership_cpu_us_per_s", size["nodes"])),
        ),
        "configuration": (
            rates["changes"] * PUSHES_PER_CHANGE,
            rates["changes"] * PUSHES_PER_CHANGE * slope("change_wire_bytes"),
            rates["changes"]
            * (
                (1 + PUSHES_PER_CHANGE) * slope("change_us")
                + look_up["services_update"]["mean"] * size["services"] / 2900
            ),
        ),
    }


def work_out_memory(figures: dict, size: Mapping[str, float]) -> dict[str, float]:
    """Return the memory of a node in MB by kind of state.

    All but the links is measured at the target size and scaled to other sizes.
    """
    full_size = figures["full_size"]
    ratio = {name: size[name] / TARGET[name] for name in TARGET}
    rates = work_out_rates(size)
    # Each push goes to a random node, so the link that it opens is rarely used again
    # before it is closed as idle.
    pushes = rates["directory_updates"] * rates["fanout"]
    links = 2 * min(size["nodes"], pushes * IDLE_TIMEOUT_S)
    return {
        "process and imports": full_size["empty_mb"],
        "configuration": full_size["configuration_mb"] * ratio["routes"],
        "services in use": full_size["services_in_use_mb"] * ratio["services"],
        "members": full_size["members_mb"] * ratio["nodes"],
        "directory": full_size["directory_mb"] * ratio["servers"],
        "links for updates": links * figures["slopes"]["link_bytes"]["slope"] / 1e6,
    }


def work_out_store(size: Mapping[str, float]) -> dict[str, tuple[float, float]]:
    """Return the store reads and writes per second of the whole fleet by mechanism."""
    watchers = WATCHERS_PER_DOMAIN * size["domains"]
    changes = size["changes_per_day"] / DAY_S
    chosen_keys = size["requests_per_s"] * CALLER_CHOSEN_KEY_SHARE
    return {
        # A pending watch counts as one read per second for as long as it waits.
        "watches": (watchers + watchers / WATCH_TIMEOUT_S, 0.0),
        "watch leases": (0.0, watchers / RENEW_INTERVAL_S),
        "configuration changes": (
            changes * (READS_PER_CHANGE + watchers),
            changes * WRITES_PER_CHANGE,
        ),
        "caller-chosen keys": (0.0, chosen_keys),
    }


def work_out_budgets(figures: dict, factor: float = 1.0) -> dict[str, float]:
    """Return the value to compare with each budget, at a multiple of the target size.

    in_force_s and added_p99_ms are measured values that do not depend on the factor.
    """
    size = scale_size(factor)
    traffic = work_out_traffic(figures, size).values()
    store = work_out_store(size).values()
    return {
        "control_core_percent": round(sum(row[2] for row in traffic) / 1e4, 2),
        "control_memory_mb": round(sum(work_out_memory(figures, size).values()), 1),
        "control_kb_per_s": round(sum(row[1] for row in traffic) / 1e3, 2),
        "store_reads_per_s": round(sum(row[0] for row in store), 1),
        "store_writes_per_s": round(sum(row[1] for row in store), 1),
        "in_force_s": figures["propagation"]["p99_s"],
        "added_p99_ms": figures["added_latency"]["added_p99_ms"],
    }


def _scale_announcement_cost(node_factor: float) -> float:
    """Return the factor on the cost of one announcement for a larger fleet.

    Handling an announcement scans all homes, so the cost is taken as proportional to
    the number of nodes.
    """
    return max(1.0, node_factor)
