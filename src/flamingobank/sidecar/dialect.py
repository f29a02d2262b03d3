"""Interface for the platform's request and answer headers."""

import abc
from dataclasses import dataclass

from flamingobank.core import InstanceId, RequestId
from flamingobank.loop import Headers
from flamingobank.sidecar.fleet.workspaces import KeyDigest


@dataclass(frozen=True, slots=True)
class CallerFacts:
    """The headers of a caller's request, decoded."""

    request_id: RequestId
    # Seconds that the caller will wait; None if the request does not say.
    remaining_s: float | None


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """The head of a server's answer, decoded."""

    # The server states that it did not run the request.
    not_run: bool
    # A server other than the expected instance answered at this address.
    misdirected: bool
    # The answer carries the server's own signature.
    signed: bool
    # The answer carries the id of another request.
    foreign: bool
    # The answer carries the id of this request.
    echoes_id: bool
    # The server names the rate of requests that it takes from all callers together.
    names_rate_limit: bool
    # That rate in requests per second; None if it is not named or cannot be decoded.
    rate_limit_per_s: float | None
    # The server states that it leaves.
    leaving: bool
    # Running and waiting requests at the server, if it reports them.
    running: int | None
    waiting: int | None
    # Seconds that the server keeps an idle connection open, if it reports them.
    keep_alive_s: float | None


class Dialect(abc.ABC):
    """Translate between the headers of a platform and the sidecar's values."""

    @abc.abstractmethod
    def read_caller(self, headers: Headers) -> CallerFacts:
        """Decode the headers of a caller's request."""

    @abc.abstractmethod
    def take_key(self, headers: Headers) -> KeyDigest | None:
        """Remove the headers with a key or a workspace; return the key's digest."""

    @abc.abstractmethod
    def list_refusal_headers(
        self, request_id: RequestId, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer that the sidecar itself gives."""

    @abc.abstractmethod
    def encode_request(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        expected: InstanceId,
        remaining_s: float,
        calling_service: str,
        workspace: str = "",
    ) -> tuple[bytes, bytes]:
        """Encode a request for a server; return its head and its body."""

    @abc.abstractmethod
    def read_server(
        self, status: int, headers: Headers, request_id: RequestId
    ) -> ServerFacts:
        """Decode the head of a server's answer."""

    @abc.abstractmethod
    def pass_answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of a server's answer that are passed to the caller."""
