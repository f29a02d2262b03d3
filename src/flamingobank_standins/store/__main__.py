"""Run the simulated object store as a process."""

import argparse
import sys
from pathlib import Path

from circuits import Manager
from circuits.core.pollers import EPoll

from flamingobank.core import MonotonicClock
from flamingobank_standins.store.object_store import ObjectStore
from flamingobank_standins.store.server import StoreServer


def main(arguments: list[str]) -> int:
    """Serve calls until the process is terminated."""
    parser = argparse.ArgumentParser(prog="python -m flamingobank_standins.store")
    parser.add_argument("--listen", required=True, metavar="HOST:PORT")
    parser.add_argument("--token-file", type=Path, required=True)
    parser.add_argument(
        "--history", type=int, default=10_000, help="number of changes kept for watches"
    )
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args(arguments)
    host, _, port = options.listen.rpartition(":")
    token = options.token_file.read_text().strip()
    clock = MonotonicClock()
    manager = Manager()
    EPoll().register(manager)
    store = ObjectStore(token, options.history, options.seed)
    StoreServer((host, int(port)), store, clock).register(manager)
    manager.run()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
