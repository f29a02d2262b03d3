"""Values that describe how a request ended."""

import enum
from dataclasses import dataclass


class Disposition(enum.Enum):
    """What is known about whether a request ran."""

    DONE = "done"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    STILL_RUNNING = "still-running"


class RefusalCause(enum.Enum):
    """Cause of a refusal, by the name that the header flamingobank-reason carries."""

    BAD_REQUEST = "bad-request"
    NO_ROUTE = "no-route"
    NO_CAPACITY = "no-capacity"
    DEADLINE = "deadline"
    SHED = "shed"
    QUARANTINED = "quarantined"
    DRAINING = "draining"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"
    KEEPER_LOST = "keeper-lost"
    KEEPER_MOVED = "keeper-moved"
    REOPENED = "reopened"
    STILL_RUNNING = "still-running"
    KEY_REQUIRED = "key-required"
    KEY_INVALID = "key-invalid"
    STORE_AWAY = "store-away"
    LIMIT = "limit"


@dataclass(frozen=True, slots=True)
class Refusal:
    """Reason why the fleet refuses a request instead of passing on an answer.

    ``disposition`` tells whether the upstream may have run the request.
    """

    disposition: Disposition
    reason: RefusalCause
    retry_after_s: float = 1.0
    detail: str = ""
