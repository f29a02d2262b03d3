"""Estimate the health of one server from the outcomes of its requests.

A failure counts against the server only if the server is its likely cause. A failure
just after one of the server's own calls failed is attributed to that call, and one at
the request's deadline to the deadline.
"""

from collections.abc import Callable

from flamingobank.core import Clock
from flamingobank.sidecar.decisions.server_estimate import ServerEstimate
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.crash_reports import CrashReports
from flamingobank.sidecar.fleet.server_state import AnnouncedServer, Announcement
from flamingobank.sidecar.homes.requests import HomeRequest
from flamingobank.sidecar.homes.server_client import (
    RunFailure,
    RunOutcome,
    ServerClient,
)
from flamingobank.sidecar.links.messages import Commit
from flamingobank.sidecar.metrics import SidecarMetrics

# A failure within this time after one of the server's own calls failed is attributed to
# that call.
CALL_FAILURE_WINDOW_S = 0.3
# A failure this close to the deadline is attributed to the deadline.
DEADLINE_MARGIN_S = 0.05
# Status with which a server answers a request whose deadline has passed.
DEADLINE_STATUS = 504


class ServerHealth:
    """Record request outcomes and call `on_changed` when the server's state changes."""

    def __init__(
        self,
        clock: Clock,
        client: ServerClient,
        server: AnnouncedServer,
        crashes: CrashReports,
        event_log: EventLog,
        metrics: SidecarMetrics,
        on_changed: Callable[[], None],
    ) -> None:
        self.server_estimate = ServerEstimate(clock.now())
        self._clock = clock
        self._client = client
        self._server = server
        self._crashes = crashes
        self._event_log = event_log
        self._metrics = metrics
        self._on_changed = on_changed
        self._call_failed_at = float("-inf")
        # Where work is scheduled by cost, the concurrency limit and the shedding that
        # is reported account for rejections.
        self.ignores_rejections = False

    def note_call_failure(self) -> None:
        """Record the time at which a call made by the server failed."""
        self._call_failed_at = self._clock.now()

    def note_answer(self, request: HomeRequest, status: int) -> None:
        """Record a complete answer in the estimates and the crash reports."""
        now = self._clock.now()
        took_s = now - request.state_since
        failed = status >= 500
        self.server_estimate.note_answer(took_s, not failed)
        commit = request.commit
        if commit is not None:
            self._crashes.report_completion(commit.method, commit.target, commit.body)
        caused_by_call = (
            failed
            and request.offer.idempotent
            and now < self._call_failed_at + CALL_FAILURE_WINDOW_S
        )
        if status != DEADLINE_STATUS and not caused_by_call:
            self._observe(failed, request, str(status))
        self._event_log.request(
            "home:answered",
            request.request_id,
            status=status,
            took_ms=round(took_s * 1000, 1),
            failing=round(self.server_estimate.read_failure_probability(now), 3),
            blamed_on_call=caused_by_call,
        )

    def process_failure(
        self,
        request: HomeRequest,
        failure: RunFailure,
        on_processed: Callable[[HomeRequest, RunFailure], None],
    ) -> None:
        """Record a request without an answer, then call `on_processed`.

        If the connection broke, the server is checked first: `on_processed` is called
        after the check, and after the report of a crash if the server is gone.
        """
        now = self._clock.now()
        if failure.unreachable:
            self._mark_down(now, failure.reason)
        elif failure.misdirected:
            # The expected instance is gone, and the one that answers at its address has
            # not announced itself yet.
            self._mark_down(now, "another instance answered")
        elif failure.outcome is RunOutcome.UNKNOWN and failure.broken:
            self._observe(True, request, failure.reason)
            # Read now and not in on_checked(): before the check ends, the entry may
            # cancel the request or another server may be announced.
            commit = request.commit
            server = self._server.current

            def on_checked(running: bool) -> None:
                if not running:
                    self._report_crash(commit, server)
                on_processed(request, failure)

            self._client.check_process(on_checked)
            return
        elif self.ignores_rejections and failure.rejected:
            pass
        elif (
            failure.outcome is RunOutcome.UNKNOWN
            or request.deadline - now > DEADLINE_MARGIN_S
        ):
            self._observe(True, request, failure.reason)
        on_processed(request, failure)

    def _report_crash(self, commit: Commit, server: Announcement) -> None:
        current = self._server.current
        if (current.instance, current.started_ms) == (
            server.instance,
            server.started_ms,
        ):
            self._mark_down(self._clock.now(), "crashed")
        self._crashes.report(
            commit.method,
            commit.target,
            commit.body,
            server.instance,
            server.started_ms,
        )

    def _observe(self, failed: bool, request: HomeRequest, detail: str) -> None:
        now = self._clock.now()
        self._metrics.count("server_outcomes_total", failed=str(failed).lower())
        if not self.server_estimate.observe(failed, now):
            return
        self._event_log.event(
            "home:judged",
            trusted=self.server_estimate.trusted,
            failing=round(self.server_estimate.read_failure_probability(now), 3),
            request=request.request_id,
            detail=detail,
        )
        self._on_changed()

    def _mark_down(self, now: float, reason: str) -> None:
        self.server_estimate.mark_down(now)
        self._client.close_idle()
        self._event_log.event("home:server-down", reason=reason)
        self._on_changed()
