"""Check the keys of requests against the routing table in force, and report on it."""

import math
from collections.abc import Callable

from flamingobank.core import Clock
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import Route, RoutingTable
from flamingobank.sidecar.fleet.workspaces import KeyDigest
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.sidecar.workspaces.access import (
    ACCESS_WITHOUT_KEY,
    Access,
    decide_access,
    get_refusal_cause,
)
from flamingobank.sidecar.workspaces.confirmation import TableConfirmation


class AccessControl:
    """Decide which requests of one entry may run, and for which workspaces."""

    def __init__(
        self,
        clock: Clock,
        event_log: EventLog,
        metrics: SidecarMetrics,
        revocation_s: float | None,
    ) -> None:
        self.confirmation = TableConfirmation(revocation_s, clock.now())
        # Called for a request that is refused because the table is out of date.
        self.on_outdated: Callable[[], None] = lambda: None
        self._clock = clock
        self._event_log = event_log
        self._metrics = metrics
        self._was_fresh = True

    def check(
        self, table: RoutingTable, route: Route, digest: KeyDigest | None
    ) -> Access:
        """Decide whether a request with a key may run now."""
        if not table.workspaces:
            return ACCESS_WITHOUT_KEY
        now = self._clock.now()
        is_fresh = self.confirmation.is_fresh(now)
        if is_fresh != self._was_fresh:
            self._was_fresh = is_fresh
            self._log_freshness(table, now)
        if not is_fresh and self.confirmation.needs_reading(now):
            self.on_outdated()
        access = decide_access(table, route, digest, is_fresh)
        if not access.is_allowed:
            self._metrics.count(
                "key_refusals_total", cause=get_refusal_cause(access).value
            )
        return access

    def is_usable(self, table: RoutingTable) -> bool:
        """Return whether requests with keys can be decided now."""
        return not table.workspaces or self.confirmation.is_fresh(self._clock.now())

    def needs_reading(self, table: RoutingTable | None) -> bool:
        """Return whether the store should be read to confirm the table in force."""
        if table is None or not table.workspaces:
            return False
        return self.confirmation.needs_reading(self._clock.now())

    def compute_age_s(self, table: RoutingTable | None) -> float | None:
        """Return the age of the table in force; None where keys do not expire."""
        if table is None or not table.workspaces or not self.confirmation.is_limited:
            return None
        return self.confirmation.compute_age_s(self._clock.now())

    def describe(self, table: RoutingTable) -> dict[str, object]:
        """Return the fields of a log line that tell what the keys in force rest on."""
        age_s = self.compute_age_s(table)
        if age_s is None or age_s == math.inf:
            return {}
        return {
            "keys_age_ms": round(1000 * age_s),
            "keys_from": self.confirmation.source,
        }

    def _log_freshness(self, table: RoutingTable, now: float) -> None:
        age_s = self.confirmation.compute_age_s(now)
        self._event_log.event(
            "keys:usable" if self._was_fresh else "keys:expired",
            version=table.version,
            age_s=round(age_s, 2) if age_s < 1e9 else None,
        )
