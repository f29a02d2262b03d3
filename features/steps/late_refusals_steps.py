"""Check what a home says of requests when its server's answers are repeated or cut."""

from behave import given, then, when

from features.support.home import SCRIPTS, HomeHarness, answer
from flamingobank.sidecar.links.messages import Answer, Commit, Failed, Granted

REFUSAL = (
    b"HTTP/1.1 503 X\r\nRequest-Id: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
)
REFUSAL_WITHOUT_ID = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
# Heads with a length, in chunks, and with neither, behind an interim answer and behind
# an answer to another request.
HEADS = [
    before
    + b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nServer-Seal: s\r\n%sX-Last: 1\r\n\r\n"
    % framing
    for before in (b"", b"HTTP/1.1 100 Continue\r\n\r\n", answer(request_id=b"r0"))
    for framing in (b"Content-Length: 4\r\n", b"Transfer-Encoding: chunked\r\n", b"")
]


def _make_harness(script):
    SCRIPTS["test"] = script
    harness = HomeHarness("test")
    del SCRIPTS["test"]
    return harness


def _commit(harness, stream, request_id):
    harness.channel.messages.clear()
    harness.offer(stream, idempotent=False, forced=True)
    assert harness.channel.list_kind(Granted), harness.channel.messages
    headers = [(b"host", b"x.example"), (b"request-id", request_id.encode())]
    message = Commit(stream, request_id, "POST", b"/a/x", headers, b"", 1.5, "patterns")
    harness.home.receive(harness.channel, message)
    harness.run_until_sent(Answer | Failed)
    return harness.channel.messages[-1]


@given(
    "a server that refuses a request, and runs its repeat after writing the refusal "
    "again {when}"
)
def step_repeats_refusal(context, when):
    heads = []

    def respond(connection, head):
        heads.append(connection)
        if len(heads) == 1:
            connection.connection.write(REFUSAL)
            return
        if when == "on the connection of the refusal":
            heads[0].connection.write(REFUSAL)
        elif connection is heads[0]:
            connection.connection.write(REFUSAL)
        connection.connection.write(answer(body=b"ran"))

    context.home = _make_harness(respond)


@when("an entry offers and commits the request twice")
def step_twice(context):
    context.results = [_commit(context.home, stream, "r1") for stream in (1, 2)]


@then('the first time it is told "not run", and the second time the answer "ran"')
def step_told(context):
    first, second = context.results
    assert isinstance(first, Failed) and first.not_run, first
    assert isinstance(second, Answer) and second.body == b"ran", second


@given("a server that answers one request, and the next with a refusal without an id")
def step_refusal_without_id(context):
    answers = [answer(), REFUSAL_WITHOUT_ID]
    context.home = _make_harness(
        lambda connection, head: connection.connection.write(answers.pop(0))
    )


@when("an entry offers and commits both requests")
def step_both(context):
    context.results = [_commit(context.home, stream, f"r{stream}") for stream in (1, 2)]


@then("the first is answered, and of the second it is told that the outcome is unknown")
def step_unknown(context):
    first, second = context.results
    assert isinstance(first, Answer), first
    assert isinstance(second, Failed) and not second.not_run, second


@when("a server sends each beginning of an answer's head and closes the connection")
def step_cut_heads(context):
    context.results = []
    for head in HEADS:
        start = head.rindex(b"HTTP/1.1 200 OK\r\nRequest-Id: r1")
        for length in range(start, len(head)):
            cut = head[:length]

            def respond(connection, request, cut=cut):
                connection.connection.write(cut)
                connection.connection.close_after_output()

            harness = _make_harness(respond)
            context.results.append((cut, _commit(harness, 1, "r1")))
            harness.server.listener.close()


@then("the entry is never told an answer, and the outcome is unknown each time")
def step_never_answered(context):
    for cut, message in context.results:
        assert isinstance(message, Failed) and not message.not_run, (cut, message)
