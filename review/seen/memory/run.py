"""Two large bodies at once take a sidecar above the memory of its machine."""

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "lib"))
from harness import TROUBLE, Fleet, Server, make_route, run_case

MEMORY_MB = 300
MAX_BODY_BYTES = 67_108_864
BODY_BYTES = 60_000_000
BODIES = 2 if TROUBLE else 1


def read_peak_mb(process_id: int) -> float:
    """Return the largest resident memory of a process so far."""
    for line in Path(f"/proc/{process_id}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1000
    return 0.0


async def play(fleet: Fleet) -> list[str]:
    entry = fleet.add_machine("graz-a", "patterns")
    home = fleet.add_machine("graz-b", "orders")
    await fleet.configure(
        12,
        [
            make_route("approve", "unsafe", "orders", **{"timeout-s": 10}),
            make_route("warm", "safe", "orders", **{"timeout-s": 10}),
        ],
        ["orders", "patterns"],
        MAX_BODY_BYTES,
    )
    await fleet.start()
    server = Server(fleet.record, "orders", home.host, "i-orders")
    await server.start()
    for machine in fleet.machines:
        await machine.wait_ready()
    server.send_heartbeats()
    await fleet.wait_serving(entry, "/warm/1", "GET")
    body = os.urandom(BODY_BYTES)
    await asyncio.gather(
        *[
            fleet.ask(entry, f"/approve/{number}", 10_000, "POST", body)
            for number in range(BODIES)
        ]
    )
    breaches = []
    for machine in fleet.machines:
        peak_mb = read_peak_mb(machine.process.pid)
        fleet.record.note(f"{machine.name} took {peak_mb:.0f} MB")
        if peak_mb > MEMORY_MB:
            breaches.append(f"{machine.name} took {peak_mb:.0f} of {MEMORY_MB} MB")
    return breaches


run_case(__file__, play)
