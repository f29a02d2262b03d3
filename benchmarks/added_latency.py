"""Measure the latency and CPU time that the fleet adds to a request.

One run sends the same load to the same servers twice: directly, and through the fleet.
A request takes 5 ms on the server. The nodes that callers use are home of no server, so
that each request takes both hops; with --local the entry is the home.
"""

import multiprocessing
import os
import random
import resource
import selectors
import socket
import sys
import time
from dataclasses import dataclass
from pathlib import Path

from flamingobank_standins.local_fleet import LocalFleet

MANIFEST = """\
[service bench]
selector = app=bench
floor = 50%

[route bench]
target = service=bench
path = /
expected_ms = 5
deadline_ms = 5000
"""
ENTRY_DOMAINS = ("domain-a", "domain-b")
HOME_DOMAINS = ("domain-c", "domain-d")
WORK_MS = 5
# Deployments use 4 slots. Direct callers cannot choose a server with a free slot, and
# the refusals of full servers would end their requests early.
SERVER_SLOTS = 32
DRAIN_WAIT_S = 0.2
DRAIN_LIMIT_S = 10.0
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
RESPONSE_END = b"\r\n\r\n"


@dataclass(slots=True)
class CallerConnection:
    """One persistent connection of the load generator."""

    sock: socket.socket
    expected: bytes = b""
    sent_at: float = 0.0
    data: bytes = b""


def add_arguments(parser) -> None:
    """Add the options of this benchmark to a parser."""
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--nodes", type=int, default=2)
    parser.add_argument("--rate", type=float, default=270.0, help="requests/s a node")
    parser.add_argument("--local", action="store_true", help="entries are homes")
    parser.add_argument("--connections", type=int, default=330, help="for each node")


def measure(options) -> dict:
    """Run the load directly and through the fleet, and return the figures."""
    with LocalFleet("bench") as fleet:
        manifest = fleet.path / "bench.ini"
        manifest.write_text(MANIFEST)
        entries = start_fleet(fleet, manifest, options.nodes, options.local)
        server_addresses = [server.address for server in fleet.servers.values()]
        node_addresses = [fleet.nodes[name].settings.callers for name in entries]
        print("measuring direct calls", file=sys.stderr)
        direct, direct_wrong = run_load(server_addresses, options)
        print("measuring calls through the fleet", file=sys.stderr)
        before = read_cpu_s(fleet)
        routed, routed_wrong = run_load(node_addresses, options)
        cpu_s = read_cpu_s(fleet) - before
        memory = [_read_memory_mb(node.process.pid) for node in fleet.nodes.values()]
    return {
        "added_p50_ms": round(_percentile(routed, 50) - _percentile(direct, 50), 3),
        "added_p99_ms": round(_percentile(routed, 99) - _percentile(direct, 99), 3),
        "cpu_ms_per_request": round(1000 * cpu_s / len(routed), 3),
        "direct_p50_ms": round(_percentile(direct, 50), 3),
        "direct_p99_ms": round(_percentile(direct, 99), 3),
        "requests": len(routed),
        "wrong_answers": direct_wrong + routed_wrong,
        "node_memory_mb": round(max(memory), 1),
    }


def run_load(addresses: list, options) -> tuple[list[float], int]:
    """Run one caller process per node.

    Returns the latencies in ms and the number of wrong answers.
    """
    processes = []
    count = options.nodes
    for index in range(count):
        receiver, sender = multiprocessing.Pipe(duplex=False)
        share = addresses[index::count] if len(addresses) >= count else addresses
        process = multiprocessing.Process(
            target=_send_requests, args=(sender, share, options, options.seed + index)
        )
        process.start()
        sender.close()
        processes.append((process, receiver))
    latencies: list[float] = []
    wrong = 0
    for process, receiver in processes:
        process_latencies, process_wrong = receiver.recv()
        latencies += process_latencies
        wrong += process_wrong
        process.join()
    return latencies, wrong


def start_fleet(
    fleet: LocalFleet, manifest: Path, node_count: int, local: bool
) -> list[str]:
    """Start nodes and servers; return the nodes that callers use."""
    entries = []
    for index in range(node_count):
        name = f"entry-{index}"
        fleet.start_node(name, ENTRY_DOMAINS[index % 2], manifests=[manifest])
        entries.append(name)
    if not local:
        for index in range(node_count):
            domain = HOME_DOMAINS[index % 2]
            fleet.start_node(f"home-{index}", domain, manifests=[manifest])
    fleet.wait_for_nodes()
    # Enough slots that the measurement does not include queueing in the fleet.
    domains = ENTRY_DOMAINS if local else HOME_DOMAINS
    for index in range(4 * node_count):
        fleet.start_server(
            f"server-{index}", domains[index % 2], {"app": "bench"}, SERVER_SLOTS
        )
    fleet.wait_for_servers({"bench": 4 * node_count})
    time.sleep(2.0)
    return entries


def _send_requests(sender, addresses: list, options, seed: int) -> None:
    """Send requests at random times, and measure each from its scheduled time.

    The latency of a request that was sent late thus includes its delay.
    """
    rng = random.Random(seed)
    selector = selectors.DefaultSelector()
    connections = []
    for index in range(options.connections):
        sock = socket.create_connection(addresses[index % len(addresses)])
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = CallerConnection(sock)
        selector.register(sock, selectors.EVENT_READ, connection)
        connections.append(connection)
    rng.shuffle(connections)
    latencies: list[float] = []
    wrong = 0
    started = time.perf_counter()
    ends_at = started + options.seconds
    next_at = started
    request_number = 0
    in_flight = 0
    while True:
        now = time.perf_counter()
        while next_at <= now and next_at < ends_at and connections:
            connection = connections.pop(0)
            echo = f"{seed}-{request_number}"
            request_number += 1
            connection.expected = f" {echo}\n".encode()
            connection.sent_at = next_at
            connection.data = b""
            connection.sock.sendall(
                f"GET /work?ms={WORK_MS}&echo={echo} HTTP/1.1\r\n"
                f"Host: bench\r\nAccept: */*\r\nUser-Agent: bench\r\n\r\n".encode()
            )
            in_flight += 1
            next_at += rng.expovariate(options.rate)
        if next_at >= ends_at and not in_flight:
            break
        timeout = (
            max(0.0, min(next_at, ends_at) - time.perf_counter())
            if next_at < ends_at
            else 1.0
        )
        for key, _ in selector.select(timeout):
            connection = key.data
            connection.data += connection.sock.recv(65536)
            head, head_end, body = connection.data.partition(RESPONSE_END)
            succeeded = head.startswith(b"HTTP/1.1 200")
            if not head_end or (succeeded and not body.endswith(b"\n")):
                continue
            latencies.append((time.perf_counter() - connection.sent_at) * 1000)
            wrong += 0 if succeeded and body.endswith(connection.expected) else 1
            in_flight -= 1
            connections.append(connection)
    sender.send((latencies, wrong))
    sender.close()


def _percentile(values: list[float], percent: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def read_cpu_s(fleet: LocalFleet) -> float:
    total = 0.0
    for node in fleet.nodes.values():
        fields = Path(f"/proc/{node.process.pid}/stat").read_text().split()
        total += (int(fields[13]) + int(fields[14])) / CLOCK_TICKS_PER_S
    return total


def _read_memory_mb(pid: int) -> float:
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / 1_048_576
