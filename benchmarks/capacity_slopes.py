"""Measure the marginal cost of each kind of state and traffic of a node.

One quantity is varied at a time, and a line is fitted through the results.
"""

import contextlib
import http.client
import json
import os
import socket
import time
import tracemalloc
from argparse import Namespace
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path

from benchmarks import added_latency, keyed_cost
from benchmarks.capacity_node import HOST, SECRET, make_member, make_update
from benchmarks.membership_model import build_fleet
from benchmarks.tables import make_route, make_service, make_workspace, parse_spec
from flamingobank.configuration import ConfigurationLog, Delta, PackedTables
from flamingobank.configuration.shards import MAX_KEY
from flamingobank.directory import DirectoryTable
from flamingobank.membership.table import MemberTable
from flamingobank.node.knowledge.configuration_wire import pack_peer_message
from flamingobank.wire import FrameEncoder, Handshake, Message, pack_message
from flamingobank_standins.local_fleet import LocalFleet

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
OBJECT_COUNTS = (1000, 2000, 4000, 8000)
OPERATION_COUNTS = (200, 400, 800, 1600)
NEW_SERVER_COUNTS = (2, 4, 8, 16)
# Renewals cycle through this many servers, so that each one renews before its
# announcement expires.
RENEWING_SERVERS = 13
NODE_COUNTS = (50, 100, 200, 400)
REQUEST_RATES = (40, 80, 160, 320)
UNDISTURBED_S = 5.0


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> dict[str, object]:
    """Return the least-squares line through the points and its largest residual.

    The residual is in the unit of the values.
    """
    count = len(sizes)
    mean_x, mean_y = sum(sizes) / count, sum(values) / count
    sum_of_squares = sum((x - mean_x) ** 2 for x in sizes)
    points = list(zip(sizes, values, strict=True))
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / sum_of_squares
    intercept = mean_y - slope * mean_x
    return {
        "slope": float(f"{slope:.6g}"),
        "intercept": float(f"{intercept:.6g}"),
        "largest_residual": float(
            f"{max(abs(y - slope * x - intercept) for x, y in points):.3g}"
        ),
        "sizes": list(sizes),
        "values": [float(f"{value:.6g}") for value in values],
    }


def measure_by_size(sizes: Sequence[int], measure: Callable) -> dict[str, object]:
    """Return the line fitted through one measurement per size."""
    return fit_line(sizes, [measure(size) for size in sizes])


def measure_state() -> dict[str, dict]:
    """Return lines whose slopes are the bytes of memory per item of each kind."""
    fitted_lines = {}
    makers = {"route": make_route, "workspace": make_workspace, "service": make_service}
    for name, make_object in makers.items():
        fitted_lines[f"{name}_bytes"] = measure_by_size(
            OBJECT_COUNTS,
            lambda size, make_object=make_object: _measure_object_bytes(
                make_object, size
            ),
        )
    fitted_lines["member_bytes"] = measure_by_size(OBJECT_COUNTS, _measure_member_bytes)
    fitted_lines["directory_server_bytes"] = measure_by_size(
        OBJECT_COUNTS, _measure_directory_bytes
    )
    fitted_lines["key_bytes"] = measure_by_size(
        OBJECT_COUNTS, lambda size: keyed_cost.measure_table(size) * size
    )
    return fitted_lines


def measure_processing() -> dict[str, dict]:
    """Return the CPU of keyed requests, configuration changes and membership.

    Also returns the bytes on the wire of changes, membership and directory updates.
    """
    keyed = [keyed_cost.measure(Namespace(keys=size)) for size in OBJECT_COUNTS]
    points = list(zip(OBJECT_COUNTS, keyed, strict=True))
    totals = [size * (row["issue_us"] + row["run_us"]) for size, row in points]
    undisturbed = [_measure_membership(size) for size in NODE_COUNTS]
    return {
        "keyed_request_us": fit_line(OBJECT_COUNTS, totals),
        "change_us": measure_by_size(OPERATION_COUNTS, _measure_change_cpu_us),
        "change_wire_bytes": measure_by_size((1, 2, 4, 8), _measure_change_bytes),
        "membership_cpu_us_per_s": fit_line(
            NODE_COUNTS, [row[0] for row in undisturbed]
        ),
        "membership_bytes_per_s": fit_line(
            NODE_COUNTS, [row[1] for row in undisturbed]
        ),
        "directory_update_wire_bytes": measure_by_size(
            (4, 8, 16, 32), _measure_update_bytes
        ),
    }


def measure_node(pid: int, ports: Sequence[int]) -> dict[str, dict]:
    """Return the costs of announcements, connections and links in a running node."""
    # The first announcement of a server places it in its services, so it is measured
    # separately. Connections and links come last, because closing them takes CPU.
    new_server_costs = [
        _send_announcements(pid, ports[2], size, f"new-{size}-", size)[0]
        for size in NEW_SERVER_COUNTS
    ]
    _send_announcements(pid, ports[2], RENEWING_SERVERS, "renewing-", RENEWING_SERVERS)
    renewals = [
        _send_announcements(pid, ports[2], size, "renewing-", RENEWING_SERVERS)
        for size in OPERATION_COUNTS
    ]
    return {
        "new_server_us": fit_line(NEW_SERVER_COUNTS, new_server_costs),
        "announcement_us": fit_line(OPERATION_COUNTS, [row[0] for row in renewals]),
        "announcement_wire_bytes": fit_line(
            OPERATION_COUNTS, [row[1] for row in renewals]
        ),
        "caller_connection_bytes": _measure_connections(
            pid, ports[0], OPERATION_COUNTS
        ),
        **_measure_links(pid, ports[1], (100, 200, 400, 800)),
    }


def measure_requests(seed: int) -> dict[str, dict]:
    """Return the CPU of all nodes as a line over the number of requests."""
    counts, cpu_us = [], []
    with LocalFleet("bench") as fleet:
        manifest = fleet.path / "bench.ini"
        manifest.write_text(added_latency.MANIFEST)
        entries = added_latency.start_fleet(fleet, manifest, 2, local=False)
        addresses = [fleet.nodes[name].settings.callers for name in entries]
        for rate in REQUEST_RATES:
            options = Namespace(
                seed=seed, nodes=2, connections=40, rate=rate, seconds=4.0
            )
            cpu_before = added_latency.read_cpu_s(fleet)
            latencies, _ = added_latency.run_load(addresses, options)
            cpu_us.append((added_latency.read_cpu_s(fleet) - cpu_before) * 1e6)
            counts.append(len(latencies))
    return {"request_us": fit_line(counts, cpu_us)}


def measure_frame(message: Message) -> int:
    """Return the size of a message on a link in bytes."""
    kind, fields = pack_message(message)
    return len(FrameEncoder(b"k" * 32).encode(kind, 0, fields))


def read_resident_bytes(pid: int) -> int:
    """Return the resident memory of a process in bytes."""
    return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES


def read_cpu_us(pid: int) -> float:
    """Return the CPU time used by a process in us, a multiple of the clock tick."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S * 1e6


@contextlib.contextmanager
def _trace_memory() -> Iterator[Callable[[], int]]:
    tracemalloc.start()
    try:
        yield lambda: tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()


def _measure_object_bytes(make_object: Callable, size: int) -> int:
    with _trace_memory() as read_traced_bytes:
        log = ConfigurationLog(PackedTables(parse_spec))
        for index in range(size):
            log.apply_change(make_object(index), 0.0)
        log.tables.trim(-1, MAX_KEY)
        return read_traced_bytes()


def _measure_member_bytes(size: int) -> int:
    with _trace_memory() as read_traced_bytes:
        table = MemberTable()
        for index in range(size):
            table.put(make_member(index))
        return read_traced_bytes()


def _measure_directory_bytes(size: int) -> int:
    nodes = size * 10 // 124
    with _trace_memory() as read_traced_bytes:
        table = DirectoryTable()
        for index in range(nodes):
            table.apply(make_update(index, size, nodes, 2900))
        return read_traced_bytes()


def _measure_membership(size: int) -> tuple[float, float]:
    fleet = build_fleet(size, 1, 0.01)
    fleet.run(2.0)
    nodes = fleet.nodes.values()
    cpu_s, sent_bytes = sum(n.cpu_s for n in nodes), sum(n.bytes for n in nodes)
    fleet.run(UNDISTURBED_S)
    total = size * UNDISTURBED_S
    cpu_us = (sum(n.cpu_s for n in nodes) - cpu_s) / total * 1e6
    return cpu_us, (sum(n.bytes for n in nodes) - sent_bytes) / total


def _make_deltas(size: int) -> list[Delta]:
    deltas = []
    for index in range(size):
        change = make_service(index)
        revision = index + 1
        change = type(change)(change.kind, change.name, revision, change.spec)
        deltas.append(Delta(index, revision, (change,)))
    return deltas


def _measure_change_cpu_us(size: int) -> float:
    log = ConfigurationLog(PackedTables(parse_spec))
    deltas = _make_deltas(size)
    started = time.process_time()
    for delta in deltas:
        log.apply(delta, 0.0)
        measure_frame(pack_peer_message(delta))
    return (time.process_time() - started) * 1e6


def _measure_change_bytes(size: int) -> int:
    return sum(measure_frame(pack_peer_message(d)) for d in _make_deltas(size))


def _measure_update_bytes(servers: int) -> int:
    return measure_frame(make_update(0, servers, 1, 2900))


def _measure_connections(pid: int, port: int, sizes: Sequence[int]) -> dict:
    values, opened = [], []
    for size in sizes:
        while len(opened) < size:
            opened.append(socket.create_connection((HOST, port)))
        time.sleep(0.5)
        values.append(read_resident_bytes(pid))
    for sock in opened:
        sock.close()
    return fit_line(sizes, values)


def _measure_links(pid: int, port: int, sizes: Sequence[int]) -> dict[str, dict]:
    memory, cpu_us, opened = [], [], []
    sent_bytes = 0
    started = read_cpu_us(pid)
    for size in sizes:
        while len(opened) < size:
            sock, transferred_bytes = _open_link(port, len(opened))
            opened.append(sock)
            sent_bytes += transferred_bytes
        time.sleep(0.3)
        memory.append(read_resident_bytes(pid))
        cpu_us.append(read_cpu_us(pid) - started)
    for sock in opened:
        sock.close()
    return {
        "link_bytes": fit_line(sizes, memory),
        "link_accept_us": fit_line(sizes, cpu_us),
        "handshake_wire_bytes": {"slope": round(sent_bytes / len(opened), 1)},
    }


def _open_link(port: int, index: int) -> tuple[socket.socket, int]:
    handshake = Handshake(f"peer-{index}", "1-a", [SECRET], initiator=True)
    sock = socket.create_connection((HOST, port), timeout=5)
    hello = handshake.start()
    sock.sendall(hello)
    transferred_bytes = len(hello)
    while True:
        data = sock.recv(4096)
        transferred_bytes += len(data)
        step = handshake.feed(data)
        if step is None:
            continue
        sock.sendall(step.output)
        return sock, transferred_bytes + len(step.output)


def _send_announcements(
    pid: int, port: int, count: int, prefix: str, servers: int
) -> tuple[float, float]:
    """Send announcements of servers in turn to a node.

    Returns the CPU that the node used in us, and the bytes exchanged.
    """
    transferred_bytes = 0
    connection = http.client.HTTPConnection(HOST, port, timeout=10)
    cpu_before = read_cpu_us(pid)
    for index in range(count):
        body = json.dumps(
            {
                "instance": f"{prefix}{index % servers}",
                "boot": "1-a",
                "address": "127.0.0.1:9",
                "labels": {"app": "a1", "version": "12"},
                "slots": 4,
                "failure_domain": "domain-0",
                "in_use": 2,
                "draining": False,
                "warm": 1.0,
                "final": True,
            }
        )
        connection.request("POST", "/.flamingobank/announce", body)
        response = connection.getresponse()
        transferred_bytes += (
            len(body) + 110 + len(response.read()) + len(str(response.headers)) + 17
        )
    cpu_us = read_cpu_us(pid) - cpu_before
    connection.close()
    return cpu_us, transferred_bytes
