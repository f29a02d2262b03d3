"""Compare the choice of homes by load and by cost in failure domains with crests.

Entries and homes run the real decision code in virtual time. The demand of each failure
domain swings at another phase; some servers may fail most requests for seconds.
"""

import argparse

from benchmarks.domain_fleet import DomainFleet
from flamingobank.sidecar.callers.cost_scheduling import SchedulingByCost
from flamingobank.sidecar.callers.scheduling import Scheduling, SchedulingByLoad
from flamingobank.sidecar.event_log import EventLog

WAYS = ("load", "cost")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add options for the loads, the failing servers and the duration."""
    parser.add_argument("--loads", type=float, nargs="+", default=[0.5, 0.7, 0.9])
    parser.add_argument("--failing", type=float, nargs="+", default=[0.0, 0.1])
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--entries", type=int, default=27, help="in each domain")


def create_scheduling(way: str) -> Scheduling:
    """Return a new entry's scheduling."""
    return SchedulingByLoad() if way == "load" else SchedulingByCost(EventLog("model"))


def measure(options: argparse.Namespace) -> dict:
    """Return the figures of both ways for each load and share of failing servers."""
    return {
        "seed": options.seed,
        "cases": [
            {
                "share_of_slots": load,
                "failing_share": failing,
                **{way: measure_way(way, load, failing, options) for way in WAYS},
            }
            for load in options.loads
            for failing in options.failing
        ],
    }


def measure_way(
    way: str, load: float, failing: float, options: argparse.Namespace
) -> dict:
    """Return the figures of one way as shares of the requests."""
    fleet = DomainFleet(
        lambda: create_scheduling(way),
        entries_per_domain=options.entries,
        load=load,
        failing_share=failing,
        seed=options.seed,
    )
    counts = fleet.run(options.seconds)
    sent = max(1, counts["sent"])
    return {
        "left_ratio": round(counts["left"] / sent, 3),
        "on_time_ratio": round(counts["on time"] / sent, 3),
        "failed_ratio": round(counts["failed"] / sent, 3),
        "refused_ratio": round(counts["refused"] / max(1, counts["requests"]), 3),
        "refused_early_ratio": round(
            counts["refused early"] / max(1, counts["requests"]), 3
        ),
        "offers_per_request": round(counts["offers"] / sent, 2),
    }
