"""Steps that send malformed data and check that only the sender's link is closed."""

import dataclasses
import json
import typing

import msgpack
from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.loop import LOCAL, RawPeer, TestLoop
from flamingobank.node.links.exchange import AnswerSink
from flamingobank.node.links.links import CONTROL_STREAM, Link, LinkObserver, LinkPool
from flamingobank.node.links.remote import RemoteRequest, ServedStream
from flamingobank.wire import (
    AnswerHead,
    AnswerPart,
    DirectorySummary,
    DirectoryUpdate,
    FrameDecoder,
    FrameEncoder,
    FrameError,
    Handshake,
    HandshakeError,
    MessageError,
    OpenRequest,
    Window,
    pack_message,
    unpack_message,
)
from flamingobank.wire.messages import _MESSAGE_CLASSES

KEY = b"k" * 32
WAITS_FOR_MORE = "waits for more"
HEAD_FIELDS = ["id-1", 200, [], "s1", 0.0, 1, b"", 0]
OPEN_FIELDS = [
    "id-1",
    "r",
    "s",
    "GET",
    b"/",
    [],
    b"",
    False,
    "customer",
    "",
    9,
    9,
    True,
]
PROPERTY_SETTINGS = {"derandomize": True, "database": None, "deadline": None}


def damage_frames(frames, damage):
    encoder = FrameEncoder(KEY)
    payloads = {
        "garbage": b"\xc1\xc1\xc1",
        "not an array": msgpack.packb({"a": 1}),
        "unhashable": b"\x93\x01\x01\x91\x81\x90\x01",
    }
    if damage in payloads:
        # Simulates a peer that has the key, so that the MAC is valid.
        encoder._packer = type(
            "Fixed", (), {"pack": lambda self, _: payloads[damage]}
        )()
        return encoder.encode(0, 0, [])
    first, second, third = frames
    return {
        "whole": first + second + third,
        "truncated": first + second + third[:-1],
        "oversized": (262_145).to_bytes(4, "big") + first[4:],
        "altered": first[:6] + bytes([first[6] ^ 1]) + first[7:],
        "replayed": first + first,
        "reordered": second + first,
    }[damage]


@given("a stream of 3 wire frames")
def step_frames(context):
    encoder = FrameEncoder(KEY)
    context.frames = [encoder.encode(7, stream, [stream]) for stream in (1, 2, 3)]


@when("the wire frames are {damage}")
def step_damage(context, damage):
    decoder = FrameDecoder(KEY)
    context.end = decoder.feed(damage_frames(context.frames, damage))


@then("the decoder passes {passed:d} wire frames and {end}")
def step_decoded(context, passed, end):
    refused = isinstance(context.end, FrameError)
    assert refused == (end != WAITS_FOR_MORE), context.end
    if not refused:
        expected = [(7, stream, [stream]) for stream in range(1, passed + 1)]
        assert context.end == expected, context.end


@when("a wire message of type {kind:d} has the fields {fields}")
def step_message(context, kind, fields):
    context.message = unpack_message(kind, json.loads(fields))


@then('the wire message is refused with "{reason}"')
def step_message_refused(context, reason):
    assert isinstance(context.message, MessageError), context.message
    assert reason in context.message.reason, context.message.reason


@then("the wire message reports {consumed:d} consumed bytes")
def step_window(context, consumed):
    assert context.message == Window(consumed), context.message


@when(
    "a node with secrets {first} and version {version:d} starts a handshake "
    "with one that has {second}"
)
def step_greet(context, first, version, second):
    sides = [
        Handshake(name, "b", [one.encode() for one in secrets.split(",")], name == "a")
        for name, secrets in (("a", first), ("b", second))
    ]
    sides[0]._hello[0] = version
    context.sessions = []
    data = sides[0].start()
    for side in (sides[1], sides[0], sides[1]):
        step = side.feed(data)
        if isinstance(step, HandshakeError):
            context.sessions = step
            return
        data = step.output
        context.sessions += [step.session] if step.session else []


@then("the wire handshake {result}")
def step_handshake(context, result):
    if result == "agrees":
        first, second = context.sessions
        assert first.send_key == second.receive_key != first.receive_key
        assert first.receive_key == second.send_key
        return
    text = {"names the secret": "fleet secret", "names version 0": "version 0"}[result]
    assert isinstance(context.sessions, HandshakeError), context.sessions
    assert text in context.sessions.reason, context.sessions.reason


def make_messages():
    """Return strategies for messages of every type with valid entries."""
    values = {
        int: st.integers(-(2**63), 2**63 - 1),
        str: st.text(max_size=9),
        bytes: st.binary(max_size=9),
        bool: st.booleans(),
        float: st.floats(allow_nan=False),
        list: st.lists(st.one_of(st.integers(0, 9), st.text(max_size=3)), max_size=3),
        dict: st.dictionaries(st.text(max_size=3), st.integers(0, 9)),
    }
    header = st.lists(st.binary(max_size=5), min_size=2, max_size=2)
    number = values[int]
    instances = st.lists(values[str], max_size=2)
    service = st.tuples(values[str], number, number, instances).map(list)
    version = st.tuples(values[str], number).map(list)
    shapes = {
        (OpenRequest, "headers"): st.lists(header, max_size=2),
        (AnswerHead, "headers"): st.lists(header, max_size=2),
        (DirectoryUpdate, "services"): st.lists(service, max_size=2),
        (DirectorySummary, "homes"): st.dictionaries(values[str], version, max_size=2),
    }
    strategies = []
    for kind in _MESSAGE_CLASSES.values():
        hints = typing.get_type_hints(kind)
        fields = {
            field.name: shapes.get((kind, field.name), values.get(hints[field.name]))
            for field in dataclasses.fields(kind)
        }
        strategies.append(st.builds(kind, **fields))
    return strategies


@then("{runs:d} random wire messages of every type come back equal")
def step_round_trip(context, runs):
    @settings(max_examples=runs, **PROPERTY_SETTINGS)
    @given_data(st.tuples(*make_messages()))
    def run(messages):
        encoder, decoder = FrameEncoder(KEY), FrameDecoder(KEY)
        data = b"".join(
            encoder.encode(kind, 3, fields)
            for kind, fields in map(pack_message, messages)
        )
        frames = decoder.feed(data[:7]) + decoder.feed(data[7:])
        received = [unpack_message(kind, fields) for kind, _, fields in frames]
        assert received == list(messages)

    run()


@then("{runs:d} random byte strings pass no decoder of the wire")
def step_random_bytes(context, runs):
    plain = st.recursive(
        st.one_of(st.none(), st.booleans(), st.integers(-9, 9), st.binary(), st.text()),
        lambda inner: st.one_of(
            st.lists(inner, max_size=4),
            st.dictionaries(st.integers(0, 9) | st.text(), inner, max_size=3),
        ),
    )

    @settings(max_examples=runs, **PROPERTY_SETTINGS)
    @given_data(st.binary(max_size=600), st.integers(0, 20), st.lists(plain))
    def run(data, kind, fields):
        frames = FrameDecoder(KEY).feed(data)
        assert isinstance(frames, FrameError) or frames == []
        for initiator in (True, False):
            handshake = Handshake("n", "b", [b"s"], initiator)
            for part in (data[:9], data[9:]):
                step = handshake.feed(part)
                assert step is None or step.__class__ is HandshakeError
        unpack_message(kind, list(fields))
        payload = encode_payload(data)
        assert isinstance(FrameDecoder(KEY).feed(payload), FrameError | list)

    def encode_payload(data):
        encoder = FrameEncoder(KEY)
        encoder._packer = type("Fixed", (), {"pack": lambda self, _: data})()
        return encoder.encode(0, 0, [])

    run()


class Observer(LinkObserver):
    """Record control messages and why links are refused; fail requests on streams."""

    def __init__(self):
        self.messages = []
        self.refused = []

    def on_control_message(self, link, message):
        self.messages.append(message)

    def on_stream_message(self, link, stream, message):
        if isinstance(message, OpenRequest):
            ServedStream(self.dispatch, link, stream, message)

    def on_link_refused(self, peer, reason):
        self.refused.append(reason)

    def dispatch(self, message, body, sink):
        """Fail as the dispatcher does for an unknown traffic class."""
        raise ValueError(f"{message.traffic_class!r} is not a valid TrafficClass")


def make_links(loop, name, observer):
    return LinkPool(
        loop.poller, loop.timers, loop.clock, name, "b", lambda: [b"s"], observer
    )


@given("a node that listens for links with an honest peer")
def step_listening(context):
    context.loop = loop = TestLoop()
    context.observer = Observer()
    context.served = make_links(loop, "served", context.observer)
    context.served.listen(LOCAL)
    context.address = context.served._listener.address
    context.honest_links = make_links(loop, "honest", Observer())
    context.honest = context.honest_links.get(context.address)
    loop.run_until(lambda: context.honest.ready, "the honest link is ready")


@when("a peer on another link sends {hostile}")
def step_hostile(context, hostile):
    loop = context.loop
    if hostile == "raw garbage":
        context.raw = RawPeer(context.address)
        context.raw.send(b"\xff" * 64)
        loop.run_until(lambda: context.raw.poll().ended, "the raw link is closed")
        return
    link = make_links(loop, "hostile", Observer()).get(context.address)
    loop.run_until(lambda: link.ready, "the hostile link is ready")
    send_hostile(link, hostile)
    loop.run_until(lambda: link.closed, "the hostile link is closed")


def send_hostile(link: Link, hostile):
    open_fields = {
        "headers of text": [*OPEN_FIELDS[:5], [["a", "b"]], *OPEN_FIELDS[6:]],
        "an unknown class": [*OPEN_FIELDS[:8], "nobody", *OPEN_FIELDS[9:]],
    }
    if hostile in open_fields:
        data = link._encoder.encode(1, 1, open_fields[hostile])
    elif hostile == "an unknown message":
        data = link._encoder.encode(99, CONTROL_STREAM, [])
    else:
        data = link._encoder.encode(7, CONTROL_STREAM, [1]) * 2
    link._connection.write(data)


@then("only the link of the hostile peer is closed")
def step_only_hostile(context):
    assert len(context.observer.refused) == 1, context.observer.refused
    assert context.served.count == 1 and not context.honest.closed


@then("the honest peer still exchanges messages")
def step_honest(context):
    context.honest.send(CONTROL_STREAM, Window(77))
    context.loop.run_until(
        lambda: Window(77) in context.observer.messages, "the honest message arrives"
    )


class RecordingSink(AnswerSink):
    """Record the names of the events that a request reports."""

    def __init__(self):
        self.calls = []

    def on_start(self, start):
        self.calls.append("start")

    def on_part(self, data, state):
        self.calls.append("part")

    def on_refused(self, refusal, report):
        self.calls.append("refused")


class StubLink:
    """Accept messages of a remote request without a connection."""

    was_ready = True

    def open_stream(self, handler):
        return 1

    def send(self, stream, message):
        """Discard a message."""

    def close_stream(self, stream):
        """Ignore the end of a stream."""


@when("the home of a remote request sends {messages}")
def step_home_sends(context, messages):
    context.sink = RecordingSink()
    request = RemoteRequest(StubLink(), OpenRequest(*OPEN_FIELDS), b"", context.sink)
    head = AnswerHead(*HEAD_FIELDS)
    context.sent, context.expected = {
        "a part without head": ([AnswerPart(b"x", 0)], []),
        "two heads": ([head, head], ["start"]),
        "another request's id": ([AnswerHead("id-2", *HEAD_FIELDS[1:])], []),
        "an unknown state": ([head, AnswerPart(b"x", 9)], ["start"]),
    }[messages]
    context.error = None
    for message in context.sent:
        try:
            request.on_message(message)
        except ValueError as error:
            context.error = error


@then("the remote request refuses the message and its sink gets only valid events")
def step_home_refused(context):
    assert context.error is not None, "no error was raised, so the link stays open"
    assert context.sink.calls == context.expected, context.sink.calls
