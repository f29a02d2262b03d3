"""Replace the server of a home while requests are at each step before their start."""

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.home import HomeHarness, RecordingChannel, answer
from flamingobank.sidecar.fleet.server_state import Lifecycle
from flamingobank.sidecar.homes.requests import HomeRequestState
from flamingobank.sidecar.links.messages import (
    Commit,
    Granted,
    Offer,
    Queued,
    RefusalReason,
    Refused,
)

SERVICES = ("orders", "patterns")
SLOTS = 4


def _offer(harness, stream, service="orders"):
    offer = Offer(stream, service, True, False, 1, 9.0, 9.0, True, False)
    harness.home.receive(harness.channel, offer)


def _commit(harness, stream, service="orders"):
    """Send a request that names its service in the target."""
    target = b"/%s/%d" % (service.encode(), stream)
    headers = [(b"host", b"x.example"), (b"request-id", b"r1")]
    message = Commit(stream, "r1", "GET", target, headers, b"", 9.0, "bank")
    harness.home.receive(harness.channel, message)


def _replace(harness, service, start):
    """Announce a new server at the address of the former one."""
    harness.announce(
        1, Lifecycle.READY, instance=f"i-{start}", started=start, service=service
    )


def _list_streams(harness, kind):
    return [message.stream for message in harness.channel.list_kind(kind)]


def _count_requests(harness):
    return len(harness.server.requests)


@given("a home with all slots in use and {count:d} requests that wait")
def step_waiting(context, count):
    harness = context.harness = HomeHarness("never answers")
    for stream in range(1, SLOTS + 1):
        _offer(harness, stream)
        _commit(harness, stream)
    harness.loop.run_until(
        lambda: _count_requests(harness) == SLOTS, "all slots are in use"
    )
    context.waiting = list(range(SLOTS + 1, SLOTS + 1 + count))
    for stream in context.waiting:
        _offer(harness, stream)
    assert _list_streams(harness, Queued) == context.waiting


@given("a home that has granted a slot")
def step_granted(context):
    harness = context.harness = HomeHarness("never answers")
    _offer(harness, 1)
    assert _list_streams(harness, Granted) == [1]


@when("a server of {service} replaces the home's server")
def step_replaced(context, service):
    _replace(context.harness, service, 200)


@when("the request for the slot arrives")
def step_request(context):
    _commit(context.harness, 1)


@then("the waiting requests are refused at once as not run")
def step_refused(context):
    refused = context.harness.channel.list_kind(Refused)
    assert [message.stream for message in refused] == context.waiting
    assert {message.reason for message in refused} == {RefusalReason.NO_SERVER.value}


@then("the waiting requests are still waiting")
def step_still_waiting(context):
    assert not context.harness.channel.list_kind(Refused)


@then("once all slots are free, the new server gets {runs:d} of them")
def step_slots_free(context, runs):
    harness = context.harness
    for connection in harness.server.connections:
        connection.connection.write(answer())
    running = [
        request
        for request in harness.home.requests.values()
        if request.state is HomeRequestState.RUNNING
    ]
    harness.loop.run_until(
        lambda: all(request.state is HomeRequestState.DONE for request in running),
        "all slots are free",
    )
    granted = [
        stream
        for stream in _list_streams(harness, Granted)
        if stream in context.waiting
    ]
    for stream in granted:
        _commit(harness, stream)
    harness.loop.run_until(
        lambda: _count_requests(harness) >= SLOTS + runs, "the requests run"
    )
    assert _count_requests(harness) == SLOTS + runs


@then("it is refused as not run")
def step_not_run(context):
    refused = context.harness.channel.list_kind(Refused)
    assert [message.reason for message in refused] == [RefusalReason.NO_SERVER.value]
    for _ in range(5):
        context.harness.loop.turn()
    assert not _count_requests(context.harness)


@then("it is sent to the server of orders")
def step_sent(context):
    harness = context.harness
    harness.loop.run_until(lambda: _count_requests(harness), "the request is sent")
    assert not harness.channel.list_kind(Refused)


class RandomHome:
    """A home whose requests and servers change at random."""

    def __init__(self):
        self.harness = HomeHarness("never answers")
        self.harness.channel = RecordingChannel()
        self.service = "orders"
        self.offered = {}
        self.committed = set()
        self.start = 100

    def offer(self, service):
        """Offer a request of a service."""
        stream = len(self.offered) + 1
        self.offered[stream] = service
        _offer(self.harness, stream, service)

    def commit_granted(self):
        """Send the requests of all slots that were granted so far."""
        for stream in _list_streams(self.harness, Granted):
            if stream not in self.committed:
                self.committed.add(stream)
                _commit(self.harness, stream, self.offered[stream])
        self.check_new_requests()

    def replace(self, service):
        """Replace the server after all that was sent has reached the former one."""
        self.check_new_requests()
        self.service = service
        self.start += 1
        _replace(self.harness, service, self.start)

    def answer_all(self):
        """Answer the requests that are running."""
        self.check_new_requests()
        for connection in self.harness.server.connections:
            if not connection.closed:
                connection.connection.write(answer())
        for _ in range(4):
            self.harness.loop.turn(0)
        self.check_new_requests()

    def check_new_requests(self):
        """Check that the requests that arrived are of the current server's service."""
        for _ in range(4):
            self.harness.loop.turn(0)
        for request in self.harness.server.requests:
            target = request.split()[1].decode()
            assert target.split("/")[1] == self.service, (target, self.service)
        self.harness.server.requests.clear()


STEPS = st.one_of(
    st.tuples(st.just("offer"), st.sampled_from(SERVICES)),
    st.tuples(st.just("replace"), st.sampled_from(SERVICES)),
    st.just(("commit_granted",)),
    st.just(("answer_all",)),
)


@then("in {count:d} random sequences each request reaches servers of its service only")
def step_random(context, count):
    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(st.lists(STEPS, min_size=8, max_size=40))
    def check(steps):
        home = RandomHome()
        for name, *arguments in steps:
            getattr(home, name)(*arguments)
        home.commit_granted()
        home.harness.server.listener.close()

    check()
