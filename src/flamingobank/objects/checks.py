"""Checks of objects against each other."""

import itertools
from collections.abc import Callable, Iterable, Mapping

from flamingobank.objects.kinds import (
    AnyObject,
    FloorUnit,
    ObjectKind,
    Route,
    Service,
    get_kind,
)
from flamingobank.objects.schema import METHODS
from flamingobank.objects.selectors import Operator, Selector
from flamingobank.objects.specs import ObjectError
from flamingobank.schema import Severity, render_share

Sources = Mapping[tuple[ObjectKind, str], str]


def check_objects(
    items: Iterable[AnyObject], sources: Sources | None = None
) -> list[ObjectError]:
    """Return errors and warnings about objects that are in force together.

    Each object is assumed to be valid by itself, which parse_spec and
    validate_object check. ``sources`` maps the kind and name of each object to its
    file, which the errors name.
    """
    items = list(items)
    services = [item for item in items if isinstance(item, Service)]
    routes = [item for item in items if isinstance(item, Route)]
    get_source = _make_source_getter(sources or {})
    findings: list[ObjectError] = []
    findings.extend(_check_floors(services, get_source))
    findings.extend(_check_targets(routes, services, get_source))
    findings.extend(_check_route_conflicts(routes, get_source))
    return findings


def select_services(
    selector: Selector, services: Mapping[str, Service]
) -> list[Service]:
    """Return the services that a route's target selects, sorted by name."""
    candidates: Iterable[str] = services
    for term in selector.terms:
        if term.name == "service" and term.operator in (Operator.EQUALS, Operator.IN):
            candidates = [name for name in term.values if name in services]
            break
    chosen = []
    for name in sorted(set(candidates)):
        if selector.matches({**services[name].labels, "service": name}):
            chosen.append(services[name])
    return chosen


def _make_source_getter(sources: Sources) -> Callable[[AnyObject], str]:
    def get_source(item: AnyObject) -> str:
        return sources.get((get_kind(item), item.name), "objects")

    return get_source


def _check_floors(services: list[Service], get_source) -> list[ObjectError]:
    findings = []
    for service in services:
        if service.floor.unit is not FloorUnit.SHARE or service.floor.value < 1:
            continue
        is_whole = service.floor.value == 1
        expected = "at most 100%"
        if is_whole:
            expected = "less than 100%, because this floor lets no server be ejected"
        findings.append(
            ObjectError(
                get_source(service),
                f"service {service.name}",
                "floor",
                render_share(service.floor.value),
                expected,
                Severity.WARNING if is_whole else Severity.ERROR,
            )
        )
    return findings


def _check_targets(
    routes: list[Route], services: list[Service], get_source
) -> list[ObjectError]:
    by_name = {service.name: service for service in services}
    chosen_by_target: dict[Selector, list[Service]] = {}
    findings = []
    for route in routes:
        chosen = chosen_by_target.get(route.target)
        if chosen is None:
            chosen = select_services(route.target, by_name)
            chosen_by_target[route.target] = chosen
        if len(chosen) == 1:
            continue
        expected = "a selector that picks a service"
        severity = Severity.ERROR
        if chosen:
            names = ", ".join(service.name for service in chosen)
            expected = f"one service; {chosen[0].name} is used out of {names}"
            severity = Severity.WARNING
        section = f"route {route.name}"
        seen = str(route.target)
        findings.append(
            ObjectError(get_source(route), section, "target", seen, expected, severity)
        )
    return findings


def _check_route_conflicts(routes: list[Route], get_source) -> list[ObjectError]:
    groups: dict[tuple, list[Route]] = {}
    for route in routes:
        headers = tuple(sorted(route.headers.items()))
        callers = frozenset(route.callers.terms)
        groups.setdefault((route.host, route.path, headers, callers), []).append(route)
    findings = []
    for group in groups.values():
        group.sort(key=lambda route: route.name)
        for winner, loser in itertools.combinations(group, 2):
            finding = _compare_routes(winner, loser, get_source)
            if finding is not None:
                findings.append(finding)
    return findings


def _compare_routes(winner: Route, loser: Route, get_source) -> ObjectError | None:
    """Return a finding if one of two routes takes requests from the other.

    The routes differ at most in their methods.
    """
    winner_methods = set(winner.methods or METHODS)
    loser_methods = set(loser.methods or METHODS)
    shared = winner_methods & loser_methods
    if not shared:
        return None
    place = f"route {winner.name} in {get_source(winner)}"
    if shared == loser_methods:
        expected = f"a match of its own; {place} takes all of its requests"
        severity = Severity.ERROR
    elif not loser.methods:
        # No finding: it is common that one route takes some methods and a second route
        # without methods takes all others.
        return None
    else:
        expected = f"a match of its own; {place} takes some of its requests"
        severity = Severity.WARNING
    section = f"route {loser.name}"
    seen = f"{', '.join(loser.methods) or 'any method'} {loser.host}{loser.path}"
    return ObjectError(get_source(loser), section, "path", seen, expected, severity)
