"""Requests that wait for a slot get no answer when their sidecar is stopped."""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import (
    OUTBOUND,
    TROUBLE,
    CannotRunError,
    Fleet,
    Outcome,
    Server,
    make_route,
    run_case,
)

SLOTS = 4
WAITING = 3
GRACE_S = 6.0
BUDGET_MS = 10_000
TIMEOUT_S = 5.0
SLOW_WORK_S = 8.0
SLOW_AT_S = 1.0
SENT_AT_S = 1.5


async def ask(fleet: Fleet, machine, path: str) -> Outcome:
    """Send one request and read its answer or the end of its connection."""
    reader, writer = await asyncio.open_connection(machine.host, OUTBOUND)
    request_id, data = fleet.encode_request(path, BUDGET_MS)
    fleet.record.note(f"sent {request_id} GET {path} to {machine.name}")
    writer.write(data)
    outcome = Outcome(request_id)
    try:
        await fleet.read_answer(reader, outcome)
    except ConnectionError as error:
        fleet.record.note(f"no answer to {request_id}: {error!r}")
    writer.close()
    return outcome


async def play(fleet: Fleet) -> list[str]:
    stopped = fleet.add_machine("graz-a", "orders")
    home = fleet.add_machine("graz-b", "patterns")
    other = fleet.add_machine("leoben", "orders")
    await fleet.configure(
        12,
        [
            make_route(
                "read",
                "safe",
                "patterns",
                **{"timeout-s": TIMEOUT_S, "target-latency-s": 2.5},
            )
        ],
        ["orders", "patterns"],
    )
    await fleet.start()
    server = Server(fleet.record, "patterns", home.host, "i-patterns", SLOTS)
    server.work = lambda request: (
        SLOW_WORK_S if "/read/slow" in request.start_line else 0.8
    )
    await server.start()
    for machine in fleet.machines:
        await machine.wait_ready()
    server.send_heartbeats()
    for machine in (stopped, other):
        await fleet.wait_serving(machine, "/read/0", "GET")
    await asyncio.sleep(3.0)
    stopped_at = time.monotonic()
    if TROUBLE:
        stopped.signal(signal.SIGTERM)
    await asyncio.sleep(SLOW_AT_S)
    slow = [
        asyncio.create_task(ask(fleet, other, f"/read/slow{number}"))
        for number in range(SLOTS)
    ]
    await asyncio.sleep(SENT_AT_S - SLOW_AT_S)
    waiting = [
        asyncio.create_task(ask(fleet, stopped, f"/read/{number + 1}"))
        for number in range(WAITING)
    ]
    outcomes = await asyncio.gather(*waiting)
    ended_at = time.monotonic() - stopped_at
    await asyncio.gather(*slow)
    ran = {run[0] for run in server.runs}
    lost = [
        outcome
        for outcome in outcomes
        if outcome.status == 0 and outcome.request_id not in ran
    ]
    if ended_at > SENT_AT_S + TIMEOUT_S and lost:
        raise CannotRunError("the route's timeout was reached")
    if not lost:
        return []
    return [f"LOST: {len(lost)} of {WAITING} requests that never ran got no answer"]


run_case(__file__, play)
