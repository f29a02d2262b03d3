"""Turn one loop for the stand-ins and the callers."""

import os
import sys

from circuits import Component

from flamingobank.core import MonotonicClock
from flamingobank.loop import Poller, Timers

MAX_POLL_WAIT_S = 0.02


class SoakLoop(Component):
    """Turn one loop for the stand-ins and the callers."""

    def __init__(self) -> None:
        super().__init__()
        self.clock = MonotonicClock()
        self.poller = Poller().register(self)
        self.timers = Timers(self.clock).register(self)

    def exception(self, kind, error, trace, handler=None, fevent=None) -> None:
        """End the soak; an exception of a stand-in is a fault of the soak."""
        print("".join(trace), file=sys.stderr)
        os._exit(70)

    def run_until(self, deadline: float) -> None:
        """Turn the loop until a time."""
        while self.clock.now() < deadline:
            left_s = self.timers.run_due()
            self.poller.wait(
                MAX_POLL_WAIT_S if left_s is None else min(MAX_POLL_WAIT_S, left_s)
            )
            while len(self):
                self.flush()
