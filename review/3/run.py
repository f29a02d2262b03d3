"""A server whose leaving was acknowledged gets work again.

It leaves just after the sidecar beside it was restarted, and its last heartbeat before
that arrives late.
"""

import asyncio
import signal
import sys
import time
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

DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
# The platform starts a process that was killed again after a short delay.
RESTART_AFTER_S = 0.3
LATE_HEARTBEAT_S = 3.0
# The server serves this long after its leaving was acknowledged.
STAYS_S = 8.0
WORK_S = 0.3
REQUESTS_PER_S = 10


async def play(fleet: Fleet) -> list[str]:
    entry = fleet.add_machine("graz-a", "patterns")
    homes = [
        fleet.add_machine("graz-b", "orders"),
        fleet.add_machine("leoben", "orders"),
    ]
    await fleet.configure(
        12,
        [
            make_route("status", "safe", "orders", **{"timeout-s": 3}),
            make_route("approve", "unsafe", "orders", **{"timeout-s": 4}),
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
    for server in (leaving, staying):
        server.work = lambda request: WORK_S

    # The heartbeat that is sent now arrives late; the next one is due in 1.5 s.
    leaving.stop_heartbeats()
    late_heartbeat = leaving.make_heartbeat()
    sent_at = time.monotonic()
    await asyncio.sleep(0.1)
    home = homes[0]
    if TROUBLE:
        home.signal(signal.SIGKILL)
        home.kill()
        await asyncio.sleep(RESTART_AFTER_S)
        home.start()
    # A server that gets no acknowledgement sends its notice again.
    status = 0
    while status != 200:
        status = await leaving.deregister()
        fleet.record.note(f"deregister of {leaving.instance}, answer {status}")
        if time.monotonic() > sent_at + 1.5:
            raise CannotRunError("no acknowledgement before the next heartbeat is due")
        await asyncio.sleep(0.02)
    acknowledged_at = time.monotonic()
    await asyncio.sleep(sent_at + LATE_HEARTBEAT_S - time.monotonic())
    status = await leaving.send_call(*late_heartbeat)
    fleet.record.note(f"late heartbeat of {leaving.instance}, answer {status}")
    await home.wait_ready()
    await asyncio.sleep(
        max(0, acknowledged_at + STABILITY_WINDOW_S + 1.0 - time.monotonic())
    )
    in_touch_at = time.monotonic()
    fleet.record.note("all machines are in touch")
    asked = []
    while time.monotonic() < acknowledged_at + STAYS_S:
        asked.append(
            asyncio.create_task(fleet.ask(entry, "/approve/1", 4000, "POST", b"batch"))
        )
        await asyncio.sleep(1 / REQUESTS_PER_S)
    leaving.end()
    outcomes = await asyncio.gather(*asked)
    late = [run for run in leaving.runs if run[3] > in_touch_at]
    if not staying.runs or in_touch_at < acknowledged_at + DRAIN_S:
        raise CannotRunError("nothing was served after the disruption")
    if not late:
        return []
    late_ids = {run[0] for run in late}
    lost = [
        outcome.request_id
        for outcome in outcomes
        if outcome.request_id in late_ids and outcome.status != 200
    ]
    return [
        f"DRAIN: {len(late)} requests ran at {leaving.instance}, the first "
        f"{late[0][3] - acknowledged_at:.1f} s after its leaving was acknowledged; "
        f"{len(lost)} of them were lost when it ended"
    ]


run_case(__file__, play)
