"""Test that a server which names its leaving in an answer gets no more work."""

from behave import given, then, when

from features.support.home import HomeHarness, answer
from flamingobank.sidecar.fleet.server_state import Lifecycle
from flamingobank.sidecar.links.messages import (
    Answer,
    Failed,
    Granted,
    RefusalReason,
    Refused,
)

LEAVING_ANSWER = answer().replace(b"\r\n", b"\r\nServer-Leaving: 1\r\n", 1)
ORDINALS = {"first": 1, "second": 2}


@given("a home whose server names its leaving in its {ordinal} answer")
def step_leaving_home(context, ordinal):
    harness = context.harness = HomeHarness("never answers")
    context.answered = []

    def script(connection, head):
        context.answered.append(head)
        leaving = len(context.answered) >= ORDINALS[ordinal]
        connection.connection.write(LEAVING_ANSWER if leaving else answer())

    harness.server.script = script
    _record_departures(context)


@given('a home whose server answers with "{head}" and names a leaving')
def step_answer_head(context, head):
    harness = context.harness = HomeHarness("never answers")
    lines = [*head.split(";"), "Server-Leaving: 1", "Content-Length: 0", "", ""]
    data = "\r\n".join(lines).encode()
    harness.server.script = lambda connection, head: connection.connection.write(data)
    _record_departures(context)


def _record_departures(context):
    harness = context.harness
    context.answers_at_departure = []
    harness.home.on_server_left = lambda: context.answers_at_departure.append(
        len(harness.channel.list_kind(Answer))
    )


def _send_request(context, stream):
    channel = context.harness.channel
    context.harness.offer(stream)
    context.harness.commit(stream)
    ended = len(channel.list_kind(Answer)) + len(channel.list_kind(Failed))
    context.harness.loop.run_until(
        lambda: len(channel.list_kind(Answer)) + len(channel.list_kind(Failed)) > ended,
        "the request has an outcome",
    )


@when("an entry sends a request")
def step_send_one(context):
    _send_request(context, 1)


@when("an entry sends two requests one after the other")
def step_send_two(context):
    _send_request(context, 1)
    _send_request(context, 2)


@then("further offers are refused, and the second answer is passed on")
def step_refused(context):
    context.harness.offer(3)
    (refused,) = context.harness.channel.list_kind(Refused)
    assert refused.reason == RefusalReason.NO_SERVER.value
    assert [
        message.stream for message in context.harness.channel.list_kind(Answer)
    ] == [
        1,
        2,
    ]


@when("an entry gets a grant, and another request is answered with the leaving")
def step_grant_before(context):
    _send_request(context, 1)
    context.harness.offer(9)
    assert [m.stream for m in context.harness.channel.list_kind(Granted)] == [1, 9]
    _send_request(context, 2)


@then("the granted request is refused when it arrives, and has not reached the server")
def step_commit_refused(context):
    context.harness.commit(9)
    (refused,) = context.harness.channel.list_kind(Refused)
    assert (refused.stream, refused.reason) == (9, RefusalReason.NO_SERVER.value)
    context.harness.loop.advance(0.5)
    assert len(context.answered) == 2


@when("6 requests are offered by force while the server works on them")
def step_offer_six(context):
    for stream in range(1, 7):
        context.harness.offer(stream, forced=True)
    context.granted = [m.stream for m in context.harness.channel.list_kind(Granted)]
    assert len(context.granted) < 6
    context.harness.commit(1)
    context.harness.run_until_sent(Answer)


@then("those that waited are refused")
def step_waiting_refused(context):
    refused = [m.stream for m in context.harness.channel.list_kind(Refused)]
    assert refused == [n for n in range(1, 7) if n not in context.granted]


@then("the departure was reported before the answer was passed on")
def step_reported_first(context):
    assert context.answers_at_departure == [0]
    assert context.harness.channel.list_kind(Answer)


@when("the server announces itself as ready with {announced}")
def step_announce(context, announced):
    started = 100 if announced == "the same start" else 200
    context.harness.announce(7, Lifecycle.READY, started=started)


@then("an offer is {result}")
def step_offer_result(context, result):
    channel = context.harness.channel
    channel.messages.clear()
    context.harness.offer(8)
    reasons = [message.reason for message in channel.list_kind(Refused)]
    if result == "granted":
        assert channel.list_kind(Granted), reasons
        return
    for_lack_of_server = reasons == [RefusalReason.NO_SERVER.value]
    assert for_lack_of_server == (result == "refused"), reasons
