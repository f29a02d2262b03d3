"""Handle the announcements of the server on this machine.

A departure is the server's notice that it leaves. A later sidecar process on this
machine must also act on a departure that was confirmed. So the departure is sent to the
peers and written to the store, and confirmed when the store has it. If the store cannot
be written, the home stops sending work all the same, and the server asks again.
"""

from collections.abc import Callable

from expression import Result

from flamingobank.core import Clock
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import RoutingTable
from flamingobank.sidecar.fleet.server_state import Announcement, Departure, Lifecycle
from flamingobank.sidecar.homes.home import Home
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.metrics import SidecarMetrics

CallDecoder = Callable[[str, str, bytes], Result[Announcement | Departure, str]]
JSON_HEADERS = [(b"content-type", b"application/json")]


class AnnouncementHandler:
    """Apply the server's announcements and departures to the home."""

    def __init__(
        self,
        clock: Clock,
        read_wall_ms: Callable[[], int],
        home: Home,
        event_log: EventLog,
        metrics: SidecarMetrics,
        decode: CallDecoder,
    ) -> None:
        self.read_table: Callable[[], RoutingTable | None] = lambda: None
        self.on_changed: Callable[[], None] = lambda: None
        # Sends the departures to peers, writes them to the store for a later sidecar
        # process on this machine, and calls back with whether the store has them. The
        # default writes nothing; the daemon replaces it.
        self.keep_departures: Callable[[Callable[[bool], None]], None] = (
            lambda on_done: on_done(True)
        )
        self._clock = clock
        self._read_wall_ms = read_wall_ms
        self._home = home
        self._event_log = event_log
        self._metrics = metrics
        self._decode = decode

    def take(self, request: CallerRequest) -> None:
        """Apply one announcement or departure and answer its request."""
        path = request.target.decode("latin-1").partition("?")[0]
        decoded = self._decode(request.method, path, request.body)
        if decoded.is_error():
            self._metrics.count("announcements_total", outcome="malformed")
            self._event_log.warn("control:malformed", error=decoded.error)
            request.answer(400, JSON_HEADERS, b"{}")
            return
        call = decoded.ok
        if isinstance(call, Departure):
            changed = self._home.server.take_departure(call, self._read_wall_ms())
            leaving = True
        else:
            if not self._names_known_service(call):
                self._metrics.count("announcements_total", outcome="unknown-service")
                self._event_log.warn(
                    "control:unknown-service",
                    instance=call.instance,
                    service=call.service,
                )
                request.answer(400, JSON_HEADERS, b"{}")
                return
            changed = self._apply(call)
            leaving = call.lifecycle is not Lifecycle.READY
        self._metrics.count("announcements_total", outcome="accepted")
        if changed:
            self._event_log.event(
                "control:server",
                instance=call.instance,
                started_ms=call.started_ms,
                accepts_work=self._home.server.accepts_work,
                leaving=leaving,
            )
            self._home.on_server_changed()
            self.on_changed()
        if leaving:
            self._confirm_departure(request, call, changed)
            return
        request.answer(200, JSON_HEADERS, b"{}")

    def _confirm_departure(
        self,
        request: CallerRequest,
        call: Announcement | Departure,
        changed: bool,
    ) -> None:
        """Answer a notice of leaving once the departure is kept.

        This does not depend on whether the notice changed anything here: a process that
        has just started may not know the server yet.
        """

        def finish(kept: bool) -> None:
            self._event_log.event(
                "control:departure",
                instance=call.instance,
                started_ms=call.started_ms,
                stopped_work=changed,
                held_in="store" if kept else "memory",
                confirmed=kept,
            )
            if not kept:
                self._metrics.count("announcements_total", outcome="unconfirmed")
            request.answer(200 if kept else 503, JSON_HEADERS, b"{}")

        self.keep_departures(finish)

    def _apply(self, announcement: Announcement) -> bool:
        server = self._home.server
        before = server.current
        changed = server.take(announcement, self._clock.now(), self._read_wall_ms())
        current = server.current
        if current is not None and (
            before is None
            or (before.instance, before.started_ms)
            != (current.instance, current.started_ms)
        ):
            self._home.on_new_instance()
        return changed

    def _names_known_service(self, announcement: Announcement) -> bool:
        table = self.read_table()
        return table is None or announcement.service in table.services
