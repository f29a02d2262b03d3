"""Measure the load that retries add while a third of the servers fail for 30 s.

Failing servers return errors after the usual time and are not ejected in either
version, so that only the retry rules limit the load.
"""

import argparse
import random

from benchmarks.service_model import (
    Fleet,
    FleetSize,
    Request,
    RequestOutcome,
    build_fleet,
    find_recovery,
)
from flamingobank.core import RequestId, RouteName, WorkspaceId
from flamingobank.objects import TrafficClass

FLEET_SIZE = FleetSize(nodes=4, servers_per_home=3)
RUN_S = 0.05
LOAD = 0.75
FAILURE_START_S = 5.0
FAILURE_S = 30.0
FAILURE_END_S = FAILURE_START_S + FAILURE_S
AFTER_S = 15.0
DEADLINE_S = 1.0
NON_IDEMPOTENT_SHARE = 0.1
WORKSPACES = 40


def measure(options: argparse.Namespace) -> dict:
    """Simulate the same requests with a naive proxy and with flamingobank's rules.

    The naive proxy uses the homes in turn, queues requests in order of arrival and
    retries at once after an error or a timeout.
    """
    return {
        "seed": options.seed,
        "naive": measure_version(False, options.seed),
        "product": measure_version(True, options.seed),
    }


def measure_version(product: bool, seed: int) -> dict:
    """Return the results with flamingobank's rules, or else with the naive proxy."""
    fleet = build_fleet(product, FLEET_SIZE, seed)
    schedule_failures(fleet, seed)
    requests = fleet.run(generate_requests(seed), FAILURE_END_S + AFTER_S + 5.0)
    affected = [
        each for each in requests if FAILURE_START_S <= each.arrival_s < FAILURE_END_S
    ]
    attempts = sum(each.attempts for each in affected)
    return {
        "load_ratio": round(attempts / len(affected), 4),
        "started_ratio": round(sum(len(e.ran_on) for e in affected) / len(affected), 4),
        "recovery_s": find_recovery(requests, FAILURE_END_S),
        "storm_served_ratio": round(
            sum(e.in_time for e in affected) / len(affected), 4
        ),
        "false_not_run": sum(
            each.outcome is RequestOutcome.NOT_RUN and bool(each.ran_on)
            for each in requests
        ),
        "ran_twice": sum(
            len(each.ran_on) > 1 and not each.idempotent for each in requests
        ),
    }


def schedule_failures(fleet: Fleet, seed: int) -> None:
    """Schedule the failure of a random third of the servers, and its end."""
    rng = random.Random(f"storm {seed}")
    failing = rng.sample(fleet.servers, len(fleet.servers) // 3)

    def set_failing(value: bool) -> None:
        for server in failing:
            server.failing = value

    fleet.events.call_at(FAILURE_START_S, lambda: set_failing(True))
    fleet.events.call_at(FAILURE_END_S, lambda: set_failing(False))


def generate_requests(seed: int) -> list[Request]:
    """Generate arrivals at a constant rate with exponential durations."""
    rng = random.Random(f"retry_storm {seed}")
    rate_per_s = LOAD * FLEET_SIZE.slots / RUN_S
    requests = []
    time_s = rng.expovariate(rate_per_s)
    while time_s < FAILURE_END_S + AFTER_S:
        request = Request(
            RequestId(f"request-{len(requests)}"),
            RouteName("order"),
            WorkspaceId(f"workspace-{rng.randrange(WORKSPACES)}"),
            TrafficClass.CUSTOMER,
            time_s,
            time_s + DEADLINE_S,
            rng.expovariate(1 / RUN_S),
            RUN_S,
            idempotent=rng.random() >= NON_IDEMPOTENT_SHARE,
        )
        requests.append(request)
        time_s += rng.expovariate(rate_per_s)
    return requests
