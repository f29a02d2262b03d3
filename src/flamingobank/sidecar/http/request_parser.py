"""Parse the requests of one connection, and make no upgrades."""

import abc

import httptools

from flamingobank.loop import Headers

FRAMING_HEADERS = (b"content-length", b"transfer-encoding")


class RequestHandler(abc.ABC):
    """Receive the parts of requests in the order of their arrival."""

    @property
    @abc.abstractmethod
    def incoming_headers(self) -> Headers:
        """Return the headers of the request that is being read, in lower case."""

    @abc.abstractmethod
    def on_message_begin(self) -> None:
        """Handle the start of a request."""

    @abc.abstractmethod
    def on_url(self, url: bytes) -> None:
        """Handle a piece of the request target."""

    @abc.abstractmethod
    def on_header(self, name: bytes, value: bytes) -> None:
        """Handle a header or a trailer."""

    @abc.abstractmethod
    def on_headers_complete(self) -> None:
        """Handle the end of the head."""

    @abc.abstractmethod
    def on_body(self, data: bytes) -> None:
        """Handle a part of the body."""

    @abc.abstractmethod
    def on_message_complete(self) -> None:
        """Handle the end of the request."""


class RequestParser:
    """Parser that reads on in HTTP/1.1 after a request that offers an upgrade.

    A server may ignore such an offer (RFC 9110, 7.8). The parser of httptools stops
    behind the head of such a request and skips its body, so a new one reads the rest.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        # The parser looks its callbacks up when it is made.
        self.on_body = handler.on_body
        self._parser = httptools.HttpRequestParser(self)
        # Whether the body of the current request is still to be read by a new parser.
        self._misses_body = False
        # Whether the head that is being parsed was made by this class.
        self._skips_head = False

    @property
    def method(self) -> str:
        """Return the method of the request whose head was read last."""
        return self._parser.get_method().decode("latin-1")

    @property
    def should_keep_alive(self) -> bool:
        """Return whether the connection may be kept after the current request."""
        return self._parser.should_keep_alive()

    def feed(self, data: bytes) -> None:
        """Parse bytes; raises httptools.HttpParserError if they are malformed."""
        while data:
            try:
                self._parser.feed_data(data)
                return
            except httptools.HttpParserUpgrade as upgrade:
                data = data[upgrade.args[0] :]
                if self._misses_body:
                    self._read_body()

    def _read_body(self) -> None:
        """Let a new parser read the body of a request whose head has been read."""
        lines = [b"POST / HTTP/1.1"]
        for name, value in self._handler.incoming_headers:
            if name in FRAMING_HEADERS:
                lines.append(b"%s: %s" % (name, value))
        if not self.should_keep_alive:
            lines.append(b"Connection: close")
        self._misses_body = False
        self._parser = httptools.HttpRequestParser(self)
        self._skips_head = True
        try:
            self._parser.feed_data(b"\r\n".join([*lines, b"", b""]))
        finally:
            self._skips_head = False

    def on_message_begin(self) -> None:
        """Pass on the start of a request; called by the parser."""
        if not self._skips_head:
            self._handler.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Pass on a piece of the request target; called by the parser."""
        if not self._skips_head:
            self._handler.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Pass on a header; called by the parser."""
        if not self._skips_head:
            self._handler.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Pass on the end of a head; called by the parser."""
        if self._skips_head:
            return
        self._handler.on_headers_complete()
        if self._parser.should_upgrade():
            framing = [
                value
                for name, value in self._handler.incoming_headers
                if name in FRAMING_HEADERS
            ]
            self._misses_body = framing not in ([], [b"0"])

    def on_message_complete(self) -> None:
        """Pass on the end of a request; called by the parser."""
        if not self._misses_body:
            self._handler.on_message_complete()
