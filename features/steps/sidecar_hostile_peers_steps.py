"""Check that broken servers and callers cannot make a sidecar hold much or lie."""

import json
from dataclasses import fields
from itertools import pairwise

import msgpack
from behave import given, then, when
from hypothesis import example, given as for_all, settings, strategies as st

from features.steps.sidecar_fleet_steps import GossipingNode
from features.steps.sidecar_network_steps import HttpHarness
from features.support.callers import RawPeer
from features.support.home import SCRIPTS, HomeHarness, RecordingChannel, answer
from features.support.loop import TestLoop
from flamingobank.core import VirtualClock
from flamingobank.loop import HttpClientConnection
from flamingobank.platform.store import ObjectStore
from flamingobank.sidecar.decisions.failure_estimate import LONG_RUN_PROBABILITY
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.fleet_store import StorePosition
from flamingobank.sidecar.fleet.gossip import MAX_READING_AGE_S
from flamingobank.sidecar.fleet.peers import pack_record
from flamingobank.sidecar.links.channels import MessageChannel, PeerObserver
from flamingobank.sidecar.links.codec import MessageReader, pack_message
from flamingobank.sidecar.links.messages import (
    MESSAGE_TYPES,
    Answer,
    AnswerPart,
    Commit,
    Failed,
    Granted,
    HomeReport,
)
from flamingobank.store import CallFailed, StoreAnswer

CHUNK = 65_536
MAX_PAGES = 5
OWN_HEAD = b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r1\r\n"
# For each kind of flood: what is sent once, and what is repeated without end.
FLOODS = {
    "one header": (b"HTTP/1.1 200 X\r\nX-Long: ", b"a" * CHUNK),
    "one status line": (b"HTTP/1.1 200 ", b"a" * CHUNK),
    "headers": (b"HTTP/1.1 200 X\r\n", b"X-Many: a\r\n" * 6000),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 2600),
    "another request's body": (
        b"HTTP/1.1 200 X\r\nServer-Seal: s\r\nRequest-Id: r0\r\n\r\n",
        b"a" * CHUNK,
    ),
    "an unsigned body": (b"HTTP/1.1 200 X\r\nRequest-Id: r1\r\n\r\n", b"a" * CHUNK),
    "a refusal's body": (
        b"HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\n\r\n",
        b"a" * CHUNK,
    ),
    "a signed body": (OWN_HEAD + b"\r\n", b"a" * CHUNK),
}
REQUEST_FLOODS = {
    "one header": (b"GET / HTTP/1.1\r\nHost: x\r\nX-Long: ", b"a" * 8192),
    "one target": (b"GET /", b"a" * 8192),
    "headers": (b"GET / HTTP/1.1\r\nHost: x\r\n", b"X-Many: a\r\n" * 700),
}


class Flood:
    """Script of a server that writes one piece after another while it is read."""

    def __init__(self, first, repeated):
        self.first = first
        self.repeated = repeated

    def __call__(self, connection, head):
        connection.on_drained = lambda: self.write(connection, self.repeated)
        self.write(connection, self.first + self.repeated)

    def write(self, connection, data):
        """Write one piece; the next follows when the socket has taken it."""
        connection.connection.write(data)


def _make_home(context, script):
    SCRIPTS["test"] = script
    context.home = HomeHarness("test")
    del SCRIPTS["test"]


@given("a home whose server sends {kind} without end")
def step_flooding_home(context, kind):
    context.taken = 0
    receive = HttpClientConnection.on_data

    def count(connection, data):
        context.taken += len(data)
        receive(connection, data)

    HttpClientConnection.on_data = count
    context.add_cleanup(setattr, HttpClientConnection, "on_data", receive)
    _make_home(context, Flood(*FLOODS[kind]))


@then("the home has taken at most {limit:d} MB from the server")
def step_taken(context, limit):
    assert context.taken <= limit * 2**20, context.taken


class FullChannel(RecordingChannel):
    """Channel of an entry that takes no bytes: all that is sent stays queued."""

    def send(self, message):
        """Queue a message."""
        super().send(message)
        self.output_bytes += len(getattr(message, "body", b""))


@when("an entry offers and commits a request on a link that is full")
def step_commit_full(context):
    harness = context.home
    harness.channel = FullChannel()
    harness.offer(1)
    assert harness.channel.list_kind(Granted)
    harness.commit(1)
    for _ in range(250):
        harness.loop.advance(0.02, turns=2)


@then("the home has taken at most {limit:d} MB from the server after 5 seconds")
def step_taken_later(context, limit):
    assert context.home.channel.list_kind(Answer)
    step_taken(context, limit)


@when("a caller sends {kind} without end")
def step_flooding_caller(context, kind):
    first, repeated = REQUEST_FLOODS[kind]
    harness = context.http
    context.caller = RawPeer(harness.server.address)
    context.sent = 0
    data = first
    while context.sent < 2**20 and not context.caller.poll().ended:
        if context.caller.received:
            break
        rest = context.caller.send(data)
        context.sent += len(data) - len(rest)
        data = rest or repeated
        harness.loop.turn(0)


@then("it gets 431 or a closed connection before it has sent 1 MB")
def step_cut_off(context):
    assert context.sent < 2**20, context.sent
    received = context.caller.poll().received
    assert context.caller.ended or received.startswith(b"HTTP/1.1 431"), received


@given("a home whose server streams an answer with status {status:d} and {ends}")
def step_streaming_home(context, status, ends):
    head = OWN_HEAD.replace(b"200", b"%d" % status) + b"Content-Length: 10\r\n\r\n"

    def stream(connection, request):
        timers, clock = context.home.loop.timers, context.home.loop.clock
        connection.connection.write(head + b"01234")

        def end():
            if ends == "ends":
                connection.connection.write(b"56789")
            else:
                connection.connection.close("script")

        timers.call_at(clock.now() + 1.0, end)

    _make_home(context, stream)


@when("an entry offers and commits a request that is streamed")
def step_commit_streamed(context):
    harness = context.home
    harness.offer(1)
    harness.commit(1)
    for _ in range(100):
        harness.loop.advance(0.02, turns=2)
    (answer,) = harness.channel.list_kind(Answer)
    assert not answer.complete, answer
    assert harness.channel.list_kind(AnswerPart | Failed)


@then("the home's estimate counts it as a {outcome}")
def step_counted(context, outcome):
    harness = context.home
    estimate = harness.home.server_estimate
    failing = estimate.read_failure_probability(harness.loop.clock.now())
    assert (failing > LONG_RUN_PROBABILITY) == (outcome == "failure"), failing


RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=400)
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-(2**63), 2**63 - 1),
    st.floats(),
    st.text(max_size=5),
    st.binary(max_size=5),
)
VALUES = st.recursive(SCALARS, lambda inner: st.lists(inner, max_size=9), max_leaves=12)
EXAMPLES = {
    "int": 3,
    "str": "x",
    "float": 1.5,
    "bool": True,
    "bytes": b"x",
    "list": [],
    HomeReport: ["orders", 0.1, 1, 0, 2, True],
}


def _is_valid(value, annotation):
    if annotation == "float":
        return isinstance(value, float | int) and abs(value) < float("inf")
    if annotation is HomeReport:
        return isinstance(value, HomeReport) and all(
            _is_valid(getattr(value, field.name), _get_annotation(field))
            for field in fields(HomeReport)
        )
    return type(value).__name__ == annotation


def _get_annotation(field):
    if field.type is HomeReport:
        return HomeReport
    return getattr(field.type, "__name__", field.type)


@when("random link messages are decoded")
def step_random_messages(context):
    context.decoded, context.malformed = [], 0

    @RANDOMISED
    @for_all(st.data())
    def run(data):
        number = data.draw(st.integers(0, len(MESSAGE_TYPES) - 1))
        values = [
            EXAMPLES[_get_annotation(field)] for field in fields(MESSAGE_TYPES[number])
        ]
        if values:
            position = data.draw(st.integers(0, len(values) - 1))
            values[position] = data.draw(VALUES)
        try:
            context.decoded += MessageReader().feed(msgpack.packb([number, values]))
        except ValueError:
            context.malformed += 1

    run()


@then("each is a message whose fields have their types, or malformed")
def step_typed(context):
    assert context.malformed and context.decoded
    for message in context.decoded:
        for field in fields(message):
            value = getattr(message, field.name)
            assert _is_valid(value, _get_annotation(field)), message


@when("random gossip datagrams arrive")
def step_random_datagrams(context):
    loop = TestLoop(VirtualClock(100.0))
    loop.poller.clock = loop.clock
    loop.advance(0.01)
    node = GossipingNode(loop, "own")
    peer = GossipingNode(loop, "peer")
    node.table.merge(peer.table.local_record, 100.0)
    context.ages_s = []
    node.gossip.on_digest = lambda record, version, age_s: context.ages_s.append(age_s)
    context.confirmed_at = []
    node.gossip.on_confirmation = lambda version, at, peer: context.confirmed_at.append(
        at
    )
    context.now = loop.clock.now()
    node.gossip._endpoint.arrived_after = context.now
    record = pack_record(peer.table.local_record)

    @RANDOMISED
    @for_all(st.data())
    def run(data):
        kind = data.draw(st.sampled_from([0, 1, 1, 1, 1, 2, 3, 4, 5, 6, 6, 7]))
        examples = {
            1: [1, 7, 20, [record]],
            2: [b"123456"],
            3: [[record]],
            4: [b"f", "i", "c"],
            6: [7, 20],
        }
        values = [*examples.get(kind, [1])]
        # Some are left valid, as hardly any of the others can be applied.
        if data.draw(st.integers(0, 7)):
            values[data.draw(st.integers(0, len(values) - 1))] = data.draw(VALUES)
        datagram = data.draw(
            st.sampled_from([[kind, "peer", values]] * 4 + [[kind, values, 1], values])
        )
        node.gossip._receive(msgpack.packb(datagram), peer.table.local_record.address)

    run()


@then("each is applied or logged as malformed")
def step_no_error(context):
    # An error would have ended the step before.
    assert context.ages_s
    assert context.confirmed_at


@then("no datagram makes the newest reading of the store newer than now")
def step_no_negative_age(context):
    assert all(0 <= age_s <= MAX_READING_AGE_S for age_s in context.ages_s)
    assert all(
        context.now - MAX_READING_AGE_S <= at <= context.now
        for at in context.confirmed_at
    )


class FailingObserver(PeerObserver):
    """Raises an unexpected error on the first message."""

    def __init__(self):
        self.streams = []

    def on_peer_message(self, channel, message):
        self.streams.append(message.stream)
        if len(self.streams) == 1:
            raise KeyError("unexpected")

    def on_channel_closed(self, channel):
        raise AssertionError("the channel was closed")


@given("a link whose receiver fails on the first message")
def step_failing_receiver(context):
    context.observer = FailingObserver()
    context.event_log = EventLog("own")
    context.channel = MessageChannel(context.observer, context.event_log)


@when("three messages arrive in one piece")
def step_three_messages(context):
    context.channel.on_data(b"".join(pack_message(Granted(n)) for n in (1, 2, 3)))


@then("the other two are handled, and the error is counted and logged")
def step_others_handled(context):
    assert context.observer.streams == [1, 2, 3], context.observer.streams
    assert context.event_log.exceptions == 1


def _answer_request(number):
    return answer(request_id=b"r%d" % number, body=b"body of r%d" % number)


def _write_in_pieces(harness, connection, data, cuts):
    for start, end in pairwise(
        [0, *sorted(cut % len(data) for cut in cuts), len(data)]
    ):
        if start < end and not connection.closed:
            connection.connection.write(data[start:end])
            for _ in range(2):
                harness.loop.turn(0)


@when("a server answers requests with copies of earlier answers, cut at random")
def step_copies(context):
    context.outcomes = []
    copies = st.lists(st.integers(1, 4), max_size=3)
    plans = st.lists(
        st.tuples(copies, copies, st.lists(st.integers(0, 999), max_size=4)),
        min_size=2,
        max_size=4,
    )

    @settings(derandomize=True, database=None, deadline=None, max_examples=100)
    @for_all(plans)
    def run(plan):
        requests = []
        SCRIPTS["test"] = lambda connection, head: requests.append(connection)
        harness = HomeHarness("test")
        del SCRIPTS["test"]
        for number, (before, after, cuts) in enumerate(plan, start=1):
            headers = [(b"host", b"x.example"), (b"request-id", b"r%d" % number)]
            harness.channel.messages.clear()
            harness.offer(number)
            harness.home.receive(
                harness.channel,
                Commit(
                    number, f"r{number}", "GET", b"/", headers, b"", 1.5, "patterns"
                ),
            )
            harness.loop.run_until(lambda: len(requests) == number, "request")  # noqa: B023
            earlier = [copy for copy in before if copy < number]
            data = b"".join(map(_answer_request, [*earlier, number, *after]))
            _write_in_pieces(harness, requests[-1], data, cuts)
            harness.run_until_sent(Answer | Failed)
            context.outcomes.append((number, harness.channel.messages[-1]))
        harness.server.listener.close()

    run()


@then("each request got its own answer, or was told that its outcome is unknown")
def step_own_answers(context):
    answered = 0
    for number, message in context.outcomes:
        if isinstance(message, Failed):
            assert not message.not_run, message
            continue
        assert message.body == b"body of r%d" % number, (number, message)
        answered += 1
    assert answered > len(context.outcomes) / 2, answered


@given("an HTTP server that streams an answer without end")
def step_endless_stream(context):
    context.streamed = 0

    def stream(harness, request):
        request.start(200, [], None)
        while not harness.watcher.left and context.streamed < 2**26:
            request.write_part(b"a" * CHUNK)
            context.streamed += CHUNK

    context.http = HttpHarness(stream)


@when("a caller sends a request and does not read")
def step_not_reading(context):
    harness = context.http
    harness.peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    harness.loop.run_until(lambda: context.streamed, "request")


@then(
    "its connection is reset after at most {limit:d} MB, and the request's watcher is "
    "told"
)
def step_reset(context, limit):
    assert context.streamed <= limit * 2**20, context.streamed
    assert context.http.watcher.left
    assert not context.http.server.connections


class AnsweringTransport:
    """Transport whose store answers each call with the same bytes."""

    def __init__(self, body):
        self.body = body
        self.calls = 0

    def send(self, call, callback):
        """Answer a call at once; a listing that never ends is cut off."""
        self.calls += 1
        if self.calls > MAX_PAGES:
            callback(CallFailed("test ends", sent=False))
            return
        callback(StoreAnswer(200, {}, self.body))


@when("the store answers calls with random documents")
def step_random_store(context):
    context.results = []
    names = ("items", "events", "current-rev", "has-more", "object", "metadata")
    documents = st.recursive(
        SCALARS.filter(lambda value: not isinstance(value, bytes)),
        lambda inner: st.one_of(
            st.lists(inner, max_size=3),
            st.dictionaries(
                st.sampled_from([*names, "name", "specification", "record", "deleted"]),
                inner,
                max_size=4,
            ),
        ),
        max_leaves=12,
    )
    listings = st.fixed_dictionaries(
        {"current-rev": st.one_of(st.integers(0, 9), documents)},
        optional=dict.fromkeys(("items", "events", "has-more"), documents),
    )
    deep = b"[" * 100_000

    @RANDOMISED
    @for_all(st.one_of(listings, documents).map(json.dumps).map(str.encode))
    @example(deep)
    @example(b'{"items": [1], "has-more": true, "current-rev": 1}')
    @example(b'{"events": [1], "current-rev": 1}')
    def run(body):
        store = ObjectStore(AnsweringTransport(body), EventLog("own"))
        for call in (
            store.read_table,
            lambda callback: store.await_table(
                StorePosition(store.epoch, 3), 1.0, callback
            ),
            store.list_peers,
        ):
            results = []
            call(results.append)
            context.results.append((body, results))

    run()


@then("each call gave its result once")
def step_results(context):
    for body, results in context.results:
        assert len(results) == 1, (body[:200], results)
