"""Measure the packed tables at the designed size, and a dictionary of objects."""

import multiprocessing
import random
import resource
import statistics
import sys
import time
from collections.abc import Callable

from flamingobank.configuration import (
    ConfigurationChange,
    ConfigurationLog,
    Delta,
    PackedTables,
    SnapshotLoaded,
    SnapshotLoader,
    build_chunk,
)
from flamingobank.configuration.shards import MAX_KEY
from flamingobank.objects import ObjectKind, parse_spec

PAGE_BYTES = resource.getpagesize()
LOOKUPS = 4000
CHANGES = 1000
HOSTS = 600


def add_arguments(parser) -> None:
    """Add the options for the numbers of objects."""
    parser.add_argument("--routes", type=int, default=48_000)
    parser.add_argument("--workspaces", type=int, default=330_000)
    parser.add_argument("--services", type=int, default=2_900)


def make_route(index: int) -> ConfigurationChange:
    """Return a route; the routes are spread evenly over the hosts."""
    spec = {
        "target": f"service=service-{index % 2900:04d}",
        "host": f"api-{index % HOSTS}.example",
        "path": f"/v1/area-{index // HOSTS % 16}/item-{index // HOSTS}",
        "class": "customer",
        "idempotent": "yes",
    }
    return ConfigurationChange(ObjectKind.ROUTE, f"route-{index:05d}", index + 1, spec)


def make_workspace(index: int) -> ConfigurationChange:
    """Return a workspace with one label."""
    spec = {"label.tier": ("gold", "tin")[index % 2]}
    return ConfigurationChange(
        ObjectKind.WORKSPACE, f"ws-{index:06d}", 100_000 + index, spec
    )


def make_service(index: int) -> ConfigurationChange:
    """Return a service with two labels."""
    spec = {"selector": f"app=a{index}", "floor": "70%", "label.area": f"x{index % 9}"}
    return ConfigurationChange(
        ObjectKind.SERVICE, f"service-{index:04d}", 500_000 + index, spec
    )


def read_resident_mb() -> float:
    """Return the resident memory of this process in MB."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * PAGE_BYTES / 1e6


def _time_us(action: Callable[[int], object], count: int) -> dict[str, float]:
    times = []
    for index in range(count):
        started = time.perf_counter()
        action(index)
        times.append((time.perf_counter() - started) * 1e6)
    times.sort()
    p99 = times[int(0.99 * count)]
    return {"p50": round(statistics.median(times), 1), "p99": round(p99, 1)}


def _load(log: ConfigurationLog, options) -> None:
    for make_object, count in (
        (make_route, options.routes),
        (make_workspace, options.workspaces),
        (make_service, options.services),
    ):
        for index in range(count):
            log.apply_change(make_object(index), 0.0)
    log.advance(600_000)


def _measure_lookups(tables: PackedTables, options) -> dict[str, object]:
    rng = random.Random(options.seed)
    routes = [rng.randrange(options.routes) for _ in range(LOOKUPS)]
    workspace_indexes = [rng.randrange(options.workspaces) for _ in range(LOOKUPS)]
    specs = [make_route(index).spec for index in routes]

    def find_route(index: int) -> None:
        spec = specs[index]
        path = spec["path"] + "/detail"
        found = tables.find_route(spec["host"], path, "GET", {}, {})
        assert found is not None and found.path == spec["path"]

    def find_hot_route(index: int) -> None:
        find_route(index % 100)

    def find_workspace(index: int) -> None:
        assert tables.find_workspace(f"ws-{workspace_indexes[index]:06d}") is not None

    return {
        "route_us": _time_us(find_route, LOOKUPS),
        "hot_route_us": _time_us(find_hot_route, LOOKUPS),
        "workspace_us": _time_us(find_workspace, LOOKUPS),
    }


def _measure_changes(log: ConfigurationLog, options) -> dict[str, float]:
    rng = random.Random(options.seed)

    def apply(index: int) -> None:
        route = make_route(rng.randrange(options.routes))
        revision = log.revision + 1
        spec = {**route.spec, "deadline_ms": str(revision)}
        change = ConfigurationChange(route.kind, route.name, revision, spec)
        log.apply(Delta(log.revision, revision, (change,)), 0.0)

    return _time_us(apply, CHANGES)


def _load_in_child(pipe) -> None:
    """Load the chunks from a pipe as a starting node does; send the figures back."""
    before = read_resident_mb()
    target = ConfigurationLog(PackedTables(parse_spec))
    loader = SnapshotLoader(target)
    loads = []
    result = None
    while not isinstance(result, SnapshotLoaded):
        chunk = pipe.recv()
        started = time.perf_counter()
        result = loader.load(chunk, 0.0)
        loads.append(time.perf_counter() - started)
    growth = read_resident_mb() - before
    pipe.send((growth, sum(loads), max(loads), len(target.tables)))


def _measure_snapshot(log: ConfigurationLog) -> dict[str, object]:
    context = multiprocessing.get_context("spawn")
    pipe, other = context.Pipe()
    child = context.Process(target=_load_in_child, args=(other,))
    child.start()
    after = -1
    sizes, builds = [], []
    while after < MAX_KEY:
        started = time.perf_counter()
        chunk = build_chunk(log, after)
        builds.append(time.perf_counter() - started)
        sizes.append(sum(len(record) for record in chunk.records))
        pipe.send(chunk)
        after = chunk.until
    growth, load_s, load_max_s, count = pipe.recv()
    child.join()
    assert count == len(log.tables)
    return {
        "resident_growth_mb": round(growth, 1),
        "snapshot_mb": round(sum(sizes) / 1e6, 2),
        "chunks": len(sizes),
        "largest_chunk_bytes": max(sizes),
        "build_s": round(sum(builds), 2),
        "load_s": round(load_s, 2),
        "build_chunk_max_ms": round(max(builds) * 1e3, 2),
        "load_chunk_max_ms": round(load_max_s * 1e3, 2),
    }


def _measure_dictionary(options) -> dict[str, object]:
    """Return the memory of Python objects and the time to scan all routes.

    Both are extrapolated: from a tenth of the workspaces and from 480 routes.
    """
    before = read_resident_mb()
    objects = {}
    for index in range(options.workspaces // 10):
        change = make_workspace(index)
        parsed = parse_spec(change.kind, change.name, change.spec)
        objects[change.name] = (change.revision, parsed.ok)
    used = (read_resident_mb() - before) * 10
    routes = [make_route(index) for index in range(480)]
    parsed = [parse_spec(item.kind, item.name, item.spec).ok for item in routes]

    def scan(index: int) -> None:
        spec = routes[index % 480].spec
        path = spec["path"] + "/detail"
        matching = [
            item
            for item in parsed
            if item.host == spec["host"] and path.startswith(item.path + "/")
        ]
        assert matching

    scan_us = _time_us(scan, 500)["p50"] * 100
    return {"workspaces_mb": round(used, 1), "scan_us": round(scan_us, 1)}


def measure(options) -> dict[str, object]:
    """Return figures of memory, lookups, changes and snapshots."""
    naive = _measure_dictionary(options)
    before = read_resident_mb()
    log = ConfigurationLog(PackedTables(parse_spec))
    print("tables: loading", file=sys.stderr)
    started = time.perf_counter()
    _load(log, options)
    loaded_s = time.perf_counter() - started
    after = read_resident_mb()
    log.tables.trim(-1, MAX_KEY)
    trimmed = read_resident_mb()
    packed_mb = log.tables.bytes_used / 1e6
    figures = {
        "objects": len(log.tables),
        "resident_before_mb": round(before, 1),
        "resident_after_mb": round(after, 1),
        "resident_growth_mb": round(after - before, 1),
        "resident_trimmed_mb": round(trimmed, 1),
        "packed_mb": round(packed_mb, 1),
        "write_all_s": round(loaded_s, 2),
    }
    figures |= _measure_lookups(log.tables, options)
    figures["change_us"] = _measure_changes(log, options)
    first = next(iter(log.tables.read_range(-1, MAX_KEY)))
    figures["first_record_bytes"] = len(first[1])
    figures["snapshot"] = _measure_snapshot(log)
    figures["dictionary_extrapolated"] = naive
    return figures
