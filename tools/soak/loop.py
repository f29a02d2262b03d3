"""Provide the event loop that the stand-ins and the callers of a soak share."""

import os
import sys

from circuits import Component

from flamingobank.core import MonotonicClock
from flamingobank.loop import Poller, Timers

MAX_POLL_WAIT_S = 0.02


class SoakLoop(Component):
    """Event loop with a poller and timers, driven by ``run_until``."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = MonotonicClock()
        self.poller = Poller().register(self)
        self.timers = Timers(self.clock).register(self)

    def exception(self, kind, error, trace, handler=None, fevent=None) -> None:
        """Exit with code 70; an exception in a stand-in is a defect of the soak."""
        print("".join(trace), file=sys.stderr)
        os._exit(70)

    def run_until(self, deadline: float) -> None:
        """Process events and timers until a time of the clock."""
        while self.clock.now() < deadline:
            left_s = self.timers.run_due()
            self.poller.wait(
                MAX_POLL_WAIT_S if left_s is None else min(MAX_POLL_WAIT_S, left_s)
            )
            while len(self):
                self.flush()
