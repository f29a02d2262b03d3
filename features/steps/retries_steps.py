"""Steps for retry budgets, hedged requests and resumed downloads."""

import itertools
import random

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from flamingobank.admission import Work
from flamingobank.core import Disposition, RequestId, RouteName, WorkspaceId
from flamingobank.objects import TrafficClass
from flamingobank.retries import (
    HedgeDecision,
    HedgeRace,
    ResumedPart,
    ResumeRefusal,
    Resumption,
    RetryBudget,
    RetryDecision,
    decide_hedge,
    decide_retry,
    merge_dispositions,
)

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=200)
FIRST_HEADERS = {
    b"ETag": b'"v1"',
    b"Content-Length": b"100",
    b"Content-Encoding": b"x",
}
PARTIAL_HEADERS = {
    b"ETag": b'"v1"',
    b"Content-Range": b"bytes 40-99/100",
    b"Content-Encoding": b"x",
}


def _make_work(idempotent=True, attempt=0, deadline=10.0):
    return Work(
        RequestId("r"),
        RouteName("route"),
        WorkspaceId("w"),
        TrafficClass.CUSTOMER,
        deadline,
        0.02,
        idempotent,
        attempt,
    )


@when("random first attempts and retries use a retry budget")
def step_draw(context):
    context.excesses = []
    context.allowed = 0

    @RANDOMISED
    @for_all(st.integers(0, 2**16), st.floats(0.05, 0.9))
    def run(seed, share):
        rng = random.Random(seed)
        budget = RetryBudget()
        now = 0.0
        balance, lowest = 0.0, 0.0
        for _ in range(400):
            now += rng.expovariate(100.0)
            if rng.random() < share:
                budget.earn(now)
                balance -= 0.1
            elif budget.spend(now):
                context.allowed += 1
                balance += 1.0
            lowest = min(lowest, balance)
            # Retries may exceed the earned tokens by 5 saved ones and by the minimum
            # refill of a token per 10 s.
            if balance - lowest > 5.0 + 0.1 * now + 1e-6:
                context.excesses.append((seed, share, balance - lowest))

    run()


@then("no time span has more retries than its first attempts allow")
def step_no_excess(context):
    assert not context.excesses, context.excesses[0]
    assert context.allowed, "no retry was allowed, so nothing was tested"


@given("a retry budget that was used up at {now:g} seconds")
def step_used_up(context, now):
    context.budget = RetryBudget()
    assert context.budget.spend(now), "a new budget allows one retry"


@when("its clock reads {first:g} and then {last:g} seconds")
def step_jump(context, first, last):
    context.now = last
    for _ in range(100):
        assert not context.budget.spend(first)
        assert not context.budget.spend(last)


@then("the budget allows no retry")
def step_no_retry(context):
    assert not context.budget.spend(context.now)
    assert context.budget.spend(context.now + 11.0), "the budget refills to the minimum"


@when("all combinations of retry conditions are decided")
def step_conditions(context):
    context.decided = []
    for outcome, idempotent, attempt, now, empty in itertools.product(
        Disposition,
        (True, False),
        (0, 1, 2),
        (0.0, 4.9, 5.1, 11.0, float("nan")),
        (True, False),
    ):
        budget = RetryBudget()
        if empty:
            budget.spend(0.0)
        decision = decide_retry(
            _make_work(idempotent, attempt), outcome, 0.0, budget, now
        )
        allowed = (
            (outcome is Disposition.NOT_RUN)
            or (outcome is Disposition.UNKNOWN and idempotent)
        ) and (attempt < 2 and now < 5.0 and not empty)
        context.decided.append((allowed, decision, outcome, idempotent, now))


@then("every retry satisfies all the rules and every refusal breaks one")
def step_rules(context):
    for allowed, decision, *conditions in context.decided:
        assert allowed == (decision is RetryDecision.RETRY), (decision, conditions)


@when("the outcomes of two attempts are merged in all combinations")
def step_merge(context):
    context.merged = {
        pair: merge_dispositions(*pair)
        for pair in itertools.product(Disposition, Disposition)
    }


@then("the result is not-run only if both attempts were not run")
def step_merged(context):
    not_run = Disposition.NOT_RUN
    for pair, merged in context.merged.items():
        assert (merged is not_run) == (pair == (not_run, not_run)), (pair, merged)
        assert (merged is Disposition.DONE) == (Disposition.DONE in pair), pair


@when("hedges are decided for every number of free slots of {total:d}")
def step_hedges(context, total):
    context.hedges = {
        (free, idempotent, slow): decide_hedge(
            _make_work(idempotent), 0.0, 1.0, free, total, RetryBudget(), slow
        )
        for free in range(total + 1)
        for idempotent in (True, False)
        for slow in (0.5, 1.5)
    }


@then("only more than {free:d} free slots allow a hedge of slow idempotent work")
def step_hedged(context, free):
    for (slots, idempotent, slow), decision in context.hedges.items():
        allowed = slots > free and idempotent and slow >= 1.0
        assert allowed == (decision is HedgeDecision.HEDGE), (slots, decision)


@when("hedged copies answer, fail and join in random order")
def step_race(context):
    context.faults = []

    @RANDOMISED
    @for_all(st.integers(0, 2**16))
    def run(seed):
        rng = random.Random(seed)
        race = HedgeRace(0)
        sent, failed, answered, cancelled = {0}, set(), set(), set()
        for attempt in rng.choices(range(4), k=12):
            action = rng.choice(("add", "answer", "fail"))
            if action == "add" and attempt not in sent and race.add(attempt):
                sent.add(attempt)
            if action == "fail" and attempt in sent - answered:
                failed.add(attempt)
                race.fail(attempt)
            if action == "answer" and attempt in sent:
                losers = race.accept_answer(attempt)
                if losers is not None:
                    answered.add(attempt)
                    cancelled.update(losers)
        if len(answered) > 1 or answered & failed:
            context.faults.append((seed, answered))
        if answered and sent - failed - answered - cancelled:
            context.faults.append((seed, sent, failed, answered, cancelled))

    run()


@then("at most one copy answers and all others are cancelled")
def step_one_answer(context):
    assert not context.faults, context.faults[0]


def _serve_rest(rng, body, offset):
    """Answer a range request at random as a correct or a faulty server would."""
    changed = rng.random() < 0.2
    served = bytes(rng.randrange(256) for _ in body) if changed else body
    etag = b'"v2"' if changed else b'"v1"'
    if rng.random() < 0.2:
        return 200, [(b"ETag", etag)], served
    start = max(0, offset + rng.choice((0, 0, 0, 0, 1, -1)))
    total = len(served) + rng.choice((0, 0, 0, 0, 1))
    content_range = b"bytes %d-%d/%d" % (start, len(served) - 1, total)
    return 206, [(b"etag", etag), (b"content-range", content_range)], served[start:]


@when("random downloads are interrupted at servers that change or ignore ranges")
def step_downloads(context):
    context.faults = []
    context.completed = 0

    @RANDOMISED
    @for_all(st.integers(0, 2**16))
    def run(seed):
        rng = random.Random(seed)
        body = bytes(rng.randrange(256) for _ in range(rng.randrange(1, 40)))
        head = [(b"ETag", b'"v1"'), (b"Content-Length", b"%d" % len(body))]
        resumption = Resumption("GET", [], 200, head)
        received = body[: rng.randrange(len(body))]
        resumption.add_bytes(len(received))
        while not resumption.complete:
            plan = resumption.plan_request()
            if isinstance(plan, ResumeRefusal):
                break
            status, headers, rest = _serve_rest(rng, body, plan.offset)
            if isinstance(resumption.check_part(status, headers), ResumeRefusal):
                continue
            part = rest[: rng.randrange(len(rest) + 2)]
            if resumption.add_bytes(len(part)) is None:
                received += part
        context.completed += resumption.complete
        if not body.startswith(received) or resumption.complete != (received == body):
            context.faults.append((seed, body, received))

    run()


@then("the caller gets the exact body or a refusal, never other bytes")
def step_exact(context):
    assert not context.faults, context.faults[0]
    assert context.completed, "no download was completed, so nothing was tested"


FIRST_HEADERS_CHANGES = {
    "a weak validator": {b"ETag": b'W/"v1"'},
    "no validator": {b"ETag": b""},
    "no length": {b"Content-Length": b""},
    "no ranges": {b"Accept-Ranges": b"none"},
}
PARTIAL_HEADERS_CHANGES = {
    "another validator": {b"ETag": b'"v2"'},
    "another length": {b"Content-Range": b"bytes 40-100/101"},
    "another encoding": {b"Content-Encoding": b"y"},
    "another offset": {b"Content-Range": b"bytes 41-99/100"},
    "no content range": {b"Content-Range": b""},
}


@given("a download with {change}")
def step_download(context, change):
    head = (FIRST_HEADERS | FIRST_HEADERS_CHANGES.get(change, {})).items()
    part = (PARTIAL_HEADERS | PARTIAL_HEADERS_CHANGES.get(change, {})).items()
    asked = [(b"Range", b"bytes=1-")] if change == "a range from the caller" else []
    method = "POST" if change == "method POST" else "GET"
    status = 404 if change == "status 404" else 200
    resumption = Resumption(method, asked, status, head)
    resumption.add_bytes(40)
    for _ in range(3 if change == "four interruptions" else 0):
        resumption.plan_request()
        resumption.check_part(206, part)
    context.resumed = resumption.plan_request()
    if not isinstance(context.resumed, ResumeRefusal):
        answer = 200 if change == "a whole answer" else 206
        context.resumed = resumption.check_part(answer, part)


@then('its resumption is refused as "{refusal}"')
def step_resume_refused(context, refusal):
    assert context.resumed is ResumeRefusal(refusal), context.resumed
    # The unchanged download is resumed, so the change is the reason for the refusal.
    resumption = Resumption("GET", [], 200, FIRST_HEADERS.items())
    resumption.add_bytes(40)
    resumption.plan_request()
    assert resumption.check_part(206, PARTIAL_HEADERS.items()) == ResumedPart(40, 60)
