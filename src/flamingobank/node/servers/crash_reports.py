"""Report requests that were in flight when a server crashed, on every node."""

from collections.abc import Callable

import eliot

from flamingobank.core import Clock, Fingerprint, InstanceId, RouteName
from flamingobank.node.servers.requests import HomeRequest
from flamingobank.node.servers.servers import Server
from flamingobank.quarantine import Clearance, CrashId, CrashLedger, compute_fingerprint
from flamingobank.wire import CrashClearance, CrashNotice, Message, OpenRequest


class CrashReports:
    """Keep the crash ledger and spread what it learns."""

    def __init__(self, clock: Clock, broadcast: Callable[[Message], None]) -> None:
        self.ledger = CrashLedger()
        self.reported = 0
        self.on_crash: Callable[[CrashNotice, str], None] = lambda notice, why: None
        self._clock = clock
        self._broadcast = broadcast

    def report(self, request: HomeRequest, server: Server, detail: str) -> None:
        """Report a request that was in flight when its server's process ended."""
        notice = CrashNotice(
            request.fingerprint, server.instance, f"{server.instance}/{server.boot}"
        )
        # The entry must know it before it decides about a retry, and a broadcast
        # may reach the entry later than the refusal.
        request.sink.on_notice(notice)
        if not self.receive_report(notice):
            return
        self.reported += 1
        eliot.log_message(
            message_type="quarantine:crash",
            instance=server.instance,
            fingerprint=request.fingerprint.hex(),
            route=request.message.route,
            why=detail,
        )
        self.on_crash(notice, detail)
        self._broadcast(notice)

    def report_completion(self, request: HomeRequest) -> None:
        """Clear a suspect that has completed."""
        now = self._clock.now()
        if not len(self.ledger):
            return
        for clearance in self.ledger.record_completion(request.fingerprint, now):
            self._broadcast(CrashClearance(clearance.fingerprint, clearance.crash_id))

    def receive_report(self, notice: CrashNotice) -> bool:
        """Add a report; return whether it was new."""
        return self.ledger.record_crash(
            Fingerprint(notice.fingerprint),
            InstanceId(notice.instance),
            CrashId(notice.crash_id),
            self._clock.now(),
        )

    def receive_clearance(self, notice: CrashClearance) -> bool:
        """Add a clearance; return whether it was new."""
        clearance = Clearance(Fingerprint(notice.fingerprint), CrashId(notice.crash_id))
        return self.ledger.record_clearance(clearance, self._clock.now())

    def is_quarantined(self, request: HomeRequest) -> bool:
        """Tell whether a request must not run."""
        # The fingerprint hashes the body; without reports nothing is refused.
        if not len(self.ledger):
            return False
        return self.ledger.is_quarantined(request.fingerprint, self._clock.now())

    def is_message_quarantined(self, message: OpenRequest, body: bytes) -> bool:
        """Tell at the entry whether a request must not be sent to a home."""
        if not len(self.ledger):
            return False
        fingerprint = compute_fingerprint(
            RouteName(message.route),
            message.key,
            message.method,
            message.target.decode("latin-1"),
            body,
        )
        return self.ledger.is_quarantined(fingerprint, self._clock.now())

    def is_suspect(self, request: HomeRequest) -> bool:
        """Tell whether a request was in flight in a crash."""
        if request.work.attempt > 0:
            # A report of its first attempt may still be under way.
            return True
        if not len(self.ledger):
            return False
        return self.ledger.is_suspect(request.fingerprint, self._clock.now())
