"""Test that homes keep to the rate of requests that their servers name."""

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.support.home import HomeHarness, RecordingChannel
from flamingobank.sidecar.decisions.offer_admission import AdmissionState
from flamingobank.sidecar.decisions.rate_limit import MIN_RATE_PER_S, RateLimit
from flamingobank.sidecar.fleet.server_state import Lifecycle
from flamingobank.sidecar.links.messages import (
    Commit,
    Granted,
    Offer,
    Queued,
    RefusalReason,
    Refused,
)
from tools.soak.windows import count_most

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=300)
WINDOW_S = 4.0
STEP_S = 0.05
# The bound starts to hold this long after the limit was first named.
STABILITY_WINDOW_S = 3.0


def _count_allowed(limit_per_s):
    return 1.5 * WINDOW_S * limit_per_s + 5


@when("requests arrive at random at random rate limits")
def step_random_requests(context):
    context.windows = []

    @RANDOMISED
    @for_all(
        st.floats(MIN_RATE_PER_S, 50.0),
        st.lists(st.floats(0.0, 1.5), min_size=1, max_size=200),
    )
    def run(limit_per_s, gaps_s):
        limit = RateLimit()
        limit.change(limit_per_s, 10.0)
        now, admitted = 10.0, []
        for gap_s in gaps_s:
            now += gap_s
            while limit.compute_wait_s(now) == 0:
                limit.take(now)
                admitted.append(now)
        most = count_most(admitted, WINDOW_S)
        assert most <= _count_allowed(limit_per_s), (most, limit_per_s)

    context.check = run


@then("no 4 seconds have more requests than the limit allows")
def step_within_limit(context):
    if "check" in context:
        context.check()
        return
    times = [
        time
        for time in context.arrivals
        if time >= context.arrivals[0] + STABILITY_WINDOW_S
    ]
    most = count_most(times, WINDOW_S)
    assert most <= _count_allowed(context.limit), (most, context.limit)


@when(
    "a server names {first:f} and {second:f} requests per second by turns for "
    "20 seconds"
)
def step_changing_limit(context, first, second):
    limit = RateLimit()
    now, context.admitted = 0.0, 0
    for turn in range(2000):
        limit.change((first, second)[turn % 2], now)
        if limit.compute_wait_s(now) == 0:
            limit.take(now)
            context.admitted += 1
        now += 0.01


@then("between {least:d} and {most:d} requests are admitted")
def step_admitted(context, least, most):
    assert least <= context.admitted <= most, context.admitted


@given(
    "a home whose server answers after {delay:f} s and names a limit of {limit:f} "
    "a second"
)
def step_limited_home(context, delay, limit):
    context.limit, context.delay, context.named = limit, delay, True
    context.arrivals = []
    context.streams = iter(range(1, 100_000))
    context.harness = HomeHarness("never answers")
    context.harness.server.script = lambda connection, head: _answer(
        context, connection
    )
    context.channels = [RecordingChannel(f"e{number}") for number in range(3)]


def _answer(context, connection):
    loop = context.harness.loop
    context.arrivals.append(loop.clock.now())
    limit = b"Server-Limit: %.1f\r\n" % context.limit if context.named else b""
    head = b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r1\r\n%s" % limit
    loop.timers.call_at(
        loop.clock.now() + context.delay,
        lambda: connection.connection.write(head + b"Content-Length: 2\r\n\r\nok"),
    )


@when(
    "{count:d} entries offer it requests all the time, {how} force, for {s:d} seconds"
)
def step_press(context, count, how, s):
    harness = context.harness
    for _ in range(round(s / STEP_S)):
        for channel in context.channels[:count]:
            _offer(context, channel, 1, how == "by")
            _commit_granted(harness, channel)
        harness.loop.advance(STEP_S)


def _commit_granted(harness, channel):
    granted = channel.list_kind(Granted)
    channel.messages = [
        message for message in channel.messages if not isinstance(message, Granted)
    ]
    headers = [(b"host", b"x.example"), (b"request-id", b"r1")]
    for message in granted:
        commit = Commit(
            message.stream, "r1", "GET", b"/a/x", headers, b"", 1.5, "patterns"
        )
        harness.home.receive(channel, commit)


@when("the home restarts")
def step_restart(context):
    server = context.harness.server
    loop = context.harness.loop
    context.harness = HomeHarness("never answers", loop, server)


@when("the server names no limit any more")
def step_unlimited(context):
    context.named = False


@when("the server is replaced by one without a limit")
def step_replaced(context):
    context.named = False
    harness = context.harness
    harness.announce(1, Lifecycle.READY, instance="i-2", started=200)
    harness.home.on_new_instance()


@then("the server gets at least {share:f} of what the limit allows")
def step_used(context, share):
    seconds = context.arrivals[-1] - context.arrivals[0]
    assert len(context.arrivals) >= share * context.limit * seconds, context.arrivals


@then("the last second has more than {count:d} requests")
def step_last_second(context, count):
    now = context.harness.loop.clock.now()
    recent = [time for time in context.arrivals if time > now - 1]
    assert len(recent) > count, len(recent)


@given(
    "a server with a limit of {rate:f} a second that admits the next request in "
    "{wait:f} s"
)
def step_limited_state(context, rate, wait):
    context.admission_state = AdmissionState(
        0.05, 0, 0, 0, 4, 0.25, -9.0, limit_wait_s=wait, rate_per_s=rate
    )


@then("its refusals report no free slot")
def step_reported_full(context):
    refusals = context.channels[0].list_kind(Refused)[-20:]
    assert refusals
    for refusal in refusals:
        assert refusal.report.running >= refusal.report.slots


def _offer(context, channel, priority, forced):
    stream = next(context.streams)
    offer = Offer(stream, "orders", True, False, priority, 2.0, 1.0, forced, False)
    context.harness.home.receive(channel, offer)
    return stream


def _advance(context, seconds):
    for _ in range(round(seconds / STEP_S)):
        context.harness.loop.advance(STEP_S)


@when("an entry offers it a request once a second for {seconds:d} seconds")
def step_offer_slowly(context, seconds):
    channel = context.channels[0]
    for _ in range(seconds):
        _offer(context, channel, 1, False)
        _commit_granted(context.harness, channel)
        _advance(context, 1)


@when("a request waits for the limit and a more urgent one arrives")
def step_delayed(context):
    channel = context.channels[1]
    _offer(context, channel, 1, False)
    _advance(context, 0.4)
    context.delayed = _offer(context, channel, 2, True)
    context.urgent = _offer(context, channel, 0, True)
    waiting = {message.stream for message in channel.list_kind(Queued)}
    assert waiting == {context.delayed, context.urgent}


@then("the waiting request is refused as busy within 0.4 s")
def step_refused_soon(context):
    _advance(context, 0.4)
    refused = context.channels[1].list_kind(Refused)
    assert [message.stream for message in refused] == [context.delayed]
    assert refused[0].reason == RefusalReason.BUSY.value


@then("the more urgent one is granted within 1.2 s")
def step_urgent_granted(context):
    _advance(context, 0.8)
    granted = [message.stream for message in context.channels[1].list_kind(Granted)]
    assert context.urgent in granted
