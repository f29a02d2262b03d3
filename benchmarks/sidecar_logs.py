"""Measure the CPU time of sidecars per request, with and without their logs.

Four sidecars serve stand-in servers without faults. Rounds with their logs alternate
with rounds whose event log writes nothing. The CPU time includes the work as entry and
as home, gossip and the watch on the store.
"""

import os
import statistics
from pathlib import Path
from tempfile import TemporaryDirectory

from tools.soak.process import QUIET_VARIABLE, TRUE_CLOCK_VARIABLE
from tools.soak.run import Soak

MACHINES = 4


def add_arguments(parser) -> None:
    """Add options for the duration and number of rounds and for the load."""
    parser.add_argument("--seconds", type=float, default=10.0)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument(
        "--rate", type=float, default=25.0, help="requests/s per sidecar"
    )


def measure(options) -> dict:
    """Return the CPU ms per request with and without logs, and the share they add."""
    logged_s, quiet_s = [], []
    os.environ[TRUE_CLOCK_VARIABLE] = "1"
    for number in range(options.rounds):
        seed = options.seed + 2 * number
        logged_s.append(_measure_round(seed, options))
        os.environ[QUIET_VARIABLE] = "1"
        quiet_s.append(_measure_round(seed + 1, options))
        del os.environ[QUIET_VARIABLE]
    with_logs, without = statistics.median(logged_s), statistics.median(quiet_s)
    return {
        "cpu_ms_with_logs": round(with_logs * 1000, 3),
        "cpu_ms_without_logs": round(without * 1000, 3),
        "added_share": round(with_logs / without - 1, 3),
        "rounds_with_logs": [round(value * 1000, 3) for value in logged_s],
        "rounds_without_logs": [round(value * 1000, 3) for value in quiet_s],
    }


def _measure_round(seed: int, options) -> float:
    with TemporaryDirectory() as folder:
        soak = Soak(seed, MACHINES, Path(folder), kinds=())
        return soak.measure_cpu(options.seconds, options.rate)
