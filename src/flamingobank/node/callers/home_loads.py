"""Keep the newest load reports of homes."""

from dataclasses import replace

from flamingobank.balancing import HomeLoad, read_home_load
from flamingobank.core import Clock, NodeId
from flamingobank.node.links.exchange import HomeReport


class HomeLoads:
    """The newest load that each home reported with its answers, by service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[tuple[str, NodeId], HomeLoad] = {}

    def record(self, service: str, node: NodeId, report: HomeReport) -> None:
        """Store a reported load; a report with invalid values is ignored."""
        found = read_home_load(
            report.queue_delay_ms / 1000, report.free_slots, self._clock.now()
        )
        if isinstance(found, HomeLoad):
            self._loads[service, node] = found

    def note_sent(self, service: str, node: NodeId) -> None:
        """Reduce the free slots of a home by one until its next report.

        Otherwise all requests between two reports would go to the same home.
        """
        load = self._loads.get((service, node))
        if load is not None and load.free_slots:
            self._loads[service, node] = replace(load, free_slots=load.free_slots - 1)

    def get(self, service: str, node: NodeId) -> HomeLoad | None:
        """Return the newest load of a home; the caller must check its age."""
        return self._loads.get((service, node))
