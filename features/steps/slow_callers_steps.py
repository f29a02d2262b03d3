"""Read large answers slowly while connections are to be closed."""

from behave import given, then, when

from features.steps.planned_stop_steps import BUDGET_S, HOMES
from features.steps.sidecar_network_steps import GET, HttpHarness
from features.support.loop import RawPeer
from features.support.stopping import GRACE_S, StoppingHarness
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.fleet.routes import RouteKind

STEP_S = 0.05
HEAD_END = b"\r\n\r\n"
# A small window, so that most of an answer waits in the process.
RECEIVE_BYTES = 8192
CLOSING_GET = b"GET /1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"


class SlowReader:
    """A caller that reads at most a number of bytes a second."""

    def __init__(self, address, rate):
        self.peer = RawPeer(address, RECEIVE_BYTES)
        self.rate = rate
        self.read_bytes = 0
        self.allowance = 0.0

    def read(self, loop, seconds):
        """Read what the rate allows for some seconds."""
        self.allowance += self.rate * seconds
        while self.allowance >= 65536 and not self.peer.ended:
            before = len(self.peer.received)
            self.peer.poll()
            count = len(self.peer.received) - before
            self.allowance -= count
            self.read_bytes += count
            # Only the first bytes matter, and appending to all would take long.
            self.peer.received = self.peer.received[:1000]
            loop.turn(0)
            if not count:
                break

    @property
    def body_bytes(self):
        """Return how many bytes of the body have been read."""
        head = self.peer.received.find(HEAD_END)
        return self.read_bytes - head - len(HEAD_END) if head >= 0 else 0


@given("a caller of an answer of {size:d} bytes who reads {rate:d} bytes a second")
def step_reader(context, size, rate):
    context.size = size
    context.http = HttpHarness(lambda harness, request: None)
    context.http.peer.close()
    context.reader = SlowReader(context.http.server.address, rate)


@when("the answer is ready and {end}")
def step_answer_ready(context, end):
    harness = context.http
    asked_to_close = end == "the caller had asked to close"
    context.reader.peer.send(CLOSING_GET if asked_to_close else GET % b"1")
    harness.loop.run_until(lambda: harness.requests, "the request")
    if end == "the server drained before":
        harness.server.drain()
    harness.requests[0].answer(200, [], b"x" * context.size)
    harness.loop.turn(0)
    if end == "the server drains":
        harness.server.drain()
    context.started_at = harness.loop.clock.now()


def _read_for(context, seconds):
    """Read for some seconds, or until the whole answer or the end has come."""
    loop = context.http.loop
    end = loop.clock.now() + seconds
    while loop.clock.now() < end and not context.reader.peer.ended:
        loop.advance(STEP_S, turns=2)
        context.reader.read(loop, STEP_S)
        if context.reader.body_bytes >= context.size:
            return


@then("the caller gets the whole answer after more than {seconds:d} seconds")
def step_whole(context, seconds):
    _read_for(context, 60)
    reader = context.reader
    assert reader.body_bytes == context.size, (reader.body_bytes, reader.peer.ended)
    assert context.http.loop.clock.now() > context.started_at + seconds


@then("its connection ends regularly")
def step_ends(context):
    peer = context.reader.peer
    context.http.loop.run_until(lambda: peer.poll().ended, "the end")
    assert peer.ended == "end", peer.ended


@then("its connection is still open")
def step_open(context):
    for _ in range(20):
        context.http.loop.advance(STEP_S)
    assert not context.reader.peer.poll().ended
    assert context.http.server.connections


@then("its connection is cut off within {limit:d} seconds")
def step_cut_off(context, limit):
    for _ in range(round(limit / STEP_S)):
        context.http.loop.advance(STEP_S, turns=1)
    assert not context.http.server.connections


@when(
    "{count:d} callers with answers of {size:d} bytes read {rate:d} bytes a second and "
    "it gets SIGTERM"
)
def step_stop_while_reading(context, count, size, rate):
    context.size = size
    harness = context.harness = StoppingHarness(
        RouteKind.SAFE, HOMES, timeout_s=BUDGET_S
    )
    harness.body = b"x" * size
    context.readers = [SlowReader(harness.server.address, rate) for _ in range(count)]
    for reader in context.readers:
        reader.peer.send(GET.replace(b"/%s", b"/a/x").replace(b": x", b": x.example"))
    harness.advance(0.2)
    assert not harness.entry.exchanges
    harness.stop()
    while harness.ended_at is None and harness.now < harness.stopped_at + GRACE_S:
        harness.loop.advance(STEP_S, turns=2)
        for reader in context.readers:
            reader.read(harness.loop, STEP_S)
            if reader.body_bytes >= size:
                reader.peer.close()
                reader.peer.ended = "closed"


@then("each of them gets the whole answer, and the process ends within {grace:g} s")
def step_all_whole(context, grace):
    for reader in context.readers:
        assert reader.body_bytes == context.size, reader.body_bytes
    harness = context.harness
    assert harness.ended_at is not None
    assert harness.ended_at <= harness.stopped_at + grace


class TakenOutput:
    """A sum of output bytes whose first fall takes memory for something else."""

    def __init__(self, memory):
        self.memory = memory
        self.taken = 0
        self._bytes = 0

    @property
    def bytes(self):
        """Return the sum."""
        return self._bytes

    @bytes.setter
    def bytes(self, value):
        if value < self._bytes and self.taken:
            self.memory.outcomes.bytes += self.taken
            self.taken = 0
        self._bytes = value


@given("a process that may hold {budget:d} bytes for callers")
def step_budget(context, budget):
    context.http = HttpHarness(lambda harness, request: None)
    context.http.peer.close()
    memory = MemoryAccount(budget)
    memory.caller_output = TakenOutput(memory)
    context.http.server.caller_limits.memory = memory


@given("a caller that sends a request that waits and {count:d} behind it")
def step_requests_behind(context, count):
    harness = context.http
    harness.peer = RawPeer(harness.server.address)
    harness.peer.send(b"".join(GET % b"%d" % number for number in range(count + 1)))
    harness.loop.run_until(lambda: len(harness.requests) == count + 1, "the requests")


@when(
    "these are answered with {size:d} bytes each, the last of them in parts, and then "
    "the first"
)
def step_answer_behind(context, size):
    first, *others, last = context.http.requests
    for request in others:
        request.answer(200, [], b"x" * size)
    last.start(200, [], size)
    last.write_part(b"x" * (size // 2))
    first.answer(200, [], b"")
    context.size, context.last = size, last
    context.heads = len(context.http.requests)


@when("the caller reads at once")
def step_reads_at_once(context):
    harness = context.http
    context.last.write_part(b"x" * (context.size - context.size // 2))
    context.last.finish()
    context.read_bytes = 0
    expected = context.size * (context.heads - 1)
    for _ in range(5000):
        harness.loop.turn(0)
        while harness.peer.poll().received:
            context.read_bytes += harness.peer.received.count(b"x")
            harness.peer.received = b""
        if context.read_bytes >= expected or harness.peer.ended:
            break


@then("it gets all answers whole")
def step_all_answers(context):
    expected = context.size * (context.heads - 1)
    assert not context.http.peer.ended, context.http.peer.ended
    assert context.read_bytes == expected, (context.read_bytes, expected)


@when("the caller reads nothing while the last one goes on")
def step_reads_nothing(context):
    context.more_bytes = 0
    while not context.http.watcher.left and context.more_bytes < 2**26:
        context.last.write_part(b"x" * 65536)
        context.more_bytes += 65536
        context.http.loop.turn(0)


@then("its connection is reset after at most {limit:d} more bytes")
def step_reset_later(context, limit):
    assert context.http.watcher.left
    assert context.more_bytes <= limit, context.more_bytes


@when(
    "these are answered with {size:d} bytes each, {taken:d} bytes are taken, and the "
    "first is answered"
)
def step_answer_without_memory(context, size, taken):
    first, *others = context.http.requests
    for request in others:
        request.drop_answer = lambda request=request: _replace_answer(request)
        request.answer(200, [], b"x" * size)
    # The memory is taken when the first piece that was held is about to be sent.
    context.http.server.caller_limits.memory.caller_output.taken = taken
    first.answer(200, [], b"")
    context.size = size


def _replace_answer(request):
    assert request.discard_output(), "a part of the answer had been sent"
    request.answer(502, [], b"")


@when("the caller reads all answers")
def step_reads_all(context):
    context.received = b""
    harness = context.http
    for _ in range(3000):
        harness.loop.advance(0.001, turns=1)
        while harness.peer.poll().received:
            context.received += harness.peer.received
            harness.peer.received = b""


@then("it gets whole answers in order, and then {end}")
def step_in_order(context, end):
    statuses, rest = [], context.received
    while b"\r\n\r\n" in rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        size = int(head.split(b"Content-Length: ")[1].split()[0])
        assert not rest[:size].strip(b"x"), rest[:200]
        if len(rest) < size:
            break
        rest = rest[size:]
        statuses.append(int(head.split()[1]))
    if end == "no end":
        assert not context.http.peer.ended, context.http.peer.ended
        assert statuses == [200] * len(context.http.requests), statuses
        return
    # An answer that was cut off does not look complete.
    assert context.http.peer.ended == "reset", context.http.peer.ended
    assert set(statuses) <= {200, 502}, statuses
