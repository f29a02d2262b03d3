"""Metrics of a node; the number of label sets is bounded."""

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

ACCEPTED_TYPES = ("text/plain",)


class NodeMetrics:
    """The counters and gauges of one node, as they were last set."""

    def __init__(self, node: str) -> None:
        self._registry = Registry()
        labels = {"node": node}
        self._events = Counter(
            "flamingobank_events_total",
            "Events of requests by name.",
            const_labels=labels,
            registry=self._registry,
        )
        self._values = Gauge(
            "flamingobank_value",
            "Current values by name.",
            const_labels=labels,
            registry=self._registry,
        )

    def set_event_count(self, name: str, count: int) -> None:
        """Set the total count of an event."""
        self._events.set({"event": name}, count)

    def set_value(self, name: str, value: float) -> None:
        """Set the current value of a gauge."""
        self._values.set({"name": name}, value)

    def render(self) -> tuple[bytes, dict]:
        """Return all metrics in the Prometheus text format, and the HTTP headers."""
        return render(self._registry, ACCEPTED_TYPES)
