"""Measure how customers are served during a load peak of twice the capacity.

The load rises from half to twice the capacity within 1 s and stays there for 10 s; a
third of it is internal. Durations are exponential.
"""

import argparse
import random
from collections.abc import Iterator

from benchmarks.service_model import (
    FleetSize,
    Request,
    RequestOutcome,
    build_fleet,
    compute_percentile,
    find_recovery,
)
from flamingobank.core import RequestId, RouteName, WorkspaceId
from flamingobank.objects import TrafficClass

FLEET_SIZE = FleetSize()
RUN_S = 0.05
BASELINE_S = 5.0
RAMP_S = 1.0
PEAK_S = 10.0
AFTER_S = 15.0
BASELINE_LOAD = 0.5
PEAK_LOAD = 2.0
INTERNAL_SHARE = 1 / 3
DEADLINES_S = {TrafficClass.CUSTOMER: 1.0, TrafficClass.INTERNAL: 2.0}
WORKSPACES = 40
CAPACITY_PER_S = FLEET_SIZE.slots / RUN_S
PEAK_END_S = BASELINE_S + RAMP_S + PEAK_S
STEP_S = 0.01


def measure(options: argparse.Namespace) -> dict:
    """Simulate the same requests with a naive proxy and with flamingobank's rules.

    The naive proxy uses the homes in turn, queues requests in order of arrival and
    retries at once after an error or a timeout.
    """
    return {
        "seed": options.seed,
        "capacity_per_s": CAPACITY_PER_S,
        "naive": measure_version(False, options.seed),
        "product": measure_version(True, options.seed),
    }


def measure_version(product: bool, seed: int) -> dict:
    """Return the results with flamingobank's rules, or else with the naive proxy."""
    fleet = build_fleet(product, FLEET_SIZE, seed)
    end_s = PEAK_END_S + AFTER_S
    requests = fleet.run(generate_requests(seed), end_s + 5.0)
    customers = [
        request
        for request in requests
        if request.traffic_class is TrafficClass.CUSTOMER
    ]
    peak = [each for each in customers if BASELINE_S <= each.arrival_s < PEAK_END_S]
    internal = [
        each
        for each in requests
        if each.traffic_class is TrafficClass.INTERNAL
        and BASELINE_S <= each.arrival_s < PEAK_END_S
    ]
    waits = [
        each.finished_s - each.arrival_s
        for each in peak
        if each.outcome is RequestOutcome.DONE
    ]
    return {
        "customer_goodput_ratio": round(
            count_served(customers, BASELINE_S, PEAK_END_S) / compute_servable(), 4
        ),
        "customer_p99_s": compute_percentile(waits, 99),
        "customer_deadline_s": DEADLINES_S[TrafficClass.CUSTOMER],
        "false_not_run": count_false_not_run(requests),
        "recovery_s": find_recovery(customers, PEAK_END_S),
        "customers_offered": len(peak),
        "customers_refused": sum(
            each.outcome is RequestOutcome.NOT_RUN for each in peak
        ),
        "internal_served_ratio": round(
            sum(each.in_time for each in internal) / len(internal), 4
        ),
    }


def count_served(requests: list[Request], start_s: float, end_s: float) -> int:
    """Count the requests that were answered in a time window and by their deadline.

    A count by arrival would include requests that are still queued at its end.
    """
    return sum(each.in_time and start_s <= each.finished_s < end_s for each in requests)


def count_false_not_run(requests: list[Request]) -> int:
    """Count requests that ran although they were reported to callers as not run."""
    return sum(
        each.outcome is RequestOutcome.NOT_RUN and bool(each.ran_on)
        for each in requests
    )


def get_load(time_s: float) -> float:
    """Return the offered load as a share of the capacity."""
    if time_s < BASELINE_S or time_s >= PEAK_END_S:
        return BASELINE_LOAD
    ramped = min(1.0, (time_s - BASELINE_S) / RAMP_S)
    return BASELINE_LOAD + ramped * (PEAK_LOAD - BASELINE_LOAD)


def compute_servable() -> float:
    """Return the number of customer requests that could be served during the peak.

    This is the smaller of the customers' load and the capacity, summed over time.
    """
    steps = round((RAMP_S + PEAK_S) / STEP_S)
    loads = (get_load(BASELINE_S + step * STEP_S) for step in range(steps))
    shares = (min(1.0, load * (1 - INTERNAL_SHARE)) for load in loads)
    return sum(shares) * STEP_S * CAPACITY_PER_S


def generate_requests(seed: int) -> Iterator[Request]:
    """Generate random arrivals whose rate follows get_load()."""
    rng = random.Random(f"crest {seed}")
    time_s = 0.0
    number = 0
    while True:
        time_s += rng.expovariate(PEAK_LOAD * CAPACITY_PER_S)
        if time_s >= PEAK_END_S + AFTER_S:
            return
        if rng.random() * PEAK_LOAD >= get_load(time_s):
            continue
        internal = rng.random() < INTERNAL_SHARE
        traffic_class = TrafficClass.INTERNAL if internal else TrafficClass.CUSTOMER
        number += 1
        yield Request(
            RequestId(f"request-{number}"),
            RouteName(traffic_class.value),
            WorkspaceId(f"workspace-{rng.randrange(WORKSPACES)}"),
            traffic_class,
            time_s,
            time_s + DEADLINES_S[traffic_class],
            rng.expovariate(1 / RUN_S),
            RUN_S,
        )
