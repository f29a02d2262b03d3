"""Look up packed configuration objects."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Mapping

from expression import Result

from flamingobank.configuration.messages import ConfigurationChange, Spec
from flamingobank.configuration.packing import hash_key, pack_record, unpack_record
from flamingobank.configuration.routes import (
    RouteIndex,
    normalize_host,
    normalize_path,
    read_location,
)
from flamingobank.configuration.services import ServiceIndex
from flamingobank.configuration.shards import ShardedRecords
from flamingobank.core import Invariant, Revision, check_invariant
from flamingobank.objects import (
    AnyObject,
    ObjectKind,
    Route,
    Selector,
    Service,
    Workspace,
)

ParseSpec = Callable[[ObjectKind, str, Spec], Result[AnyObject, object]]
# Parsed objects take about 2 KB each; most requests use few of them.
MAX_PARSED_OBJECTS = 1024
# Entries take about 300 bytes each. The cache is cleared when a route changes or the
# limit is reached.
MAX_CACHED_LOCATIONS = 2048


class PackedTables:
    """Store all objects packed; parse an object when a request needs it."""

    def __init__(self, parse_spec: ParseSpec) -> None:
        self._parse_spec = parse_spec
        self._records = ShardedRecords()
        self._routes = RouteIndex()
        self._services = ServiceIndex()
        self._parsed: OrderedDict[tuple[ObjectKind, str], AnyObject | None] = (
            OrderedDict()
        )
        self._parsed_routes: OrderedDict[int, list] = OrderedDict()
        self._location_cache: dict[tuple[str, str], list] = {}
        self.counts: dict[ObjectKind, int] = dict.fromkeys(ObjectKind, 0)

    def __len__(self) -> int:
        return len(self._records)

    @property
    def bytes_used(self) -> int:
        """Return the size of all packed records and their index in bytes."""
        return self._records.bytes_used

    def get(self, kind: ObjectKind, name: str) -> ConfigurationChange | None:
        """Return an object as it was last stored, or None."""
        found = self._find(kind, name)
        return found[1] if found else None

    def put(self, change: ConfigurationChange) -> None:
        """Store an object; a revision below the stored one breaks an invariant."""
        key = hash_key(change.kind, change.name)
        found = self._find(change.kind, change.name)
        replaced = None
        if found is not None:
            replaced, known = found
            check_invariant(
                Invariant.NO_REVERT,
                change.revision >= known.revision,
                kind=change.kind.value,
                name=change.name,
                seen=change.revision,
                known=known.revision,
            )
            self._unindex(known, key)
        record = pack_record(change.kind, change.name, change.revision, change.spec)
        self._records.find(key).write(key, record, replaced)
        self._index(change, key)

    def load(
        self, items: Iterable[tuple[int, bytes, ConfigurationChange | None]]
    ) -> None:
        """Store packed objects that are not stored yet, as (key, record, change).

        The change may be None for a workspace, because its spec is not indexed.
        """
        workspaces = 0
        for key, record, change in items:
            if change is not None:
                self._index(change, key)
            else:
                workspaces += 1
            self._records.find(key).write(key, record, None)
        self.counts[ObjectKind.WORKSPACE] += workspaces

    def trim(self, after: int, until: int) -> None:
        """Release memory that was reserved while a range of keys was loaded."""
        self._records.trim(after, until)

    def delete(self, kind: ObjectKind, name: str, revision: Revision) -> bool:
        """Delete an object as of a revision; return whether it was stored."""
        found = self._find(kind, name)
        if found is None:
            return False
        record, known = found
        check_invariant(
            Invariant.NO_REVERT,
            revision >= known.revision,
            kind=kind.value,
            name=name,
            deleted_at=revision,
            known=known.revision,
        )
        key = hash_key(kind, name)
        self._unindex(known, key)
        self._records.find(key).delete(key, record)
        return True

    def read_range(self, after: int, until: int) -> Iterator[tuple[int, bytes]]:
        """Yield key hashes and records with after < key hash <= until."""
        return self._records.read_range(after, until)

    def find_workspace(self, name: str) -> Workspace | None:
        """Return a workspace by its name; None if it is missing or cannot be parsed."""
        return self._parse(ObjectKind.WORKSPACE, name)

    def find_service(self, name: str) -> Service | None:
        """Return a service by its name; None if it is missing or cannot be parsed."""
        return self._parse(ObjectKind.SERVICE, name)

    def find_services(self, selector: Selector) -> list[Service]:
        """Return the services that match a selector, in name order."""
        names = self._services.select(selector)
        services = (self.find_service(name) for name in names)
        return [service for service in services if service is not None]

    def find_route(
        self,
        host: str,
        path: str,
        method: str,
        headers: Mapping[str, str],
        workspace_labels: Mapping[str, str],
    ) -> Route | None:
        """Return the most specific matching route; header names are in lower case."""
        groups = self._find_groups(host, path)
        for group in groups:
            matching = [
                route
                for route in self._read_routes(group)
                if _matches_request(route, method, headers, workspace_labels)
            ]
            if matching:
                return min(matching, key=_get_precedence)
        return None

    def _find_groups(self, host: str, path: str) -> list[list[tuple[str, str, int]]]:
        """Return the route groups for a host and path, from a cache if possible.

        The cache is worthwhile because callers use few different hosts and paths.
        """
        groups = self._location_cache.get((host, path))
        if groups is None:
            groups = self._routes.find(normalize_host(host), normalize_path(path))
            groups = list(groups)
            if len(self._location_cache) >= MAX_CACHED_LOCATIONS:
                self._location_cache.clear()
            self._location_cache[host, path] = groups
        return groups

    def _read_routes(self, group: list[tuple[str, str, int]]) -> Iterator[Route]:
        for pattern, prefix, key in group:
            for location, route in self._parse_routes(key):
                # Another location may have the same hash.
                if location == (pattern, prefix):
                    yield route

    def _parse_routes(self, key: int) -> list[tuple[tuple[str, str], Route]]:
        """Return the location and route of each route with a key that can be parsed."""
        known = self._parsed_routes.get(key)
        if known is not None:
            self._parsed_routes.move_to_end(key)
            return known
        routes = []
        for record in self._records.find(key).read(key):
            change = unpack_record(record)
            if change.kind is not ObjectKind.ROUTE:
                continue
            parsed = self._parse_spec(change.kind, change.name, change.spec)
            if parsed.is_ok():
                routes.append((read_location(change.spec), parsed.ok))
        self._parsed_routes[key] = routes
        if len(self._parsed_routes) > MAX_PARSED_OBJECTS:
            self._parsed_routes.popitem(last=False)
        return routes

    def _find(
        self, kind: ObjectKind, name: str
    ) -> tuple[bytes, ConfigurationChange] | None:
        key = hash_key(kind, name)
        for record in self._records.find(key).read(key):
            change = unpack_record(record)
            if change.kind is kind and change.name == name:
                return record, change
        return None

    def _parse(self, kind: ObjectKind, name: str) -> AnyObject | None:
        key = (kind, name)
        if key in self._parsed:
            self._parsed.move_to_end(key)
            return self._parsed[key]
        change = self.get(kind, name)
        if change is None:
            return None
        # An older node may not be able to parse a newer spec. It stores the spec and
        # passes it on, but does not use it.
        parsed = self._parse_spec(kind, name, change.spec)
        item = parsed.ok if parsed.is_ok() else None
        self._parsed[key] = item
        if len(self._parsed) > MAX_PARSED_OBJECTS:
            self._parsed.popitem(last=False)
        return item

    def _index(self, change: ConfigurationChange, key: int) -> None:
        self.counts[change.kind] += 1
        self._parsed.pop((change.kind, change.name), None)
        self._parsed_routes.pop(key, None)
        if change.kind is ObjectKind.ROUTE:
            self._location_cache.clear()
            self._routes.add(*read_location(change.spec), key)
        elif change.kind is ObjectKind.SERVICE:
            self._services.add(change.name, change.spec)

    def _unindex(self, change: ConfigurationChange, key: int) -> None:
        self.counts[change.kind] -= 1
        self._parsed.pop((change.kind, change.name), None)
        self._parsed_routes.pop(key, None)
        if change.kind is ObjectKind.ROUTE:
            self._location_cache.clear()
            self._routes.remove(*read_location(change.spec), key)
        elif change.kind is ObjectKind.SERVICE:
            self._services.remove(change.name)


def _matches_request(
    route: Route,
    method: str,
    headers: Mapping[str, str],
    workspace_labels: Mapping[str, str],
) -> bool:
    if route.methods and method not in route.methods:
        return False
    for name, value in route.headers.items():
        if headers.get(name) != value:
            return False
    return route.callers.matches(workspace_labels)


def _get_precedence(route: Route) -> tuple[int, int, str]:
    return -len(route.headers), -len(route.callers.terms), route.name
