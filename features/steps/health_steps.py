"""Steps for failure detection, common causes, readmission and paths."""

import math
import random

from behave import given, then, when
from hypothesis import given as hypothesis_given, settings, strategies as st

from benchmarks.detection_cases import run_disturbance
from benchmarks.naive_health import count_in_order
from flamingobank.health import (
    DEFAULT_BASELINE,
    FAILURE_LLR,
    FAILURE_RATE_FLOOR,
    SLOW_LLR,
    SLOW_RATE_FLOOR,
    Assessment,
    Cause,
    Condition,
    Cusum,
    Finding,
    PathDecision,
    PathEvidence,
    Readmission,
    ServerHealth,
    ServerSummary,
    Stage,
    WorkOutcome,
    expect_false_alarms,
    judge_outlier,
    judge_path,
)

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=150)


@when("false alarms are counted exactly at the default baselines")
def step_count_alarms(context):
    context.rates = [
        expect_false_alarms(FAILURE_RATE_FLOOR, FAILURE_RATE_FLOOR, FAILURE_LLR),
        expect_false_alarms(SLOW_RATE_FLOOR, SLOW_RATE_FLOOR, SLOW_LLR),
    ]


@then("both stay below 2e-9 for each piece of work")
def step_alarm_rate(context):
    assert all(0.0 < rate < 2e-9 for rate in context.rates), context.rates


@given("16 healthy peers and a server that fails every second request")
def step_half_failing(context):
    context.peers = [ServerSummary(n=20, log_sum=0.5) for _ in range(16)]
    context.health = ServerHealth()


@when("the suspect is judged after at most 20 requests")
def step_judge(context):
    for index in range(20):
        now = 0.046 * index
        outcome = WorkOutcome.FAILED if index % 2 else WorkOutcome.SUCCEEDED
        context.health.record(outcome, 0.1, now, expected_s=0.1)
        found = context.health.assess(DEFAULT_BASELINE, now)
        if found.condition is Condition.SUSPECT:
            break
    assert found.condition is Condition.SUSPECT, found
    context.verdict = judge_outlier(context.health.summarize(now), context.peers)


@then("health finds an outlier by failures")
def step_outlier(context):
    verdict = context.verdict
    assert verdict.finding is Finding.OUTLIER, verdict
    assert verdict.cause is Cause.FAILURES, verdict


@given("a server with 4 requests in progress expected to take 110 ms")
def step_stuck(context):
    context.health = ServerHealth()
    for request in range(4):
        context.health.start(request, 0.11, 0.0)


@when("360 ms pass without an answer")
def step_wait(context):
    context.found = context.health.assess(DEFAULT_BASELINE, 0.36)


@then("the server is suspected by latency")
def step_slow(context):
    assert context.found.condition is Condition.SUSPECT, context.found
    assert context.found.cause is Cause.LATENCY, context.found


@then("a paused home finds no evidence in the same work")
def step_paused(context):
    health = ServerHealth()
    for request in range(4):
        health.start(request, 0.11, 0.0)
    found = health.assess(DEFAULT_BASELINE, 60.0)
    assert found.condition is Condition.HEALTHY, found
    assert found.cause is Cause.CLOCK_JUMP, found


@then("random failure and slowness rates that all servers share make no outlier")
def step_common_cause(context):
    @RANDOMISED
    @hypothesis_given(
        st.floats(0.05, 0.95), st.floats(0.0, 0.95), st.integers(0, 2**32)
    )
    def check(failure_rate, slow_rate, seed):
        rng = random.Random(seed)
        servers = [_draw_summary(rng, failure_rate, slow_rate) for _ in range(17)]
        for index, own in enumerate(servers):
            peers = servers[:index] + servers[index + 1 :]
            verdict = judge_outlier(own, peers)
            assert verdict.finding is Finding.COMMON_CAUSE, verdict

    check()


def _draw_summary(rng, failure_rate, slow_rate):
    n = rng.randint(10, 40)
    failures = sum(rng.random() < failure_rate for _ in range(n))
    slow = sum(rng.random() < slow_rate for _ in range(n))
    return ServerSummary(n, failures, slow, slow * math.log(10.0))


@then("random outcomes with jumping clocks give valid assessments")
def step_hostile(context):
    number = st.one_of(st.floats(), st.integers(-(10**9), 10**9).map(float))
    reading = st.floats(-1e9, 1e9)
    event = st.tuples(st.sampled_from(WorkOutcome), number, reading, st.integers(0, 4))

    @RANDOMISED
    @hypothesis_given(st.lists(event, max_size=30), number)
    def check(events, expected_s):
        health = ServerHealth()
        for outcome, latency_s, now, request in events:
            health.start(request, expected_s, now)
            health.record(outcome, latency_s, now, request + 1, expected_s)
            found = health.assess(DEFAULT_BASELINE, now)
            assert isinstance(found, Assessment), found
            assert math.isfinite(found.score) and found.score >= 0.0, found
            summary = health.summarize(now, latency_s)
            assert 0 <= summary.slow <= summary.n, summary
            assert math.isfinite(summary.log_sum), summary

    check()


@then("random observations give the same score in aggregate and one by one")
def step_aggregate(context):
    @RANDOMISED
    @hypothesis_given(st.lists(st.integers(0, 60), min_size=1, max_size=40))
    def check(gaps):
        single, joined = Cusum(0.01), Cusum(0.01)
        for gap in gaps:
            count_in_order(single, gap)
            joined.add_misses(gap)
            single.add(True, 0.0)
            joined.add(True, 0.0)
            assert math.isclose(single.score, joined.score), (single, joined)

    check()


@given("a readmission that fails its trickle 10 times")
def step_fail_trickle(context):
    readmission = Readmission(0.0)
    readmission.eject(0.0)
    context.waits = [readmission.retry_at]
    for _ in range(10):
        now = readmission.retry_at
        assert readmission.get_stage(now) is Stage.TRICKLE
        readmission.record(WorkOutcome.FAILED, now)
        context.waits.append(readmission.retry_at - now)
    context.readmission = readmission


@then("the waits double from 2 s to 300 s")
def step_waits(context):
    expected = [min(2.0 * 2**index, 300.0) for index in range(11)]
    assert context.waits == expected, context.waits


@then("10 minutes of good service reset the wait to 2 s")
def step_reset(context):
    readmission = context.readmission
    now = readmission.retry_at
    for _ in range(40):
        readmission.record(WorkOutcome.SUCCEEDED, now)
    assert readmission.get_stage(now) is Stage.IN_SERVICE
    readmission.eject(now + 600.0)
    assert readmission.retry_at == now + 602.0, readmission.retry_at - now


@then("a live server that cannot be connected to gets another home")
def step_move(context):
    assert judge_path(PathEvidence(10.0, 2), 11.0) is PathDecision.MOVE_HOME
    assert judge_path(PathEvidence(10.0, 1), 11.0) is PathDecision.KEEP
    heard = PathEvidence(10.0, unacknowledged_since=9.7)
    assert judge_path(heard, 10.1) is PathDecision.MOVE_HOME


@then("a server that acknowledges nothing is suspended until it announces")
def step_suspend(context):
    silent = PathEvidence(10.0, unacknowledged_since=10.5)
    assert judge_path(silent, 10.6) is PathDecision.KEEP
    assert judge_path(silent, 10.8) is PathDecision.SUSPEND
    assert not silent.is_clear and PathEvidence(10.0).is_clear


@then("a silent server is removed")
def step_silent(context):
    assert judge_path(PathEvidence(10.0), 13.0) is PathDecision.REMOVE
    assert judge_path(PathEvidence(10.0, 5), 9.0) is PathDecision.KEEP


@when("the naive and the product dispatch run the same service-wide failure")
def step_service_failure(context):
    context.naive = run_disturbance("naive", "service_failing", 1002)
    context.product = run_disturbance("product", "service_failing", 1002)


@then("the naive health dispatch breaks the floor and the product ejects none")
def step_compare(context):
    ejections, breaches, requests = context.naive
    assert ejections and breaches, context.naive
    # No false ejections and no floor breaches. Both dispatchers received the same
    # requests.
    assert context.product == (0, 0, requests), context.product
