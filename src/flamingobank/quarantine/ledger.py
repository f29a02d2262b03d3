"""Collect crash reports and decide which requests are refused.

The state is a set of reports and a set of clearances; both only grow until their
items expire. Nodes that received the same messages therefore agree, in whatever order
and however often the messages arrived.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass
from typing import NewType

from flamingobank.core import Fingerprint, InstanceId

CrashId = NewType("CrashId", str)

QUARANTINE_EXPIRY_S = 600.0
SERVERS_TO_QUARANTINE = 2
# Requests that were in flight in the same two crashes cannot be told apart, so they are
# refused only after crashes of this many servers. From then on, refusing all of them
# costs less than losing further servers.
SERVERS_WHEN_AMBIGUOUS = 3
MAX_REPORTS = 65_536


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report that a request was in flight on a server when the server crashed."""

    fingerprint: Fingerprint
    instance: InstanceId
    crash_id: CrashId


@dataclass(frozen=True, slots=True)
class Clearance:
    """Notice that a request completed after a crash that it was in flight in."""

    fingerprint: Fingerprint
    crash_id: CrashId


class CrashLedger:
    """Crash reports of the last 10 minutes; each node has one ledger."""

    def __init__(
        self, expiry_s: float = QUARANTINE_EXPIRY_S, max_reports: int = MAX_REPORTS
    ) -> None:
        self._expiry_s = expiry_s
        self._max_reports = max(1, max_reports)
        self._now = -math.inf
        # Both are ordered by the time of first receipt, oldest first.
        self._reports: OrderedDict[CrashReport, float] = OrderedDict()
        self._clearances: OrderedDict[Clearance, float] = OrderedDict()
        # A late copy of an expired report must not start a new quarantine.
        self._expired: OrderedDict[CrashReport, float] = OrderedDict()
        # Reports that are neither expired nor cleared.
        self._active_crashes: dict[Fingerprint, dict[CrashId, InstanceId]] = {}
        self._requests_by_crash: dict[CrashId, set[Fingerprint]] = {}

    def __len__(self) -> int:
        """Return the number of stored messages, including expired reports."""
        return len(self._reports) + len(self._clearances) + len(self._expired)

    def record_crash(
        self,
        fingerprint: Fingerprint,
        instance: InstanceId,
        crash_id: CrashId,
        now: float,
    ) -> bool:
        """Add a report; return whether it is new and must be forwarded."""
        self._expire(now)
        report = CrashReport(fingerprint, instance, crash_id)
        if report in self._reports or report in self._expired:
            return False
        self._reports[report] = self._now
        if Clearance(fingerprint, crash_id) not in self._clearances:
            self._active_crashes.setdefault(fingerprint, {})[crash_id] = instance
            self._requests_by_crash.setdefault(crash_id, set()).add(fingerprint)
        while len(self._reports) > self._max_reports:
            self._remove_report(next(iter(self._reports)))
        return True

    def record_completion(
        self, fingerprint: Fingerprint, now: float
    ) -> list[Clearance]:
        """Clear a request that completed; return the clearances to forward.

        Only call this for a run that started after the crash.
        """
        self._expire(now)
        crashes = self._active_crashes.get(fingerprint)
        if crashes is None:
            return []
        cleared = [Clearance(fingerprint, crash_id) for crash_id in list(crashes)]
        for clearance in cleared:
            self.record_clearance(clearance, now)
        return cleared

    def record_clearance(self, clearance: Clearance, now: float) -> bool:
        """Add a clearance; return whether it is new and must be forwarded."""
        self._expire(now)
        if clearance in self._clearances:
            return False
        self._clearances[clearance] = self._now
        self._deactivate(clearance.fingerprint, clearance.crash_id)
        while len(self._clearances) > self._max_reports:
            self._clearances.popitem(last=False)
        return True

    def is_suspect(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request was in flight in a crash and is not cleared."""
        self._expire(now)
        return fingerprint in self._active_crashes

    def is_quarantined(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request must be refused as not run."""
        self._expire(now)
        crashes = self._active_crashes.get(fingerprint)
        if crashes is None:
            return False
        servers = len(set(crashes.values()))
        if servers < SERVERS_TO_QUARANTINE:
            return False
        for other in self._list_indistinguishable(fingerprint, crashes):
            if len(self._active_crashes[other]) > len(crashes):
                return False
            if servers < SERVERS_WHEN_AMBIGUOUS:
                return False
        return True

    def list_reports(self, now: float) -> list[CrashReport]:
        """Return all reports, to send to a node that has just joined."""
        self._expire(now)
        return list(self._reports)

    def list_clearances(self, now: float) -> list[Clearance]:
        """Return all clearances, to send to a node that has just joined."""
        self._expire(now)
        return list(self._clearances)

    def _list_indistinguishable(
        self, fingerprint: Fingerprint, crashes: dict[CrashId, InstanceId]
    ) -> set[Fingerprint]:
        """Return the other requests that were in flight in all these crashes."""
        groups = sorted(
            (self._requests_by_crash[crash_id] for crash_id in crashes), key=len
        )
        common = set(groups[0])
        for group in groups[1:]:
            common &= group
        common.discard(fingerprint)
        return common

    def _expire(self, now: float) -> None:
        # A clock that jumps back must not extend or restore a report.
        if now > self._now:
            self._now = now
        oldest = self._now - self._expiry_s
        while self._reports:
            report, recorded_at = next(iter(self._reports.items()))
            if recorded_at > oldest:
                break
            self._remove_report(report)
            self._expired[report] = recorded_at
        # A clearance outlives the reports it clears, which may arrive later.
        _drop_older(self._clearances, oldest - self._expiry_s)
        _drop_older(self._expired, oldest - self._expiry_s)
        while len(self._expired) > self._max_reports:
            self._expired.popitem(last=False)

    def _remove_report(self, report: CrashReport) -> None:
        del self._reports[report]
        self._deactivate(report.fingerprint, report.crash_id)

    def _deactivate(self, fingerprint: Fingerprint, crash_id: CrashId) -> None:
        crashes = self._active_crashes.get(fingerprint)
        if crashes is None or crash_id not in crashes:
            return
        del crashes[crash_id]
        if not crashes:
            del self._active_crashes[fingerprint]
        group = self._requests_by_crash[crash_id]
        group.discard(fingerprint)
        if not group:
            del self._requests_by_crash[crash_id]


def _drop_older(items: OrderedDict, oldest: float) -> None:
    while items and next(iter(items.values())) <= oldest:
        items.popitem(last=False)
