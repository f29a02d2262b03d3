"""A request that waits at a home is run by a server of another service.

The home's server falls silent and its address goes to a server of another service.
"""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "lib"))
from harness import (
    TROUBLE,
    CannotRunError,
    Fleet,
    Server,
    make_route,
    run_case,
)

SLOTS = 4
WAITING = 3
ADDRESS_REUSE_S = 2.0
ARCHIVE_BUDGET_MS = 4000
ARCHIVE_WORK_S = 1.8
READ_BUDGET_MS = 10_000
READ_WORK_S = 0.8


async def play(fleet: Fleet) -> list[str]:
    entry = fleet.add_machine("graz-a", "orders")
    home = fleet.add_machine("graz-b", "patterns")
    routes = [
        make_route(
            "status", "safe", "orders", **{"timeout-s": 3, "target-latency-s": 1}
        ),
        make_route(
            "archive", "download", "patterns", **{"timeout-s": 4, "target-latency-s": 1}
        ),
        make_route(
            "read", "safe", "patterns", **{"timeout-s": 5, "target-latency-s": 2.5}
        ),
    ]
    await fleet.configure(12, routes, ["orders", "patterns"])
    await fleet.start()
    orders = Server(fleet.record, "orders", entry.host, "i-orders")
    patterns = Server(fleet.record, "patterns", home.host, "i-patterns", SLOTS)
    for server in (orders, patterns):
        await server.start()
    for machine in fleet.machines:
        await machine.wait_ready()
    for server in (orders, patterns):
        server.send_heartbeats()
    await fleet.wait_serving(entry, "/read/0", "GET")
    await fleet.wait_serving(entry, "/status/0", "GET")
    for _ in range(20):
        await fleet.ask(entry, "/read/0", READ_BUDGET_MS)

    patterns.work = lambda request: (
        ARCHIVE_WORK_S if "/archive/" in request.start_line else READ_WORK_S
    )
    running = [
        asyncio.create_task(fleet.ask(entry, f"/archive/{number}", ARCHIVE_BUDGET_MS))
        for number in range(SLOTS)
    ]
    await fleet.wait_until(
        lambda: sum("/archive/" in run[1] for run in patterns.runs) == SLOTS,
        "all slots are in use",
    )
    waiting = [
        asyncio.create_task(fleet.ask(entry, f"/read/{number + 1}", READ_BUDGET_MS))
        for number in range(WAITING)
    ]
    await asyncio.sleep(0.3)
    new = Server(fleet.record, "orders", home.host, "i-reused", SLOTS)
    if TROUBLE:
        await patterns.fall_silent()
        await asyncio.sleep(ADDRESS_REUSE_S + 0.1)
        patterns.give_up_address()
        await new.start()
        home.service = "orders"
        home.write_settings()
        new.send_heartbeats()
    outcomes = await asyncio.gather(*running, *waiting)
    if not patterns.runs:
        raise CannotRunError("no request ran")
    breaches = [
        f"ROUTE: {request} ran at {new.instance} of {new.service}"
        for _, request, _, _ in new.runs + orders.runs
        if not request.startswith("GET /status/")
    ]
    for outcome in outcomes:
        if outcome.status == 200 and not outcome.seal.startswith("i-patterns."):
            breaches.append(f"ROUTE: {outcome.request_id} got the seal {outcome.seal}")
    return breaches


run_case(__file__, play)
