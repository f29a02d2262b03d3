"""Measure the CPU time and memory of a keyed request at its keeper and replica."""

import argparse
import time
import tracemalloc

from flamingobank.idempotency import (
    Keeper,
    KeeperName,
    Prepare,
    ReplicaRecords,
    RunGranted,
)
from flamingobank.idempotency.table import KeyEntry, KeyState, KeyTable

SECRET = b"secret of the benchmark"


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this benchmark."""
    parser.add_argument("--keys", type=int, default=20_000)


def measure(options: argparse.Namespace) -> dict[str, object]:
    """Issue keys, run a request with each key and send each request again."""
    keeper = Keeper(KeeperName("n1", "e1"), [SECRET], 1e9)
    keeper.set_replicas(["n2"])
    replica = ReplicaRecords("n2")
    count = options.keys - options.keys % 1000
    started = time.process_time()
    keys = [key for _ in range(count // 1000) for key in keeper.issue_keys(1000, 0).ok]
    issued = time.process_time()
    for key in keys:
        run_once(keeper, replica, key)
    ran = time.process_time()
    for key in keys:
        keeper.accept(key, b"request", 2.0)
    replayed = time.process_time()
    return {
        "keys": count,
        "issue_us": round((issued - started) / count * 1e6, 2),
        "run_us": round((ran - issued) / count * 1e6, 2),
        "replay_us": round((replayed - ran) / count * 1e6, 2),
        "table_bytes_per_key": measure_table(count),
    }


def run_once(keeper: Keeper, replica: ReplicaRecords, key: str) -> None:
    """Accept, replicate, run and record one request."""
    prepared = keeper.accept(key, b"request", 1.0)
    if not isinstance(prepared, Prepare):
        raise TypeError(f"expected Prepare, got {prepared}")
    run = keeper.on_ack(replica.on_record(prepared.sends[0].message), 1.0)
    if not isinstance(run, RunGranted):
        raise TypeError(f"expected RunGranted, got {run}")
    for send in keeper.record_done(run, 200, b"x" * 200, 1.0):
        keeper.on_ack(replica.on_record(send.message), 1.0)


def measure_table(count: int) -> float:
    """Return the bytes of memory per key of a ``KeyTable`` with the given count."""
    tracemalloc.start()
    table = KeyTable()
    for sequence in range(count):
        table.set(sequence, KeyEntry(KeyState.DONE, 0, 200, sequence), 1)
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return round(size / len(table), 1)
