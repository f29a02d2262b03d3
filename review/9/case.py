"""A planned stop cuts requests sent before a streamed last answer was seen."""

import asyncio
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from stage import Client, Path, run_case  # noqa: E402

# One way between requesters and machines, as on the sheet of Faltwerk Graz.
PATH_DELAY_S = 0.008
ROUNDS = 6
CONNECTIONS = 16
WORK_MS = 800
SPREAD_MS = 1600
# After its first request a connection sends the next one at a random time in this span.
NEXT_S = (1.2, 1.5)
STOP_S = 0.3
GRACE_S = 6
DEADLINE_MS = 3000
ROUTES = {
    "archive": {
        "service": "library",
        "kind": "download",
        "timeout-s": 5,
        "target-latency-s": 4,
    },
    "read": {
        "service": "library",
        "kind": "safe",
        "timeout-s": 5,
        "target-latency-s": 4,
    },
}


async def case(stage, record, trouble):
    zones = [("a", "desk")] + [("a", "library"), ("b", "library")] * 3
    await stage.start(zones, ROUTES)
    entry = stage.machines[0]
    path = Path(entry, PATH_DELAY_S)
    await path.start(f"127.{stage.net}.0.2")
    lost = []

    async def use_connection():
        client = Client(path, record, DEADLINE_MS)
        await client.connect()
        answer = f"work-{WORK_MS}/size-400000/spread-{SPREAD_MS}"
        first = await client.send(f"/archive/{answer}")
        receiving = asyncio.create_task(client.receive(first))
        await asyncio.sleep(random.uniform(*NEXT_S))
        if client.closing:
            # The head of the answer has said that the connection will be closed.
            await receiving
            client.close()
            return
        second = await client.send("/read/work-300")
        status = await receiving
        if status:
            status = await client.receive(second)
        client.close()
        if not status and any(
            " run " in line and second in line for line in record.read()
        ):
            record.note("lost", request=second)
            lost.append(second)

    for number in range(ROUNDS):
        began = time.monotonic()
        tasks = [asyncio.create_task(use_connection()) for _ in range(CONNECTIONS)]
        await asyncio.sleep(STOP_S)
        if trouble:
            record.note("sigterm", machine=entry.name, round=number)
            entry.send_signal(signal.SIGTERM)
        await asyncio.gather(*tasks, return_exceptions=True)
        if trouble:
            while entry.process.poll() is None:
                if time.monotonic() > began + STOP_S + GRACE_S:
                    entry.process.kill()
                await asyncio.sleep(0.05)
            entry.start()
        while not await entry.is_ready():
            await asyncio.sleep(0.1)
        await asyncio.sleep(2)
    if lost:
        return f"{len(lost)} requests were passed on and got no answer"
    return None


run_case("9", case, FOLDER)
