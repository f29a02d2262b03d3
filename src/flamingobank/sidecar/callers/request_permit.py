"""Hold what a request needs to run: a key that is in force and a token of its quota."""

from collections.abc import Callable

from flamingobank.sidecar.callers.exchange_owner import ExchangeOwner
from flamingobank.sidecar.decisions.refusals import RefusalCause
from flamingobank.sidecar.fleet.routes import Route
from flamingobank.sidecar.fleet.workspaces import KeyDigest
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.workspaces.access import Access, get_refusal_cause
from flamingobank.sidecar.workspaces.quota_tokens import Denial
from flamingobank.sidecar.workspaces.request_tokens import RequestTokens

# A request waits for the token of its workspace for this share of its objective, which
# leaves time for the request itself. The process that counts the workspace may only
# just have ended or started, and waiting for the next one costs callers less than a
# refusal.
TOKEN_WAIT_SHARE = 0.4
MAX_TOKEN_WAIT_S = 1.2


class RequestPermit:
    """The key and the token of one request."""

    def __init__(
        self,
        entry: ExchangeOwner,
        request: CallerRequest,
        route: Route,
        access: Access,
        key_digest: KeyDigest | None,
    ) -> None:
        self.workspace = access.workspace
        # Why the request may not run, as a later look at its key or quota found.
        self.refusal: RefusalCause | None = None
        # The owner's or the fallback's refusal of a token.
        self.denial: Denial | None = None
        self.tokens = RequestTokens(entry.quotas)
        self._entry = entry
        self._request = request
        self._route = route
        self._key_digest = key_digest

    @property
    def workspace_name(self) -> str:
        """Return the name of the workspace, empty if there is none."""
        return "" if self.workspace is None else self.workspace.name

    @property
    def priority(self) -> int:
        """Return the priority of the request's offers."""
        return self._entry.compute_priority(self._route, self.workspace)

    def acquire_first(
        self, now: float, on_done: Callable[[Denial | None], None]
    ) -> bool:
        """Return whether there is a token; else call back, with None once there is."""
        wait_s = min(MAX_TOKEN_WAIT_S, TOKEN_WAIT_SHARE * self._route.target_latency_s)
        return self.tokens.acquire(self.workspace, on_done, now + wait_s)

    def acquire_again(self, on_done: Callable[[Denial | None], None]) -> bool:
        """Return whether there is a token now, as acquire_first() does.

        The first token may have expired while the request waited, and each repeat
        needs one of its own.
        """
        return self.tokens.acquire(self.workspace, on_done)

    def note_denial(self, denial: Denial) -> None:
        """Record that the request is over the quota of its workspace."""
        self.denial = denial
        self.refusal = RefusalCause.OVER_QUOTA

    def check_key(self) -> bool:
        """Return whether the key may still be used.

        It may have been withdrawn while the request waited, or the first workspaces
        configured.
        """
        if self._key_digest is None:
            self._key_digest = self._entry.take_key(self._request)
        access = self._entry.check_access(self._route, self._key_digest)
        if not access.is_allowed:
            self.refusal = get_refusal_cause(access)
            return False
        self.workspace = access.workspace
        self.refusal = None
        return True
