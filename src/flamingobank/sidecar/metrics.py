"""Count events and measure latencies; the number of label sets is bounded."""

from aioprometheus import Counter, Gauge, Histogram, Registry
from aioprometheus.renderer import render

PREFIX = "flamingobank_"
ACCEPTED_TYPES = ("text/plain",)
LATENCY_BUCKETS_S = [0.005, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0]

COUNTERS = {
    "quota_tokens_total": "Requests of limited workspaces, by workspace and outcome.",
    "requests_total": "Requests of callers by service, kind and final status.",
    "attempts_total": "Requests that were sent to a home, by outcome.",
    "workspace_requests_total": "Requests by workspace, and by status or outcome.",
    "key_refusals_total": "Requests without a key that is known to be in force.",
    "home_refusals_total": "Offers that this home turned down, by reason.",
    "scheduled_refusals_total": "Scheduled offers refused, by reason and route.",
    "server_requests_total": "Requests that were sent to the server beside.",
    "server_outcomes_total": "Outcomes that say something about the server.",
    "retries_denied_total": "Retries that the fleet's budget did not allow.",
    "early_refusals_total": "Requests refused before an offer, by service and route.",
    "home_choices_total": "Requests sent to homes, by failure domain and reason.",
    "store_calls_total": "Calls to the platform's store, by operation and outcome.",
    "announcements_total": "Announcements of servers, by outcome.",
    "callers_shed_total": "Callers refused or cut off for lack of room, by reason.",
    "log_lines_dropped_total": "Log lines that were not written.",
    "exceptions_total": "Unexpected exceptions, each of which is logged.",
}
GAUGES = {
    "quotas_owned": "Workspaces whose rate limits this process counts.",
    "configuration_version": "Version of the configuration in force, 0 before any.",
    "store_reading_age_seconds": "Age of the newest reading of the store in the fleet.",
    "keys_age_seconds": "Time since the store was known to hold the keys in force.",
    "held_bytes": "Bytes that the process holds for others, by purpose.",
    "server_rate_limit": "Requests per second that the server takes, -1 without limit.",
    "server_concurrency_limit": "Requests that the server beside takes at once now.",
    "server_shedding_ratio": "Share of recent requests that the server rejected.",
    "waiting_requests": "Requests that wait for a slot at this home, by priority.",
}
NO_RATE_LIMIT = -1
# Workspaces that are configured later, of a process that runs for long, are counted
# together.
MAX_WORKSPACES = 1000
OTHER_WORKSPACES = "other"
# Pairs of route and priority beyond this are counted together.
MAX_ROUTE_LABELS = 256
MAX_PRIORITY_LABELS = 64
OTHER = "other"


class SidecarMetrics:
    """Hold the counters, gauges and histograms of one process."""

    def __init__(self, labels: dict[str, str]) -> None:
        self._registry = Registry()
        self._counters = {
            name: Counter(
                PREFIX + name, help_text, const_labels=labels, registry=self._registry
            )
            for name, help_text in COUNTERS.items()
        }
        self._gauges = {
            name: Gauge(
                PREFIX + name, help_text, const_labels=labels, registry=self._registry
            )
            for name, help_text in GAUGES.items()
        }
        self._workspaces: set[str] = set()
        self._route_labels: set[tuple[str, int]] = set()
        self._priority_labels: set[int] = set()
        self._latency = Histogram(
            PREFIX + "request_duration_seconds",
            "Time from the last byte of a request to its answer.",
            const_labels=labels,
            registry=self._registry,
            buckets=LATENCY_BUCKETS_S,
        )

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        self._counters[name].inc(labels)

    def count_workspace(self, workspace: str, outcome: str) -> None:
        """Count a request of a workspace; statuses are counted by their first digit."""
        if workspace not in self._workspaces:
            if len(self._workspaces) >= MAX_WORKSPACES:
                workspace = OTHER_WORKSPACES
            else:
                self._workspaces.add(workspace)
        if outcome.isdigit():
            outcome = f"{outcome[0]}xx"
        self.count("workspace_requests_total", workspace=workspace, outcome=outcome)

    def count_dropped_lines(self, total: int) -> None:
        """Set how many log lines have been dropped so far."""
        self._counters["log_lines_dropped_total"].set({}, total)

    def count_exceptions(self, total: int) -> None:
        """Set how many unexpected exceptions have occurred so far."""
        self._counters["exceptions_total"].set({}, total)

    def set_configuration(self, version: int, reading_age_s: float) -> None:
        """Set the version in force and the age of the newest reading of the store."""
        self._gauges["configuration_version"].set({}, version)
        self._gauges["store_reading_age_seconds"].set({}, round(reading_age_s, 3))

    def set_quotas_owned(self, count: int) -> None:
        """Set how many workspaces' rate limits this process counts."""
        self._gauges["quotas_owned"].set({}, count)

    def set_keys_age(self, age_s: float) -> None:
        """Set how long ago the store was known to hold the keys in force."""
        self._gauges["keys_age_seconds"].set({}, round(age_s, 3))

    def set_held_bytes(self, purpose: str, held_bytes: int) -> None:
        """Set how many bytes are held for one purpose."""
        self._gauges["held_bytes"].set({"purpose": purpose}, held_bytes)

    def set_rate_limit(self, limit_per_s: float | None) -> None:
        """Set the rate of requests that the server beside takes; None for no limit."""
        value = NO_RATE_LIMIT if limit_per_s is None else limit_per_s
        self._gauges["server_rate_limit"].set({}, value)

    def count_scheduled_refusal(self, reason: str, route: str, priority: int) -> None:
        """Count an offer that was refused where work is scheduled by cost."""
        label = (route, priority)
        labels = {"reason": reason, "route": route, "priority": str(priority)}
        if label not in self._route_labels:
            if len(self._route_labels) >= MAX_ROUTE_LABELS:
                labels = {"reason": reason, "route": OTHER, "priority": OTHER}
            else:
                self._route_labels.add(label)
        self.count("scheduled_refusals_total", **labels)

    def set_scheduling(
        self, limit: int, shedding: float, waiting: dict[int, int]
    ) -> None:
        """Set the concurrency limit, the shedding and the waiting requests."""
        self._gauges["server_concurrency_limit"].set({}, limit)
        self._gauges["server_shedding_ratio"].set({}, shedding)
        others = 0
        for priority, number in waiting.items():
            if priority in self._priority_labels:
                continue
            if len(self._priority_labels) >= MAX_PRIORITY_LABELS:
                others += number
                continue
            self._priority_labels.add(priority)
        gauge = self._gauges["waiting_requests"]
        for priority in self._priority_labels:
            gauge.set({"priority": str(priority)}, waiting.get(priority, 0))
        if others:
            gauge.set({"priority": OTHER}, others)

    def observe_latency(self, seconds: float, kind: str) -> None:
        """Add one request's duration to the histogram."""
        self._latency.observe({"kind": kind}, seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return render(self._registry, ACCEPTED_TYPES)[0]
