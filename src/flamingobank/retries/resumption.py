"""Resume an interrupted download with the rest of the same representation."""

import enum
import re
from collections.abc import Iterable
from dataclasses import dataclass

Headers = Iterable[tuple[bytes, bytes]]

MAX_RESUMPTIONS = 3

_STRONG_ETAG = re.compile(rb'"[\x21\x23-\x7e\x80-\xff]*"')
_CONTENT_RANGE = re.compile(rb"bytes (\d{1,18})-(\d{1,18})/(\d{1,18}|\*)")
_LENGTH = re.compile(rb"\d{1,18}")
_OK = 200
_PARTIAL_CONTENT = 206


class ResumeRefusal(enum.Enum):
    """Rule that forbids resuming a download."""

    NOT_GET = "not-get"
    HAD_RANGE = "had-range"
    STATUS = "status"
    NO_LENGTH = "no-length"
    NO_VALIDATOR = "no-validator"
    WEAK_VALIDATOR = "weak-validator"
    NO_RANGES = "no-ranges"
    NOTHING_LEFT = "nothing-left"
    TOO_LONG = "too-long"
    TOO_MANY = "too-many"
    WHOLE_ANSWER = "whole-answer"
    CHANGED_VALIDATOR = "changed-validator"
    CHANGED_LENGTH = "changed-length"
    CHANGED_ENCODING = "changed-encoding"
    WRONG_RANGE = "wrong-range"


@dataclass(frozen=True, slots=True)
class ResumeRequest:
    """Offset to resume from, and the headers that request the rest."""

    offset: int
    headers: tuple[tuple[bytes, bytes], ...]


@dataclass(frozen=True, slots=True)
class ResumedPart:
    """Accepted partial answer, whose body continues the download at the offset."""

    offset: int
    length: int


class Resumption:
    """Track one download and decide whether a partial answer continues it."""

    __slots__ = (
        "_encoding",
        "_etag",
        "_length",
        "_refusal",
        "_resumptions",
        "_sent",
    )

    def __init__(
        self, method: str, request_headers: Headers, status: int, headers: Headers
    ) -> None:
        """Read the request and the response head that was sent to the caller."""
        fields = _index_headers(headers)
        self._etag = fields.get(b"etag", b"")
        self._encoding = fields.get(b"content-encoding", b"")
        self._length = _parse_length(fields)
        self._sent = 0
        self._resumptions = 0
        self._refusal = self._check_resumable(
            method, _index_headers(request_headers), status, fields
        )

    @property
    def sent_bytes(self) -> int:
        """Return the number of body bytes sent to the caller."""
        return self._sent

    @property
    def complete(self) -> bool:
        """Return whether the whole body was sent to the caller."""
        return self._length is not None and self._sent == self._length

    def add_bytes(self, count: int) -> ResumeRefusal | None:
        """Count body bytes before they are forwarded to the caller.

        A refusal means that the server sends more than the announced length; these
        bytes must not be forwarded.
        """
        if self._length is not None and self._sent + count > self._length:
            self._refusal = ResumeRefusal.TOO_LONG
            return self._refusal
        self._sent += count
        return None

    def plan_request(self) -> ResumeRequest | ResumeRefusal:
        """Return the headers to add to the repeated request, or a refusal.

        Each request returned here counts as an attempt. The caller of this method
        must check the retry budget first.
        """
        if self._refusal is not None:
            return self._refusal
        if self.complete:
            return ResumeRefusal.NOTHING_LEFT
        if self._resumptions >= MAX_RESUMPTIONS:
            return ResumeRefusal.TOO_MANY
        self._resumptions += 1
        byte_range = b"bytes=%d-" % self._sent
        return ResumeRequest(
            self._sent, ((b"Range", byte_range), (b"If-Range", self._etag))
        )

    def check_part(self, status: int, headers: Headers) -> ResumedPart | ResumeRefusal:
        """Check whether the body of an answer continues what was already sent.

        After a refusal, this answer must be dropped and the response to the caller
        aborted.
        """
        if self._refusal is not None:
            return self._refusal
        if status == _OK:
            return ResumeRefusal.WHOLE_ANSWER
        if status != _PARTIAL_CONTENT:
            return ResumeRefusal.STATUS
        fields = _index_headers(headers)
        # A server that ignores If-Range sends a part of a changed representation, so
        # the ETag is compared as well.
        if fields.get(b"etag") != self._etag:
            return ResumeRefusal.CHANGED_VALIDATOR
        if fields.get(b"content-encoding", b"") != self._encoding:
            return ResumeRefusal.CHANGED_ENCODING
        return self._check_range(fields)

    def _check_range(self, fields: dict[bytes, bytes]) -> ResumedPart | ResumeRefusal:
        match = _CONTENT_RANGE.fullmatch(fields.get(b"content-range", b""))
        if match is None:
            return ResumeRefusal.WRONG_RANGE
        first, last, total = match.groups()
        if total != b"*" and int(total) != self._length:
            return ResumeRefusal.CHANGED_LENGTH
        # A part that ends before the end of the body is refused, because the remainder
        # would need another request.
        if int(first) != self._sent or int(last) + 1 != self._length:
            return ResumeRefusal.WRONG_RANGE
        left = self._length - self._sent
        if b"content-length" in fields and _parse_length(fields) != left:
            return ResumeRefusal.WRONG_RANGE
        return ResumedPart(self._sent, left)

    def _check_resumable(
        self,
        method: str,
        request_fields: dict[bytes, bytes],
        status: int,
        fields: dict[bytes, bytes],
    ) -> ResumeRefusal | None:
        if method != "GET":
            return ResumeRefusal.NOT_GET
        if b"range" in request_fields:
            return ResumeRefusal.HAD_RANGE
        if status != _OK:
            return ResumeRefusal.STATUS
        if not self._etag:
            return ResumeRefusal.NO_VALIDATOR
        if not _STRONG_ETAG.fullmatch(self._etag):
            return ResumeRefusal.WEAK_VALIDATOR
        if fields.get(b"accept-ranges", b"").lower() == b"none":
            return ResumeRefusal.NO_RANGES
        # Without a length, a complete body cannot be distinguished from an interrupted
        # one.
        if self._length is None or b"transfer-encoding" in fields:
            return ResumeRefusal.NO_LENGTH
        return None


def _index_headers(headers: Headers) -> dict[bytes, bytes]:
    """Map lower-case header names to values; repeated headers are joined by ", "."""
    fields: dict[bytes, bytes] = {}
    for name, value in headers:
        key = name.lower()
        value = value.strip()
        fields[key] = fields[key] + b", " + value if key in fields else value
    return fields


def _parse_length(fields: dict[bytes, bytes]) -> int | None:
    value = fields.get(b"content-length", b"")
    return int(value) if _LENGTH.fullmatch(value) else None
