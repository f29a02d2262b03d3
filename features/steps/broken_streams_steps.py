"""Let streamed answers break off on connections with several requests."""

from behave import given, then, when

from features.support.loop import RawPeer
from features.support.stopping import REQUEST, StoppingHarness
from flamingobank.sidecar.fleet.routes import RouteKind

BUDGET_MS = 5000
FIRST_WORK_S = 1.8


@given("a caller that sends {count:d} safe requests behind one another")
def step_pipeline(context, count):
    # One attempt each, so that no other home answers in place of the broken one.
    harness = context.harness = StoppingHarness(RouteKind.SAFE, 3, max_attempts=1)
    harness.choose_work_s = lambda request_id: (
        FIRST_WORK_S if request_id == "r1" else 0.01
    )
    context.peer = RawPeer(harness.server.address)
    context.requests = b"".join(
        REQUEST % (b"GET", number, BUDGET_MS) for number in range(1, count + 1)
    )


@when("the answer to request {broken:d} breaks off while the first request still runs")
def step_break(context, broken):
    context.harness.broken_streams = {f"r{broken}"}
    context.peer.send(context.requests)
    _advance(context, FIRST_WORK_S / 2)


def _advance(context, seconds):
    for _ in range(round(seconds / 0.02)):
        context.harness.loop.advance(0.02, turns=2)
        context.peer.poll()


def _list_statuses(context):
    return [
        part.split()[0].decode()
        for part in context.peer.received.split(b"HTTP/1.1 ")[1:]
    ]


@then('the answers have the statuses "{statuses}" in order')
def step_statuses(context, statuses):
    _advance(context, FIRST_WORK_S)
    assert _list_statuses(context) == statuses.split(), context.peer.received
    assert b"part" not in context.peer.received


@then("the connection is still open and answers another request")
def step_open(context):
    assert not context.peer.ended, context.peer.ended
    context.peer.received = b""
    context.peer.send(REQUEST % (b"GET", 99, BUDGET_MS))
    _advance(context, 0.5)
    assert _list_statuses(context) == ["200"], context.peer.received


@then("the connection is reset after a part of the answer")
def step_reset(context):
    _advance(context, FIRST_WORK_S)
    assert b"part" in context.peer.received, context.peer.received
    assert context.peer.ended == "reset", context.peer.ended
