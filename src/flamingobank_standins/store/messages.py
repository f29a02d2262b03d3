"""Define calls to the store and its replies."""

from collections.abc import Mapping
from dataclasses import dataclass, field

JsonValue = object


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """Carry one HTTP request without its socket; header names in lower case."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class StoreReply:
    """Carry one HTTP answer; header names in lower case."""

    status: int
    body: JsonValue = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HandledCall:
    """Say what becomes of a call.

    Without a reply and without lost, the call waits and is answered by
    ``ObjectStore.collect_due``.
    """

    reply: StoreReply | None = None
    # The reply leaves this many seconds after the call took effect.
    delay_s: float = 0.0
    # The connection closes without an answer, though the call took effect.
    lost: bool = False
    waiting: bool = False
