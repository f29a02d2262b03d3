"""Send malformed, slow and excessive traffic as callers and servers over loopback."""

import socket
import struct

from behave import given, then, when

from features.support.callers import OK_ANSWER, CallerHarness, answer_ok, get
from flamingobank.settings import CallerLimits

CHUNKED = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
LONG_BYTES = 64 * 1024 * 1024
REMOTE = "a remote home"
LIMITS = CallerLimits(max_body_bytes=65_536)
BIG_HEADER = b"X-Big: " + b"b" * 10_000 + b"\r\n"

REQUESTS = {
    "plain": [get()],
    "garbage": [b"\x00\x01\x02 nonsense\r\n\r\n"],
    "both lengths": [CHUNKED[:-2] + b"Content-Length: 3\r\n\r\n0\r\n\r\n"],
    "two lengths": [
        get(headers=b"Content-Length: 1\r\nContent-Length: 2\r\n", method=b"POST")
    ],
    "no host": [b"GET / HTTP/1.1\r\n\r\n"],
    "two hosts": [get(headers=b"Host: b\r\n")],
    "header over limit": [get(headers=BIG_HEADER + BIG_HEADER)],
    "header in two pieces": [
        get(headers=BIG_HEADER)[:9000],
        get(headers=BIG_HEADER)[9000:],
    ],
    "declared body too big": [
        get(headers=b"Content-Length: 65537\r\n", method=b"POST")
    ],
    "chunked body too big": [CHUNKED + b"8000\r\n" + b"c" * 0x8000 + b"\r\n"] * 1
    + [b"8000\r\n" + b"c" * 0x8000 + b"\r\n1\r\nc\r\n"],
    "unknown encoding": [get(headers=b"Transfer-Encoding: gzip\r\n", method=b"POST")],
    "tunnel": [b"CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n"],
    "version 2.0": [get(version=b"2.0")],
    "two at once": [get() + get()],
    "one and a part": [get() + b"POST /x HTTP/1.1\r\nHost: a\r\nContent-Le"],
    "trailers over limit": [CHUNKED + b"0\r\n" + BIG_HEADER + BIG_HEADER + b"\r\n"],
    "huge deadline": [
        get(headers=b"Flamingobank-Deadline-Ms: " + b"9" * 5000 + b"\r\n")
    ],
    "chunked with trailer": [CHUNKED + b"2\r\nhi\r\n0\r\nX-T: smuggled\r\n\r\n"],
}


def end_with_reset(connection):
    """Close the connection of a server with a TCP reset."""
    sock = connection.connection._sock
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    connection.connection.close("reset")


def make_script(answer):
    """Return a server's script that writes the named answer.

    If the name contains "reset", the connection is reset 1 s later; after "whole" it
    stays open, and after any other answer it is closed.
    """
    unframed = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nabc"
    chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
    data = {
        "short": OK_ANSWER[:-1],
        "long": OK_ANSWER + b"more",
        "second answer behind": OK_ANSWER + b"HTTP/1.1 500 No\r\n"
        b"Content-Length: 0\r\n\r\n",
        "unframed and reset": unframed,
        "unframed and closed": unframed,
        "chunked and cut": chunked,
        "switching protocols": b"HTTP/1.1 101 S\r\nUpgrade: x\r\n"
        b"Connection: upgrade\r\n\r\nxx",
        "whole": OK_ANSWER,
    }[answer]

    def script(connection, head):
        connection.connection.write(data)
        connection.connection.flush()
        if "reset" in answer:
            timers = connection.server.loop.timers
            now = connection.server.loop.clock.now()
            timers.call_at(now + 1, lambda: end_with_reset(connection))
        elif answer != "whole":
            connection.connection.close_after_output()

    return script


def check_other_caller(harness):
    """Check that a new caller gets an answer."""
    caller = harness.call(get())
    harness.run_until(
        lambda: caller.poll().received.endswith(b"\r\n\r\nok"),
        "another caller is answered",
    )
    caller.close()


@given("an entry with one server")
def step_one_server(context):
    context.harness = CallerHarness(LIMITS)
    context.server = context.harness.add_server(answer_ok)


@given("an entry with a silent server and {limit:d} requests in flight per caller")
def step_silent(context, limit):
    context.harness = CallerHarness(CallerLimits(max_streams_per_caller=limit))
    context.server = context.harness.add_server(lambda connection, head: None, slots=8)


@given("an entry with a silent server at {where}")
def step_silent_at(context, where):
    context.harness = CallerHarness(remote=where == REMOTE)
    context.server = context.harness.add_server(lambda connection, head: None)


@given('an entry with a server that answers "{answer}"')
def step_answers(context, answer):
    context.harness = CallerHarness()
    context.server = context.harness.add_server(make_script(answer))


@given("an entry with a server at {where} that sends {size:d} {unit}")
def step_sends_long(context, where, size, unit):
    size *= {"MB": 1024 * 1024, "KB": 1024}[unit]
    head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size
    context.harness = CallerHarness(remote=where == REMOTE)
    context.server = context.harness.add_server(
        lambda connection, _: connection.connection.write(head + bytes(size))
    )


@when("a caller sends {count:d} requests and reads no answer")
def step_only_sends(context, count):
    context.caller = context.harness.call(receive_bytes=4096)
    context.harness.run_until(
        lambda: context.harness.http_server._connections, "the caller is connected"
    )
    (connection,) = context.harness.http_server._connections
    context.max_waiting_bytes = 0
    for _ in range(count):
        context.caller.send(get())
        for _ in range(30):
            context.harness.loop.turn(0)
            context.max_waiting_bytes = max(
                context.max_waiting_bytes, connection.output_bytes
            )


@then("at most 1 MB of answers wait and later requests do not run")
def step_output_bounded(context):
    assert 0 < context.max_waiting_bytes <= 1024 * 1024, context.max_waiting_bytes
    assert 0 < len(context.server.requests) < 60, len(context.server.requests)


@then("the caller is cut off after it took nothing for {seconds:d} seconds")
def step_stalled(context, seconds):
    for _ in range(2):
        context.harness.loop.advance(seconds)
    assert context.harness.http_server.connection_count == 0


@when('a caller sends the request "{request}"')
def step_request(context, request):
    context.caller = context.harness.call(*REQUESTS[request])


@then("the caller gets status {status:d} and the server {runs:d} requests")
def step_status(context, status, runs):
    caller = context.caller
    context.harness.run_until(
        lambda: b"\r\n\r\n" in caller.poll().received or caller.ended, "an answer"
    )
    assert caller.received.startswith(b"HTTP/1.1 %d " % status), caller.received[:80]
    assert len(context.server.requests) == runs, context.server.requests
    if not runs:
        assert b"Flamingobank-Outcome: not-run" in caller.received, caller.received
        context.harness.run_until(
            lambda: caller.poll().ended, "the connection is closed"
        )
    assert caller.received.count(b"HTTP/1.1 ") == 1, caller.received


@then('the server has not seen "{text}"')
def step_not_seen(context, text):
    context.harness.run_until(lambda: context.server.requests, "the request runs")
    assert text.encode() not in context.server.requests[0], context.server.requests


@when("a caller sends two requests, the second before the first answer")
def step_pipelined(context):
    context.server.script = lambda connection, head: (
        None if len(context.server.requests) == 1 else answer_ok(connection, head)
    )
    context.caller = context.harness.call(get(b"/1"), get(b"/2"), turns=20)
    assert len(context.server.requests) == 1, (
        "the second request ran before the first was answered"
    )
    answer_ok(context.server.connections[0], b"")


@then("both are answered in order on one connection")
def step_answered_in_order(context):
    context.harness.run_until(
        lambda: context.caller.poll().received.count(b"\r\n\r\nok") == 2,
        "both requests are answered",
    )
    paths = [request.split()[1] for request in context.server.requests]
    assert paths == [b"/1", b"/2"] and not context.caller.ended, paths


@when("a caller sends a header of 100 MB")
def step_huge_header(context):
    context.caller = context.harness.call(b"GET / HTTP/1.1\r\nHost: a\r\nX: ")
    context.sent_bytes = 0
    piece = b"x" * 65_536
    while context.sent_bytes < 100 * 1024 * 1024 and not context.caller.ended:
        context.harness.send(context.caller, piece)
        context.sent_bytes += len(piece)


@then("it is cut off after at most 8 MB and other callers are answered")
def step_cut_off(context):
    # The kernel buffers up to a few hundred KB beyond what the server has read.
    assert context.caller.ended and context.sent_bytes <= 8 * 1024 * 1024, (
        context.sent_bytes
    )
    assert context.harness.http_server.connection_count == 0
    check_other_caller(context.harness)


@when("a caller sends half a request and waits {seconds:d} seconds")
def step_slow(context, seconds):
    context.caller = context.harness.call(get()[:20])
    context.harness.loop.advance(seconds)


@when("{count:d} callers connect and send nothing")
def step_idle(context, count):
    context.idle_callers = []
    for _ in range(count):
        context.idle_callers.append(context.harness.call())
        context.harness.loop.turn(0)
    context.harness.run_until(
        lambda: context.harness.http_server.connection_count == count,
        "all callers are connected",
    )


@then("other callers are answered")
def step_others(context):
    check_other_caller(context.harness)


@then("the idle callers are disconnected after the idle timeout")
def step_idle_closed(context):
    context.harness.loop.advance(76)
    for caller in context.idle_callers:
        context.harness.run_until(
            lambda one=caller: one.poll().ended, "the idle connection is closed"
        )
        caller.close()
    assert context.harness.http_server.connection_count == 0


@when("one caller sends {count:d} requests on {connections:d} connections")
def step_send_many(context, count, connections):
    context.callers = [context.harness.call(get()) for _ in range(connections)]


@then("{runs:d} of them run and {refused:d} get status 429 as not run")
def step_excess_refused(context, runs, refused):
    harness = context.harness
    harness.run_until(
        lambda: (
            sum(bool(one.poll().ended) for one in context.callers) == refused
            and len(context.server.requests) == runs
        ),
        "the excess requests are refused",
    )
    for caller in context.callers[runs:]:
        assert caller.received.startswith(b"HTTP/1.1 429 "), caller.received
        assert b"Outcome: not-run\r\n" in caller.received, caller.received


@then("a connection is free for the caller once a request has ended")
def step_requests_ended(context):
    for connection in context.server.connections:
        answer_ok(connection, b"")
    context.server.script = answer_ok
    for caller in context.callers[:3]:
        context.harness.run_until(lambda one=caller: one.poll().received, "an answer")
    check_other_caller(context.harness)
    assert not context.harness.http_server._in_flight_by_caller, (
        context.harness.http_server._in_flight_by_caller
    )


@when("a caller leaves in the middle of an answer")
def step_leave(context):
    context.caller = context.harness.call(get())
    context.harness.run_until(lambda: context.server.requests, "the request runs")
    part = b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart"
    context.server.connections[0].connection.write(part)
    context.harness.run_until(
        lambda: context.caller.poll().received, "a part of the answer arrives"
    )
    context.caller.close()


@then("the request is cancelled at the server and no slot is in use")
def step_cancelled(context):
    harness = context.harness
    harness.run_until(
        lambda: context.server.connections[0].closed, "the request is cancelled"
    )
    assert harness.count_in_use() == 0 and not harness.entry.exchanges
    assert harness.entry.counters["finished_caller-left"] == 1, harness.entry.counters


@when("a caller reads nothing of the long answer")
def step_read_nothing(context):
    context.caller = context.harness.call(get(), receive_bytes=4096)
    context.harness.run_until(lambda: context.server.requests, "the request runs")
    for _ in range(2000):
        context.harness.loop.turn(0)


@then("at most 2 MB wait in the node and the server is paused")
def step_server_paused(context):
    waiting_bytes = context.harness.count_waiting_bytes()
    assert 0 < waiting_bytes <= 2 * 1024 * 1024, waiting_bytes
    server_output_bytes = context.server.connections[0].connection.output_bytes
    assert server_output_bytes > LONG_BYTES // 2, "the server has sent the whole answer"


@then("the caller gets all 64 MB once it reads")
def step_read_all(context):
    caller, size = context.caller, 0
    head = b""
    for _ in range(400_000):
        context.harness.loop.turn(0)
        caller.poll()
        head = head or caller.received[: caller.received.find(b"\r\n\r\n") + 4]
        size += len(caller.received)
        caller.received = b""
        if size >= LONG_BYTES + len(head):
            break
    assert size == LONG_BYTES + len(head) and not caller.ended, size


@then("the caller is cut off after its deadline and nothing waits for it")
def step_deadline_cut(context):
    context.harness.loop.advance(11, turns=20)
    context.harness.run_until(
        lambda: context.harness.http_server.connection_count == 0,
        "the caller is cut off",
    )
    assert context.harness.count_in_use() == 0 and not context.harness.entry.exchanges


@when('a caller sends {version} with "{header}" and method {method}')
def step_version(context, version, header, method):
    context.caller = context.harness.call(
        get(b"/", header.encode() + b"\r\n", version.encode(), method.encode())
    )


@then("the connection is {end} after an answer with {length:d} body bytes")
def step_connection_end(context, end, length):
    caller = context.caller
    context.harness.run_until(
        lambda: b"\r\n\r\n" in caller.poll().received, "an answer"
    )
    if end == "closed":
        context.harness.run_until(lambda: caller.poll().ended, "the connection ends")
        assert caller.ended == "end", caller.ended
    else:
        context.harness.send(caller, get(method=b"HEAD"))
        context.harness.run_until(
            lambda: caller.poll().received.count(b"HTTP/1.1 200") == 2,
            "a second answer",
        )
    body = caller.received.partition(b"\r\n\r\n")[2].partition(b"HTTP/1.1")[0]
    assert len(body) == length, caller.received


@when("a caller asks for it with HTTP {version}")
def step_send_version(context, version):
    context.caller = context.harness.call(get(version=version.encode()), turns=40)
    context.harness.loop.advance(1.5, turns=0)
    for _ in range(60):
        context.harness.loop.turn(0)
        context.caller.poll()


def is_whole(caller):
    """Return whether a caller received status 200 with a complete body.

    The body is complete by its length header, by its last chunk or, without either, by
    a regular end of the connection.
    """
    head, _, body = caller.received.partition(b"\r\n\r\n")
    fields = dict(line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:])
    if b" 200 " not in head:
        return False
    if b"content-length" in fields:
        return len(body) == int(fields[b"content-length"])
    if b"transfer-encoding" in fields:
        return body.endswith(b"0\r\n\r\n")
    return caller.ended == "end"


@then("the caller gets a {seen} answer")
def step_caller_gets(context, seen):
    caller = context.caller
    assert is_whole(caller) == (seen == "whole"), (caller.ended, caller.received)
    if seen == "broken":
        assert caller.ended or b"outcome: unknown" in caller.received, caller.received


@given("a caller whose connection is idle while the node drains")
def step_idle_caller(context):
    harness = context.harness
    context.caller = harness.call(get())
    harness.run_until(
        lambda: OK_ANSWER[-2:] in context.caller.poll().received, "answer"
    )
    harness.http_server.drain()


@when("its next request arrives as the node closes idle connections")
def step_request_at_close(context):
    harness = context.harness
    context.caller.send(get())
    harness.loop.clock.advance_to(harness.loop.clock.now() + 2.5)
    harness.http_server._check_deadlines()


@then("the caller gets an answer to both requests")
def step_both_answered(context):
    harness = context.harness
    harness.run_until(
        lambda: context.caller.poll().received.count(b"HTTP/1.1 200") == 2,
        "second answer",
    )
