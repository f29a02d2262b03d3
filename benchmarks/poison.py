"""Measure how many servers one request crashes before all nodes refuse it.

A poison request crashes every server that runs it, and its caller keeps sending it
to random nodes, one copy at a time. Requests that run beside it, and requests of the
same path with other content, must be served.
"""

import argparse
import random

from benchmarks.service_model import (
    Fleet,
    FleetSize,
    Request,
    RequestOutcome,
    build_fleet,
)
from flamingobank.core import RefusalCause, RequestId, RouteName, WorkspaceId
from flamingobank.objects import TrafficClass
from flamingobank.quarantine import compute_fingerprint

FLEET_SIZE = FleetSize(nodes=6, servers_per_home=3)
RUN_S = 0.1
LOAD = 0.5
DURATION_S = 60.0
DEADLINE_S = 2.0
POISON_REQUESTS = 5
RESEND_DELAY_S = (0.1, 0.5)
WORKSPACES = 40
# Many callers send one of a few popular requests, so that copies of these are in flight
# in many crashes.
POPULAR = 20
POPULAR_SHARE = 0.3
ROUTE = RouteName("parts-lookup")
PATH = "/parts"


def measure(options: argparse.Namespace) -> dict:
    """Simulate the same requests with a naive proxy and with flamingobank's rules.

    The naive proxy uses the homes in turn, queues requests in order of arrival and
    retries at once after an error or a timeout.
    """
    return {
        "seed": options.seed,
        "poisons": POISON_REQUESTS,
        "naive": measure_version(False, options.seed),
        "product": measure_version(True, options.seed),
    }


def measure_version(product: bool, seed: int) -> dict:
    """Return the results with flamingobank's rules, or else with the naive proxy."""
    fleet = build_fleet(product, FLEET_SIZE, seed)
    callers = [PoisonCaller(fleet, seed, number) for number in range(POISON_REQUESTS)]
    requests = fleet.run(generate_requests(seed), DURATION_S + 10.0)
    refused = sum(each.reason is RefusalCause.QUARANTINED for each in requests)
    return {
        "servers_crashed": max(caller.count_crashes() for caller in callers),
        "servers_crashed_by_poison": [caller.count_crashes() for caller in callers],
        "crashes": sum(server.crashes for server in fleet.servers),
        "resent": sum(len(caller.copies) for caller in callers),
        "legitimate_refused": refused,
        "legitimate_failed": sum(e.outcome is RequestOutcome.FAILED for e in requests),
        "legitimate_offered": len(requests),
    }


class PoisonCaller:
    """Caller that sends the same poison request repeatedly."""

    def __init__(self, fleet: Fleet, seed: int, number: int) -> None:
        self.copies: list[Request] = []
        self._fleet = fleet
        self._number = number
        self._rng = random.Random(f"poison {seed} {number}")
        first_s = self._rng.uniform(5.0, DURATION_S / 2)
        fleet.events.call_at(first_s, self._send)

    def count_crashes(self) -> int:
        """Return how many server crashes the request has caused."""
        return sum(len(copy.ran_on) for copy in self.copies)

    def _send(self) -> None:
        now = self._fleet.events.clock.now()
        if now >= DURATION_S:
            return
        request = make_request(
            f"poison-{self._number}-{len(self.copies)}", f"poison {self._number}", now
        )
        request.poison = True
        request.run_s = RUN_S
        self.copies.append(request)
        self._fleet.schedule(request, self._rng)
        self._fleet.events.call_after(0.01, lambda: self._poll_outcome(request))

    def _poll_outcome(self, request: Request) -> None:
        if request.outcome is RequestOutcome.WAITING:
            self._fleet.events.call_after(0.01, lambda: self._poll_outcome(request))
            return
        self._fleet.events.call_after(self._rng.uniform(*RESEND_DELAY_S), self._send)


def make_request(name: str, content: str, arrival_s: float) -> Request:
    """Return a request whose fingerprint depends on its content."""
    return Request(
        RequestId(name),
        ROUTE,
        WorkspaceId("workspace-0"),
        TrafficClass.CUSTOMER,
        arrival_s,
        arrival_s + DEADLINE_S,
        RUN_S,
        RUN_S,
        fingerprint=compute_fingerprint(ROUTE, "", "POST", PATH, content.encode()),
    )


def generate_requests(seed: int) -> list[Request]:
    """Generate legitimate requests, some of which share a few popular contents."""
    rng = random.Random(f"poison {seed}")
    rate_per_s = LOAD * FLEET_SIZE.slots / RUN_S
    requests = []
    time_s = rng.expovariate(rate_per_s)
    while time_s < DURATION_S:
        number = len(requests)
        content = f"lookup {number}"
        if rng.random() < POPULAR_SHARE:
            content = f"popular {rng.randrange(POPULAR)}"
        request = make_request(f"request-{number}", content, time_s)
        request.workspace = WorkspaceId(f"workspace-{rng.randrange(WORKSPACES)}")
        request.run_s = rng.expovariate(1 / RUN_S)
        requests.append(request)
        time_s += rng.expovariate(rate_per_s)
    return requests
