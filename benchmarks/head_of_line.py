"""Measure how long short checks wait behind long archive pulls.

Pulls take 50 times as long as checks and are offered at half of the capacity. The
reported ratio compares the checks with the same checks in a run without pulls.
"""

import argparse
import heapq
import random

from benchmarks.service_model import (
    FleetSize,
    Request,
    build_fleet,
    compute_percentile,
)
from flamingobank.core import RequestId, RouteName, WorkspaceId
from flamingobank.objects import TrafficClass

FLEET_SIZE = FleetSize()
SHORT_RUN_S = 0.02
LONG_FACTOR = 50
DEFAULT_SHORT_LOAD = 0.3
LONG_LOAD = 0.5
DURATION_S = 60.0
# Checks that arrive in the first seconds are left out, because the servers are not yet
# filled with pulls.
WARM_UP_S = 5.0
SHORT_DEADLINE_S = 2.0
LONG_DEADLINE_S = 120.0
COMPLETION_S = 5.0
WORKSPACES = 40
CHECK = RouteName("status-check")
PULL = RouteName("archive-pull")


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments of this benchmark."""
    parser.add_argument(
        "--short-load",
        type=float,
        default=DEFAULT_SHORT_LOAD,
        help="checks offered, as a share of the capacity",
    )
    parser.add_argument(
        "--exponential",
        action="store_true",
        help="draw exponential durations, whose spread hides the waits of checks",
    )


def measure(options: argparse.Namespace) -> dict:
    """Simulate the same requests with a naive proxy and with flamingobank's rules.

    The naive proxy uses the homes in turn, queues requests in order of arrival and
    retries at once after an error or a timeout.
    """
    return {
        "seed": options.seed,
        "short_load": options.short_load,
        "long_load": LONG_LOAD,
        "naive": measure_version(False, options),
        "product": measure_version(True, options),
    }


def measure_version(product: bool, options: argparse.Namespace) -> dict:
    """Return the results with flamingobank's rules, or else with the naive proxy."""
    alone_s = run_version(product, options.seed, generate_checks(options))[0]
    mix = generate_checks(options) + generate_pulls(options)
    mix.sort(key=lambda request: request.arrival_s)
    possible_s = schedule_work_conserving(mix)
    mixed_s, long_work_s, failed = run_version(product, options.seed, mix)
    return {
        "short_p99_ratio": round(mixed_s / alone_s, 3),
        "short_p99_s": mixed_s,
        "short_p99_alone_s": alone_s,
        "long_throughput_ratio": round(long_work_s / possible_s, 3),
        "failed": failed,
    }


def run_version(
    product: bool, seed: int, requests: list[Request]
) -> tuple[float, float, int]:
    """Simulate the requests with flamingobank's rules, or else with the naive proxy.

    Returns the 99th percentile of the seconds from a check's arrival to its answer, the
    slot time of completed pulls in seconds and the number of checks not answered in
    time.
    """
    fleet = build_fleet(product, FLEET_SIZE, seed)
    fleet.run(requests, DURATION_S + COMPLETION_S)
    waits = []
    long_work_s = 0.0
    failed = 0
    for request in requests:
        if request.route == PULL:
            if request.in_time and request.finished_s <= DURATION_S:
                long_work_s += request.run_s
            continue
        if not request.in_time:
            failed += 1
        if request.arrival_s < WARM_UP_S:
            continue
        # A check without an answer in time counts as waiting until its deadline.
        end_s = request.finished_s if request.in_time else request.deadline_s
        waits.append(end_s - request.arrival_s)
    return compute_percentile(waits, 99), long_work_s, failed


def schedule_work_conserving(requests: list[Request]) -> float:
    """Return the slot time of the pulls that a single shared queue completes.

    Any free slot of the service starts the next request in order of arrival.
    """
    free_at = [0.0] * FLEET_SIZE.slots
    long_work_s = 0.0
    for request in requests:
        end_s = max(request.arrival_s, heapq.heappop(free_at)) + request.run_s
        heapq.heappush(free_at, end_s)
        if request.route == PULL and end_s <= DURATION_S:
            long_work_s += request.run_s
    return long_work_s


def generate_checks(options: argparse.Namespace) -> list[Request]:
    """Generate the checks, which are the same with and without pulls."""
    load = options.short_load
    return generate_route(CHECK, SHORT_RUN_S, load, SHORT_DEADLINE_S, options)


def generate_pulls(options: argparse.Namespace) -> list[Request]:
    """Generate the pulls."""
    run_s = SHORT_RUN_S * LONG_FACTOR
    return generate_route(PULL, run_s, LONG_LOAD, LONG_DEADLINE_S, options)


def generate_route(
    route: RouteName,
    run_s: float,
    load: float,
    deadline_s: float,
    options: argparse.Namespace,
) -> list[Request]:
    """Generate the requests of one route as Poisson arrivals."""
    rng = random.Random(f"{route} {options.seed}")
    rate_per_s = load * FLEET_SIZE.slots / run_s
    requests = []
    time_s = rng.expovariate(rate_per_s)
    while time_s < DURATION_S:
        request = Request(
            RequestId(f"{route}-{len(requests)}"),
            route,
            WorkspaceId(f"workspace-{rng.randrange(WORKSPACES)}"),
            TrafficClass.CUSTOMER,
            time_s,
            time_s + deadline_s,
            rng.expovariate(1 / run_s) if options.exponential else run_s,
            run_s,
        )
        requests.append(request)
        time_s += rng.expovariate(rate_per_s)
    return requests
