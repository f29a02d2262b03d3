"""Define the calls to the store and its responses, independent of sockets."""

from collections.abc import Mapping
from dataclasses import dataclass, field

JsonValue = object


@dataclass(frozen=True, slots=True)
class ReceivedCall:
    """One HTTP request without its socket; header names are in lower case."""

    method: str
    path: str
    query: Mapping[str, str] = field(default_factory=dict)
    headers: Mapping[str, str] = field(default_factory=dict)
    body: bytes = b""


@dataclass(frozen=True, slots=True)
class StoreReply:
    """One HTTP response; header names are in lower case."""

    status: int
    body: JsonValue = None
    headers: Mapping[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class HandledCall:
    """Outcome of a call.

    A call that has no reply and is not lost stays open: a waiting watch until
    ``ObjectStore.collect_due`` returns its reply, a call during the outage "hang"
    until its client disconnects.
    """

    reply: StoreReply | None = None
    # Seconds between the effect of the call and the sending of its reply.
    delay_s: float = 0.0
    # The call took effect, but the connection is closed without a response.
    lost: bool = False
    waiting: bool = False
