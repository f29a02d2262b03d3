"""Compare ways of choosing homes as the fleet grows, without a network.

Entries and homes run the real decision code in virtual time. Servers fail
most requests for some seconds each, and callers use a constant share of all slots.
"""

import argparse

from benchmarks.gray_fleet import GrayFleet, Way


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add options for the sizes, the duration and the load."""
    parser.add_argument("--sizes", type=int, nargs="+", default=[19, 95, 232])
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--load", type=float, default=0.6, help="share of all slots")
    parser.add_argument("--ways", nargs="+", default=[way.value for way in Way])


def measure(options: argparse.Namespace) -> dict:
    """Return the figures of each way at each size."""
    return {
        "seed": options.seed,
        "load": options.load,
        "sizes": {
            str(size): {
                way: measure_way(Way(way), size, options) for way in options.ways
            }
            for size in options.sizes
        },
    }


def measure_way(way: Way, size: int, options: argparse.Namespace) -> dict:
    """Return the figures of one way at one size."""
    fleet = GrayFleet(way, size, options.load, options.seed)
    figures = fleet.run(options.seconds)
    requests = max(1, figures.requests)
    return {
        "served_ratio": round(figures.served / requests, 4),
        "on_time_ratio": round(figures.on_time / requests, 4),
        "unsafe_ok_ratio": round(figures.unsafe_ok / max(1, figures.unsafe), 4),
        "refused_offers_per_request": {
            reason: round(count / requests, 3)
            for reason, count in sorted(figures.refused.items())
        },
        "decision_us_per_request": round(figures.decision_s / requests * 1e6, 1),
    }
