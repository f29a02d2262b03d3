"""Vary what an entry decides by whether the configuration schedules by cost."""

import abc
import random
from collections.abc import Callable, Collection
from dataclasses import dataclass

from flamingobank.core import NodeId, ServiceName
from flamingobank.sidecar.decisions.home_choice import (
    ChoiceReason,
    HomeChoice,
    HomeQuery,
)
from flamingobank.sidecar.decisions.home_search import HomeSearch
from flamingobank.sidecar.decisions.home_subset import MAX_LOCAL_SHARE
from flamingobank.sidecar.decisions.retry_state import HEDGE_RETRY_RESERVE
from flamingobank.sidecar.decisions.selection import (
    HomeView,
    compute_load_cost,
    rank_homes,
)
from flamingobank.sidecar.decisions.service_room import Shortage
from flamingobank.sidecar.fleet.routes import Route


@dataclass(frozen=True, slots=True)
class OfferFields:
    """Values of the optional fields of an offer."""

    route: str = ""
    workspace: str = ""
    expected_s: float = 0.0
    internal: bool = False


@dataclass(frozen=True, slots=True)
class Candidates:
    """Homes of a service that a request may be offered to."""

    usable: list[HomeView]
    # Homes that did not respond to a recent offer. They are used only if there is no
    # other. They may only have been slow, so trying one is better than a refusal.
    silent: list[HomeView]

    def list_unasked(self, excluded: Collection[NodeId]) -> list[HomeView]:
        """Return the homes to choose from, without the excluded ones."""
        usable = [view for view in self.usable if view.node not in excluded]
        if usable:
            return usable
        return [view for view in self.silent if view.node not in excluded]


@dataclass(frozen=True, slots=True)
class HomeAssessment:
    """What is compared when the home of a request is chosen."""

    # Without the jitter.
    cost: float
    # Expected time until the request is done; None where it is not estimated.
    completion_s: float | None = None


class Scheduling(abc.ABC):
    """Decisions of an entry that depend on the configuration's way of scheduling."""

    # Share of an entry's homes that may be in its own failure domain.
    max_local_share: float
    # Reason of a choice among the homes that refused to grant a slot at once.
    queue_reason: ChoiceReason
    # Tries to find a free slot for a hedge.
    max_hedge_offers: int
    # Whether a request that a server rejected is refused as soon as this entry may send
    # no more retries, and not only when a home grants a slot.
    refuses_spent_retries: bool

    @abc.abstractmethod
    def copy_for(self, service: ServiceName) -> "Scheduling":
        """Return a copy that decides for a service and changes nothing here."""

    @abc.abstractmethod
    def assess(
        self, candidates: Candidates, home: HomeView, query: HomeQuery, now: float
    ) -> HomeAssessment:
        """Return what a choice would compare of a home."""

    @abc.abstractmethod
    def draw_distance(self, rng: random.Random) -> float:
        """Return a request's number for `HomeQuery.distance_draw`."""

    @abc.abstractmethod
    def create_search(self, query: HomeQuery) -> HomeSearch:
        """Return the record of the homes that one request was offered to."""

    @abc.abstractmethod
    def choose(
        self,
        candidates: Candidates,
        excluded: Collection[NodeId],
        refused: Collection[HomeView],
        query: HomeQuery,
        now: float,
        rng: random.Random,
    ) -> HomeChoice | None:
        """Return the home to offer a request to, or None.

        `excluded` are not asked again; `refused` are those of them that may queue it.
        """

    @abc.abstractmethod
    def describe_offer(
        self, route: Route, workspace: str, has_workspaces: bool
    ) -> OfferFields:
        """Return the optional fields of an offer of a route's request."""

    @abc.abstractmethod
    def note_offer(self, home: HomeView, route: Route) -> None:
        """Count an offer to a home until the home reports."""

    @abc.abstractmethod
    def note_answer(
        self,
        service: ServiceName,
        route: Route,
        duration_s: float,
        pace: float,
        now: float,
    ) -> None:
        """Record how long a successful request took at a home of a pace."""

    @abc.abstractmethod
    def find_shortage(
        self,
        service: ServiceName,
        list_candidates: Callable[[], Candidates],
        query: HomeQuery,
        priority: int,
        now: float,
    ) -> Shortage | None:
        """Return why a new request is refused without an offer; None to offer it."""

    @abc.abstractmethod
    def may_hedge(self, service: ServiceName) -> bool:
        """Return whether the service has room for hedges."""

    @abc.abstractmethod
    def find_hedge_reserve(self, compute_retry_limit: Callable[[], float]) -> float:
        """Return the retry allowance that a hedge needs."""

    @abc.abstractmethod
    def choose_pause_s(
        self, service: ServiceName, arrivals: int, objective_at: float, now: float
    ) -> float:
        """Return how long a request that a server rejected waits for its next offer."""

    @abc.abstractmethod
    def choose_return_s(
        self,
        service: ServiceName,
        list_candidates: Callable[[], Candidates],
        query: HomeQuery,
        priority: int,
        now: float,
        rng: random.Random,
    ) -> float | None:
        """Return the retry delay of a refused caller; None for that of the cause."""


class SchedulingByLoad(Scheduling):
    """Rank homes by failures and load, and offer every request."""

    max_local_share = MAX_LOCAL_SHARE
    queue_reason = ChoiceReason.BY_LOAD
    max_hedge_offers = 1
    refuses_spent_retries = False

    def copy_for(self, service: ServiceName) -> Scheduling:
        return self

    def assess(
        self, candidates: Candidates, home: HomeView, query: HomeQuery, now: float
    ) -> HomeAssessment:
        kind = query.route.kind
        return HomeAssessment(compute_load_cost(home, kind, query.final_attempt, now))

    def draw_distance(self, rng: random.Random) -> float:
        return 0.0

    def create_search(self, query: HomeQuery) -> HomeSearch:
        return HomeSearch()

    def choose(
        self,
        candidates: Candidates,
        excluded: Collection[NodeId],
        refused: Collection[HomeView],
        query: HomeQuery,
        now: float,
        rng: random.Random,
    ) -> HomeChoice | None:
        views = candidates.list_unasked(excluded)
        if not views:
            return None
        ranked = rank_homes(views, query.route.kind, query.final_attempt, now, rng)
        return HomeChoice(ranked[0])

    def describe_offer(
        self, route: Route, workspace: str, has_workspaces: bool
    ) -> OfferFields:
        return OfferFields()

    def note_offer(self, home: HomeView, route: Route) -> None:
        return

    def note_answer(
        self,
        service: ServiceName,
        route: Route,
        duration_s: float,
        pace: float,
        now: float,
    ) -> None:
        return

    def find_shortage(
        self,
        service: ServiceName,
        list_candidates: Callable[[], Candidates],
        query: HomeQuery,
        priority: int,
        now: float,
    ) -> Shortage | None:
        return None

    def may_hedge(self, service: ServiceName) -> bool:
        return True

    def find_hedge_reserve(self, compute_retry_limit: Callable[[], float]) -> float:
        return HEDGE_RETRY_RESERVE

    def choose_pause_s(
        self, service: ServiceName, arrivals: int, objective_at: float, now: float
    ) -> float:
        return 0.0

    def choose_return_s(
        self,
        service: ServiceName,
        list_candidates: Callable[[], Candidates],
        query: HomeQuery,
        priority: int,
        now: float,
        rng: random.Random,
    ) -> float | None:
        return None
