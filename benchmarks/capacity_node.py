"""Run one node with the full state of the target size in a separate process."""

import gc
import statistics
import time
from collections.abc import Callable

import eliot

import flamingobank.cli  # noqa: F401  The node command imports it first.
from benchmarks.tables import make_route, read_resident_mb
from flamingobank.configuration import SnapshotLoaded, SnapshotLoader
from flamingobank.core import BootId, FailureDomain, NodeId
from flamingobank.membership import Member
from flamingobank.node import Node
from flamingobank.settings import CallerLimits, NodeSettings
from flamingobank.wire import DirectoryUpdate

HOST = "127.0.0.1"
SECRET = b"a secret for the benchmark only"
OWN_NODE_ID = "node-own"
DOMAIN_COUNT = 10
LOOKUP_COUNT = 500


def make_update(index: int, servers: int, nodes: int, services: int) -> DirectoryUpdate:
    """Return the directory update of one home, its servers spread over the services."""
    rows = []
    for server_index in range(index, servers, nodes):
        instance = f"instance-{server_index:05d}.domain-{index % DOMAIN_COUNT}"
        rows.append([f"service-{server_index % services:04d}", 1, 4, [instance]])
    return DirectoryUpdate(
        f"node-{index:04d}",
        f"{10**15 + index:016x}-{index:08x}",
        1,
        f"10.0.{index // 256}.{index % 256}",
        7000,
        f"domain-{index % DOMAIN_COUNT}",
        f"region-{index % DOMAIN_COUNT % 4}",
        False,
        rows,
        f"10.0.{index // 256}.{index % 256}",
        7001,
    )


def make_member(index: int) -> Member:
    """Return the member whose directory update make_update() returns."""
    address = (f"10.0.{index // 256}.{index % 256}", 7000)
    return Member(
        NodeId(f"node-{index:04d}"),
        BootId(f"{10**15 + index:016x}-{index:08x}"),
        address,
        (address[0], address[1]),
        FailureDomain(f"domain-{index % DOMAIN_COUNT}"),
        f"region-{index % DOMAIN_COUNT % 4}",
    )


def make_node(ports: list[int]) -> Node:
    """Return a node that sends nothing to other nodes, because they do not exist."""
    addresses = [(HOST, port) for port in ports]
    settings = NodeSettings(
        node_id=OWN_NODE_ID,
        failure_domain="domain-0",
        region="region-0",
        callers=addresses[0],
        peers=addresses[1],
        servers=addresses[2],
        operators=addresses[3],
        seeds=(),
        limits=CallerLimits(max_connections=4096),
    )
    node = Node(settings, [SECRET], seed=1)
    node.members.membership.tick = lambda now: []
    node.members.pick_addresses = lambda count: []
    return node


def load_state(node: Node, sizes: dict[str, int], pipe) -> dict[str, float]:
    """Load each kind of state and return the growth of resident memory in MB."""
    growth_mb = {}

    def load_part(name: str, operation: Callable[[], None]) -> None:
        gc.collect()
        before = read_resident_mb()
        operation()
        gc.collect()
        growth_mb[f"{name}_mb"] = round(read_resident_mb() - before, 2)

    def load_tables() -> None:
        loader = SnapshotLoader(node.configuration.log)
        while not isinstance(loader.load(pipe.recv(), 0.0), SnapshotLoaded):
            continue

    def load_members() -> None:
        for index in range(sizes["nodes"]):
            node.members.membership._records.table.put(make_member(index))

    def load_directory() -> None:
        for index in range(sizes["nodes"]):
            update = make_update(
                index, sizes["servers"], sizes["nodes"], sizes["services"]
            )
            node.directory.apply(update)

    load_part("configuration", load_tables)
    load_part("services_in_use", node.dispatcher.update_services)
    load_part("members", load_members)
    load_part("directory", load_directory)
    return growth_mb


def time_calls(operation: Callable[[int], object], count: int) -> dict[str, float]:
    """Return the median, the 99th percentile and the mean of the call times, in us."""
    times = []
    for index in range(count):
        started = time.perf_counter()
        operation(index)
        times.append((time.perf_counter() - started) * 1e6)
    times.sort()
    return {
        "p50": round(statistics.median(times), 1),
        "p99": round(times[int(0.99 * count)], 1),
        "mean": round(statistics.fmean(times), 1),
    }


def measure_lookups(node: Node, sizes: dict[str, int]) -> dict[str, dict[str, float]]:
    """Return the call times of lookups and updates on the full state."""
    tables, directory = node.configuration.tables, node.directory
    routes = [
        make_route(index * 97 % sizes["routes"]).spec for index in range(LOOKUP_COUNT)
    ]
    updates = []
    for index in range(LOOKUP_COUNT):
        update = make_update(index, sizes["servers"], sizes["nodes"], sizes["services"])
        update.sequence = 2
        updates.append(update)

    def find_route(index: int) -> None:
        spec = routes[index]
        assert tables.find_route(spec["host"], spec["path"], "GET", {}, {}) is not None

    def find_workspace(index: int) -> None:
        assert tables.find_workspace(f"ws-{index * 601:06d}") is not None

    def list_homes(index: int) -> None:
        assert directory.list_homes(f"service-{index * 5 % sizes['services']:04d}")

    return {
        "route": time_calls(find_route, LOOKUP_COUNT),
        "workspace": time_calls(find_workspace, LOOKUP_COUNT),
        "homes_of_service": time_calls(list_homes, LOOKUP_COUNT),
        "directory_update": time_calls(
            lambda index: directory.apply(updates[index]), LOOKUP_COUNT
        ),
        "directory_digest": time_calls(lambda index: directory.compute_digest(), 40),
        "directory_summary": time_calls(lambda index: directory.summarize(), 20),
        "services_update": time_calls(
            lambda index: node.dispatcher.update_services(), 3
        ),
    }


def run(pipe, ports: list[int], sizes: dict[str, int]) -> None:
    """Load the state from a pipe, send back the figures, then serve until killed."""
    eliot.add_destinations(lambda message: None)
    node = make_node(ports)
    figures: dict = {"empty_mb": round(read_resident_mb(), 2)}
    figures |= load_state(node, sizes, pipe)
    figures["total_mb"] = round(read_resident_mb(), 2)
    figures["look_up_us"] = measure_lookups(node, sizes)
    figures["after_look_ups_mb"] = round(read_resident_mb(), 2)
    pipe.send(figures)
    gc.freeze()
    node.run()
