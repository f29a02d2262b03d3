"""Stop a process after its open requests have ended, within the grace period.

How long a server will work on a request is not known, but its deadline is. A request
that could still be running at the end of the process is not started, as its outcome
would be lost; it is refused at once, and its caller may send it elsewhere.
"""

from collections.abc import Callable

from flamingobank.core import Clock
from flamingobank.loop import Timers
from flamingobank.sidecar.callers.entry import Entry
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.homes.home import Home
from flamingobank.sidecar.http.http_server import HttpServer

# The listening socket stays open this long, so that two readiness checks of callers,
# a second apart, can see that this process is stopping.
READINESS_NOTICE_S = 2.3
# This long before the end of the grace period, requests that are still open get their
# final answers, and the process ends when these are sent, within FLUSH_TIMEOUT_S.
STOP_MARGIN_S = 0.4
FLUSH_TIMEOUT_S = 0.2
STOP_CHECK_INTERVAL_S = 0.05


class Shutdown:
    """Drain callers' connections, finish open requests, then end the process."""

    def __init__(
        self,
        clock: Clock,
        timers: Timers,
        event_log: EventLog,
        entry: Entry,
        home: Home,
        callers: HttpServer,
        end_process: Callable[[], None],
    ) -> None:
        self.begun = False
        self._clock = clock
        self._timers = timers
        self._event_log = event_log
        self._entry = entry
        self._home = home
        self._callers = callers
        self._end_process = end_process
        self._close_at = 0.0
        self._exit_at = 0.0
        # Requests that were still open at the end.
        self._ended_requests = 0

    def begin(self, grace_s: float) -> None:
        """Start to drain the home and the callers; end within the grace period."""
        now = self._clock.now()
        self.begun = True
        self._close_at = now + READINESS_NOTICE_S
        self._exit_at = now + grace_s - STOP_MARGIN_S
        self._event_log.event(
            "sidecar:stopping",
            open_requests=len(self._entry.exchanges),
            running=len(self._home.requests),
        )
        self._home.leave(self._exit_at)
        self._entry.begin_stop(self._exit_at)
        self._callers.drain()
        self._timers.call_every(STOP_CHECK_INTERVAL_S, self._check)

    def _check(self) -> None:
        now = self._clock.now()
        if now < self._close_at:
            return
        self._callers.close()
        idle = (
            not self._entry.exchanges
            and self._home.is_idle
            and not self._callers.connections
        )
        if not idle and not self._has_finished(now):
            return
        self._event_log.event(
            "sidecar:stopped",
            ended=self._ended_requests,
            connections=len(self._callers.connections),
        )
        self._end_process()

    def _has_finished(self, now: float) -> bool:
        """End open requests when the time is over; return whether they are answered."""
        if now < self._exit_at:
            return False
        self._ended_requests += len(self._entry.exchanges)
        self._entry.end_all()
        return not self._callers.output_bytes or now >= self._exit_at + FLUSH_TIMEOUT_S
