"""Measure the processor time of admission calls at several queue lengths.

The time of a dictionary lookup on the same machine is reported for comparison.
"""

import argparse
import random
import time
import timeit

from flamingobank.admission import AdmissionQueue, Admitted, Work
from flamingobank.core import RequestId, RouteName, ServiceName, WorkspaceId
from flamingobank.objects import TrafficClass

LENGTHS = (10, 100, 1000, 9000)
ROUNDS = 5000
SERVERS = 4
SLOTS = 4
RUN_S = 0.02
WORKSPACES = 50
ROUTES = 5
DEADLINE_S = 600.0


def measure(options: argparse.Namespace) -> dict:
    """Measure the calls at each queue length."""
    lookups = 1_000_000
    lookup_s = timeit.timeit("names.get(7)", "names = {7: 8}", number=lookups)
    return {
        "seed": options.seed,
        "dict_get_us": round(lookup_s / lookups * 1e6, 3),
        "by_waiting": {str(each): time_calls(each, options.seed) for each in LENGTHS},
    }


def time_calls(waiting: int, seed: int) -> dict[str, float]:
    """Return the microseconds per call while the given number of requests wait."""
    rng = random.Random(seed)
    queue = AdmissionQueue(ServiceName("model"))
    for index in range(SERVERS):
        queue.set_server(f"server-{index}", SLOTS)
    work_items = [make_work(number, rng) for number in range(waiting + ROUNDS + 1)]
    running: list[Work] = []
    for work in work_items[:waiting]:
        assert isinstance(queue.offer(work, 0.0), Admitted)
    while (taken := queue.take(0.0)) is not None:
        queue.start(taken.work, taken.servers[0], 0.0)
        running.append(taken.work)
    spent = dict.fromkeys(("offer", "finish", "take", "start", "expire"), 0.0)
    clock = time.perf_counter
    for number, work in enumerate(work_items[waiting : waiting + ROUNDS]):
        now = number * RUN_S / (SERVERS * SLOTS)
        readings = [clock()]
        queue.offer(work, now)
        readings.append(clock())
        # A queue of 10 never fills the slots, so there may be no work to finish.
        if running:
            queue.finish(running.pop(0), now)
        readings.append(clock())
        taken = queue.take(now)
        readings.append(clock())
        if taken is not None:
            queue.start(taken.work, taken.servers[0], now)
            running.append(taken.work)
        readings.append(clock())
        queue.expire(now)
        readings.append(clock())
        for index, name in enumerate(spent):
            spent[name] += readings[index + 1] - readings[index]
    return {name: round(total / ROUNDS * 1e6, 2) for name, total in spent.items()}


def make_work(number: int, rng: random.Random) -> Work:
    """Return work of a random class, route and workspace with a distant deadline."""
    internal = rng.random() < 1 / 3
    return Work(
        RequestId(f"request-{number}"),
        RouteName(f"route-{rng.randrange(ROUTES)}"),
        WorkspaceId(f"workspace-{rng.randrange(WORKSPACES)}"),
        TrafficClass.INTERNAL if internal else TrafficClass.CUSTOMER,
        DEADLINE_S + rng.random() * 10.0,
        RUN_S,
    )
