"""Send reports of requests that were in flight in a crash to all nodes."""

from collections.abc import Callable

import eliot

from flamingobank.core import Clock, Fingerprint, InstanceId, RouteName
from flamingobank.node.servers.requests import HomeRequest
from flamingobank.node.servers.servers import Server
from flamingobank.quarantine import Clearance, CrashId, CrashLedger, compute_fingerprint
from flamingobank.wire import CrashClearance, CrashNotice, Message, OpenRequest


class CrashReports:
    """Maintain the crash ledger and broadcast new reports and clearances."""

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
        # The entry needs the report before it decides about a retry, and a broadcast
        # may arrive there later than the refusal.
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
        """Clear a completed request of its crash reports; broadcast the clearances."""
        now = self._clock.now()
        if not len(self.ledger):
            return
        for clearance in self.ledger.record_completion(request.fingerprint, now):
            self._broadcast(CrashClearance(clearance.fingerprint, clearance.crash_id))

    def receive_report(self, notice: CrashNotice) -> bool:
        """Add a report to the ledger; return whether it was new."""
        return self.ledger.record_crash(
            Fingerprint(notice.fingerprint),
            InstanceId(notice.instance),
            CrashId(notice.crash_id),
            self._clock.now(),
        )

    def receive_clearance(self, notice: CrashClearance) -> bool:
        """Add a clearance to the ledger; return whether it was new."""
        clearance = Clearance(Fingerprint(notice.fingerprint), CrashId(notice.crash_id))
        return self.ledger.record_clearance(clearance, self._clock.now())

    def is_quarantined(self, request: HomeRequest) -> bool:
        """Return whether a request crashed servers and must be refused as not run."""
        # Computing the fingerprint hashes the body, which is unnecessary while there
        # are no reports.
        if not len(self.ledger):
            return False
        return self.ledger.is_quarantined(request.fingerprint, self._clock.now())

    def is_message_quarantined(self, message: OpenRequest, body: bytes) -> bool:
        """Return whether this node, as the entry, must not send a request to a home."""
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
        """Return whether a request may have been in flight in a crash."""
        if request.work.attempt > 0:
            # Each retry counts as suspect, because a report that its first attempt was
            # in flight in a crash may not have arrived yet.
            return True
        if not len(self.ledger):
            return False
        return self.ledger.is_suspect(request.fingerprint, self._clock.now())
