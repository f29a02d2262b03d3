"""Compute the cost of each role of a node, and the load of the worst hour."""

from collections.abc import Mapping

from benchmarks.capacity_model import (
    TARGET,
    work_out_memory,
    work_out_rates,
    work_out_store,
    work_out_traffic,
)
from flamingobank.node.links.links import IDLE_TIMEOUT_S

KEYED_REQUEST_SHARE = 0.01
KEY_LIFETIME_S = 86_400.0
CONNECTIONS_PER_NODE = 330.0
# Assumed time within which all remaining nodes notice the loss of a failure domain.
LOSS_DETECTION_S = 3.0
# Servers whose node is lost announce themselves to another one within the expiry of
# their announcement.
REANNOUNCE_S = 3.0


def work_out_roles(figures: dict, size: Mapping[str, float]) -> dict[str, dict]:
    """Return the state, message rates, CPU, memory and store calls of each role."""
    rates = work_out_rates(size)
    traffic = work_out_traffic(figures, size)
    memory = work_out_memory(figures, size)
    store = work_out_store(size)
    slopes = figures["slopes"]
    watchers = 2 * size["domains"]
    requests = rates["requests"]
    keyed_per_s = requests * KEYED_REQUEST_SHARE
    directory_mechanisms = ("directory updates", "directory comparison")
    link_count = min(size["nodes"], requests * IDLE_TIMEOUT_S)
    request_cpu = requests * slopes["request_us"]["slope"] / 1e4
    keyed_cpu = keyed_per_s * slopes["keyed_request_us"]["slope"] / 1e4
    key_mb = keyed_per_s * KEY_LIFETIME_S * slopes["key_bytes"]["slope"] / 1e6
    entry_mb = CONNECTIONS_PER_NODE * slopes["caller_connection_bytes"]["slope"] / 1e6
    link_mb = 2 * link_count * slopes["link_bytes"]["slope"] / 1e6
    reads = (store["watches"][0] + store["configuration changes"][0]) / watchers
    member_cpu = sum(row[2] for name, row in traffic.items() if name != "announcements")
    return {
        "entry": {
            "state": f"{CONNECTIONS_PER_NODE:.0f} caller connections, "
            f"{link_count:,.0f} links each way",
            "in": requests,
            "out": requests,
            "cpu": request_cpu,
            "mb": entry_mb + link_mb,
            "store": (0.0, store["caller-chosen keys"][1] / size["nodes"]),
            "modules": "node.entry, node.edge, node.links",
        },
        "home": {
            "state": f"{size['servers'] / size['nodes']:.1f} servers",
            "in": rates["announcements"] + requests,
            "out": rates["announcements"] + requests,
            "cpu": traffic["announcements"][2] / 1e4,
            "mb": memory["services in use"],
            "store": (0.0, 0.0),
            "modules": "node.announcements, node.dispatcher, health, admission",
        },
        "keeper": {
            "state": f"{keyed_per_s * KEY_LIFETIME_S:,.0f} keys of a day",
            "in": 2 * keyed_per_s,
            "out": 2 * keyed_per_s,
            "cpu": keyed_cpu,
            "mb": key_mb,
            "store": (0.0, 0.0),
            "modules": "idempotency.keeper, idempotency.table",
        },
        "replica": {
            "state": f"{keyed_per_s * KEY_LIFETIME_S:,.0f} keys of a day",
            "in": 2 * keyed_per_s,
            "out": 2 * keyed_per_s,
            "cpu": 0.0,
            "mb": key_mb,
            "store": (0.0, 0.0),
            "modules": "idempotency.replica (its CPU is in the keeper's row)",
        },
        "watcher": {
            "state": "1 watch lease",
            "in": rates["changes"],
            "out": rates["changes"] * 4,
            "cpu": rates["changes"] * slopes["change_us"]["slope"] / 1e4,
            "mb": 0.0,
            "store": (reads, store["watch leases"][1] / watchers),
            "modules": "configuration.election, configuration.claims, store",
        },
        "member": {
            "state": f"{size['nodes']:,.0f} members, {size['servers']:,.0f} servers in "
            "the directory, all objects",
            "in": sum(traffic[name][0] for name in directory_mechanisms) + 2.0,
            "out": sum(traffic[name][0] for name in directory_mechanisms) + 2.0,
            "cpu": member_cpu / 1e4,
            "mb": memory["configuration"] + memory["members"] + memory["directory"],
            "store": (0.0, 0.0),
            "modules": "membership, directory, node.directory_sync, configuration",
        },
    }


def work_out_worst_hour(figures: dict) -> dict[str, float]:
    """Return the load on a remaining node when a failure domain is lost and returns."""
    lost_nodes = TARGET["nodes"] / TARGET["domains"]
    remaining_nodes = TARGET["nodes"] - lost_nodes
    fanout = work_out_rates(TARGET)["fanout"]
    slopes, look_up = figures["slopes"], figures["full_size"]["look_up_us"]
    # The CONNECTIONS_PER_NODE connections of callers to a node carry about 270
    # requests/s; those of the lost domain move to the other domains.
    moved_connections = (
        TARGET["requests_per_s"] / TARGET["domains"] / 270.0 * CONNECTIONS_PER_NODE
    )
    # When the domain returns, each of its nodes sends its directory entry at once and
    # again as its servers announce themselves; updates within 50 ms are sent together.
    updates = lost_nodes * (1 + TARGET["servers"] / TARGET["nodes"])
    update_line = slopes["directory_update_wire_bytes"]
    size = (
        update_line["intercept"]
        + update_line["slope"] * TARGET["servers"] / TARGET["nodes"]
    )
    updates_per_s = updates / (LOSS_DETECTION_S + REANNOUNCE_S)
    receive_us = look_up["directory_update"]["mean"]
    link_us = 2 * fanout * slopes["link_accept_us"]["slope"]
    return {
        "lost_nodes": lost_nodes,
        "lost_servers": TARGET["servers"] / TARGET["domains"],
        "reconnects_per_node": moved_connections / remaining_nodes,
        "updates": updates,
        "updates_per_s": updates_per_s,
        "kb_per_s": updates_per_s * fanout * size / 1e3,
        "core_percent": updates_per_s * receive_us / 1e4,
        "core_s_to_place_servers": TARGET["servers"]
        / TARGET["nodes"]
        * slopes["new_server_us"]["slope"]
        / 1e6,
        "core_percent_with_links": updates_per_s * (receive_us + link_us) / 1e4,
    }
