"""Define how requests and answers are written for callers and servers."""

import abc
from dataclasses import dataclass

from flamingobank.core import InstanceId, RequestId
from flamingobank.loop import Headers


@dataclass(frozen=True, slots=True)
class CallerFacts:
    """Hold what a caller says of its request."""

    request_id: RequestId
    # Seconds the caller waits; None when it does not say.
    left_s: float | None


@dataclass(frozen=True, slots=True)
class ServerFacts:
    """Hold what a server says in the head of an answer."""

    # The server states that it did not run the request.
    not_run: bool
    # Another server than the expected one answers at this address.
    misdirected: bool
    # The answer carries the server's own signature.
    signed: bool
    # The answer echoes another request's id.
    foreign: bool
    # Running and waiting requests at the server, where it tells.
    running: int | None
    waiting: int | None
    # Seconds an idle connection stays open, where the server tells.
    keep_alive_s: float | None


class Dialect(abc.ABC):
    """Translate between the product and one platform's headers."""

    @abc.abstractmethod
    def read_caller(self, headers: Headers) -> CallerFacts:
        """Decode the headers of a caller's request."""

    @abc.abstractmethod
    def list_refusal_headers(
        self, request_id: RequestId, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer of our own."""

    @abc.abstractmethod
    def encode_request(
        self,
        method: str,
        target: bytes,
        headers: Headers,
        body: bytes,
        expected: InstanceId,
        left_s: float,
        calling_service: str,
    ) -> bytes:
        """Write a request for a server."""

    @abc.abstractmethod
    def read_server(
        self, status: int, headers: Headers, request_id: RequestId
    ) -> ServerFacts:
        """Decode the head of a server's answer."""

    @abc.abstractmethod
    def pass_answer_headers(self, headers: Headers) -> Headers:
        """Return a server's headers that callers get."""
