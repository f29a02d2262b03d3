"""Define tokens, and requests that wait for them."""

from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.core import WorkspaceId


@dataclass(frozen=True, slots=True)
class Token:
    """The right to send one request to a server."""

    workspace: WorkspaceId
    # The request must have been sent by then.
    expires_at: float
    from_fallback: bool = False
    # The process that granted it, and when it was asked for.
    node: str = ""
    asked_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Denial:
    """There is no token for a request."""

    # Seconds until a token is expected.
    retry_s: float
    # An owner decided; otherwise none was in reach.
    by_owner: bool = True


@dataclass(slots=True, eq=False)
class Waiter:
    """A request that waits for its token."""

    workspace: WorkspaceId
    expires_at: float
    on_done: Callable[[Token | Denial], None]
    done: bool = False
