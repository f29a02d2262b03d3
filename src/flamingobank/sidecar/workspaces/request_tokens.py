"""Hold the tokens of one request."""

import abc
from collections.abc import Callable

from flamingobank.core import WorkspaceId
from flamingobank.sidecar.fleet.workspaces import Workspace
from flamingobank.sidecar.workspaces.quota_tokens import Denial, Token, Waiter


class TokenSource(abc.ABC):
    """What a request needs from the quotas of its process."""

    @abc.abstractmethod
    def is_limited(self, workspace: WorkspaceId) -> bool:
        """Return whether requests of a workspace need tokens."""

    @abc.abstractmethod
    def is_valid(self, token: Token) -> bool:
        """Return whether a token has not expired."""

    @abc.abstractmethod
    def take(self, workspace: WorkspaceId) -> Token | None:
        """Take a token that is at hand."""

    @abc.abstractmethod
    def wait(
        self,
        workspace: WorkspaceId,
        on_done: Callable[[Token | Denial], None],
        expires_at: float | None = None,
    ) -> Waiter:
        """Queue a request for a token until a time, or the usual one."""

    @abc.abstractmethod
    def cancel(self, waiter: Waiter) -> None:
        """Drop a request that no longer needs a token."""

    @abc.abstractmethod
    def give_back(self, token: Token) -> None:
        """Take back a token whose request was not sent."""


class RequestTokens:
    """The token for the next sending of one request to a server."""

    def __init__(self, source: TokenSource | None) -> None:
        self._source = source
        self._token: Token | None = None
        self._spent: Token | None = None
        self._waiter: Waiter | None = None

    def acquire(
        self,
        workspace: Workspace | None,
        on_done: Callable[[Denial | None], None],
        expires_at: float | None = None,
    ) -> bool:
        """Return whether the request may be sent now.

        Otherwise `on_done` is called later, with None once there is a token. It is
        awaited until `expires_at`, or for the usual time.
        """
        source = self._source
        if self._waiter is not None:
            # An earlier attempt waited for it, which has ended since.
            source.cancel(self._waiter)
            self._waiter = None
        if source is None or workspace is None or not source.is_limited(workspace.name):
            return True
        token = self._token
        if token is not None:
            if token.workspace == workspace.name and source.is_valid(token):
                return True
            source.give_back(token)
        self._token = source.take(workspace.name)
        if self._token is not None:
            return True

        def on_outcome(outcome: Token | Denial) -> None:
            self._waiter = None
            if isinstance(outcome, Denial):
                on_done(outcome)
                return
            self._token = outcome
            on_done(None)

        self._waiter = source.wait(workspace.name, on_outcome, expires_at)
        return False

    def spend(self) -> None:
        """Use the token up, since the request is sent."""
        self._spent, self._token = self._token, None

    def restore(self) -> None:
        """Take back spend() for a request that did not reach its server."""
        if self._token is None:
            self._token, self._spent = self._spent, None

    def close(self) -> None:
        """Give back what the request no longer needs."""
        if self._waiter is not None:
            self._source.cancel(self._waiter)
            self._waiter = None
        if self._token is not None:
            self._source.give_back(self._token)
            self._token = None
