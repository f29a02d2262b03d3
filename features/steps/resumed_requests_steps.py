"""Check what a home says of requests whose entry asks for the outcome."""

import gc
import tracemalloc

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.home import SCRIPTS, HomeHarness, RecordingChannel, answer
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.homes.run_history import MAX_PROCESSES, RunHistory
from flamingobank.sidecar.links.messages import (
    Answer,
    Commit,
    Failed,
    Granted,
    Offer,
    RefusalReason,
    Refused,
    Resume,
)

STREAMED_HEAD = (
    b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 1000\r\n\r\n"
)
# An answer is streamed if its body is not complete this long after its head.
STREAMING_AFTER_S = 0.6


def _make_harness(respond):
    SCRIPTS["test"] = respond
    harness = HomeHarness("test")
    del SCRIPTS["test"]
    return harness


def _offer(harness, stream, remaining_s):
    offer = Offer(
        stream, "orders", False, True, 1, remaining_s, remaining_s, True, False
    )
    harness.home.receive(harness.channel, offer)
    assert harness.channel.list_kind(Granted), harness.channel.messages


def _commit(harness, stream, remaining_s, channel=None):
    headers = [(b"host", b"x.example"), (b"request-id", b"r1")]
    message = Commit(
        stream, "r1", "POST", b"/a/x", headers, b"", remaining_s, "patterns"
    )
    harness.home.receive(channel or harness.channel, message)


def _run(harness, stream, remaining_s):
    """Run a request until its outcome has been sent."""
    harness.channel.messages.clear()
    _offer(harness, stream, remaining_s)
    _commit(harness, stream, remaining_s)
    harness.run_until_sent(Answer | Failed)


def _reconnect(harness):
    """Break the link of the entry; return the channel of its next link."""
    harness.home.on_channel_closed(harness.channel)
    return RecordingChannel(harness.channel.peer_boot)


def _wait(harness, seconds):
    for _ in range(round(seconds / 0.1)):
        harness.loop.advance(0.1, turns=1)


def _resume(harness, channel, stream):
    channel.messages.clear()
    harness.home.receive(channel, Resume(stream))
    assert len(channel.messages) == 1, channel.messages
    return channel.messages[0]


@given("a home whose server answered an unsafe request with {left:g} s left")
def step_answered(context, left):
    context.harness = _make_harness(
        lambda connection, head: connection.connection.write(answer())
    )
    _run(context.harness, 1, left)


@given(
    "a home whose server got an unsafe request with {left:g} s left and never answers"
)
def step_unanswered(context, left):
    harness = context.harness = _make_harness(lambda connection, head: None)
    _offer(harness, 1, left)
    _commit(harness, 1, left)
    harness.loop.run_until(lambda: harness.server.requests, "the server got it")


@given(
    "a home whose server streams the answer to an unsafe request with {left:g} s left"
)
def step_streamed(context, left):
    harness = context.harness = _make_harness(
        lambda connection, head: connection.connection.write(STREAMED_HEAD + b"part")
    )
    _offer(harness, 1, left)
    _commit(harness, 1, left)
    harness.loop.run_until(lambda: harness.server.requests, "the server got it")
    harness.loop.advance(0.01)
    _wait(harness, STREAMING_AFTER_S)
    assert harness.channel.list_kind(Answer), harness.channel.messages


@given(
    "a home whose server answered {count:d} unsafe requests with {size:d} bytes and "
    "{left:g} s left"
)
def step_answered_many(context, count, size, left):
    body = b"x" * size
    context.harness = _make_harness(
        lambda connection, head: connection.connection.write(answer(body=body))
    )
    context.streams = list(range(1, count + 1))
    for stream in context.streams:
        _run(context.harness, stream, left)
        context.harness.loop.advance(0.01)
    _wait(context.harness, 0.5)


@when("a home keeps {count:d} outcomes of {size:d} bytes within a moment")
def step_keep_many(context, count, size):
    body = answer(body=b"x" * size)
    context.harness = _make_harness(
        lambda connection, head: connection.connection.write(body)
    )
    context.peak_bytes = 0
    gc.collect()
    gc.disable()
    context.add_cleanup(gc.enable)
    tracemalloc.start()
    for stream in range(1, count + 1):
        _run(context.harness, stream, 60.0)
        context.harness.channel.messages.clear()
        allocated_bytes = tracemalloc.get_traced_memory()[0]
        context.peak_bytes = max(context.peak_bytes, allocated_bytes)
    tracemalloc.stop()


@then("at most {limit:d} bytes are allocated at any time for them")
def step_allocated(context, limit):
    assert context.peak_bytes <= limit, context.peak_bytes


@then("the account counts as many outcomes as are kept")
def step_counted(context):
    home = context.harness.home
    kept = [one.kept_bytes for one in home.requests.values()]
    assert kept and home.client.memory.outcomes.bytes == sum(kept), kept


@when("the link breaks and the entry asks for the outcome {after:g} s later")
def step_ask(context, after):
    channel = _reconnect(context.harness)
    _wait(context.harness, after)
    context.told = _resume(context.harness, channel, 1)


@when(
    "the link breaks {count:d} times, {apart:g} s apart, and the entry asks after each"
)
def step_ask_repeatedly(context, count, apart):
    context.all_told = []
    for _ in range(count):
        channel = _reconnect(context.harness)
        context.all_told.append(_resume(context.harness, channel, 1))
        context.harness.channel = channel
        _wait(context.harness, apart)


@when("the link breaks after the next grant and the entry asks for that request")
def step_ask_lost(context):
    harness = context.harness
    context.old_channel = harness.channel
    _offer(harness, 2, 10.0)
    channel = _reconnect(harness)
    context.told = _resume(harness, channel, 2)


@when("the request arrives on the old link")
def step_arrives(context):
    _commit(context.harness, 2, 10.0, context.old_channel)
    _wait(context.harness, 1.0)


@when("the link breaks and the entry asks for all outcomes")
def step_ask_all(context):
    channel = _reconnect(context.harness)
    context.all_told = [
        _resume(context.harness, channel, stream) for stream in context.streams
    ]


@then('the entry is told that the answer is "{body}"')
def step_told_answer(context, body):
    assert isinstance(context.told, Answer), context.told
    assert context.told.body == body.encode(), context.told


@then("the entry is told that the outcome is unknown")
def step_told_unknown(context):
    assert isinstance(context.told, Failed), context.told
    assert not context.told.not_run and context.told.arrived, context.told


@then("the entry is told each time that the outcome is unknown")
def step_told_unknown_each_time(context):
    for told in context.all_told:
        context.told = told
        step_told_unknown(context)


@then("the server has run 1 request, which is cancelled")
def step_run_cancelled(context):
    harness = context.harness
    assert len(harness.server.requests) == 1
    (connection,) = harness.server.connections
    harness.loop.run_until(lambda: connection.closed, "the request is cancelled")


@then("the entry is told that the request was never received")
def step_told_never_received(context):
    assert isinstance(context.told, Refused), context.told
    assert context.told.reason == RefusalReason.NEVER_RECEIVED.value, context.told


@then("the server has run {count:d} request")
def step_has_run(context, count):
    assert len(context.harness.server.requests) == count


@then("at most {limit:d} bytes of outcomes are kept")
def step_kept(context, limit):
    kept = sum(request.kept_bytes for request in context.harness.home.requests.values())
    assert 0 < kept <= limit, kept


@then("the entry is told the answers of the latest and that the others are unknown")
def step_told_latest(context):
    told = context.all_told
    answers = [message for message in told if isinstance(message, Answer)]
    assert 0 < len(answers) < len(told), told
    assert told[-len(answers) :] == answers
    for message in told[: -len(answers)]:
        assert isinstance(message, Failed) and not message.not_run, message


@given("a history of runs with requests of {count:d} entries that were forgotten")
def step_history(context, count):
    assert count > MAX_PROCESSES
    context.history = RunHistory()
    context.boots = [f"boot{number}" for number in range(count)]
    for boot in context.boots:
        context.history.note_grant(boot, 7)
        context.history.note_forgotten(boot, 7)


@then("every one of these requests may have run")
def step_all_may(context):
    assert all(context.history.may_have_run(boot, 7) for boot in context.boots)


@then("a request that is newer than the forgotten one of its entry has not run")
def step_newer(context):
    assert not context.history.may_have_run(context.boots[-1], 8)


@then("every one of them may have run after later grants to all entries")
def step_later_grants(context):
    for boot in context.boots:
        context.history.note_grant(boot, 20)
        assert context.history.may_have_run(boot, 7), boot
        assert not context.history.may_have_run(boot, 21), boot


EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("wait"), st.sampled_from([0.1, 0.5, 1.0, 3.0, 12.0])),
        st.tuples(st.just("break"), st.just(0)),
        st.tuples(st.just("request"), st.booleans()),
        st.tuples(st.just("head"), st.integers(0, 3)),
        st.tuples(st.just("part"), st.integers(0, 3)),
        st.tuples(st.just("end"), st.integers(0, 3)),
        st.tuples(st.just("close"), st.integers(0, 3)),
    ),
    min_size=3,
    max_size=25,
)
BODY_BYTES = 1000


class _RandomLinks:
    """A home whose entry loses its link at random, and what the server was sent."""

    def __init__(self, budget_bytes):
        self.harness = _make_harness(lambda connection, head: None)
        self.harness.home.client.memory = MemoryAccount(budget_bytes)
        self.streams = []
        # What is left of the answer on each connection of the server; None before it.
        self.left_bytes = {}

    def apply(self, event, value):
        """Apply one event."""
        if event == "wait":
            _wait(self.harness, value)
        elif event == "break":
            self._break()
        elif event == "request":
            self._request(value)
        else:
            self._answer(event, value)
        self.harness.loop.advance(0.01)

    def _request(self, idempotent):
        stream = len(self.streams) + 1
        self.harness.channel.messages.clear()
        offer = Offer(stream, "orders", idempotent, True, 1, 10.0, 10.0, True, False)
        self.harness.home.receive(self.harness.channel, offer)
        if not self.harness.channel.list_kind(Granted):
            # A queued request keeps its number, but is not sent.
            self.streams.append((stream, False))
            return
        before = len(self.harness.server.requests)
        _commit(self.harness, stream, 10.0)
        self.harness.loop.run_until(
            lambda: len(self.harness.server.requests) > before, "the server got it"
        )
        self.streams.append((stream, True))

    def _answer(self, event, number):
        connections = [one for one in self.harness.server.connections if not one.closed]
        if number >= len(connections):
            return
        connection = connections[number]
        left_bytes = self.left_bytes.get(connection)
        if event == "close":
            connection.connection.close("script")
        elif event == "head" and not left_bytes:
            connection.connection.write(STREAMED_HEAD)
            self.left_bytes[connection] = BODY_BYTES
        elif event in ("part", "end") and left_bytes:
            count = left_bytes if event == "end" else min(100, left_bytes)
            connection.connection.write(b"x" * count)
            self.left_bytes[connection] -= count

    def _break(self):
        """Reconnect and ask for all requests, as an entry that waits for them does."""
        channel = _reconnect(self.harness)
        self.harness.channel = channel
        for stream, was_sent in self.streams:
            if was_sent:
                self.harness.home.receive(channel, Resume(stream))
        for refused in channel.list_kind(Refused):
            assert refused.reason != RefusalReason.NEVER_RECEIVED.value, refused


@then('in {count:d} random orders of events no request that ran is "never received"')
def step_random_links(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(EVENTS, st.sampled_from([20_000, 128 * 2**20]))
    def check(events, budget_bytes):
        links = _RandomLinks(budget_bytes)
        for event, value in events:
            links.apply(event, value)
        links.apply("break", 0)
        links.apply("break", 0)

    check()
