"""Say what the exchanges of one entry need from it."""

import abc
from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.core import Clock, NodeId, RequestId, ServiceName
from flamingobank.loop import Timers
from flamingobank.sidecar.callers.reply import CallerReply
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.event_log import EventLog
from flamingobank.sidecar.fleet.routes import RouteKind
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.links import Link
from flamingobank.sidecar.links.local_link import LocalLink


@dataclass(frozen=True, slots=True)
class EndedRequest:
    """Sum up a request that got its final answer."""

    request: CallerRequest
    request_id: RequestId
    kind: RouteKind
    # The status of the answer, or why there is none.
    outcome: str
    # Servers that ran the request, or may have.
    runs: int
    # Sends that reached a server, run or not.
    arrivals: int


class ExchangeOwner(abc.ABC):
    """Give the exchanges of one entry what they need, and learn of their end."""

    clock: Clock
    timers: Timers
    event_log: EventLog
    # The service of this machine, which upstreams are told as the calling one.
    calling_service: ServiceName
    get_link: Callable[[NodeId], Link | LocalLink]

    @abc.abstractmethod
    def pick_home(
        self,
        service: ServiceName,
        kind: RouteKind,
        final_attempt: bool,
        excluded: set[NodeId],
        now: float,
    ) -> HomeView | None:
        """Return the best home of a service that may be asked."""

    @abc.abstractmethod
    def note_offer_timeout(self, home: HomeView) -> None:
        """Avoid a home that did not answer an offer."""

    @abc.abstractmethod
    def allocate_stream(self) -> int:
        """Return the number of a new request on a link."""

    @abc.abstractmethod
    def is_quarantined(self, request: CallerRequest) -> bool:
        """Tell whether a request has crashed too many servers."""

    @abc.abstractmethod
    def try_spend_retry(self, service: ServiceName, now: float) -> bool:
        """Take a retry from this entry's share of the fleet's budget."""

    @abc.abstractmethod
    def compute_retry_allowance(self, service: ServiceName, now: float) -> float:
        """Return how many more retries may be sent to a service."""

    @abc.abstractmethod
    def create_reply(
        self, request: CallerRequest, request_id: RequestId
    ) -> CallerReply:
        """Return what answers a caller."""

    @abc.abstractmethod
    def on_ended(self, ended: EndedRequest) -> None:
        """Count a request that got its final answer."""
