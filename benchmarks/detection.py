"""Measure the time to detect failing servers, and false ejections."""

import argparse
import math
import statistics
import sys
import time
from concurrent.futures import ProcessPoolExecutor

from benchmarks.detection_cases import (
    DETECTION_LIMIT_S,
    DISTURBANCES,
    FAULTS,
    run_detection,
    run_disturbance,
    run_flapping,
)
from benchmarks.detection_quiet import run_quiet

KINDS = ("naive", "product")
WORKERS = 2


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add options for shorter runs; the defaults give the full run."""
    parser.add_argument(
        "--hours", type=float, default=10.0, help="quiet hours per seed"
    )
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--detections", type=int, default=40, help="runs of each fault")
    parser.add_argument("--flappings", type=int, default=3)


def measure(options: argparse.Namespace) -> dict:
    """Return the figures of both dispatchers, in virtual time with the same seeds."""
    seeds = [options.seed * 1000 + index for index in range(options.seeds)]
    trials = [options.seed * 1000 + index for index in range(options.detections)]
    with ProcessPoolExecutor(WORKERS) as pool:
        quiet = list(pool.map(run_quiet, seeds, [options.hours] * len(seeds)))
        _report(f"quiet: {sum(run['requests'] for run in quiet)} requests")
        figures = {}
        for kind in KINDS:
            figures[kind] = _measure_detection(pool, kind, trials)
            figures[kind] |= _measure_flapping(pool, kind, trials[: options.flappings])
            figures[kind] |= _measure_false_ejections(pool, kind, seeds, quiet)
            figures[kind]["floor_breaches"] += figures[kind].pop("detection_breaches")
    figures["quiet_hours"] = options.hours * options.seeds
    figures["quiet_requests"] = sum(run["requests"] for run in quiet)
    figures["quiet_suspicions"] = sum(run["suspicions"] for run in quiet)
    return figures


def _measure_detection(pool, kind: str, seeds: list[int]) -> dict:
    figures: dict = {"faults": {}, "detection_breaches": 0}
    times: list[float] = []
    for fault in FAULTS:
        count = len(seeds)
        results = list(pool.map(run_detection, [kind] * count, [fault] * count, seeds))
        own = sorted(seconds for seconds, _ in results)
        figures["detection_breaches"] += sum(breaches for _, breaches in results)
        times += own
        figures["faults"][fault] = {
            "p50_s": round(statistics.median(own), 3),
            "p99_s": round(_take_quantile(own, 0.99), 3),
        }
        _report(f"{kind} {fault}: {figures['faults'][fault]}")
    times.sort()
    figures["detect_p50_s"] = round(statistics.median(times), 3)
    figures["detect_p99_s"] = round(_take_quantile(times, 0.99), 3)
    figures["undetected"] = sum(seconds >= DETECTION_LIMIT_S for seconds in times)
    return figures


def _measure_flapping(pool, kind: str, seeds: list[int]) -> dict:
    ratios = list(pool.map(run_flapping, [kind] * len(seeds), seeds))
    _report(f"{kind} flapping: {ratios}")
    return {"flapping_failed_ratio": round(max(ratios), 5)}


def _measure_false_ejections(
    pool, kind: str, seeds: list[int], quiet: list[dict]
) -> dict:
    by_cause = {"quiet": sum(run[kind] for run in quiet)}
    breaches = 0
    requests = 0
    for disturbance in DISTURBANCES:
        count = len(seeds)
        results = list(
            pool.map(run_disturbance, [kind] * count, [disturbance] * count, seeds)
        )
        by_cause[disturbance] = sum(ejections for ejections, _, _ in results)
        breaches += sum(broken for _, broken, _ in results)
        requests += sum(offered for _, _, offered in results)
        _report(f"{kind} {disturbance}: {by_cause[disturbance]} false ejections")
    return {
        "false_ejections": sum(by_cause.values()),
        "false_ejections_by_cause": by_cause,
        "floor_breaches": breaches,
        "disturbed_requests": requests,
    }


def _take_quantile(ordered: list[float], share: float) -> float:
    return ordered[max(0, math.ceil(share * len(ordered)) - 1)]


def _report(text: str) -> None:
    print(f"{time.strftime('%H:%M:%S')} {text}", file=sys.stderr, flush=True)
