"""Decide for which workspace a request may run, from its key and the routing table."""

import enum
from dataclasses import dataclass

from flamingobank.sidecar.decisions.refusals import RefusalCause
from flamingobank.sidecar.fleet.routes import Route, RoutingTable
from flamingobank.sidecar.fleet.workspaces import KeyDigest, Workspace

# Multiplies a workspace's priority, so that it takes precedence over all priorities of
# routes.
WORKSPACE_PRIORITY_WEIGHT = 100
# Priority of requests without a workspace, such as a server's calls, and of workspaces
# that state none.
DEFAULT_WORKSPACE_PRIORITY = 1


class AccessOutcome(enum.Enum):
    """Whether a request may run."""

    # The request needs no key.
    PUBLIC = "public"
    # The key belongs to a workspace.
    WORKSPACE = "workspace"
    # The request needs a key, and has none or an unknown one.
    DENIED = "denied"
    # The table may be out of date, so it does not tell whether the key is in force.
    TABLE_TOO_OLD = "table-too-old"


@dataclass(frozen=True, slots=True)
class Access:
    """Whether a request may run, and for which workspace."""

    outcome: AccessOutcome
    workspace: Workspace | None = None

    @property
    def is_allowed(self) -> bool:
        """Return whether the request may run."""
        return self.outcome in (AccessOutcome.PUBLIC, AccessOutcome.WORKSPACE)


ACCESS_WITHOUT_KEY = Access(AccessOutcome.PUBLIC)
ACCESS_DENIED = Access(AccessOutcome.DENIED)
ACCESS_UNDECIDED = Access(AccessOutcome.TABLE_TOO_OLD)


def decide_access(
    table: RoutingTable, route: Route, digest: KeyDigest | None, table_is_fresh: bool
) -> Access:
    """Decide on a request by the digest of its key, None for a request without one."""
    if not table.workspaces:
        return ACCESS_WITHOUT_KEY
    if not table_is_fresh:
        return ACCESS_WITHOUT_KEY if route.public else ACCESS_UNDECIDED
    workspace = None if digest is None else table.find_workspace(digest)
    if route.public:
        return Access(AccessOutcome.PUBLIC, workspace)
    if workspace is None:
        return ACCESS_DENIED
    return Access(AccessOutcome.WORKSPACE, workspace)


def compute_priority(
    table: RoutingTable, route: Route, workspace: Workspace | None
) -> int:
    """Return the priority of a request's offers, 0 for the most urgent."""
    if not table.workspaces:
        return route.priority
    priority = DEFAULT_WORKSPACE_PRIORITY
    if workspace is not None and workspace.priority is not None:
        priority = workspace.priority
    return WORKSPACE_PRIORITY_WEIGHT * priority + route.priority


def get_refusal_cause(access: Access) -> RefusalCause:
    """Return why a request is refused that may not run."""
    if access.outcome is AccessOutcome.DENIED:
        return RefusalCause.KEY_UNKNOWN
    return RefusalCause.TABLE_TOO_OLD
