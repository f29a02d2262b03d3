"""Count false ejections over many quiet hours without simulating each request.

Failures: between two failures, the score falls by a fixed step for each success,
and outcomes are independent in the order in which work ends. Stepping from failure
to failure with the product's own test is therefore exact.

Slowness: the score depends on which work runs concurrently. Every cluster in which 3
slow pieces of work start on one server within 4 s is therefore simulated request by
request. Fewer cannot reach the threshold, which takes 4 with no fast work in between.
"""

import math
import random
from statistics import NormalDist

from benchmarks.detection_world import (
    BACKGROUND_FAILURES,
    EXPECTED_S,
    LOG_DURATION_SIGMA,
    LONG_FACTOR,
    LONG_SHARE,
    REQUESTS_PER_S,
    SERVERS,
    SLOTS,
    draw_work_s,
)
from benchmarks.events import EventQueue
from benchmarks.naive_health import CONSECUTIVE_FAILURES
from flamingobank.health import (
    DEFAULT_BASELINE,
    FAILURE_LLR,
    FAILURE_RATE_FLOOR,
    SLOW_FACTOR,
    Condition,
    Cusum,
    Finding,
    ServerHealth,
    ServerSummary,
    WorkOutcome,
    judge_outlier,
)
from flamingobank.health.detector import SUMMARY_OUTCOMES_MIN

SERVER_RATE = REQUESTS_PER_S / SERVERS
_TAIL_START = (
    math.log(SLOW_FACTOR) + LOG_DURATION_SIGMA * LOG_DURATION_SIGMA / 2.0
) / LOG_DURATION_SIGMA
_TAIL_SHARE = 1.0 - NormalDist().cdf(_TAIL_START)
SLOW_SHARE = LONG_SHARE + (1.0 - LONG_SHARE) * _TAIL_SHARE
CLUSTER_WINDOW_S = 4.0
CLUSTER_COUNT_MIN = 3
# Assumed number of pieces of work that each other server completes in the time over
# which a suspected server is compared with it.
PEER_OUTCOMES = 12
ASSESS_S = 0.02


def run_quiet(seed: int, hours: float) -> dict[str, int]:
    """Return event counts of the whole service over a number of quiet hours.

    "naive" and "product" count the false ejections by each dispatcher; "suspicions"
    counts how often the product suspected a server.
    """
    totals = {"naive": 0, "product": 0, "suspicions": 0, "requests": 0}
    for server in range(SERVERS):
        rng = random.Random(f"{seed}/quiet/{server}")
        for name, count in _count_failures(rng, hours * 3600.0).items():
            totals[name] += count
        for cluster in _find_slow_clusters(rng, hours * 3600.0):
            suspicions, ejections = _run_cluster(rng, cluster)
            totals["suspicions"] += suspicions
            totals["product"] += ejections
    return totals


def _count_failures(rng: random.Random, seconds: float) -> dict[str, int]:
    test = Cusum(FAILURE_RATE_FLOOR)
    totals = {"naive": 0, "product": 0, "suspicions": 0, "requests": 0}
    left = _draw_count(rng, SERVER_RATE * seconds)
    totals["requests"] = left
    log_success = math.log(1.0 - BACKGROUND_FAILURES)
    run = 0
    positions: list[int] = []
    while True:
        gap = int(math.log(1.0 - rng.random()) / log_success)
        left -= gap + 1
        if left < 0:
            return totals
        run = run + 1 if gap == 0 else 1
        if run == CONSECUTIVE_FAILURES:
            totals["naive"] += 1
            run = 0
        test.add_misses(gap)
        if test.score <= 0.0:
            positions.clear()
        positions.append(left)
        test.add(True, 0.0)
        if test.score < FAILURE_LLR:
            continue
        totals["suspicions"] += 1
        length = max(SUMMARY_OUTCOMES_MIN, 2 * (positions[0] - positions[-1]))
        own = ServerSummary(length, len(positions))
        totals["product"] += _is_ejected(rng, own)
        test.score = 0.0


def _is_ejected(rng: random.Random, own: ServerSummary) -> bool:
    """Return whether a suspected server would be ejected.

    It is compared with randomly drawn summaries of the other servers, which have no
    faults.
    """
    peers = [
        ServerSummary(
            PEER_OUTCOMES,
            sum(rng.random() < BACKGROUND_FAILURES for _ in range(PEER_OUTCOMES)),
            sum(rng.random() < SLOW_SHARE for _ in range(PEER_OUTCOMES)),
            -LOG_DURATION_SIGMA * LOG_DURATION_SIGMA / 2.0 * PEER_OUTCOMES,
        )
        for _ in range(SERVERS - 1)
    ]
    return judge_outlier(own, peers).finding is Finding.OUTLIER


def _find_slow_clusters(rng: random.Random, seconds: float) -> list[list[float]]:
    """Return the start times of slow work that lie close together, by cluster."""
    clusters: list[list[float]] = []
    group: list[float] = []
    now = 0.0
    while now < seconds:
        now += rng.expovariate(SERVER_RATE * SLOW_SHARE)
        if group and now - group[-1] > CLUSTER_WINDOW_S:
            if _is_dense(group):
                clusters.append(group)
            group = []
        group.append(now)
    return clusters


def _is_dense(group: list[float]) -> bool:
    pairs = zip(group, group[CLUSTER_COUNT_MIN - 1 :], strict=False)
    return any(last - first <= CLUSTER_WINDOW_S for first, last in pairs)


def _run_cluster(rng: random.Random, starts: list[float]) -> tuple[int, int]:
    """Simulate one server around slow work with the given start times."""
    events = EventQueue()
    events.clock.advance_to(starts[0] - 2.0)
    health = ServerHealth(events.clock.now())
    state = {"in_use": 0, "number": 0, "suspicions": 0, "ejections": 0}
    end_s = starts[-1] + 6.0

    def start(work_s: float) -> None:
        if state["in_use"] >= SLOTS:
            return
        state["in_use"] += 1
        state["number"] += 1
        request = state["number"]
        health.start(request, EXPECTED_S, events.clock.now())

        def finish() -> None:
            state["in_use"] -= 1
            failed = rng.random() < BACKGROUND_FAILURES
            outcome = WorkOutcome.FAILED if failed else WorkOutcome.SUCCEEDED
            health.record(outcome, work_s, events.clock.now(), request)

        events.call_after(work_s, finish)

    def arrive() -> None:
        start(_draw_ordinary_s(rng))
        events.call_after(rng.expovariate(SERVER_RATE * (1.0 - SLOW_SHARE)), arrive)

    def assess() -> None:
        now = events.clock.now()
        events.call_after(ASSESS_S, assess)
        if health.assess(DEFAULT_BASELINE, now).condition is not Condition.SUSPECT:
            return
        state["suspicions"] += 1
        state["ejections"] += _is_ejected(rng, health.summarize(now))
        health.reset(now)

    for at in starts:
        events.call_at(at, lambda: start(_draw_slow_s(rng)))
    events.call_after(0.0, arrive)
    events.call_after(0.0, assess)
    events.run_until(end_s)
    return state["suspicions"], state["ejections"]


def _draw_ordinary_s(rng: random.Random) -> float:
    while True:
        work_s = draw_work_s(rng)
        if work_s <= SLOW_FACTOR * EXPECTED_S:
            return work_s


def _draw_slow_s(rng: random.Random) -> float:
    if rng.random() < LONG_SHARE / SLOW_SHARE:
        return LONG_FACTOR * EXPECTED_S
    quantile = 1.0 - _TAIL_SHARE * (1.0 - rng.random())
    normal = NormalDist().inv_cdf(min(quantile, 1.0 - 1e-12))
    return EXPECTED_S * math.exp(
        LOG_DURATION_SIGMA * normal - LOG_DURATION_SIGMA * LOG_DURATION_SIGMA / 2.0
    )


def _draw_count(rng: random.Random, mean: float) -> int:
    """Draw a Poisson count by the normal approximation.

    Its error is below 1e-3 at the means used here.
    """
    return max(0, round(rng.gauss(mean, math.sqrt(mean))))
