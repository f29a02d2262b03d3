"""Record crashes of servers, to quarantine requests that crash several of them."""

from collections.abc import Callable

from flamingobank.core import Clock, Fingerprint, InstanceId, RouteName
from flamingobank.quarantine import CrashId, CrashLedger, compute_fingerprint
from flamingobank.sidecar.event_log import EventLog

NO_ROUTE = RouteName("")


class CrashReports:
    """Collect the crashes that this process observed or that peers reported."""

    def __init__(self, clock: Clock, event_log: EventLog) -> None:
        self.broadcast: Callable[[Fingerprint, InstanceId, CrashId], None] = (
            lambda fingerprint, instance, crash_id: None
        )
        self._clock = clock
        self._event_log = event_log
        self._ledger = CrashLedger()

    @property
    def has_reports(self) -> bool:
        """Return whether any crash is recorded."""
        return len(self._ledger) > 0

    def report(
        self, method: str, target: bytes, body: bytes, instance: InstanceId, start: int
    ) -> None:
        """Report a request that was in flight when its server's process ended."""
        fingerprint = _fingerprint_request(method, target, body)
        crash_id = CrashId(f"{instance}/{start}")
        if self.receive_report(fingerprint, instance, crash_id):
            self.broadcast(fingerprint, instance, crash_id)

    def receive_report(
        self, fingerprint: Fingerprint, instance: InstanceId, crash_id: CrashId
    ) -> bool:
        """Add a report to the ledger; return whether it was new."""
        now = self._clock.now()
        if not self._ledger.record_crash(fingerprint, instance, crash_id, now):
            return False
        self._event_log.event(
            "crash:reported", fingerprint=fingerprint.hex(), crash=crash_id
        )
        return True

    def report_completion(self, method: str, target: bytes, body: bytes) -> None:
        """Record that a request has completed here, which clears its crashes."""
        if self.has_reports:
            fingerprint = _fingerprint_request(method, target, body)
            self._ledger.record_completion(fingerprint, self._clock.now())

    def is_quarantined(self, method: str, target: bytes, body: bytes) -> bool:
        """Return whether a request must be refused as not run."""
        if not self.has_reports:
            return False
        fingerprint = _fingerprint_request(method, target, body)
        return self._ledger.is_quarantined(fingerprint, self._clock.now())


def _fingerprint_request(method: str, target: bytes, body: bytes) -> Fingerprint:
    path = target.decode("utf-8", "surrogateescape")
    return compute_fingerprint(NO_ROUTE, "", method, path, body)
