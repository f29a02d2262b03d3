"""Remember the load of other homes."""

from dataclasses import replace

from flamingobank.balancing import HomeLoad, read_home_load
from flamingobank.core import Clock, NodeId
from flamingobank.node.links.exchange import HomeReport


class HomeLoads:
    """Remember the load that homes reported with their answers."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._loads: dict[tuple[str, NodeId], HomeLoad] = {}

    def record(self, service: str, node: NodeId, load: HomeReport) -> None:
        """Keep a reported load; nonsense is ignored."""
        found = read_home_load(
            load.queue_delay_ms / 1000, load.free_slots, self._clock.now()
        )
        if isinstance(found, HomeLoad):
            self._loads[service, node] = found

    def note_sent(self, service: str, node: NodeId) -> None:
        """Count a request as a slot in use until the home's next report.

        Without it, all requests between two reports go to the same home.
        """
        load = self._loads.get((service, node))
        if load is not None and load.free_slots:
            self._loads[service, node] = replace(load, free_slots=load.free_slots - 1)

    def get(self, service: str, node: NodeId) -> HomeLoad | None:
        """Return the newest load; whoever uses it checks its age."""
        return self._loads.get((service, node))
