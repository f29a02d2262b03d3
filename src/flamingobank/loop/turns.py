"""Root component that runs turns of the circuits loop without an event for each."""

import sys

from circuits import Component
from circuits.core.events import exception

from flamingobank.loop.poller import Poller
from flamingobank.loop.timers import Timers


class LoopComponent(Component):
    """Root of a loop that has one poller and one set of timers as its event sources.

    A turn of circuits fires and dispatches an event to determine what is ready, which
    takes 18 us, and a node at 270 requests/s runs several hundred turns per second.
    This class calls the poller and timers directly; queued events are still
    dispatched by circuits.
    """

    poller: Poller
    timers: Timers

    def _signal_handler(self, signo, stack) -> None:
        super()._signal_handler(signo, stack)
        # Python resumes an interrupted wait after the handler, so without this the
        # signal would be handled only when the next timer is due.
        self.poller.resume()

    def tick(self, timeout: float = -1) -> None:
        """Run one turn of the loop."""
        if len(self) or self._tasks or not self.running:
            super().tick(timeout)
            return
        try:
            remaining_s = self.timers.run_due()
            if len(self):
                remaining_s = 0.0
            elif timeout >= 0 and (remaining_s is None or timeout < remaining_s):
                remaining_s = timeout
            self.poller.wait(remaining_s)
        except Exception:
            kind, error, trace = sys.exc_info()
            self.fire(exception(kind, error, trace))
