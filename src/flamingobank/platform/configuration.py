"""Decode the operator's configuration into a routing table."""

from expression import Error, Ok, Result

from flamingobank.core import RouteName, ServiceName, WorkspaceId
from flamingobank.sidecar.fleet.routes import (
    RequestLimits,
    Route,
    RouteKind,
    RoutingTable,
    WeightedService,
)
from flamingobank.sidecar.fleet.workspaces import KeyDigest, Workspace, hash_key

DEFAULT_TIMEOUT_S = 60.0
DEFAULT_MAX_ATTEMPTS = 2
DEFAULT_PRIORITY = 1
# Versions have eight hexadecimal digits.
MAX_VERSION = 2**32 - 1


def decode_configuration(document: object) -> Result[RoutingTable, str]:
    """Decode a configuration, or return a description of the error."""
    try:
        return Ok(_decode(document))
    except (AttributeError, KeyError, OverflowError, TypeError, ValueError) as error:
        return Error(f"configuration is malformed: {error!r}")


def _decode(document: dict) -> RoutingTable:
    routes: list[Route] = []
    services: set[ServiceName] = set()
    workspaces: list[Workspace] = []
    limits = RequestLimits()
    for resource in document["resources"]:
        kind = resource["resource-kind"]
        name = resource["metadata"].get("name", "")
        body = resource["specification"]
        if kind == "routes":
            routes.append(_decode_route(name, body))
        elif kind == "services":
            services.add(ServiceName(name))
        elif kind == "tenants":
            workspaces.append(_decode_workspace(name, body))
        elif kind == "limits":
            limits = _decode_limits(body)
    version = int(document["version"], 16)
    if not 0 <= version <= MAX_VERSION:
        raise ValueError(f"version is {version}, expected 0 to {MAX_VERSION}")
    return RoutingTable(
        version, tuple(routes), frozenset(services), limits, tuple(workspaces)
    )


def _decode_route(name: str, body: dict) -> Route:
    split = body.get("weighted-split")
    if split:
        targets = tuple(
            WeightedService(ServiceName(part["service"]), float(part["weight"]))
            for part in split
        )
    else:
        targets = (WeightedService(ServiceName(body["service"]), 1.0),)
    timeout_s = float(body.get("timeout-s", DEFAULT_TIMEOUT_S))
    return Route(
        name=RouteName(name),
        host=body["host"].lower(),
        prefix=body["path-prefix"],
        kind=RouteKind(body["kind"]),
        targets=targets,
        timeout_s=timeout_s,
        target_latency_s=float(body.get("target-latency-s", timeout_s)),
        max_attempts=int(body.get("max-attempts", DEFAULT_MAX_ATTEMPTS)),
        priority=int(body.get("priority", DEFAULT_PRIORITY)),
        public=bool(body.get("public", False)),
    )


def _decode_workspace(name: str, body: dict) -> Workspace:
    priority = body.get("priority")
    return Workspace(
        name=WorkspaceId(name),
        key_digests=_hash_keys(name, body.get("api-keys", [])),
        priority=None if priority is None else int(priority),
        rate_per_s=float(body.get("rate-per-s", 0)),
        burst=float(body.get("burst", 0)),
    )


def _hash_keys(name: str, keys: object) -> tuple[KeyDigest, ...]:
    # A text in place of the list would make each of its characters a key.
    if not isinstance(keys, list):
        raise TypeError(f"keys of workspace {name!r:.80} are no list")
    digests = []
    for key in keys:
        # The error of a failed encoding would show the key.
        digests.append(hash_key(key.encode("utf-8", "surrogatepass")))
    return tuple(digests)


def _decode_limits(body: dict) -> RequestLimits:
    defaults = RequestLimits()
    return RequestLimits(
        # The sidecar applies this limit to the request line and headers together.
        max_head_bytes=int(body.get("max-header-bytes", defaults.max_head_bytes)),
        max_body_bytes=int(body.get("max-body-bytes", defaults.max_body_bytes)),
        head_timeout_s=float(body.get("header-timeout-s", defaults.head_timeout_s)),
        idle_timeout_s=float(body.get("idle-timeout-s", defaults.idle_timeout_s)),
    )
