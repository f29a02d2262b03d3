"""Run a short soak, and test its link proxy by itself."""

import random

from behave import given, then, when

from features.steps.sidecar_network_steps import GET, HttpHarness
from features.support.callers import ScriptedServer
from features.support.loop import LOCAL, RawPeer, TestLoop
from flamingobank.core import VirtualClock
from flamingobank_standins.platform.streams import PART_INTERVAL_S, StreamedAnswer
from tools.soak.faults import FAULTS
from tools.soak.pipelines import Pipeline, PipelinedCall
from tools.soak.proxy import DELAYS_S, LinkProxy, ProxyMode
from tools.soak.run import run_soak


@when(
    "{machines:d} sidecar processes run for {seconds:d} seconds under the random "
    "faults of seed {seed:d}"
)
def step_soak(context, machines, seconds, seed):
    context.soak = run_soak(seed, seconds, machines, FAULTS)


@then("no guarantee is violated and requests succeed after the faults have ended")
def step_no_violations(context):
    assert not context.soak.violations, (
        context.soak.fault_names,
        context.soak.violations,
    )
    assert len(context.soak.calls) > 100


@given('a link through the link proxy in the mode "{mode}"')
def step_proxy(context, mode):
    context.loop = loop = TestLoop(VirtualClock(100.0))
    context.server = ScriptedServer(loop, lambda connection, head: None)
    address = context.server.listener.address
    rng = random.Random(1)
    context.proxy = LinkProxy(loop.poller, loop.timers, loop.clock, rng, LOCAL, address)
    context.peer = RawPeer(context.proxy.address)
    loop.run_until(lambda: context.server.connections, "a link through the proxy")
    while context.proxy.affected_link_count == 0 and mode != "passing":
        context.proxy.set_mode(ProxyMode(mode))


@when("the entry sends a request")
def step_send(context):
    context.peer.send(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
    for _ in range(20):
        context.loop.turn(0.001)


@when("the fault ends")
def step_end_fault(context):
    context.proxy.set_mode(ProxyMode.PASSING)
    for _ in range(20):
        context.loop.turn(0.001)


@then("the home receives the request immediately")
def step_at_once(context):
    assert len(context.server.requests) == 1


@then("the home receives the request after the delay")
def step_after_delay(context):
    assert not context.server.requests
    context.loop.advance(DELAYS_S[1])
    context.loop.run_until(
        lambda: context.server.requests, "the delayed request arrives"
    )


@then("the home receives the request never")
def step_never(context):
    context.loop.advance(10.0)
    assert not context.server.requests
    assert not context.server.connections[0].closed


@then("the home receives the request never, and its connection is closed")
def step_reset(context):
    context.loop.run_until(
        lambda: context.server.connections[0].closed,
        "the connection of the home is closed",
    )
    assert not context.server.requests


@then("the connection of the entry is closed")
def step_link_ended(context):
    context.loop.run_until(
        lambda: context.peer.poll().ended, "the connection of the entry is closed"
    )


ANSWERS = {
    "whole": b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
    "last": b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok",
    "part": b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
}


class RecordedCall(PipelinedCall):
    """Record how a call ended."""

    def __init__(self):
        self.status = 0
        self.end = ""

    def on_answer_head(self, status, headers):
        self.status = status

    def on_answer_part(self, data):
        """Ignore the body."""

    def on_answer_end(self):
        self.end = str(self.status)

    def on_answer_failed(self, reason, sent):
        if self.is_behind_last:
            self.end = "behind the last"
        elif self.answer_impossible:
            self.end = "impossible"
        else:
            self.end = "cut off" if self.status else "no answer"


@given(
    'a server that sends "{answers}" to {count:d} requests of one connection, and '
    "closes it"
)
def step_pipeline(context, answers, count):
    loop = TestLoop(VirtualClock(100.0))

    def send_answers(connection, head):
        for answer in answers.split(", "):
            connection.connection.write(ANSWERS[answer])
        connection.connection.close_after_output()

    server = ScriptedServer(loop, send_answers)
    context.calls = [RecordedCall() for _ in range(count)]
    Pipeline(loop.poller, server.listener.address, GET % b"1" * count, context.calls)
    loop.run_until(lambda: all(call.end for call in context.calls), "all ends")


@then('these end as "{ends}"')
def step_pipeline_ends(context, ends):
    assert [call.end for call in context.calls] == ends.split(", ")


@given("a server that answers in {count} parts of {size:d} bytes")
def step_parts(context, count, size):
    context.part = b"p" * size
    parts = None if count == "no end" else int(count)

    def answer(harness, request):
        loop = harness.loop
        context.streamed = StreamedAnswer(
            loop.timers, loop.clock, request, [], context.part, parts
        )

    context.http = HttpHarness(answer)


@then("a caller gets {count:d} parts within {seconds:g} s")
def step_parts_come(context, count, seconds):
    harness = context.http
    harness.peer.send(GET % b"1")
    harness.loop.run_until(lambda: harness.requests, "the request")
    # The first part is sent at once.
    for _ in range(round(seconds / PART_INTERVAL_S) - 1):
        harness.loop.advance(PART_INTERVAL_S)
        harness.peer.poll()
    assert harness.peer.received.count(context.part) == count


@then("the server sends no more once the caller has left")
def step_parts_stop(context):
    harness = context.http
    harness.peer.close()
    for _ in range(5):
        harness.loop.advance(PART_INTERVAL_S)
    assert not harness.server.connections
    assert context.streamed.ended
