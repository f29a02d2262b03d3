"""Time parsing and checking manifests of the designed size; count store calls."""

import argparse
import itertools
import random
import resource
import sys
import time
from collections.abc import Callable

from expression import Ok

from flamingobank.cli.changes import ChangeMaker
from flamingobank.cli.config import OperatorConfig
from flamingobank.cli.context import CommandContext, CommandSession
from flamingobank.cli.records import PlannedChange
from flamingobank.core import Revision
from flamingobank.objects import (
    Route,
    Service,
    check_objects,
    parse_manifest,
    render_manifest,
)
from flamingobank.store import BlockingStore, StoredObject, Written

SERVICES = 2_900
ROUTES = 48_000
WORKSPACES = 330_000
# The naive check compares each route with each service and each other route, so
# it runs on a share of the routes and services.
NAIVE_SHARE = 0.05


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the option to use a smaller manifest."""
    parser.add_argument("--scale", type=float, default=1.0, metavar="SHARE")


def measure(options: argparse.Namespace) -> dict[str, object]:
    """Return the times, the sizes and the store calls."""
    rng = random.Random(options.seed)
    text = make_manifest(rng, options.scale)
    items, parse_s = _time("parse", lambda: parse_manifest(text, "fleet.ini").ok)
    findings, check_s = _time("check", lambda: check_objects(items))
    rendered, render_s = _time("render", lambda: render_manifest(items))
    part = parse_manifest(make_manifest(rng, options.scale * NAIVE_SHARE), "part").ok
    part_findings, part_s = _time("check of a part", lambda: check_objects(part))
    naive_findings, naive_s = _time("naive check of a part", lambda: check_naive(part))
    return {
        "objects": len(items),
        "megabytes_of_text": round(len(text) / 1e6, 1),
        "parse_s": parse_s,
        "check_s": check_s,
        "render_s": render_s,
        "findings": len(findings),
        "round_trip": rendered == text,
        "part_objects": len(part),
        "part_check_s": part_s,
        "part_naive_check_s": naive_s,
        "same_findings": len(part_findings) == len(naive_findings),
        "peak_mb": round(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024, 1),
        **count_store_calls(),
    }


def make_manifest(rng: random.Random, scale: float) -> str:
    """Return a manifest with the designed numbers of objects, times a scale."""
    services = max(1, int(SERVICES * scale))
    lines = []
    for index in range(services):
        lines += [f"[service s{index}]", f"selector = app=s{index}", ""]
    for index in range(int(ROUTES * scale)):
        target = rng.randrange(services)
        lines += [
            f"[route r{index}]",
            f"target = service=s{target}",
            f"path = /s{target}/r{index}",
            "methods = GET, POST",
            "callers = tier=partner",
            "deadline_ms = 2000",
            "",
        ]
    for index in range(int(WORKSPACES * scale)):
        lines += [f"[workspace w{index}]", "label.tier = partner", ""]
    return "\n".join(lines)


def check_naive(items: list) -> list[str]:
    """Return the routes with findings, by comparing every pair of objects."""
    services = [item for item in items if isinstance(item, Service)]
    routes = [item for item in items if isinstance(item, Route)]
    findings = []
    for route in routes:
        labels = ({**service.labels, "service": service.name} for service in services)
        if sum(route.target.matches(each) for each in labels) != 1:
            findings.append(route.name)
    for first, second in itertools.combinations(routes, 2):
        if first.path != second.path or first.host != second.host:
            continue
        if first.headers == second.headers and first.callers == second.callers:
            findings.append(second.name)
    return findings


class CountingStore(BlockingStore):
    """Accept every call and count it."""

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 1), "", "benchmark")
        self.reads = 0
        self.writes = 0

    def get(self, kind, name):
        """Count a read."""
        self.reads += 1
        return Ok(StoredObject(kind, name, Revision(1), "", {}))

    def put(self, kind, name, spec, expected=None, write_id=""):
        """Count a write."""
        self.writes += 1
        return Ok(Written(Revision(self.writes)))


def count_store_calls() -> dict[str, float]:
    """Return the store calls that one recorded change makes."""
    store = CountingStore()
    config = OperatorConfig("anna", ("127.0.0.1", 1), None, 1, ())
    maker = ChangeMaker(CommandSession(config, store), CommandContext())
    maker.make(PlannedChange("create", "service", "s", {"selector": "app=s"}, None))
    return {
        "store_writes_per_change": store.writes,
        "store_reads_per_change": store.reads,
    }


def _time(name: str, run: Callable[[], object]) -> tuple[object, float]:
    started = time.perf_counter()
    result = run()
    seconds = round(time.perf_counter() - started, 3)
    print(f"{name}: {seconds} s", file=sys.stderr)
    return result, seconds
