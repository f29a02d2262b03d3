"""A server whose leaving was acknowledged gets work again after a restart.

The leaving is acknowledged while the store is down, and all sidecars are killed before
the store is back.
"""

import asyncio
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
from harness import (
    TROUBLE,
    CannotRunError,
    Fleet,
    Server,
    make_route,
    run_case,
)

DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
STORE_DOWN_S = 4.5
KILL_AFTER_ACK_S = 1.0
RESTART_AFTER_S = 0.3
# Delay of the server's last heartbeat before its notice that it leaves.
LATE_HEARTBEAT_S = 2.5
REQUESTS = 60


async def play(fleet: Fleet) -> list[str]:
    entry = fleet.add_machine("graz-a", "patterns")
    homes = [
        fleet.add_machine("graz-b", "orders"),
        fleet.add_machine("leoben", "orders"),
    ]
    await fleet.configure(
        12,
        [
            make_route(
                "status", "safe", "orders", **{"timeout-s": 3, "target-latency-s": 1}
            )
        ],
        ["orders", "patterns"],
    )
    await fleet.start()
    leaving, staying = (
        Server(fleet.record, "orders", home.host, f"i-orders{number}")
        for number, home in enumerate(homes)
    )
    for server in (leaving, staying):
        await server.start()
    for machine in fleet.machines:
        await machine.wait_ready()
    for server in (leaving, staying):
        server.send_heartbeats()
    await fleet.wait_serving(entry, "/status/0", "GET")
    for _ in range(20):
        await fleet.ask(entry, "/status/0", 1500)
    if not leaving.runs:
        raise CannotRunError("the server that shall leave got no work")

    if TROUBLE:
        fleet.store.busy = True
        fleet.record.note("the store answers 503")
    down_at = time.monotonic()
    await asyncio.sleep(0.5)
    leaving.stop_heartbeats()
    late_heartbeat = leaving.make_heartbeat()
    made_at = time.monotonic()
    status = await leaving.deregister()
    acknowledged_at = time.monotonic()
    fleet.record.note(f"deregister of {leaving.instance} is answered with {status}")
    if not 200 <= status < 300:
        # Without an acknowledgement nothing binds the machine.
        return []
    if TROUBLE:
        await asyncio.sleep(KILL_AFTER_ACK_S)
        for machine in fleet.machines:
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(RESTART_AFTER_S)
        for machine in fleet.machines:
            machine.kill()
            machine.start()
    await asyncio.sleep(made_at + LATE_HEARTBEAT_S - time.monotonic())
    status = await leaving.send_call(*late_heartbeat)
    fleet.record.note(f"late heartbeat of {leaving.instance}, answer {status}")
    await asyncio.sleep(down_at + STORE_DOWN_S - time.monotonic())
    fleet.store.busy = False
    fleet.record.note("the store answers again")
    for machine in fleet.machines:
        await machine.wait_ready()
    await fleet.wait_serving(entry, "/status/0", "GET")
    await asyncio.sleep(STABILITY_WINDOW_S + 0.5)
    in_touch_at = time.monotonic()
    fleet.record.note("all machines are in touch")
    for number in range(REQUESTS):
        await fleet.ask(entry, f"/status/{number + 1}", 1500)
    late = [run for run in leaving.runs if run[3] > in_touch_at]
    if not staying.runs or in_touch_at < acknowledged_at + DRAIN_S:
        raise CannotRunError("nothing was served after the disruption")
    if late:
        return [
            f"DRAIN: {len(late)} requests ran at {leaving.instance}, the first "
            f"{late[0][3] - acknowledged_at:.1f} s after its leaving was acknowledged"
        ]
    return []


run_case(__file__, play)
