"""Decide at an entry whose configuration schedules requests by cost."""

import copy
import random
from collections.abc import Callable, Collection

from flamingobank.core import NodeId, ServiceName
from flamingobank.sidecar.callers.scheduling import (
    Candidates,
    HomeAssessment,
    OfferFields,
    Scheduling,
)
from flamingobank.sidecar.decisions.completion import (
    UNKNOWN_WORK_SHARE,
    Expectation,
    build_expectation,
    estimate_completion_s,
)
from flamingobank.sidecar.decisions.home_choice import (
    ChoiceReason,
    HomeChoice,
    HomeQuery,
    choose_by_cost,
    compute_cost,
)
from flamingobank.sidecar.decisions.home_search import (
    SEARCH_WITH_BACKLOG,
    HomeSearch,
)
from flamingobank.sidecar.decisions.home_subset import MAX_LOCAL_SHARE_BY_COST
from flamingobank.sidecar.decisions.retry_state import compute_hedge_reserve
from flamingobank.sidecar.decisions.return_times import (
    ReturnTimes,
    estimate_room_in_s,
)
from flamingobank.sidecar.decisions.route_work import RouteWork
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.decisions.service_room import (
    URGENT_FACTOR,
    ServiceRoom,
    Shortage,
    count_short_homes,
    estimate_earliest_s,
)
from flamingobank.sidecar.event_log import EventLog, SilentEventLog
from flamingobank.sidecar.fleet.routes import Route


class SchedulingByCost(Scheduling):
    """Compare homes by expected completion, and judge the room of each service."""

    max_local_share = MAX_LOCAL_SHARE_BY_COST
    queue_reason = ChoiceReason.ALL_REFUSED
    max_hedge_offers = 3
    refuses_spent_retries = True

    def __init__(self, event_log: EventLog) -> None:
        self._event_log = event_log
        self._work = RouteWork()
        # One of each for every service that this entry has called.
        self._rooms: dict[ServiceName, ServiceRoom] = {}
        self._returns: dict[ServiceName, ReturnTimes] = {}

    def copy_for(self, service: ServiceName) -> Scheduling:
        copied = SchedulingByCost(SilentEventLog(""))
        copied._work = copy.deepcopy(self._work)
        if service in self._rooms:
            copied._rooms[service] = copy.deepcopy(self._rooms[service])
        if service in self._returns:
            copied._returns[service] = copy.deepcopy(self._returns[service])
        return copied

    def assess(
        self, candidates: Candidates, home: HomeView, query: HomeQuery, now: float
    ) -> HomeAssessment:
        expectation = self._build_expectation(candidates.usable, query, now)
        wait_s = expectation.find_wait_s(home)
        return HomeAssessment(
            compute_cost(home, query, expectation, now),
            estimate_completion_s(home, expectation.work_s, wait_s, now),
        )

    def draw_distance(self, rng: random.Random) -> float:
        return rng.random()

    def create_search(self, query: HomeQuery) -> HomeSearch:
        def choose(homes: list[HomeView], now: float) -> HomeView:
            expectation = self._build_expectation(homes, query, now)
            return min(
                homes, key=lambda home: compute_cost(home, query, expectation, now)
            )

        return HomeSearch(SEARCH_WITH_BACKLOG, choose)

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
        if not views and not refused:
            return None
        # The homes that refused this request tell most about the usual wait.
        expectation = self._build_expectation(candidates.usable, query, now)
        return choose_by_cost(views, refused, query, expectation, now, rng)

    def describe_offer(
        self, route: Route, workspace: str, has_workspaces: bool
    ) -> OfferFields:
        return OfferFields(
            route.name,
            workspace,
            round(self._work.read(route.name), 4),
            has_workspaces and route.public and not workspace,
        )

    def note_offer(self, home: HomeView, route: Route) -> None:
        home.note_offer(self._read_work_s(route))

    def note_answer(
        self,
        service: ServiceName,
        route: Route,
        duration_s: float,
        pace: float,
        now: float,
    ) -> None:
        self._work.observe(route.name, duration_s, pace)
        self._get_returns(service).answers.note(now)

    def find_shortage(
        self,
        service: ServiceName,
        list_candidates: Callable[[], Candidates],
        query: HomeQuery,
        priority: int,
        now: float,
    ) -> Shortage | None:
        candidates = list_candidates()
        if not candidates.usable:
            return None
        work_s = self._read_work_s(query.route)
        homes = count_short_homes(candidates.usable, work_s, now)
        room = self._get_room(service)
        if room.update(homes, priority):
            self._event_log.event(
                "entry:room-short" if room.is_short else "entry:room-back",
                service=service,
                short_homes=homes.short,
                recent_homes=homes.recent,
                homes=homes.known,
            )
        if not room.is_short:
            return None
        earliest_s = self._estimate_earliest_s(candidates, query, now)
        if not room.should_refuse(query, earliest_s, priority, now):
            return None
        return Shortage(earliest_s, homes)

    def may_hedge(self, service: ServiceName) -> bool:
        return not self._get_room(service).is_short

    def find_hedge_reserve(self, compute_retry_limit: Callable[[], float]) -> float:
        return compute_hedge_reserve(compute_retry_limit())

    def choose_pause_s(
        self, service: ServiceName, arrivals: int, objective_at: float, now: float
    ) -> float:
        return self._get_room(service).choose_pause_s(arrivals, objective_at, now)

    def choose_return_s(
        self,
        service: ServiceName,
        list_candidates: Callable[[], Candidates],
        query: HomeQuery,
        priority: int,
        now: float,
        rng: random.Random,
    ) -> float | None:
        urgency = self._get_room(service).compute_urgency(priority)
        earliest_s = self._estimate_earliest_s(list_candidates(), query, now)
        return self._get_returns(service).choose_delay_s(
            estimate_room_in_s(urgency * earliest_s, query.route.target_latency_s),
            urgency == URGENT_FACTOR,
            query.deadline - now,
            now,
            rng,
        )

    def _build_expectation(
        self, views: Collection[HomeView], query: HomeQuery, now: float
    ) -> Expectation:
        return build_expectation(views, self._read_work_s(query.route), now)

    def _read_work_s(self, route: Route) -> float:
        work_s = self._work.read(route.name)
        return work_s or UNKNOWN_WORK_SHARE * route.target_latency_s

    def _estimate_earliest_s(
        self, candidates: Candidates, query: HomeQuery, now: float
    ) -> float:
        expectation = self._build_expectation(candidates.usable, query, now)
        return estimate_earliest_s(candidates.usable, expectation, now)

    def _get_room(self, service: ServiceName) -> ServiceRoom:
        room = self._rooms.get(service)
        if room is None:
            room = self._rooms[service] = ServiceRoom()
        return room

    def _get_returns(self, service: ServiceName) -> ReturnTimes:
        returns = self._returns.get(service)
        if returns is None:
            returns = self._returns[service] = ReturnTimes()
        return returns
