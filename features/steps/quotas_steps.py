"""Test that the rates of workspaces hold over all machines."""

import dataclasses
import random

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.steps.sidecar_decisions_steps import make_record
from features.support.linked import make_links
from features.support.loop import LOCAL, TestLoop
from features.support.sidecar import REPORT, ExchangeHarness
from flamingobank.core import BootId, NodeId, VirtualClock, rank_by_rendezvous
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.peers import PeerTable
from flamingobank.sidecar.fleet.routes import RequestLimits, RouteKind, RoutingTable
from flamingobank.sidecar.fleet.workspaces import Workspace, hash_key
from flamingobank.sidecar.links.channels import PeerObserver
from flamingobank.sidecar.links.links import LinkObserver
from flamingobank.sidecar.links.messages import (
    REVISION_2_TYPES,
    Granted,
    QuotaGrant,
    QuotaRequest,
    QuotaVote,
    QuotaVoteRequest,
    Refused,
)
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.sidecar.settings import Bounds
from flamingobank.sidecar.workspaces.quota_client import QuotaClient
from flamingobank.sidecar.workspaces.quota_process import QuotaProcess
from flamingobank.sidecar.workspaces.quota_ranking import QuotaRanking
from flamingobank.sidecar.workspaces.quota_shares import FALLBACK_SHARE, compute_shares
from flamingobank.sidecar.workspaces.quota_sync import QuotaSync
from flamingobank.sidecar.workspaces.quota_tokens import Denial, Token, Waiter
from flamingobank.sidecar.workspaces.request_tokens import RequestTokens, TokenSource
from flamingobank.sidecar.workspaces.token_bucket import TokenBucket
from tools.quota_simulation import (
    BOUNDS,
    SimulatedFleet,
    compute_bound,
    inject_failures,
    make_workspace,
)
from tools.soak.windows import count_most

RANDOMISED = settings(derandomize=True, database=None, deadline=None)
# Demand starts when the processes vote.
START_S = 2.0
WORKSPACES = (make_workspace("small", 5.0), make_workspace("large", 58.0))


@then("the shares of random limits in fleets of random sizes keep to the bound")
def check_shares(context):
    @RANDOMISED
    @for_all(
        st.floats(0.1, 1000),
        st.floats(0, 1000),
        st.floats(0.5, 100),
        st.floats(0, 0.5),
        st.floats(1, 30),
        st.integers(1, 200),
    )
    def run(rate, burst, tolerance, excess, window_s, count):
        bounds = Bounds(
            quota_window_s=window_s,
            quota_excess_ratio=excess,
            quota_tolerance=tolerance,
        )
        workspace = Workspace("w", (), None, rate, burst)
        total = 0.0
        for rank in range(count):
            shares = compute_shares(workspace, bounds, count, rank)
            total += shares.fallback_capacity
            total += shares.fallback_rate_per_s * shares.window_s
        total += shares.capacity + shares.rate_per_s * shares.window_s
        allowed = (rate * window_s + burst) * (1 + excess) + tolerance
        # A bucket holds one token at least, also if the tolerance is below that.
        assert total <= max(allowed, rate * window_s * (1 + excess) + 1.0) + 1e-6

    run()


@then("random buckets with tokens given back keep to their rates")
def check_bucket(context):
    @RANDOMISED
    @for_all(
        st.floats(0.5, 50),
        st.floats(1, 30),
        st.lists(
            st.tuples(st.floats(0, 0.6), st.integers(0, 8), st.integers(0, 3)),
            max_size=120,
        ),
    )
    def run(rate, capacity, steps):
        bucket = TokenBucket(rate, capacity, capacity, 0.0)
        now, taken = 0.0, []
        for gap_s, wanted, returned in steps:
            now += gap_s
            for _ in range(min(returned, len(taken))):
                # Also one that was taken long ago, or when the bucket was full.
                taken_at = taken.pop(returned % len(taken))
                bucket.give_back(taken_at, now)
            taken += [now] * bucket.take(wanted, now)
        for first, start in enumerate(taken):
            for last in range(first, len(taken)):
                most = capacity + rate * (taken[last] - start) + 1e-6
                assert last - first + 1 <= most

    run()


@given("a fleet of {count:d} processes")
def make_fleet(context, count):
    context.fleet = SimulatedFleet(1, count, WORKSPACES)


@given("a fleet of {count:d} processes with {small:d} small workspaces")
def make_small_fleet(context, count, small):
    workspaces = [make_workspace(f"small-{number}", 5.0) for number in range(small)]
    context.fleet = SimulatedFleet(1, count, workspaces)


@given("all requests wait 0.5 to 2 seconds for a server")
def make_late(context):
    context.fleet.late_share = 1.0


@when("all workspaces send {factor} times their rates for {seconds:d} seconds")
@when("all workspaces send {factor} of their rates for {seconds:d} seconds")
def send(context, factor, seconds):
    context.seconds = seconds
    share = 1 / 1.6 if factor == "1/1.6" else float(factor)
    for workspace in context.fleet.workspaces.values():
        rate = workspace.rate_per_s * share
        context.fleet.add_demand(workspace.name, rate, START_S, START_S + seconds)


@when("all owners are {lost} after {seconds:d} seconds")
def lose_owners(context, lost, seconds):
    fleet = context.fleet

    def lose():
        for workspace in WORKSPACES:
            for machine in fleet.list_owners(workspace.name):
                if lost == "cut off":
                    machine.island = 1
                elif lost == "suspended":
                    machine.suspended = True
                    fleet.call_at(fleet.now + 2.5, machine.resume)
                else:
                    machine.kill()
                if lost == "restarted":
                    fleet.call_at(fleet.now + 0.3, machine.start)

    fleet.call_at(START_S + seconds, lose)


@when("{count:d} processes are killed after {seconds:d} seconds")
def kill_many(context, count, seconds):
    def kill():
        for machine in random.Random(1).sample([*fleet.machines.values()], count):
            machine.kill()

    fleet = context.fleet
    fleet.call_at(START_S + seconds, kill)


@when("each process is alone after {seconds:d} seconds")
def separate(context, seconds):
    def cut():
        for number, machine in enumerate(context.fleet.machines.values()):
            machine.island = number

    context.fleet.call_at(START_S + seconds, cut)


@when("all limits are halved after {seconds:d} seconds")
def halve(context, seconds):
    fleet = context.fleet

    def change():
        for item in WORKSPACES:
            fleet.workspaces[item.name] = make_workspace(item.name, item.rate_per_s / 2)
        for machine in fleet.machines.values():
            limits = tuple(fleet.workspaces.values())
            machine.process.apply_limits(limits, fleet.now)

    fleet.call_at(START_S + seconds, change)


def _finish(context):
    context.fleet.run_until(START_S + context.seconds + 1)
    return context.fleet


@then("at most {share:f} of the requests are refused")
def check_refused(context, share):
    fleet = _finish(context)
    assert fleet.denied <= share * fleet.asked, (fleet.denied, fleet.asked)


@then("no window has more requests than its bound")
def check_bound(context):
    fleet = _finish(context)
    assert fleet.arrivals
    assert not fleet.list_excesses(), fleet.list_excesses()


@then("each workspace gets at least {share:f} of its rate")
def check_used(context, share):
    for workspace in WORKSPACES:
        arrived = len(context.fleet.arrivals[workspace.name])
        least = share * workspace.rate_per_s * context.seconds
        assert arrived >= least, (workspace.name, arrived, least)


@then("requests are granted again from {seconds:f} seconds on")
def check_granted(context, seconds):
    fleet = context.fleet
    fleet.run_until(START_S + seconds)
    asked, denied = fleet.asked, fleet.denied
    _finish(context)
    asked, denied = fleet.asked - asked, fleet.denied - denied
    # A machine that is cut off, with its callers, stays refused.
    assert asked > 50 and denied <= 0.1 * asked, (asked, denied)


@then("from {seconds:f} seconds on no window has more than {most:d} requests")
def check_fallback(context, seconds, most):
    fleet = _finish(context)
    assert fleet.fallbacks
    for name, times in fleet.arrivals.items():
        late = sorted(time for time in times if time >= START_S + seconds)
        assert count_most(late, BOUNDS.quota_window_s) <= most, name


@then("from {seconds:d} seconds on the bounds of the new limits hold")
def check_new_bound(context, seconds):
    fleet = _finish(context)
    for name, times in fleet.arrivals.items():
        late = sorted(time for time in times if time >= START_S + seconds)
        most = count_most(late, BOUNDS.quota_window_s)
        assert most <= compute_bound(fleet.workspaces[name]), (name, most)


@then(
    "in {count:d} random histories of failures the bound holds with one owner at most"
)
def check_histories(context, count):
    @settings(RANDOMISED, max_examples=count)
    @for_all(
        st.integers(0, 2**32),
        st.sampled_from((1, 2, 3, 5, 12, 40)),
        st.sampled_from((5.0, 26.0)),
        st.sampled_from((0.0, 0.02, 0.2)),
        st.sampled_from((0.005, 0.02, 0.1)),
        st.sampled_from((0.0, 0.5, 1.0)),
    )
    def run(seed, size, rate, loss, delay_s, late_share):
        workspace = make_workspace("w", rate)
        fleet = SimulatedFleet(seed, size, [workspace], loss, delay_s)
        fleet.late_share = late_share
        fleet.add_demand("w", 5 * rate, 1.0, 16.0)
        inject_failures(fleet, 2.0, 15.0)
        while fleet.now < 17.0:
            fleet.run_until(fleet.now + 0.05)
            assert len(fleet.list_owners("w")) <= 1, (fleet.now, seed)
        assert not fleet.list_excesses(), fleet.list_excesses()

    run()


class ScriptedSource(TokenSource):
    """Quotas that grant some tokens after a time and then deny."""

    def __init__(self, loop, count, delay_s=0.0, retry_s=0.4):
        self.loop = loop
        self.left = count
        self.delay_s = delay_s
        self.retry_s = retry_s
        self.waiters = []

    def is_limited(self, workspace):
        return True

    def is_valid(self, token):
        return self.loop.clock.now() < token.expires_at

    def take(self, workspace):
        return None

    def wait(self, workspace, on_done, expires_at=None):
        now = self.loop.clock.now()
        waiter = Waiter(workspace, now, on_done)
        self.waiters.append(waiter)
        outcome = Denial(self.retry_s)
        if self.left:
            self.left -= 1
            outcome = Token(workspace, now + self.delay_s + 0.5)

        def settle():
            if not waiter.done:
                waiter.on_done(outcome)

        if self.delay_s is not None:
            self.loop.timers.call_at(now + self.delay_s, settle)
        return waiter

    def cancel(self, waiter):
        waiter.done = True

    def give_back(self, token):
        self.left += self.is_valid(token)


def _make_entry(context, public=False, **script):
    script.setdefault("count", 0)
    harness = ExchangeHarness(
        RouteKind.SAFE, [["grant", 200], ["grant", 200]], public=public
    )
    key = b"secret"
    workspace = Workspace("clinic", (hash_key(key),), None, 5.0, 5.0)
    routes = harness.entry.table.routes
    harness.entry.table = RoutingTable(
        1, routes, frozenset(["orders"]), RequestLimits(), (workspace,)
    )
    if not public:
        harness.request.headers.append((b"authorization", b"Token " + key))
    harness.entry.quotas = ScriptedSource(harness.loop, **script)
    context.harness, context.script = harness, script


@given("an entry whose quota denies with {retry_s:f} seconds to wait")
def make_denying(context, retry_s):
    _make_entry(context, retry_s=retry_s)


@given("an entry whose quota grants {count:d} token after {delay_s:f} seconds")
def make_granting(context, count, delay_s):
    _make_entry(context, count=count, delay_s=delay_s)


@given("an entry whose quota never answers")
def make_silent(context):
    _make_entry(context, delay_s=None)


@given("a server that fails the first request")
def make_failing(context):
    for home in context.harness.homes.values():
        home.script = ["grant", 500, "grant", 200]


@given("a home that refuses the request after it was sent")
def make_refusing(context):
    refused = []
    for home in context.harness.homes.values():

        def react(stream, reaction, home=home):
            if refused:
                type(home).react_to_request(home, stream, reaction)
                return
            refused.append(stream)
            home.reply(Refused(stream, "leaving", REPORT))

        home.react_to_request = react


@given("a home that queues the request for {seconds:f} seconds")
def make_queueing(context, seconds):
    harness = context.harness
    for home in harness.homes.values():
        home.react_to_offer = lambda stream, reaction, home=home: _queue(
            home, stream, seconds
        )


@given("a home that refuses the first request after granting a slot")
def make_refusing(context):
    def refuse(home, stream):
        for other in context.harness.homes.values():
            other.react_to_request = type(other).react_to_request.__get__(other)
        home.reply(Refused(stream, "never-received", REPORT))

    for home in context.harness.homes.values():
        home.react_to_request = lambda stream, reaction, home=home: refuse(home, stream)


def _queue(home, stream, seconds):
    home.react_to_offer = type(home).react_to_offer.__get__(home)
    home.react_to_offer(stream, "queue")
    handler = home.handlers[stream]
    home.call_later(lambda: handler.on_message(Granted(stream)), seconds)


@when("the request of the workspace is served")
def serve(context):
    context.harness.run()


@when("a request on a public route without a key is served")
def serve_public(context):
    _make_entry(context, True, **context.script)
    context.harness.run()


@then("the caller gets {status:d}")
def check_status(context, status):
    assert context.harness.final == status, context.harness.final


@then("the caller gets {status:d} with Retry-After {seconds}")
def check_retry_after(context, status, seconds):
    assert context.harness.final == status, context.harness.final
    headers = context.harness.request.answers[0][1]
    assert float(headers[b"retry-after"]) == float(seconds), headers


@then("the caller gets 503 or 504")
def check_deadline(context):
    assert context.harness.final in (503, 504), context.harness.final


@then("no home was asked")
def check_not_asked(context):
    assert all(len(home.script) == 2 for home in context.harness.homes.values())


@then("{count:d} request was sent with a token")
@then("{count:d} requests were sent with a token")
def check_sent(context, count):
    assert len(context.harness.commits) == count, context.harness.commits


class LinkedProcess(LinkObserver, PeerObserver):
    """The quotas of one process with real links."""

    def __init__(self, loop, name, revision):
        self.name = name
        self.quota_messages = 0
        self.links = make_links(loop, name)
        boot = BootId(f"{name}.{revision}")
        self.links.hello = type(self.links.hello)(1, name, boot)
        self.links.observer = self
        address = self.links.listen(LOCAL, self)
        self.record = make_record(name, address=address)
        self.peers = PeerTable(self.record)
        self.quotas = QuotaSync(
            loop.clock,
            loop.timers,
            EventLog(name),
            SidecarMetrics({"node": name}),
            self.peers,
            boot,
            BOUNDS,
            lambda node: self.links.get(self.peers.find(node).address),
        )
        self.outcomes = []

    def end(self):
        """End as a killed process does: its machine refuses connections."""
        self.links._listener.close()
        for channel in list(self.links.accepted):
            channel.close("killed")
        for address in list(self.links.list_links()):
            self.links.get(address).close("killed")
        self.quotas._schedule = lambda at: None

    def on_peer_message(self, channel, message):
        self.quota_messages += isinstance(message, REVISION_2_TYPES)
        if not self.name.startswith("old"):
            self.quotas.answer(channel, message)

    def on_channel_closed(self, channel):
        """Ignore closed channels."""

    def on_control_message(self, link, message):
        self.quotas.on_answer(self.peers.find_address(link.address).node, message)


@given("{count:d} processes with links that have just started")
def start_linked(context, count):
    _start_linked(context, count, "none")


@given("{count:d} processes with links, {old} of them of revision 1")
def make_linked(context, count, old):
    _start_linked(context, count, old)
    for _ in range(100):
        context.loop.advance(0.02, turns=8)
    _find_owner(context)


def _start_linked(context, count, old):
    context.loop = TestLoop(VirtualClock(100.0))
    names = ["old"] if old == "one" else []
    for number in range(len(names), count):
        names.append(f"p{number}")
    context.processes = [
        LinkedProcess(context.loop, name, 1 if name == "old" else 2) for name in names
    ]
    for process in context.processes:
        for other in context.processes:
            process.peers.merge(other.record, 0.0)
        process.quotas.apply_limits((make_workspace("w", 20.0),))


def _find_owner(context):
    """Let requests come until the votes of ended and old processes do not count."""
    for _ in range(20):
        for process in context.processes:
            if process.name != "old":
                process.quotas.wait("w", process.outcomes.append)
        for _ in range(10):
            context.loop.advance(0.01, turns=8)


@when("each of the others takes {count:d} tokens")
@when("each of them takes {count:d} tokens")
def take_tokens(context, count):
    for process in context.processes:
        process.outcomes = []
        if process.name == "old":
            continue
        for _ in range(count):
            process.quotas.wait("w", process.outcomes.append)
            for _ in range(20):
                context.loop.advance(0.01, turns=8)


@when("each waits up to {seconds:g} seconds for {count:d} tokens as they start")
def wait_at_start(context, seconds, count):
    for process in context.processes:
        process.outcomes = []
        expires_at = context.loop.clock.now() + seconds
        for _ in range(count):
            process.quotas.wait("w", process.outcomes.append, expires_at)
    for _ in range(int(seconds / 0.01)):
        context.loop.advance(0.01, turns=8)


@then("all tokens are granted")
def check_all_granted(context):
    for process in context.processes:
        if process.name == "old":
            continue
        granted = [isinstance(outcome, Token) for outcome in process.outcomes]
        assert granted == [True] * 3, process.outcomes


@when("the owner and another voter end")
def end_processes(context):
    ranked = rank_by_rendezvous("w", [process.name for process in context.processes])
    owner = [process for process in context.processes if process.quotas.count_owned()]
    assert [process.name for process in owner] == ranked[:1]
    for name in ranked[:2]:
        process = next(item for item in context.processes if item.name == name)
        context.processes.remove(process)
        process.end()
    _find_owner(context)


@when("each waits for {count:d} tokens and the limit is removed")
def remove_limit(context, count):
    now = context.loop.clock.now()
    for process in context.processes:
        for _ in range(count):
            process.quotas.wait("w", process.outcomes.append, now + 0.4)
    for _ in range(10):
        context.loop.advance(0.01, turns=8)
    for process in context.processes:
        process.quotas.apply_limits(())
    for _ in range(50):
        context.loop.advance(0.01, turns=8)


@given("a request that waits for a token")
def make_waiting(context):
    context.outcomes = []
    context.source = ScriptedSource(TestLoop(VirtualClock(0.0)), 0, delay_s=None)
    context.tokens = RequestTokens(context.source)
    assert not context.tokens.acquire(WORKSPACES[0], context.outcomes.append)
    context.waiter = context.source.waiters[0]


@when("it finds a token at hand for its next attempt")
def find_token(context):
    context.source.take = lambda workspace: Token(workspace, 0.5)
    assert context.tokens.acquire(WORKSPACES[0], context.outcomes.append)


@then("it no longer waits")
def check_not_waiting(context):
    assert context.waiter.done and not context.outcomes


@then(
    "the fallback buckets of {count:d} processes keep to a tolerance of {tolerance:d}"
)
def check_fallback_ranks(context, count, tolerance):
    bounds = dataclasses.replace(BOUNDS, quota_tolerance=tolerance)
    ranking = QuotaRanking()
    ranking.set_nodes(tuple(NodeId(f"n{number}") for number in range(count)), 0.0)
    total = 0.0
    for number in range(count):
        rank = ranking.find_fallback_rank("w", NodeId(f"n{number}"))
        shares = compute_shares(WORKSPACES[0], bounds, count, rank)
        total += shares.fallback_capacity
        total += shares.fallback_rate_per_s * shares.window_s
    assert 0 < total <= FALLBACK_SHARE * tolerance + 1e-6, total


@given("an entry whose workspace has no owner")
def make_ownerless(context):
    shares = compute_shares(WORKSPACES[0], BOUNDS, 95, 0)
    context.client = QuotaClient(
        lambda workspace: [NodeId("b")], lambda node: True, lambda workspace: shares
    )


@given("an entry whose only candidate did not answer, nor another one before")
def make_avoiding(context):
    shares = compute_shares(WORKSPACES[0], BOUNDS, 95, 0)
    candidates, context.outcomes = [NodeId("c")], []
    context.client = client = QuotaClient(
        lambda workspace: candidates, lambda node: True, lambda workspace: shares
    )
    for at, node in ((0.0, "c"), (1.0, "b")):
        candidates[:] = [NodeId(node)]
        client.wait("small", context.outcomes.append, at)
        assert list(client.list_questions(at)) == [node]
        client.list_questions(at + 0.15)
    assert len(context.outcomes) == 2


@when("a request waits for 0.15 seconds for its token")
def wait_in_vain(context):
    context.client.wait("small", context.outcomes.append, 1.2)
    assert not context.client.list_questions(1.2)


@then("it is settled at once")
def check_settled(context):
    assert len(context.outcomes) == 3, context.outcomes


@when("a request waits for {seconds:d} second for its token")
def wait_without_owner(context, seconds):
    context.outcomes, context.asked = [], 0
    context.client.wait("small", context.outcomes.append, 0.0, float(seconds))
    for step in range(100 * seconds):
        now = step / 100
        if context.client.list_questions(now):
            context.asked += 1
            context.client.on_not_owner("small", NodeId("b"), now, None, now)
    assert not context.outcomes


@then("the entry has asked at most {most:d} times")
def check_asked(context, most):
    assert 3 <= context.asked <= most, context.asked


@when("the owner begins to stop")
def stop_owner(context):
    owner = next(item for item in context.processes if item.quotas.count_owned())
    owner.quotas.stop()
    revision = owner.record.revision + 1
    left = dataclasses.replace(owner.record, left=True, revision=revision)
    for process in context.processes:
        if process is not owner:
            process.peers.merge(left, context.loop.clock.now())
    _find_owner(context)


@then("the old build got no message about quotas")
def check_old(context):
    assert context.processes[0].quota_messages == 0


@then("malformed items of each message about quotas are refused")
def check_malformed(context):
    process = QuotaProcess(
        NodeId("a"), BootId("a.2"), BOUNDS, 0.0, lambda node: None, lambda node: True
    )
    for message in (
        QuotaRequest(1, [["w", -1, []]]),
        QuotaRequest(1, [["w", 1, [-1.0]]]),
        QuotaRequest(1, [["w", 1, [0.1] * 1000]]),
        QuotaRequest(1, ["w"]),
        QuotaRequest(1, [["w", 10**9, []]]),
        QuotaGrant(1, [["w", True, 10**9, 0.0, ""]]),
        QuotaGrant(1, [["w", True, 1, float("nan"), ""]]),
        QuotaVoteRequest(1, [[1]]),
        QuotaVote(1, [["w", True, -1.0, "b"]]),
        QuotaVote(1, [["w"]] * 5000),
    ):
        try:
            process.receive(NodeId("b"), BootId("b.2"), message, 0.0)
        except ValueError:
            continue
        raise AssertionError(f"{message!r:.80} was accepted")
