"""Check answers whose status is outside the protocol."""

from behave import given, then, when

from features.support.callers import CallerHarness, ScriptedServer, get
from features.support.home import HomeHarness, answer_with
from features.support.loop import TestLoop
from features.support.sidecar import ExchangeHarness
from flamingobank.core import VirtualClock
from flamingobank.sidecar.fleet.routes import RouteKind
from flamingobank.sidecar.links.messages import Answer, Failed

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
ODD_ANSWER = (
    b"HTTP/1.1 %s Odd\r\nServer-Seal: s\r\nRequest-Id: r1\r\n"
    b"Content-Length: 2\r\n\r\nok"
)


@given('a home whose server answers with the status line "{status}"{before}')
def step_home_before(context, status, before):
    script = answer_with(INTERIM + ODD_ANSWER % status.encode())
    _make_home(context, script)


@given('a home whose server answers with the status line "{status}"')
def step_home(context, status):
    _make_home(context, answer_with(ODD_ANSWER % status.encode()))


def _make_home(context, script):
    loop = TestLoop(VirtualClock(100.0))
    context.home = HomeHarness("", loop, ScriptedServer(loop, script))


@then('the entry is told "unknown" and got no answer')
def step_unknown(context):
    channel = context.home.channel
    assert not channel.list_kind(Answer), channel.messages
    (failed,) = channel.list_kind(Failed)
    assert not failed.not_run and failed.arrived, failed


@given('a node whose server answers with the status line "{status}" to {kind} work')
def step_node(context, status, kind):
    context.node = CallerHarness(idempotent=kind == "idempotent", deadline_ms=2000)
    context.server = context.node.add_server(answer_with(ODD_ANSWER % status.encode()))


@given("a node whose server sends an interim answer every {interval:g} s")
def step_interim(context, interval):
    context.node = CallerHarness(deadline_ms=2000)
    timers, clock = context.node.loop.timers, context.node.loop.clock

    def send_interim(connection, head):
        if not connection.closed:
            connection.connection.write(INTERIM)
            timers.call_at(
                clock.now() + interval, lambda: send_interim(connection, head)
            )

    context.server = context.node.add_server(send_interim)


@when("a caller sends a request to the node")
def step_call(context):
    context.caller = context.node.call(get())
    for _ in range(40):
        context.node.loop.advance(0.1, turns=6)
        context.caller.poll()


@then("the caller gets {status:d}, and the server got the request {times}")
def step_caller_gets(context, status, times):
    received = context.caller.received
    assert received.startswith(b"HTTP/1.1 %d " % status), received[:300]
    count = len(context.server.requests)
    assert count == 1 if times == "once" else count > 1, count


@given("a caller of {kind} work whose homes pass on status {status:d}")
def step_old_home(context, kind, status):
    scripts = [["grant", status], ["grant", status]]
    context.harness = ExchangeHarness(RouteKind(kind), scripts)


@when("the request is sent")
def step_sent(context):
    context.harness.run()


@then("the caller is answered {final:d} after {runs:d} sent requests")
def step_final(context, final, runs):
    assert context.harness.final == final, context.harness.request.answers
    assert len(context.harness.commits) == runs, context.harness.commits
