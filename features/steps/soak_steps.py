"""Run a short soak, and test its link proxy by itself."""

import random

from behave import given, then, when

from features.support.callers import ScriptedServer
from features.support.loop import LOCAL, RawPeer, TestLoop
from flamingobank.core import VirtualClock
from tools.soak.faults import FAULTS
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
