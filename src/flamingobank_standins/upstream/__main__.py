"""Run a simulated upstream as a process."""

import argparse
import sys
from pathlib import Path

from flamingobank.core import MonotonicClock
from flamingobank_standins.upstream.server import Upstream


def main(arguments: list[str]) -> int:
    """Serve until a drain is complete.

    A signal or a request to ``/control`` starts the drain; the process exits once all
    requests have ended.
    """
    parser = argparse.ArgumentParser(prog="python -m flamingobank_standins.upstream")
    parser.add_argument("--instance", required=True)
    parser.add_argument("--listen", required=True, metavar="HOST:PORT")
    parser.add_argument("--failure-domain", required=True)
    parser.add_argument("--label", action="append", default=[], metavar="NAME=VALUE")
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--node", action="append", default=[], metavar="HOST:PORT")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--run-log",
        type=Path,
        metavar="FILE",
        help="file to append the idempotency key of each executed request to",
    )
    options = parser.parse_args(arguments)
    upstream = Upstream(
        options.instance,
        _parse_address(options.listen),
        options.failure_domain,
        dict(label.split("=", 1) for label in options.label),
        options.slots,
        [_parse_address(text) for text in options.node],
        MonotonicClock(),
        options.seed,
        options.run_log,
    )
    upstream.run()
    return 0


def _parse_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
