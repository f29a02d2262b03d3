"""Round-robin dispatch with ejection after 5 consecutive failures."""

import random
from collections import deque
from collections.abc import Callable

from benchmarks.detection_world import (
    DEADLINE_S,
    SERVERS,
    SLOTS,
    SimServer,
    draw_work_s,
)
from benchmarks.events import EventQueue
from benchmarks.naive_health import NaiveHealthFleet


class NaiveDispatch:
    """Dispatcher for comparison with the product.

    It queues each request at the next server that is not ejected, whatever its load.
    """

    def __init__(self, seed: int, allowed: int) -> None:
        self.events = EventQueue()
        self._rng = random.Random(f"{seed}/work")
        self.servers = [
            SimServer(self.events, random.Random(f"{seed}/server/{index}"))
            for index in range(SERVERS)
        ]
        self._fleet = NaiveHealthFleet(SERVERS)
        self._queues: list[deque] = [deque() for _ in range(SERVERS)]
        self._in_use = [0] * SERVERS
        self._allowed = allowed
        self.floor_breaches = 0
        self.failed = 0
        self.on_eject: Callable[[int], None] = lambda index: None

    def offer(self) -> None:
        """Queue one request at the next server."""
        work_s = draw_work_s(self._rng)
        index = self._fleet.choose(self.events.clock.now())
        if index is None:
            self.failed += 1
            return
        item = [index, work_s, None, False]
        self.events.call_after(DEADLINE_S, lambda: self._time_out(item))
        self._queues[index].append(item)
        self._start(index)

    def _start(self, index: int) -> None:
        queue = self._queues[index]
        server = self.servers[index]
        while queue and (self._in_use[index] < SLOTS or not server.reachable):
            item = queue.popleft()
            if item[3]:
                continue
            if not server.reachable:
                item[3] = True
                self._record(index, failed=True)
                continue
            self._in_use[index] += 1
            item[2] = server.start(
                item[1], lambda failed, item=item: self._finish(item, failed)
            )

    def _finish(self, item: list, failed: bool) -> None:
        if item[3]:
            return
        item[3] = True
        self._in_use[item[0]] -= 1
        self._record(item[0], failed)
        self._start(item[0])

    def _time_out(self, item: list) -> None:
        if item[3]:
            return
        item[3] = True
        index = item[0]
        if item[2] is not None:
            self.servers[index].cancel(item[2])
            self._in_use[index] -= 1
        self._record(index, failed=True)
        self._start(index)

    def _record(self, index: int, failed: bool) -> None:
        now = self.events.clock.now()
        self.failed += failed
        if not self._fleet.record(index, failed, now):
            return
        ejected = sum(until > now for until in self._fleet.ejected_until)
        self.floor_breaches += ejected > self._allowed
        self.on_eject(index)
