"""Answers that a simulated server sends in parts."""

from flamingobank.core import Clock
from flamingobank.loop import Headers, Timers
from flamingobank.sidecar.http.caller_request import CallerRequest, CallerWatcher

PART_INTERVAL_S = 0.05


class StreamedAnswer(CallerWatcher):
    """An answer whose parts are alike, sent one after another; also without end.

    A part is sent once the one before it has left, so that a reader that is slow or
    gone costs no memory here.
    """

    def __init__(
        self,
        timers: Timers,
        clock: Clock,
        request: CallerRequest,
        headers: Headers,
        part: bytes,
        count: int | None,
        length: int | None = None,
    ) -> None:
        self._timers = timers
        self._clock = clock
        self._request = request
        self._part = part
        # None for an answer without end.
        self._unsent_count = count
        self._drained = True
        self.ended = False
        request.watcher = self
        request.start(200, headers, length)
        self._send_next()

    def on_caller_left(self) -> None:
        self.ended = True

    def on_output_sent(self) -> None:
        self._drained = True

    def _send_next(self) -> None:
        if self.ended:
            return
        if self._unsent_count == 0:
            self.ended = True
            self._request.finish()
            return
        if self._drained:
            self._drained = False
            if self._unsent_count is not None:
                self._unsent_count -= 1
            self._request.write(self._part)
        self._timers.call_at(self._clock.now() + PART_INTERVAL_S, self._send_next)
