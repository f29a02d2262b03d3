"""Interface between an entry and its exchanges."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.core import Clock, NodeId, RequestId, ServiceName
from flamingobank.loop import Timers
from flamingobank.sidecar.callers.reply import CallerReply
from flamingobank.sidecar.callers.scheduling import Scheduling
from flamingobank.sidecar.decisions.home_choice import HomeChoice, HomeQuery
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.decisions.service_room import Shortage
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import Route, RouteKind
from flamingobank.sidecar.fleet.workspaces import KeyDigest, Workspace
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.links import Link
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.metrics import SidecarMetrics
from flamingobank.sidecar.workspaces.access import Access
from flamingobank.sidecar.workspaces.request_tokens import TokenSource


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """Summary of a request that has ended."""

    request: CallerRequest
    request_id: RequestId
    kind: RouteKind
    # The status of the server's answer, or a short reason why there is none.
    outcome: str
    # Attempts that ran on a server, or may have run.
    runs: int
    # Attempts that reached a server, whether or not they ran.
    arrivals: int
    workspace: Workspace | None = None


class ExchangeOwner(abc.ABC):
    """What an exchange needs from its entry, which is notified of its end."""

    clock: Clock
    timers: Timers
    event_log: EventLog
    metrics: SidecarMetrics
    # The service of this machine, sent to upstreams as the calling service.
    calling_service: ServiceName
    get_link: Callable[[NodeId], Link | LocalLink]
    # None if no quotas are kept.
    quotas: TokenSource | None
    scheduling: Scheduling
    # Whether the configuration in force has workspaces.
    has_workspaces: bool

    @abc.abstractmethod
    def choose_home(
        self,
        service: ServiceName,
        query: HomeQuery,
        excluded: set[NodeId],
        refused: list[HomeView],
        now: float,
    ) -> HomeChoice | None:
        """Return the best home of a service that is not excluded, if there is one.

        Homes that refused the request but may queue it are `refused`.
        """

    @abc.abstractmethod
    def find_shortage(
        self, service: ServiceName, query: HomeQuery, priority: int, now: float
    ) -> Shortage | None:
        """Return why a new request is refused without an offer; None to offer it."""

    @abc.abstractmethod
    def choose_return_s(
        self, service: ServiceName, query: HomeQuery, priority: int, now: float
    ) -> float | None:
        """Return the retry delay of a refused caller; None for that of the cause."""

    @abc.abstractmethod
    def draw_distance(self) -> float:
        """Return a new request's number for `HomeQuery.distance_draw`."""

    @abc.abstractmethod
    def take_key(self, request: CallerRequest) -> KeyDigest | None:
        """Remove the key from a request and return its digest.

        Does nothing where the table has no workspaces.
        """

    @abc.abstractmethod
    def check_access(self, route: Route, digest: KeyDigest | None) -> Access:
        """Decide by the current table whether a request with a key may run."""

    @abc.abstractmethod
    def describe_keys(self) -> dict[str, object]:
        """Return the fields of a log line that tell what the keys in force rest on."""

    @abc.abstractmethod
    def compute_priority(self, route: Route, workspace: Workspace | None) -> int:
        """Return the priority of a request's offers."""

    @abc.abstractmethod
    def note_offer_timeout(self, home: HomeView) -> None:
        """Avoid a home that did not respond to an offer in time."""

    @abc.abstractmethod
    def allocate_stream(self) -> int:
        """Return an unused stream number for an attempt."""

    @abc.abstractmethod
    def can_finish(self, deadline: float) -> bool:
        """Return whether a request with a deadline ends before this process does."""

    @abc.abstractmethod
    def is_quarantined(self, request: CallerRequest) -> bool:
        """Return whether a request is blocked because it crashed several servers."""

    @abc.abstractmethod
    def try_spend_retry(self, service: ServiceName, now: float) -> bool:
        """Spend one retry of this entry's budget; return whether it may be sent."""

    @abc.abstractmethod
    def compute_retry_allowance(self, service: ServiceName, now: float) -> float:
        """Return how many more retries this entry may send to a service now."""

    @abc.abstractmethod
    def compute_retry_limit(self, service: ServiceName, now: float) -> float:
        """Return how many retries this entry may send to a service in its window."""

    @abc.abstractmethod
    def create_reply(
        self, request: CallerRequest, request_id: RequestId
    ) -> CallerReply:
        """Return the reply through which a request is answered."""

    @abc.abstractmethod
    def on_ended(self, ended: EndedRequest) -> None:
        """Log and count a request that has ended."""
