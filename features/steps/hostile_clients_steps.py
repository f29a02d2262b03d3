"""Check processes against crowds of clients that keep to no limits."""

import http.client
import random
from pathlib import Path
from tempfile import TemporaryDirectory
from urllib.parse import quote

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from features.support.crowd import CrowdClient, run_crowd
from features.support.loop import LOCAL, RawPeer, TestLoop
from features.support.processes import ProcessFleet
from flamingobank.core import VirtualClock
from flamingobank.sidecar.decisions.memory_account import (
    DEFAULT_BUDGET_BYTES,
    SMALL_REQUEST_BYTES,
    STALLED_S,
    Holding,
    MemoryAccount,
    choose_largest,
    choose_stalled,
    derive_budget_bytes,
    derive_descriptor_limit,
    derive_reserved_connections,
)
from flamingobank.sidecar.fleet.routes import RequestLimits
from flamingobank.sidecar.http.http_server import HttpServer

# Descriptors of a process that its platform reserves.
RESERVED_DESCRIPTORS = 200
HEAD = b"POST /safe/x HTTP/1.1\r\nHost: x.example\r\nRequest-Id: c%d\r\n%s\r\n\r\n"
PIECE_BYTES = 16384
# One client in this many ends its body.
ENDING_SHARE = 10


def _run(context, clients):
    context.crowd = clients
    for client in clients:
        context.add_cleanup(client.close)
    run_crowd(clients)


def _make_chunked_body(number, count, sizes):
    """Return the pieces of a chunked body, mostly without the last chunk."""
    smallest, _, largest = sizes.partition("-")
    rng = random.Random(number)
    chunks = []
    for _ in range(count):
        size = rng.randint(int(smallest), int(largest))
        chunks.append(b"%x\r\n%s\r\n" % (size, b"x" * size))
    if number % ENDING_SHARE == 0:
        chunks.append(b"0\r\n\r\n")
    body = b"".join(chunks)
    return [HEAD % (number, b"Transfer-Encoding: chunked"), body]


@given(
    "processes of {memory:d} MB and {descriptors:d} descriptors, with the server "
    "{place}"
)
def step_processes(context, memory, descriptors, place):
    folder = TemporaryDirectory()
    context.add_cleanup(folder.cleanup)
    remote = place == "on another machine"
    context.limits = (memory, descriptors)
    context.fleet = ProcessFleet(Path(folder.name), memory, descriptors, remote)
    context.add_cleanup(context.fleet.stop)
    context.fleet.wait_until_served()


@when("{count:d} clients send {chunks:d} chunks of {sizes} bytes each and stay open")
def step_chunked(context, count, chunks, sizes):
    address = (context.fleet.entry.host, 8081)
    _run(
        context,
        [
            CrowdClient(address, _make_chunked_body(number, chunks, sizes))
            for number in range(count)
        ],
    )


@when("{count:d} clients send {size:d} bytes with their length, {how} and stay open")
def step_sized(context, count, size, how):
    address = (context.fleet.entry.host, 8081)
    clients = []
    for number in range(count):
        head = HEAD % (number, b"Content-Length: %d" % size)
        if how == "whole":
            pieces = [head + b"x" * size]
        else:
            sent = size if number % ENDING_SHARE == 0 else size - 1
            steps = range(0, sent, PIECE_BYTES)
            pieces = [head, *(b"x" * min(PIECE_BYTES, sent - step) for step in steps)]
        clients.append(CrowdClient(address, pieces))
    _run(context, clients)


@when("{count:d} clients ask for answers of {size:d} bytes and read {part:d} of them")
def step_slow_readers(context, count, size, part):
    address = (context.fleet.entry.host, 8081)
    clients = []
    for number in range(count):
        request = HEAD % (number, b"Content-Length: 0")
        target = b"/safe/stream/%d" % size
        clients.append(
            CrowdClient(address, [request.replace(b"/safe/x", target)], part, 4096)
        )
    _run(context, clients)


@when(
    "1 client sends {count:d} requests with bodies of {size:d} bytes and reads nothing"
)
def step_pipelined(context, count, size):
    address = (context.fleet.entry.host, 8081)
    request = HEAD % (1, b"Content-Length: %d" % size) + b"x" * size
    # The first is not answered, so that the answers behind it have to wait.
    first = HEAD.replace(b"/safe/x", b"/safe/hold")
    pieces = [first % (0, b"Content-Length: 0"), *[request] * count]
    _run(context, [CrowdClient(address, pieces, 0, 4096)])


@when(
    "{count:d} clients send {before} and one whose answer is {what} without end, and "
    "read {part:d} bytes"
)
def step_endless_answers(context, count, before, what, part):
    address = (context.fleet.entry.host, 8081)
    no_body = b"Content-Length: 0"
    clients = []
    for number in range(count):
        request = HEAD % (number, no_body)
        target = b"/safe/endless/" + quote(what).encode()
        pieces = [request.replace(b"/safe/x", target)]
        if before == "a request that waits":
            pieces.insert(0, request.replace(b"/safe/x", b"/safe/hold"))
        clients.append(CrowdClient(address, pieces, part, 4096))
    _run(context, clients)


@when(
    "{clients:d} clients send a request that waits and {count:d} with answers of "
    "{size:d} bytes behind it"
)
def step_answers_behind(context, clients, count, size):
    address = (context.fleet.entry.host, 8081)
    request = HEAD % (1, b"Content-Length: 0")
    first = request.replace(b"/safe/x", b"/safe/hold")
    others = [request.replace(b"/safe/x", b"/safe/stream/%d" % size)] * count
    _run(context, [CrowdClient(address, [first, *others]) for _ in range(clients)])


@when("{count:d} clients connect and send {what}")
def step_unfinished(context, count, what):
    address = (context.fleet.entry.host, 8081)
    pieces = []
    if what == "bodies that stop":
        pieces = [HEAD % (1, b"Content-Length: 1000") + b"x"]
    elif what != "nothing":
        pieces = [b"POST /safe/x HTTP/1.1\r\n", *[b"X-More: 1\r\n"] * 50]
    _run(context, [CrowdClient(address, pieces) for _ in range(count)])


@then("the processes live and stay within their limits")
def step_limits(context):
    memory_mb, descriptors = context.limits
    allowed = descriptors - RESERVED_DESCRIPTORS
    for process in context.fleet.processes:
        open_descriptors = process.wait_until_still()
        process.assert_lives()
        seen = (round(process.peak_mb, 1), open_descriptors)
        print(f"{process.host}: {seen[0]} MB at most, {seen[1]} descriptors")
        assert seen[0] <= memory_mb and seen[1] <= allowed, seen


@then("one ordinary request is answered with 200")
def step_ordinary(context):
    status = context.fleet.entry.call(8081, "/safe/x", b"b" * 2000)
    assert status == 200, status


@given("bodies of {size:d} bytes are allowed")
def step_allow(context, size):
    context.fleet.allow_bodies(size)


@when("one caller sends {size:d} bytes")
def step_one_large(context, size):
    try:
        context.status = context.fleet.entry.call(8081, "/safe/x", bytes(size))
    except (OSError, http.client.HTTPException) as error:
        context.status = error


@then("it is answered with {status:d}")
def step_status(context, status):
    assert context.status == status, context.status


def _serve_address(loop, limit, **options):
    """Serve an address of a process; return its server."""
    return HttpServer(
        loop.poller,
        loop.timers,
        loop.clock,
        LOCAL,
        RequestLimits,
        lambda request: request.answer(200, [], b""),
        max_descriptors=limit,
        **options,
    )


@given(
    "an address for callers and one for readiness in a process of {descriptors:d} "
    "descriptors"
)
def step_two_addresses(context, descriptors):
    context.loop = TestLoop(VirtualClock(100.0))
    limit = derive_descriptor_limit(descriptors)
    context.callers = _serve_address(context.loop, limit)
    context.readiness = _serve_address(
        context.loop,
        limit,
        reserved_connections=derive_reserved_connections(descriptors),
    )


@when("{count:d} callers take descriptors, which {crowd}")
def step_hold_descriptors(context, count, crowd):
    context.peers = []
    for number in range(count):
        peer = RawPeer(context.callers.address)
        context.add_cleanup(peer.close)
        context.peers.append(peer)
        if crowd != "connect and keep silent":
            peer.send(HEAD % (number, b"Content-Length: 1000") + b"x")
        context.loop.turn(0)
    context.goes_on = crowd == "send their bodies slowly"


@then(
    "{count:d} readiness questions on connections of their own are answered, "
    "{pause:g} s apart"
)
def step_readiness(context, count, pause):
    loop = context.loop
    for number in range(count):
        for peer in context.peers if context.goes_on else ():
            peer.send(b"x")
        loop.advance(pause)
        peer = RawPeer(context.readiness.address)
        peer.send(HEAD % (number, b"Content-Length: 0"))
        loop.run_until(lambda peer=peer: peer.poll().ended or peer.received, "the end")
        assert peer.received.startswith(b"HTTP/1.1 200 "), (number, peer.ended)
        peer.close()
        loop.turn(0)


@then("at most {most:d} descriptors are open")
def step_most_open(context, most):
    open_descriptors = context.loop.poller.count_descriptors()
    assert open_descriptors <= most, open_descriptors


@then("{count:d} connections to that address leave at most {most:d} descriptors open")
def step_readiness_crowd(context, count, most):
    for _ in range(count):
        peer = RawPeer(context.readiness.address)
        context.add_cleanup(peer.close)
        context.loop.turn(0)
    step_most_open(context, most)


@then("{count:d} random crowds of holders are relieved in the stated order")
def step_relieved(context, count):
    holding = st.tuples(st.integers(1, 5_000_000), st.floats(0, 30))

    @settings(max_examples=count, deadline=None, derandomize=True, database=None)
    @given_data(st.lists(holding, max_size=30), st.integers(0, 20_000_000))
    def check(found, needed):
        now = 100.0
        holdings = [
            Holding(number, held, now - age) for number, (held, age) in enumerate(found)
        ]
        for choose, may_go in (
            (choose_stalled, lambda held, age: now >= (now - age) + STALLED_S),
            (choose_largest, lambda held, age: held > SMALL_REQUEST_BYTES),
        ):
            chosen = choose(holdings, needed, now)
            assert all(may_go(*found[number]) for number in chosen)
            freed = sum(found[number][0] for number in chosen)
            others = [
                number
                for number in range(len(found))
                if number not in chosen and may_go(*found[number])
            ]
            assert freed >= needed or not others
            # The last one was needed.
            assert not chosen or freed - found[chosen[-1]][0] < needed
            worst = [
                held * (STALLED_S + now - (now - age))
                for held, age in (found[number] for number in chosen + others)
            ]
            kept = worst[len(chosen) :]
            assert not kept or not chosen or min(worst[: len(chosen)]) >= max(kept)

    check()


@then("budgets follow the memory of the machine")
def step_budgets(context):
    assert derive_budget_bytes(None) == DEFAULT_BUDGET_BYTES
    assert derive_budget_bytes(200_000_000) == 90_000_000
    assert derive_descriptor_limit(4100) == 3412
    assert derive_reserved_connections(4100) == 121
    account = MemoryAccount(100_000_000)
    account.requests.bytes = 67_108_864
    assert account.has_room(67_108_864) and not account.count_excess()
    account.caller_output.bytes = 26_000_000
    assert not account.has_room(SMALL_REQUEST_BYTES + 1) and account.has_room(1)
    account.link_input.bytes = 7_000_000
    assert not account.has_room(1) and account.count_excess() == 20_608_864


CALLER_ACTIONS = (
    HEAD % (1, b"Content-Length: 0"),
    HEAD % (1, b"Content-Length: 2000") + b"x" * 2000,
    HEAD % (1, b"Content-Length: 2000") + b"x" * 1000,
    HEAD % (1, b"Content-Length: 900000") + b"x" * 100_000,
    HEAD % (1, b"Content-Length: 2000000") + b"x" * 10,
    HEAD % (1, b"Transfer-Encoding: chunked") + b"2\r\nab\r\n" * 50,
    HEAD % (1, b"Connection: close\r\nContent-Length: 0") + b"GET",
    b"GET /",
    b"\x00garbage\r\n",
)


@then("nothing is counted after {count:d} random crowds of callers have come and gone")
def step_no_drift(context, count):
    for seed in range(count):
        rng = random.Random(seed)
        loop = TestLoop(VirtualClock(100.0))
        memory = MemoryAccount(rng.choice((300_000, 3_000_000, 30_000_000)))
        waiting = []

        def take(request, rng=rng, waiting=waiting):
            if rng.random() < 0.5:
                waiting.append(request)
                return
            request.answer(200, [], bytes(rng.choice((0, 2000, 500_000))))

        limits = RequestLimits(max_body_bytes=3_000_000)
        server = HttpServer(
            loop.poller,
            loop.timers,
            loop.clock,
            LOCAL,
            lambda limits=limits: limits,
            take,
            memory=memory,
        )
        peers = [RawPeer(server.address, 4096) for _ in range(8)]
        for _ in range(60):
            peer = rng.choice(peers)
            peer.send(rng.choice(CALLER_ACTIONS))
            loop.advance(rng.choice((0.0, 0.0, 0.3, 3.0)))
            if waiting and rng.random() < 0.4:
                waiting.pop(rng.randrange(len(waiting))).answer(200, [], bytes(3000))
            if rng.random() < 0.2:
                peer.poll()
        for peer in peers:
            peer.close()
        for request in waiting:
            request.answer(200, [], b"late")
        for _ in range(60):
            loop.advance(1.0)
        assert not server.connections, (seed, server.connections)
        assert not memory.total_bytes, (seed, list(memory.list_held()))
