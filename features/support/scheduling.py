"""Run an entry whose configuration schedules requests by cost, without a network."""

from dataclasses import replace

from features.support.sidecar import (
    REPORT,
    ExchangeHarness,
    RecordingRequest,
    ScriptedHome,
)
from flamingobank.core import RouteName, WorkspaceId
from flamingobank.sidecar.fleet.routes import RouteKind, RoutingTable
from flamingobank.sidecar.fleet.workspaces import Workspace, hash_key
from flamingobank.sidecar.links.messages import Offer, Queued

WORKSPACE = Workspace(WorkspaceId("clinic"), (hash_key(b"k-clinic"),), None, 0.0, 0.0)


class RecordingHome(ScriptedHome):
    """A scripted home that keeps the offers it got and states a report."""

    def __init__(self, harness, node, script):
        super().__init__(harness, node, script)
        self.offers = []
        self.report = REPORT
        # Whether forced offers are queued, whatever the script says.
        self.queues_forced = False

    def send(self, message):
        """Record an offer, then react to it."""
        if isinstance(message, Offer):
            self.offers.append(message)
            if message.forced and self.queues_forced:
                self.reply(Queued(message.stream))
                return
        super().send(message)

    def reply(self, message, delay_s=0.001):
        """Deliver a message with the report that the home states."""
        if hasattr(message, "report"):
            message = replace(message, report=self.report)
        super().reply(message, delay_s)


class CostHarness(ExchangeHarness):
    """An entry that schedules by cost, with recording homes."""

    home_class = RecordingHome

    def __init__(self, kind, scripts, by_cost=True, public=False, **options):
        super().__init__(kind, scripts, **options)
        table = self.entry.table
        routes = tuple(
            replace(route, name=RouteName("lookup"), public=public)
            for route in table.routes
        )
        self.entry.table = RoutingTable(
            table.version,
            routes,
            table.services,
            table.limits,
            (WORKSPACE,) if by_cost else (),
        )
        self._authorize()

    def change_route(self, **changes):
        """Put a table in force whose routes have the given changes."""
        table = self.entry.table
        routes = tuple(replace(route, **changes) for route in table.routes)
        self.entry.table = replace(table, routes=routes)

    @property
    def offers(self):
        """Return the offers of all homes."""
        return [offer for home in self.homes.values() for offer in home.offers]

    def serve(self, kind=RouteKind.SAFE, remaining_ms=2000):
        """Serve one more request; return its status."""
        self.request = RecordingRequest(self.loop.clock.now(), kind)
        self.request.headers[-1] = (
            b"deadline-milliseconds",
            str(remaining_ms).encode(),
        )
        self._authorize()
        self.run()
        return self.final

    def _authorize(self):
        """Add the key of the workspace to the request of a route that needs one."""
        if not self.entry.table.routes[0].public:
            self.request.headers.append((b"authorization", b"Token k-clinic"))
