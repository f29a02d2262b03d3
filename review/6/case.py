"""A request that may run once runs twice after its machine froze twice."""

import asyncio
import collections
import pathlib
import random
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from stage import Client, run_case  # noqa: E402

DESKS = 17
LIBRARIES = 3
# Of the 20 machines, 3 run slower: 20 ms of work, then 90 ms of standing still.
SLOW_RUN_S = 0.02
SLOW_STOP_S = 0.09
# One machine freezes twice, with a pause between.
FREEZE_S = 1.05
PAUSE_S = (0.15, 0.45)
REQUESTS = 12
FREEZE_AFTER_S = 0.7
WORK_MS = 150
SPREAD_MS = 3200
LENGTH_S = 75
ROUTES = {
    "approve": {
        "service": "library",
        "kind": "unsafe",
        "timeout-s": 8,
        "target-latency-s": 6,
    },
}


class Interrupter:
    """Stops and continues one process, to freeze it or to make it slow."""

    def __init__(self, machine):
        self.machine = machine
        self.frozen = False
        self.done = False

    async def slow_down(self):
        while not self.done:
            self.machine.send_signal(signal.SIGSTOP)
            await asyncio.sleep(SLOW_STOP_S)
            while self.frozen:
                await asyncio.sleep(0.005)
            self.machine.send_signal(signal.SIGCONT)
            end = time.monotonic() + SLOW_RUN_S
            while time.monotonic() < end and not self.frozen:
                await asyncio.sleep(0.004)

    async def freeze(self):
        self.frozen = True
        self.machine.send_signal(signal.SIGSTOP)
        await asyncio.sleep(FREEZE_S)
        self.frozen = False


async def case(stage, record, trouble):
    zones = [("ab"[number % 2], "desk") for number in range(DESKS)]
    zones += [("ab"[number % 2], "library") for number in range(LIBRARIES)]
    await stage.start(zones, ROUTES)
    entry = stage.machines[0]
    slow = [Interrupter(entry)]
    slow += [Interrupter(machine) for machine in stage.machines[-2:]]
    sent = []

    async def approve():
        client = Client(entry, record, 8000)
        try:
            await client.connect()
        except (OSError, TimeoutError):
            return
        path = f"/approve/work-{WORK_MS}/size-300000/spread-{SPREAD_MS}"
        sent.append(await client.send(path, "POST", b"once"))
        await client.receive(sent[-1])
        client.close()

    slowing = []
    if trouble:
        slowing = [asyncio.create_task(one.slow_down()) for one in slow]
    end = time.monotonic() + LENGTH_S
    while time.monotonic() < end:
        requests = [asyncio.create_task(approve()) for _ in range(REQUESTS)]
        await asyncio.sleep(FREEZE_AFTER_S)
        if trouble:
            record.note("freeze", machine=entry.name)
            await slow[0].freeze()
            await asyncio.sleep(random.uniform(*PAUSE_S))
            record.note("freeze", machine=entry.name)
            await slow[0].freeze()
        await asyncio.gather(*requests)
    for one in slow:
        one.done = True
    await asyncio.gather(*slowing)
    runs = collections.Counter()
    for line in record.read():
        if " run " in line:
            runs[line.split("request=")[1].split()[0]] += 1
    twice = [request for request in sent if runs[request] > 1]
    for request in twice:
        record.note("twice", request=request, runs=runs[request])
    if twice:
        return f"{len(twice)} of {len(sent)} unsafe requests ran more than once"
    return None


run_case("6", case, FOLDER)
