"""A spoiled answer takes the other requests of its connection with it.

Callers send two requests on one kept connection. The answer to the second, which is not
sent before the first, breaks off; the first is still being served by a sound server.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
from harness import (
    OUTBOUND,
    TROUBLE,
    CannotRunError,
    Fleet,
    Outcome,
    Server,
    encode_answer,
    make_route,
    run_case,
)

# The rule allows three.
PAIRS = 6
# With one spoiled answer in this many, the share of spoiled answers is 2 %.
ANSWERS_PER_SPOILED = 50
STATUS_WORK_S = 1.8
READ_BYTES = 9000
# The server sends the first half of its answer, and the rest after this time.
PAUSE_S = 0.8


async def ask_pair(fleet: Fleet, machine, number: int) -> tuple[Outcome, Outcome]:
    """Send a request, and on the same connection two more at once."""
    reader, writer = await asyncio.open_connection(machine.host, OUTBOUND)
    first_id, data = fleet.encode_request("/status/quick", 3000)
    writer.write(data)
    opening = Outcome(first_id)
    await fleet.read_answer(reader, opening)
    if opening.status != 200:
        raise CannotRunError("the first request of the connection failed")
    outcomes = []
    requests = b""
    for path in (f"/status/slow{number}", f"/read/paused{number}"):
        request_id, data = fleet.encode_request(path, 3000)
        fleet.record.note(f"sent {request_id} GET {path} on a kept connection")
        outcomes.append(Outcome(request_id))
        requests += data
    writer.write(requests)
    for outcome in outcomes:
        try:
            await fleet.read_answer(reader, outcome)
        except ConnectionError as error:
            fleet.record.note(f"no answer to {outcome.request_id}: {error!r}")
    writer.close()
    return outcomes[0], outcomes[1]


async def play(fleet: Fleet) -> list[str]:
    entry = fleet.add_machine("graz-a", "orders")
    home = fleet.add_machine("graz-b", "patterns")
    fields = {"timeout-s": 5, "target-latency-s": 2.5}
    await fleet.configure(
        12,
        [
            make_route("status", "safe", "orders", **fields),
            make_route("read", "safe", "patterns", **fields),
        ],
        ["orders", "patterns"],
    )
    await fleet.start()
    orders = Server(fleet.record, "orders", entry.host, "i-orders")
    orders.work = lambda request: (
        STATUS_WORK_S if "/status/slow" in request.start_line else 0.01
    )
    patterns = Server(fleet.record, "patterns", home.host, "i-patterns")
    patterns.work = lambda request: 0.01

    async def answer_read(writer, request, headers) -> bool:
        data = encode_answer(200, headers, b"p" * READ_BYTES)
        if "/read/paused" not in request.start_line:
            writer.write(data)
            return True
        half = len(data) - READ_BYTES // 2
        writer.write(data[:half])
        await asyncio.sleep(PAUSE_S)
        if TROUBLE:
            fleet.record.note(f"answer to {request.get('request-id')} breaks off")
            return False
        writer.write(data[half:])
        return True

    patterns.answer = answer_read
    for server in (orders, patterns):
        await server.start()
    for machine in fleet.machines:
        await machine.wait_ready()
    for server in (orders, patterns):
        server.send_heartbeats()
    await fleet.wait_serving(entry, "/read/0", "GET")
    await fleet.wait_serving(entry, "/status/0", "GET")
    unanswered = []
    for number in range(PAIRS):
        for _ in range(ANSWERS_PER_SPOILED):
            await fleet.ask(entry, "/read/0", 3000)
        slow, _ = await ask_pair(fleet, entry, number)
        if not any(run[0] == slow.request_id for run in orders.runs):
            raise CannotRunError("the request was not passed on to its server")
        if slow.status == 0:
            unanswered.append(slow.request_id)
    if len(unanswered) <= 3:
        return []
    return [
        f"LOST: {len(unanswered)} of {PAIRS} requests that a sound server ran "
        "ended with their connection"
    ]


run_case(__file__, play)
