"""Explain where a request would go now, and why, without sending it.

The decisions are made by the functions that serve requests, on copies of their state:
an explanation draws the numbers that the next request would draw, and uses none up.
"""

import copy
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.core import FailureDomain, NodeId, ServiceName, WorkspaceId
from flamingobank.sidecar.callers.entry import ANSWER_MARGIN_S
from flamingobank.sidecar.callers.scheduling import Candidates, Scheduling
from flamingobank.sidecar.decisions.home_choice import HomeChoice, HomeQuery
from flamingobank.sidecar.decisions.refusals import RefusalCause, choose_retry_after
from flamingobank.sidecar.decisions.retry_budget import RetryBudget
from flamingobank.sidecar.decisions.retry_state import RetryState
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.fleet.routes import Route, RoutingTable, choose_target
from flamingobank.sidecar.fleet.workspaces import Workspace
from flamingobank.sidecar.workspaces.access import (
    compute_priority,
    decide_access,
    get_refusal_cause,
)


@dataclass(frozen=True, slots=True)
class ExplainedRequest:
    """The request to explain; the workspace is given by its name."""

    host: str
    path: str
    method: str = "GET"
    # Time that the caller states to have left; None for that of the route.
    remaining_s: float | None = None
    workspace: str | None = None


@dataclass(frozen=True, slots=True)
class ServiceState:
    """Copies of what an entry knows about one service."""

    candidates: Candidates
    failure_domains: dict[NodeId, FailureDomain]
    scheduling: Scheduling
    retries: RetryBudget
    # Returns other homes, asked where the usual ones cannot be reached.
    sample_others: Callable[[random.Random], Candidates] | None = None


@dataclass(frozen=True, slots=True)
class EntryState:
    """Copies of what an entry decides by."""

    now: float
    table: RoutingTable | None
    table_is_fresh: bool
    rng: random.Random
    scheduling: Scheduling
    entry_count: int
    copy_service: Callable[[ServiceName], ServiceState]
    is_limited: Callable[[WorkspaceId], bool]
    find_owner: Callable[[WorkspaceId], NodeId | None]
    # Whether this process, which may be stopping, can finish a request.
    can_finish: Callable[[float], bool]


def explain(request: ExplainedRequest, state: EntryState) -> dict:
    """Return the decisions on a request as an object for JSON."""
    explanation: dict = {
        "host": request.host,
        "path": request.path,
        "method": request.method,
        "version": None if state.table is None else state.table.version,
    }
    if state.table is None:
        return explanation | _describe_refusal(RefusalCause.NO_CONFIGURATION, state)
    route = state.table.find(request.host, request.path)
    if route is None:
        return explanation | {"outcome": "no-route"}
    explanation["route"] = _describe_route(route)
    workspace = None
    if request.workspace is not None:
        workspace = _find_workspace(state.table, request.workspace)
        if workspace is None:
            return explanation | {"outcome": "workspace-unknown"}
        explanation["workspace"] = _describe_workspace(workspace, state)
    explanation["keys_usable"] = state.table_is_fresh
    digest = None
    if workspace is not None and workspace.key_digests:
        digest = workspace.key_digests[0]
    access = decide_access(state.table, route, digest, state.table_is_fresh)
    if not access.is_allowed:
        return explanation | _describe_refusal(get_refusal_cause(access), state)
    priority = compute_priority(state.table, route, access.workspace)
    explanation["priority"] = priority
    drawn = choose_target(route, state.rng.random())
    distance_draw = state.scheduling.draw_distance(state.rng)
    remaining_s = route.timeout_s
    if request.remaining_s is not None:
        remaining_s = min(remaining_s, request.remaining_s - ANSWER_MARGIN_S)
    query = HomeQuery(
        route,
        True,
        state.now + route.target_latency_s,
        state.now + remaining_s,
        distance_draw,
    )
    targets = []
    for target in route.targets:
        decision = _explain_target(
            target.service, query, priority, access.workspace, state
        )
        if target.service == drawn:
            explanation["outcome"] = decision["outcome"]
        decision |= {"weight": target.weight, "drawn": target.service == drawn}
        targets.append(decision)
    return explanation | {"targets": targets}


def _explain_target(
    service: ServiceName,
    final_query: HomeQuery,
    priority: int,
    workspace: Workspace | None,
    state: EntryState,
) -> dict:
    now = state.now
    route = final_query.route
    rng = copy.deepcopy(state.rng)
    known = state.copy_service(service)
    scheduling = known.scheduling
    # As for each request of a caller; it raises the allowance of the copy.
    known.retries.count_request(service, now)
    retry_state = RetryState(
        route,
        final_query.deadline,
        lambda at: known.retries.compute_allowance(service, state.entry_count, at),
    )
    final_attempt = retry_state.is_final_attempt(now)
    query = HomeQuery(
        route,
        final_attempt,
        final_query.objective_at,
        final_query.deadline,
        final_query.distance_draw,
    )
    decision = {"service": service, "final_attempt": final_attempt}
    candidates = known.candidates
    offer = scheduling.describe_offer(
        route,
        "" if workspace is None else workspace.name,
        bool(state.table.workspaces),
    )
    shortage = scheduling.find_shortage(
        service, lambda: candidates, query, priority, now
    )
    choice = None
    if shortage is not None and not offer.internal:
        return_s = scheduling.choose_return_s(
            service, lambda: candidates, final_query, priority, now, rng
        )
        if return_s is None:
            return_s = choose_retry_after(RefusalCause.NO_ROOM, rng)
        decision |= {
            "outcome": RefusalCause.NO_ROOM.value,
            "retry_after_s": return_s,
            "earliest_s": _round(shortage.earliest_s),
            "short_homes": shortage.homes.short,
            "recent_homes": shortage.homes.recent,
        }
    elif not retry_state.has_time(now):
        decision["outcome"] = "no-time-left"
    elif not state.can_finish(query.deadline):
        decision["outcome"] = "process-stopping"
    else:
        choice = scheduling.choose(candidates, set(), [], query, now, rng)
        if choice is None and known.sample_others is not None:
            candidates = known.sample_others(rng)
            choice = scheduling.choose(candidates, set(), [], query, now, rng)
        decision["outcome"] = "no-home" if choice is None else "offered"
    if choice is not None:
        decision |= {
            "home": choice.home.node,
            "reason": choice.reason.value,
            "queues": choice.forced,
        }
    decision["homes"] = _rank(candidates, known, query, choice, now)
    return decision


def _rank(
    candidates: Candidates,
    known: ServiceState,
    query: HomeQuery,
    choice: HomeChoice | None,
    now: float,
) -> list[dict]:
    homes = []
    for view in (*candidates.usable, *candidates.silent):
        assessment = known.scheduling.assess(candidates, view, query, now)
        home = _describe_home(view, now)
        home |= {
            "failure_domain": known.failure_domains[view.node],
            "silent": view in candidates.silent,
            "completion_s": _round(assessment.completion_s),
            "cost": _round(assessment.cost),
            "chosen": choice is not None and view is choice.home,
        }
        homes.append(home)
    return sorted(homes, key=_get_rank)


def _get_rank(home: dict) -> tuple[bool, float]:
    cost = home["cost"]
    return home["silent"], math.inf if cost is None else cost


def _describe_home(view: HomeView, now: float) -> dict:
    description: dict = {
        "node": view.node,
        "distance": "own" if view.same_failure_domain else "other",
        "failing": _round(view.estimate_failure_probability(now)),
        "load": _round(view.estimate_load(now)),
    }
    report = view.report
    if report is None:
        return description
    return description | {
        "report_age_s": _round(now - view.reported_at),
        "running": report.running,
        "waiting": report.waiting,
        "slots": report.slots,
        "limit": report.limit,
        "backlog_s": _round(report.backlog_s),
        "pace": _round(report.pace),
        "shedding": _round(report.shedding),
        "accepting": report.accepting,
    }


def _describe_route(route: Route) -> dict:
    return {
        "name": route.name,
        "kind": route.kind.value,
        "public": route.public,
        "priority": route.priority,
        "timeout_s": route.timeout_s,
        "objective_s": route.target_latency_s,
    }


def _find_workspace(table: RoutingTable, name: str) -> Workspace | None:
    for workspace in table.workspaces:
        if workspace.name == name:
            return workspace
    return None


def _describe_workspace(workspace: Workspace, state: EntryState) -> dict:
    limited = state.is_limited(workspace.name)
    return {
        "name": workspace.name,
        "priority": workspace.priority,
        "limited": limited,
        "rate_per_s": workspace.rate_per_s,
        "burst": workspace.burst,
        "quota_owner": state.find_owner(workspace.name) if limited else None,
    }


def _describe_refusal(cause: RefusalCause, state: EntryState) -> dict:
    return {
        "outcome": cause.value,
        "retry_after_s": choose_retry_after(cause, state.rng),
    }


def _round(value: float | None) -> float | None:
    """Return a number for JSON, which has no infinite ones."""
    if value is None or not math.isfinite(value):
        return None
    return round(value, 4)
