"""Decode and encode the platform's request and answer headers."""

from flamingobank.core import InstanceId, RequestId
from flamingobank.loop import Headers
from flamingobank.sidecar.dialect import CallerFacts, Dialect, ServerFacts
from flamingobank.sidecar.fleet.workspaces import KeyDigest, hash_key

REQUEST_ID = b"request-id"
# Milliseconds that the caller will still wait, not a point in time.
DEADLINE_MS = b"deadline-milliseconds"
EXPECTED_INSTANCE = b"expected-instance"
CALLING_SERVICE = b"calling-service"
# A caller's key, as "Token KEY".
AUTHORIZATION = b"authorization"
AUTHORIZATION_SCHEME = b"token"
# The name of the workspace that the key belongs to, for the server.
TENANT = b"tenant"
SERVER_SEAL = b"server-seal"
NOT_EXECUTED = b"not-executed"
# Numbers of running requests, waiting requests and slots, separated by commas.
SERVER_LOAD = b"server-load"
# Requests per second from all callers together, for as long as answers carry it.
SERVER_LIMIT = b"server-limit"
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
KEEP_ALIVE = b"keep-alive"
STATUS_MISDIRECTED = 421

HOP_BY_HOP = frozenset(
    (
        b"connection",
        KEEP_ALIVE,
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
# Not passed on to servers: connection headers, and those that the sidecar itself sets
# whatever the caller sent.
OWN_REQUEST_HEADERS = HOP_BY_HOP | {
    b"content-length",
    b"expect",
    DEADLINE_MS,
    EXPECTED_INSTANCE,
    CALLING_SERVICE,
}


class PlatformDialect(Dialect):
    """Decode and encode the platform's headers for the sidecar."""

    def read_caller(self, headers: Headers) -> CallerFacts:
        """Decode the headers of a caller's request."""
        request_id = _find_header(headers, REQUEST_ID) or b""
        remaining_ms = _parse_number(_find_header(headers, DEADLINE_MS))
        return CallerFacts(
            RequestId(request_id.decode("latin-1")),
            None if remaining_ms is None else remaining_ms / 1000,
        )

    def take_key(self, headers: Headers) -> KeyDigest | None:
        """Remove the headers with a key or a workspace; return the key's digest.

        Several keys count as none, since it is unclear which of them is meant.
        """
        digests = []
        kept = []
        for name, value in headers:
            if name == AUTHORIZATION:
                digests.append(_hash_authorization(value))
            elif name != TENANT:
                kept.append((name, value))
        if len(kept) < len(headers):
            headers[:] = kept
        return digests[0] if len(digests) == 1 else None

    def list_refusal_headers(
        self, request_id: RequestId, retry_after_s: float | None
    ) -> Headers:
        """Return the headers of an answer that the sidecar itself gives."""
        headers = [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []
        if retry_after_s is not None:
            headers.append((RETRY_AFTER, b"%.2f" % retry_after_s))
        return headers

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
        dropped = OWN_REQUEST_HEADERS | _split_connection_header(headers)
        has_body_framing = any(
            name in (b"content-length", b"transfer-encoding") for name, _ in headers
        )
        lines = [b"%s %s HTTP/1.1" % (method.encode("latin-1"), target)]
        lines += [b"%s: %s" % item for item in headers if item[0] not in dropped]
        lines.append(b"%s: %d" % (DEADLINE_MS, max(1, int(remaining_s * 1000))))
        lines.append(b"%s: %s" % (EXPECTED_INSTANCE, expected.encode("latin-1")))
        lines.append(b"%s: %s" % (CALLING_SERVICE, calling_service.encode("latin-1")))
        if workspace:
            lines.append(b"%s: %s" % (TENANT, workspace.encode("utf-8")))
        if body or has_body_framing:
            lines.append(b"content-length: %d" % len(body))
        return b"\r\n".join([*lines, b"", b""]), body

    def read_server(
        self, status: int, headers: Headers, request_id: RequestId
    ) -> ServerFacts:
        """Decode the head of a server's answer."""
        values_by_name = {name.lower(): value for name, value in headers}
        echoed = values_by_name.get(REQUEST_ID)
        echoes_id = echoed == request_id.encode("latin-1")
        misdirected = status == STATUS_MISDIRECTED
        running, waiting = _parse_load(values_by_name.get(SERVER_LOAD))
        return ServerFacts(
            not_run=NOT_EXECUTED in values_by_name or misdirected,
            misdirected=misdirected,
            signed=SERVER_SEAL in values_by_name,
            foreign=echoed is not None and not echoes_id,
            echoes_id=echoes_id,
            names_rate_limit=SERVER_LIMIT in values_by_name,
            rate_limit_per_s=_parse_number(values_by_name.get(SERVER_LIMIT)),
            leaving=values_by_name.get(SERVER_LEAVING, b"").strip() == b"1",
            running=running,
            waiting=waiting,
            keep_alive_s=_parse_keep_alive(values_by_name.get(KEEP_ALIVE)),
        )

    def pass_answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of a server's answer that are passed to the caller."""
        lowered = [(name.lower(), value) for name, value in headers]
        dropped = HOP_BY_HOP | _split_connection_header(lowered)
        return [item for item in lowered if item[0] not in dropped]


def _hash_authorization(value: bytes) -> KeyDigest | None:
    scheme, _, key = value.strip().partition(b" ")
    key = key.strip()
    if scheme.lower() != AUTHORIZATION_SCHEME or not key:
        return None
    return hash_key(key)


def _find_header(headers: Headers, header_name: bytes) -> bytes | None:
    for name, value in headers:
        if name == header_name:
            return value
    return None


def _split_connection_header(headers: Headers) -> frozenset[bytes]:
    value = _find_header(headers, b"connection") or b""
    return frozenset(option.strip().lower() for option in value.split(b","))


def _parse_number(value: bytes | None) -> float | None:
    if value is None:
        return None
    try:
        number = float(value)
    except ValueError:
        return None
    return number if 0 <= number < 1e9 else None


def _parse_load(value: bytes | None) -> tuple[int | None, int | None]:
    parts = (value or b"").split(b",")
    if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
        return None, None
    return int(parts[0]), int(parts[1])


def _parse_keep_alive(value: bytes | None) -> float | None:
    for parameter in (value or b"").split(b","):
        name, _, text = parameter.partition(b"=")
        if name.strip().lower() == b"timeout":
            return _parse_number(text.strip())
    return None
