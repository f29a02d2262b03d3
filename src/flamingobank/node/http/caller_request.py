"""Adapt requests and the fleet's own answers to circuits.web."""

import abc

from circuits import BaseComponent
from circuits.web.headers import Headers
from circuits.web.wrappers import Request, Response


class RequestSource(abc.ABC):
    """A connection that has read a request."""

    method: str
    target: bytes
    protocol: tuple[int, int]
    headers: list[tuple[bytes, bytes]]
    keep_alive: bool

    @abc.abstractmethod
    def take_body(self) -> bytes:
        """Return the body that was read, and release it."""


class CallerRequest(Request):
    """A request that has been read whole and checked."""

    def __init__(self, connection: RequestSource, server: BaseComponent) -> None:
        # The constructor of the base class is not called: it parses URLs and cookies,
        # which no handler here uses, and would double the cost of a request.
        self.sock = connection
        self.server = server
        self.method = connection.method
        self.target = connection.target
        path, _, query = connection.target.partition(b"?")
        self.path = path.decode("latin-1")
        self.qs = query.decode("latin-1")
        self.protocol = connection.protocol
        self.raw_headers = connection.headers
        self.content = connection.take_body()
        self.print_debug = False
        self.cookie = {}

    @property
    def headers(self) -> Headers:
        """Return the headers as the type that circuits.web uses."""
        pairs = self.raw_headers
        return Headers([(_decode(name), _decode(value)) for name, value in pairs])

    def get_header(self, name: bytes, default: bytes = b"") -> bytes:
        """Return the first value of a header, given its lower-case name."""
        for known, value in self.raw_headers:
            if known == name:
                return value
        return default


class CallerResponse(Response):
    """An answer of the fleet itself, which circuits.web renders."""

    def __init__(self, request: CallerRequest) -> None:
        self.request = request
        self.encoding = "utf-8"
        self._body = []
        self._status = None
        self.status = 200
        self.headers = Headers([])
        self.cookie = {}
        major, minor = request.protocol
        self.protocol = f"HTTP/{major}.{minor}"
        self.close = not request.sock.keep_alive


def _decode(data: bytes) -> str:
    return data.decode("latin-1")
