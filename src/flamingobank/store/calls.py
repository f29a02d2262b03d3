"""Encoding of calls to the store and decoding of its answers."""

import json
import math
from collections.abc import Mapping
from dataclasses import dataclass, replace
from urllib.parse import quote, urlencode

from flamingobank.core import Revision
from flamingobank.store.values import ObjectChange, Spec, StoredObject

CALL_TIMEOUT_S = 2.0
MIN_TIMEOUT_S = 0.05
# The store may wait for the whole timeout of a watch before it sends the answer,
# which needs additional time to arrive.
WATCH_GRACE_S = 2.0


@dataclass(frozen=True, slots=True)
class StoreCall:
    """One HTTP request to the store."""

    method: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    timeout_s: float = CALL_TIMEOUT_S

    @property
    def is_write(self) -> bool:
        """Tell whether the call can change the store."""
        return self.method != "GET"


@dataclass(frozen=True, slots=True)
class StoreAnswer:
    """One HTTP answer of the store; header names are in lower case."""

    status: int
    headers: Mapping[str, str]
    body: bytes
    # A time before the arrival of the answer, which may have waited to be read.
    arrived_after: float = -math.inf


@dataclass(frozen=True, slots=True)
class CallFailed:
    """A call without an answer; if ``sent`` is true, it may still take effect."""

    reason: str
    sent: bool
    # The connection had carried an earlier call.
    reused_connection: bool = False


Answer = StoreAnswer | CallFailed


def limit_timeout(call: StoreCall, remaining_s: float) -> StoreCall:
    """Limit the timeout of a call to the remaining time of its operation."""
    # A call that starts near the deadline still gets the time that an answer
    # usually takes.
    timeout_s = min(call.timeout_s, max(MIN_TIMEOUT_S, remaining_s))
    return replace(call, timeout_s=timeout_s)


def build_get(kind: str, name: str) -> StoreCall:
    """Build the call that reads one object."""
    return StoreCall("GET", _get_target(kind, name))


def build_put(
    kind: str, name: str, spec: Spec, write_id: str, expected: Revision | None
) -> StoreCall:
    """Build a write on condition of a revision, or of absence without one."""
    if expected is None:
        condition = ("If-None-Match", "*")
    else:
        condition = ("If-Match", str(expected))
    body = json.dumps({"spec": dict(spec), "write_id": write_id}).encode()
    return StoreCall("PUT", _get_target(kind, name), (condition,), body)


def build_delete(kind: str, name: str, write_id: str, expected: Revision) -> StoreCall:
    """Build the call that removes an object if it is at the expected revision."""
    target = f"{_get_target(kind, name)}?{urlencode({'write_id': write_id})}"
    return StoreCall("DELETE", target, (("If-Match", str(expected)),))


def build_list(kind: str, after: str, limit: int) -> StoreCall:
    """Build the call that reads one page of a kind.

    An empty kind lists all configuration objects.
    """
    query = {"after": after, "limit": str(limit)}
    if kind:
        query["kind"] = kind
    return StoreCall("GET", f"/v1/objects?{urlencode(query)}")


def build_watch(after: Revision, timeout_s: float) -> StoreCall:
    """Build the call that waits for changes after a revision."""
    query = urlencode({"after": after, "timeout_ms": int(timeout_s * 1000)})
    timeout_s += WATCH_GRACE_S
    return StoreCall("GET", f"/v1/watch?{query}", timeout_s=timeout_s)


def encode_http(call: StoreCall, host: str, token: str) -> bytes:
    """Return a call as the bytes of an HTTP/1.1 request."""
    lines = [
        f"{call.method} {call.target} HTTP/1.1",
        f"Host: {host}",
    ]
    if token:
        lines.append(f"Authorization: Bearer {token}")
    lines += [f"{name}: {value}" for name, value in call.headers]
    if call.is_write:
        lines.append(f"Content-Length: {len(call.body)}")
    return "\r\n".join([*lines, "", ""]).encode() + call.body


def decode_json(answer: StoreAnswer) -> dict | None:
    """Return the JSON object in an answer's body, None if it holds anything else."""
    try:
        value = json.loads(answer.body)
    except ValueError:
        return None
    return value if isinstance(value, dict) else None


def decode_object(value: object) -> StoredObject | None:
    """Return the decoded object, None if a field is missing or has a wrong type."""
    if not isinstance(value, dict):
        return None
    texts = [value.get("kind"), value.get("name"), value.get("write_id")]
    if not all(isinstance(text, str) for text in texts):
        return None
    revision, spec = value.get("revision"), value.get("spec")
    if not is_revision(revision) or not isinstance(spec, dict):
        return None
    return StoredObject(texts[0], texts[1], Revision(revision), texts[2], spec)


def decode_change(value: object) -> ObjectChange | None:
    """Return the decoded change, None if a field is missing or has a wrong type."""
    if not isinstance(value, dict):
        return None
    kind, name = value.get("kind"), value.get("name")
    revision, spec = value.get("revision"), value.get("spec")
    if not isinstance(kind, str) or not isinstance(name, str):
        return None
    if not is_revision(revision) or not isinstance(spec, dict | None):
        return None
    return ObjectChange(kind, name, Revision(revision), spec)


def is_revision(value: object) -> bool:
    """Tell whether a value is a revision, which is an integer of 0 or more."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _get_target(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind)}/{quote(name)}"
