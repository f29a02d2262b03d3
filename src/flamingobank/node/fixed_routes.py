"""Serve a fixed set of objects, for one node without a store."""

from collections.abc import Iterable, Mapping

from flamingobank.node.entry import RouteTable
from flamingobank.objects import AnyObject, Route, Service, Workspace


class FixedRoutes(RouteTable):
    """Find routes by looking at each in turn."""

    def __init__(self, items: Iterable[AnyObject] = ()) -> None:
        self.services: dict[str, Service] = {}
        self._routes: list[Route] = []
        self._labels: dict[str, Mapping[str, str]] = {}
        for item in items:
            if isinstance(item, Service):
                self.services[item.name] = item
            elif isinstance(item, Route):
                self._routes.append(item)
            elif isinstance(item, Workspace):
                self._labels[item.name] = item.labels
        self._routes.sort(key=rank_route)
        self._targets = {
            route.name: select_first_service(route, self.services.values())
            for route in self._routes
        }

    def find_route(
        self,
        host: str,
        path: str,
        method: str,
        headers: Mapping[str, str],
        labels: Mapping[str, str],
    ) -> Route | None:
        """Return the most specific route that matches."""
        for route in self._routes:
            if matches_route(route, host, path, method, headers, labels):
                return route
        return None

    def find_labels(self, workspace: str) -> Mapping[str, str]:
        """Return the labels of a workspace."""
        return self._labels.get(workspace, {})

    def find_service(self, route: Route) -> str | None:
        """Return the service that a route's target selects."""
        return self._targets.get(route.name)


def rank_route(route: Route) -> tuple:
    """Return a sort key that puts more specific routes first."""
    host_rank = 2 if not route.host else 1 if route.host.startswith("*.") else 0
    return (
        host_rank,
        -len(route.path),
        -len(route.headers),
        -len(route.callers.terms),
        route.name,
    )


def matches_route(
    route: Route,
    host: str,
    path: str,
    method: str,
    headers: Mapping[str, str],
    labels: Mapping[str, str],
) -> bool:
    """Tell whether a request matches a route."""
    if route.methods and method not in route.methods:
        return False
    if not _matches_host(route.host, host) or not _matches_path(route.path, path):
        return False
    for name, value in route.headers.items():
        if headers.get(name) != value:
            return False
    return route.callers.matches(labels)


def select_first_service(route: Route, services: Iterable[Service]) -> str | None:
    """Return the first service in name order that a route's target selects."""
    for service in sorted(services, key=lambda service: service.name):
        if route.target.matches({**service.labels, "service": service.name}):
            return service.name
    return None


def _matches_host(wanted: str, host: str) -> bool:
    if not wanted:
        return True
    if wanted.startswith("*."):
        return host.endswith(wanted[1:])
    return host == wanted


def _matches_path(prefix: str, path: str) -> bool:
    if prefix == "/" or path == prefix:
        return True
    return path.startswith(prefix.rstrip("/") + "/")
