"""Count what a node does, with label sets of bounded size."""

from aioprometheus import Counter, Gauge, Registry
from aioprometheus.renderer import render

ACCEPTED_TYPES = ("text/plain",)


class NodeMetrics:
    """Hold the metrics of one node; values are read when they are rendered."""

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
        """Set how often an event has happened."""
        self._events.set({"event": name}, count)

    def set_value(self, name: str, value: float) -> None:
        """Set a current value."""
        self._values.set({"name": name}, value)

    def render(self) -> tuple[bytes, dict]:
        """Return the metrics in the text format and its headers."""
        return render(self._registry, ACCEPTED_TYPES)
