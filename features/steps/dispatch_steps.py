"""Send requests through an entry and a home to scripted servers."""

import os
import signal
import socket
import subprocess
import sys
import threading
import time
from collections import Counter

from behave import given, then, when
from circuits import handler
from hypothesis import given as given_data, settings, strategies as st

from features.support import datagram_receiver
from features.support.callers import CallerHarness, answer_ok, get
from features.support.loop import LOCAL, TestLoop
from flamingobank.core import MonotonicClock
from flamingobank.loop import LoopComponent, Poller, Timers
from flamingobank.loop.datagrams import DATAGRAMS_PER_TURN
from flamingobank.loop.poller import READABLE
from flamingobank.node.links.exchange import AnswerSink
from flamingobank.node.servers.servers import Server
from flamingobank.wire import OpenRequest

REQUEST_KINDS = ("complete", "shed", "broken", "cut", "silent", "leave", "long")
SHED_ANSWER = b"HTTP/1.1 503 -\r\nFlamingobank-Shed: 1\r\nContent-Length: 0\r\n\r\n"


def answer(connection, body, declared_length=None):
    """Write an answer; declared_length overrides its length header."""
    length = len(body) if declared_length is None else declared_length
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % length
    connection.connection.write(head + body)


def answer_by_path(connection, head):
    """Answer as the first segment of the path says, for example "/shed" or "/cut".

    The body of an answer consists of the path. Other names than those below get no
    answer.
    """
    path = head.split()[1]
    kind = path.decode().split("/")[1]
    if kind == "shed":
        connection.connection.write(SHED_ANSWER)
    elif kind == "broken":
        connection.connection.close("crash")
    elif kind == "cut":
        answer(connection, path[:-1], len(path))
        connection.connection.close_after_output()
    elif kind == "long":
        answer(connection, path * 30_000)
    elif kind == "complete":
        answer(connection, path)


def check_answer(path, caller):
    """Check that a caller got at most one answer and that it belongs to its request.

    Returns how the request ended.
    """
    kind = path.decode().split("/")[1]
    head, _, body = caller.received.partition(b"\r\n\r\n")
    assert caller.received.count(b"HTTP/1.1 ") <= 1, caller.received
    if kind == "leave":
        return kind
    if b" 200 " in head.split(b"\r\n")[0]:
        whole = path * 30_000 if kind == "long" else path
        if kind == "cut":
            assert body == path[:-1] and caller.ended == "reset", caller.received
            return kind
        assert kind in ("complete", "long") and body == whole, (path, body[:80])
        return kind
    if b"outcome: not-run" in head:
        return "not-run"
    if not head and caller.ended == "reset":
        # The caller gets no head if the head and the end of the server's connection
        # arrive in the same turn of the loop.
        assert kind == "cut", path
        return kind
    assert b"outcome: unknown" in head, (path, caller.received)
    assert kind in ("broken", "silent", "cut"), path
    return "unknown"


def run_mix(plan, ending_counts, remote, idempotent):
    """Send all requests of a plan at once and check how each ends."""
    harness = CallerHarness(remote=remote, idempotent=idempotent, deadline_ms=2000)
    servers = [harness.add_server(answer_by_path, slots=2) for _ in range(2)]
    callers = {}
    for index, kind in enumerate(plan):
        path = f"/{kind}/{index}".encode()
        callers[path] = harness.call(get(path), turns=1)
    for _ in range(30):
        harness.loop.turn(0)
    for path, caller in callers.items():
        if path.startswith(b"/leave"):
            caller.close()
    for _ in range(24):
        harness.loop.advance(0.1, turns=6)
        for path, caller in callers.items():
            if not path.startswith(b"/leave"):
                caller.poll()
    harness.run_until(
        lambda: not harness.entry.exchanges and not harness.http_server.busy_count,
        "all have ended",
    )
    for path, caller in callers.items():
        if not path.startswith(b"/leave"):
            for _ in range(40):
                harness.loop.turn(0)
                caller.poll()
        ending = check_answer(path, caller)
        ending_counts[ending] += 1
        runs = [
            request
            for server in servers
            for request in server.requests
            if request.split()[1] == path
        ]
        if ending == "not-run":
            assert not runs or path.startswith(b"/shed"), path
        elif ending in ("complete", "long", "cut", "unknown"):
            # Only an idempotent request may run again after a broken connection.
            allowed = runs if idempotent else len(runs) == 1
            assert allowed, (path, ending, len(runs))
        caller.close()
    assert harness.count_in_use() == 0 and not harness.dispatcher.running
    assert not harness.http_server._in_flight_by_caller, (
        harness.http_server._in_flight_by_caller
    )
    finished = sum(
        count for name, count in harness.entry.counters.items() if "finished" in name
    )
    assert finished == len(plan) == harness.entry.counters["requests"]
    for server in servers:
        server.listener.close()


@then("{runs:d} random mixes of {work} work at a home {where} end in one answer each")
def step_mixes(context, runs, work, where):
    context.ending_counts = ending_counts = Counter()

    @settings(max_examples=runs, derandomize=True, database=None, deadline=None)
    @given_data(st.lists(st.sampled_from(REQUEST_KINDS), min_size=1, max_size=14))
    def run(plan):
        run_mix(plan, ending_counts, where == "behind a link", work == "idempotent")

    run()


@then("the mixes held every kind of ending")
def step_all_kinds(context):
    for ending in ("complete", "long", "cut", "leave", "not-run", "unknown"):
        assert context.ending_counts[ending] >= 5, context.ending_counts


@given("an entry with 2 servers that answer")
def step_two(context):
    context.harness = CallerHarness()
    context.servers = [context.harness.add_server(answer_ok) for _ in range(2)]


@given(
    "an entry for {work} work, a server that refuses connections and one that answers"
)
def step_closed_server(context, work):
    context.harness = CallerHarness(idempotent=work == "idempotent")
    context.servers = [
        context.harness.add_server(script) for script in (None, answer_ok)
    ]


@then("some are answered, and the others did not run and are refused as not run")
def step_one_attempt(context):
    answered = [one for one in context.answers if one.startswith(b"HTTP/1.1 200")]
    refused = [one for one in context.answers if b"outcome: not-run" in one]
    assert answered and refused, context.answers
    assert len(answered) + len(refused) == len(context.answers), context.answers
    assert len(context.servers[-1].requests) == len(answered)


@given("an entry with only a server at an address that cannot be reached")
def step_unreachable(context):
    context.harness = CallerHarness(idempotent=False)
    # The kernel rejects a connect to a broadcast address at once and sends nothing.
    server = Server(
        "s1", "b", ("255.255.255.255", 9), 4, 1.0, context.harness.loop.clock.now()
    )
    context.harness.dispatcher.place_server(server)


@given("an entry with a server that answers late")
def step_late(context):
    context.harness = CallerHarness()
    context.servers = [context.harness.add_server(lambda connection, head: None)]


@given("an entry with a server that announces the close of its connection")
def step_closing(context):
    def script(connection, head):
        connection.connection.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok"
        )

    context.harness = CallerHarness(idempotent=False)
    context.servers = [context.harness.add_server(script)]


@when("the first of the servers drains and 20 requests are sent")
def step_drain_first(context):
    harness = context.harness
    server = harness.dispatcher.servers["s1"]
    server.slots.drain(harness.loop.clock.now())
    harness.dispatcher.refresh_server(server)
    send_each(context, 20)


@when("{count:d} requests are sent to the entry one after another")
def step_send(context, count):
    send_each(context, count)


def send_each(context, count):
    context.answers = []
    for _ in range(count):
        caller = context.harness.call(get())
        for _ in range(10):
            context.harness.loop.advance(0.02)
        context.harness.run_until(
            lambda one=caller: b"\r\n\r\n" in one.poll().received, "an answer"
        )
        context.answers.append(caller.received)
        caller.close()


@then("all 20 are answered by the second server")
def step_second_only(context):
    assert [len(server.requests) for server in context.servers] == [0, 20]


@then("all {count:d} are answered in full and each ran once on the last server")
def step_all_answered(context, count):
    assert len(context.answers) == count
    for answer in context.answers:
        assert answer.startswith(b"HTTP/1.1 200") and answer.endswith(b"ok"), answer
    assert len(context.servers[-1].requests) == count


@then("each request had a connection of its own")
def step_own_connection(context):
    used = [len(context.answers), len(context.servers[0].connections)]
    assert used[0] == used[1], used


@then('the last answer has status {status:d} and outcome "{outcome}"')
def step_last_answer(context, status, outcome):
    answer = context.answers[-1]
    assert answer.startswith(b"HTTP/1.1 %d " % status), answer
    assert b"flamingobank-outcome: " + outcome.encode() in answer, answer


@when("a caller disconnects before its answer arrives and another sends a request")
def step_late_answer(context):
    harness, server = context.harness, context.servers[0]
    first = harness.call(get(b"/first"))
    harness.run_until(lambda: server.requests, "the first request runs")
    # The answer has been sent when the caller leaves.
    answer(server.connections[0], b"/first")
    server.connections[0].connection.flush()
    first.close()
    harness.run_until(
        lambda: not harness.entry.exchanges, "the first request has ended"
    )
    context.caller = harness.call(get(b"/other"))
    harness.run_until(lambda: len(server.requests) == 2, "the other request runs")
    answer(server.connections[-1], b"/other")


@then("the other caller gets only its own answer")
def step_own_only(context):
    caller = context.caller
    context.harness.run_until(lambda: b"/other" in caller.poll().received, "the answer")
    assert caller.received.count(b"HTTP/1.1 200") == 1, caller.received
    assert b"/first" not in caller.received, caller.received


class RecordingSink(AnswerSink):
    """Record the calls of one request's sink."""

    def __init__(self):
        self.calls = []

    def on_start(self, start):
        self.calls.append(start.data)

    def on_part(self, data, state):
        self.calls.append(data)

    def on_refused(self, refusal, report):
        self.calls.append(refusal)


@when("a home gets one request twice")
def step_duplicate(context):
    context.sinks = [RecordingSink(), RecordingSink()]
    for sink in context.sinks:
        message = OpenRequest(
            "id-1",
            "r",
            "orders",
            "GET",
            b"/",
            [],
            b"",
            False,
            "customer",
            "",
            5000,
            50,
            True,
        )
        context.harness.dispatcher.dispatch(message, b"", sink)
    context.harness.run_until(lambda: context.servers[0].requests, "the first runs")


@then("the second is refused and the first still gets its answer")
def step_duplicate_refused(context):
    harness, server = context.harness, context.servers[0]
    running = harness.dispatcher.pools["orders"].list_running("s1")
    assert [one.sink for one in running] == context.sinks[:1]
    answer(server.connections[0], b"ok")
    harness.run_until(lambda: context.sinks[0].calls, "the first is answered")
    assert context.sinks[0].calls == [b"ok"], context.sinks[0].calls
    assert len(context.sinks[1].calls) == 1 and len(server.requests) == 1


@given("two descriptors of a poller that are ready at once")
def step_two_ready(context):
    context.loop = TestLoop()
    context.pairs = [socket.socketpair() for _ in range(3)]
    context.called = []


@when("the handler of the first replaces the second under the same number")
def step_replace(context):
    poller = context.loop.poller
    (one, _), (two, _), (fresh, _) = context.pairs

    def replace(closed):
        def on_ready(events):
            context.called.append("replaced")
            number = closed.fileno()
            poller.unregister_direct(number)
            closed.close()
            # dup() could return a lower number, if a garbage collection here closes
            # sockets of earlier scenarios.
            os.dup2(fresh.fileno(), number, inheritable=False)
            fresh_again = socket.socket(fileno=number)
            context.pairs.append((fresh_again, one))
            assert fresh_again.fileno() == number, "the number was not reused"
            poller.register_direct(
                number, READABLE, lambda events: context.called.append("fresh")
            )

        return on_ready

    # The handler that is called first replaces the other descriptor.
    poller.register_direct(one.fileno(), READABLE, replace(two))
    poller.register_direct(two.fileno(), READABLE, replace(one))
    for _, other in context.pairs[:2]:
        other.send(b"x")
    context.loop.turn(0)


@then("the new descriptor's handler is not called")
def step_not_called(context):
    assert context.called == ["replaced"], context.called


class Endpoint:
    """Count flushes, which raise if `flush_fails` is set."""

    def __init__(self, flush_fails):
        self.flush_fails = flush_fails
        self.flushes = 0

    def flush(self):
        """Count the flush, then raise if this endpoint is to fail."""
        self.flushes += 1
        if self.flush_fails:
            raise ValueError("flush fails")


@given("two endpoints of a poller that have output")
def step_endpoints(context):
    context.loop = TestLoop()
    context.endpoints = [Endpoint(True), Endpoint(False)]
    for endpoint in context.endpoints:
        context.loop.poller.flush_later(endpoint)


@when("the flush of the first one raises")
def step_flush_raises(context):
    try:
        context.loop.turn(0)
    except AssertionError:
        context.loop.errors.clear()
    assert context.endpoints[0].flushes == 1


@then("the second one is flushed in the next turn")
def step_flushed(context):
    context.loop.turn(0)
    assert [one.flushes for one in context.endpoints] == [1, 1]


class WaitingLoop(LoopComponent):
    """A loop without work that records when it handles a signal."""

    channel = "waiting"

    def __init__(self):
        super().__init__(channel=self.channel)
        self.poller = Poller().register(self)
        self.timers = Timers(MonotonicClock()).register(self)
        self.timers.call_every(5.0, lambda: None)
        self.handled_at = None
        self._running = True

    @handler("signal", channel="*")
    def _on_signal(self, event, signo, stack):
        self.handled_at = time.monotonic()


@given("a loop whose next timer is due in 5 seconds")
def step_waiting_loop(context):
    context.waiting_loop = WaitingLoop()
    while len(context.waiting_loop):
        context.waiting_loop.flush()


@when("the process gets a signal while the loop waits")
def step_signal(context):
    loop = context.waiting_loop
    former = signal.signal(signal.SIGUSR1, loop._signal_handler)
    context.add_cleanup(signal.signal, signal.SIGUSR1, former)
    sender = threading.Timer(0.1, os.kill, (os.getpid(), signal.SIGUSR1))
    sender.start()
    context.signalled_at = time.monotonic() + 0.1
    while loop.handled_at is None and time.monotonic() < context.signalled_at + 6:
        loop.tick()
    sender.join()


@then("the signal is handled within a second")
def step_handled(context):
    delay_s = context.waiting_loop.handled_at - context.signalled_at
    assert delay_s < 1.0, delay_s


def _start_receiver(context, point, count=1):
    arguments = ["-m", "features.support.datagram_receiver", point, str(count)]
    context.datagrams = count
    context.process = subprocess.Popen(
        [sys.executable, *arguments],
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(context.process.wait)
    context.add_cleanup(context.process.kill)
    context.port = int(context.process.stdout.readline())


@given("a process that waits for a datagram")
def step_waiting_process(context):
    _start_receiver(context, "")
    time.sleep(0.5)


@given("a process that suspends itself {point}")
def step_suspending_process(context, point):
    _start_suspended(context, point)


@given("a process that gets more datagrams than a turn takes, and is suspended {point}")
def step_suspending_process_with_many(context, point):
    _start_suspended(context, point, DATAGRAMS_PER_TURN + 1)


def _start_suspended(context, point, count=1):
    _start_receiver(context, point.replace(" ", "-"), count)
    assert context.process.stdout.readline().strip() == datagram_receiver.SUSPENDED
    os.waitid(os.P_PID, context.process.pid, os.WSTOPPED | os.WNOWAIT)


@when("it is suspended for {seconds:g} second, and the datagram arrives meanwhile")
def step_suspend_waiting(context, seconds):
    context.process.send_signal(signal.SIGSTOP)
    time.sleep(seconds / 2)
    step_datagram_while_suspended(context, seconds / 2)


@when("a datagram arrives in calm")
def step_datagram(context):
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        context.sent_at = MonotonicClock().now()
        for _ in range(context.datagrams):
            sock.sendto(b"datagram", (LOCAL[0], context.port))


@when("a datagram arrives {seconds:g} seconds before it goes on")
def step_datagram_while_suspended(context, seconds):
    step_datagram(context)
    time.sleep(seconds)
    context.process.send_signal(signal.SIGCONT)


@then("no datagram counts as sent after the suspension")
@then("the datagram does not count as sent after the suspension")
def step_not_dated_late(context):
    arrived_after = float(context.process.stdout.readline())
    assert arrived_after <= context.sent_at, arrived_after - context.sent_at


@then("it counts as sent at most two waits and {seconds:g} s before")
def step_dated_near(context, seconds):
    arrived_after = float(context.process.stdout.readline())
    early_s = context.sent_at - arrived_after
    assert 0 <= early_s <= 2 * datagram_receiver.WAIT_S + seconds, early_s
