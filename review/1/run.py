"""An unsafe request runs twice when its entry and its home are suspended in turn."""

import asyncio
import signal
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

BUDGET_MS = 10_000
WORK_S = 0.3
# Each suspension lasts 4 s, the longest that the site files name.
FREEZE_S = 4.0
HOME_FREEZE_AT_S = 3.0


async def play(fleet: Fleet) -> list[str]:
    entry = fleet.add_machine("graz-a", "patterns")
    homes = [
        fleet.add_machine("graz-b", "orders"),
        fleet.add_machine("leoben", "orders"),
    ]
    await fleet.configure(
        12,
        [
            make_route("warm", "safe", "orders", **{"timeout-s": 5}),
            make_route(
                "approve",
                "unsafe",
                "orders",
                **{"timeout-s": BUDGET_MS / 1000, "target-latency-s": 1},
            ),
        ],
        ["orders", "patterns"],
    )
    await fleet.start()
    servers = {}
    for number, home in enumerate(homes):
        server = Server(fleet.record, "orders", home.host, f"i-orders{number}")
        servers[home] = server
        await server.start()
    for machine in fleet.machines:
        await machine.wait_ready()
    for server in servers.values():
        server.send_heartbeats()
    await fleet.wait_serving(entry, "/warm/1", "GET")
    for _ in range(20):
        await fleet.ask(entry, "/warm/1", 1500)

    for server in servers.values():
        server.work = lambda request: WORK_S
    asked = asyncio.create_task(
        fleet.ask(entry, "/approve/1", BUDGET_MS, "POST", b"batch")
    )

    def list_runs() -> list[tuple]:
        return [
            run
            for server in servers.values()
            for run in server.runs
            if run[1] == "POST /approve/1"
        ]

    await fleet.wait_until(list_runs, "the request runs")
    home = next(
        machine
        for machine, server in servers.items()
        if any(run[1] == "POST /approve/1" for run in server.runs)
    )
    if TROUBLE:
        await asyncio.sleep(0.05)
        entry.signal(signal.SIGSTOP)
        await asyncio.sleep(HOME_FREEZE_AT_S)
        home.signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S - HOME_FREEZE_AT_S)
        entry.signal(signal.SIGCONT)
        await asyncio.sleep(HOME_FREEZE_AT_S)
        home.signal(signal.SIGCONT)
    outcome = await asked
    await asyncio.sleep(1.0)
    runs = list_runs()
    if not runs:
        raise CannotRunError("the request never ran")
    breaches = []
    if len(runs) > 1:
        breaches.append(f"TWICE: {outcome.request_id} ran {len(runs)} times")
    if outcome.status in (408, 421, 429, 503):
        breaches.append(f"REFUSED: {outcome.request_id} got {outcome.status}, but ran")
    return breaches


run_case(__file__, play)
