"""Measure cost slopes and a node with full state; compute budgets at target size."""

import json
import multiprocessing
import os
import sys
import time
from pathlib import Path

from benchmarks import capacity_node, capacity_slopes
from benchmarks.capacity_model import BUDGETS, TARGET, work_out_budgets
from benchmarks.tables import make_route, make_service, make_workspace, parse_spec
from flamingobank.configuration import ConfigurationLog, PackedTables, build_chunk
from flamingobank.configuration.shards import MAX_KEY
from flamingobank.wire import DirectorySummary
from flamingobank_standins.local_fleet import find_free_port

MEASUREMENTS = Path(__file__).parent / "measurements"
COMMITTED_MEASUREMENTS = ("added_latency", "propagation")


def add_arguments(parser) -> None:
    """Add the option for the file that receives all measurements."""
    parser.add_argument("--output", type=Path, help="file to write all measurements to")


def measure(options) -> dict[str, object]:
    """Measure the costs and a full node, and compare them with the budgets.

    Returns the value computed for each budget at the target size, the budgets, and the
    names of those that are exceeded.
    """
    started = time.monotonic()
    figures: dict = {"command": "python -m benchmarks capacity --json"}
    figures["load_average"] = round(os.getloadavg()[0], 1)
    for name in COMMITTED_MEASUREMENTS:
        path = MEASUREMENTS / f"{name}.json"
        figures[name] = json.loads(path.read_text())
    _log_progress("measuring state")
    slopes = capacity_slopes.measure_state()
    _log_progress("measuring processing")
    slopes |= capacity_slopes.measure_processing()
    _log_progress("measuring a node with the full state")
    figures["full_size"], node_slopes = _measure_full_node()
    slopes |= node_slopes
    _log_progress("measuring requests")
    slopes |= capacity_slopes.measure_requests(options.seed)
    figures["slopes"] = slopes
    figures["seconds"] = round(time.monotonic() - started, 1)
    if options.output is not None:
        report_text = json.dumps(figures, indent=2, sort_keys=True)
        options.output.write_text(report_text + "\n", encoding="utf-8")
    budgets = work_out_budgets(figures)
    over_budget = [name for name, value in budgets.items() if value > BUDGETS[name]]
    return {**budgets, "budgets": BUDGETS, "over_budget": over_budget}


def _log_progress(step: str) -> None:
    print(f"capacity: {step}", file=sys.stderr)


def _measure_full_node() -> tuple[dict, dict]:
    """Run a node in a separate process and measure it with the full state.

    The node loads its configuration in chunks, as a node that starts from a peer.
    Returns the figures that the node measured itself, and the slopes of its traffic.
    """
    context = multiprocessing.get_context("spawn")
    parent_pipe, child_pipe = context.Pipe()
    ports = [find_free_port() for _ in range(4)]
    sizes = {
        name: int(TARGET[name])
        for name in ("routes", "workspaces", "services", "servers", "nodes")
    }
    node_process = context.Process(
        target=capacity_node.run, args=(child_pipe, ports, sizes)
    )
    node_process.start()
    child_pipe.close()
    try:
        _send_chunks(parent_pipe, sizes)
        figures = parent_pipe.recv()
        summary = {
            f"node-{index:04d}": [capacity_node.make_member(index).boot_id, 1]
            for index in range(sizes["nodes"])
        }
        figures["summary_wire_bytes"] = capacity_slopes.measure_frame(
            DirectorySummary(summary, True)
        )
        return figures, capacity_slopes.measure_node(node_process.pid, ports)
    finally:
        node_process.kill()
        node_process.join()


def _send_chunks(pipe, sizes: dict[str, int]) -> None:
    log = ConfigurationLog(PackedTables(parse_spec))
    for make_object, kind in (
        (make_route, "routes"),
        (make_workspace, "workspaces"),
        (make_service, "services"),
    ):
        for index in range(sizes[kind]):
            log.apply_change(make_object(index), 0.0)
    log.advance(600_000)
    after = -1
    while after < MAX_KEY:
        chunk = build_chunk(log, after)
        pipe.send(chunk)
        after = chunk.until
