"""Plan the response to a request from its query and the injected faults."""

import enum
import random
from dataclasses import dataclass, field
from urllib.parse import parse_qsl

MAX_WORK_MS = 600_000
MAX_PARTS = 100_000
MAX_PART_BYTES = 1_048_576
FLAP_PERIOD_S = 5.0


class UpstreamMode(enum.Enum):
    """How the upstream treats requests."""

    HEALTHY = "healthy"
    # Answers a random half of the requests with status 500.
    FAIL_HALF = "fail-half"
    FAIL_ALL = "fail-all"
    SLOW = "slow"
    # Fails and recovers in turn, for FLAP_PERIOD_S each.
    FLAP = "flap"


@dataclass(slots=True)
class UpstreamFaults:
    """Injected faults, which the control path changes."""

    mode: UpstreamMode = UpstreamMode.HEALTHY
    slow_factor: float = 10.0
    # Number of slots in use to report instead of the actual one; None reports the
    # actual one.
    reported_in_use: int | None = None
    shed_all: bool = False
    # A request whose target or body contains this text ends the process; empty
    # disables this fault.
    crash_text: str = ""
    warmup_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RequestedBehavior:
    """Response that a request asks for in its query."""

    work_ms: float = 0.0
    parts: int = 0
    part_bytes: int = 1024
    interval_ms: float = 0.0
    echo: str = ""


@dataclass(frozen=True, slots=True)
class ResponsePlan:
    """Status, delay and body of the response to a request."""

    status: int
    delay_s: float
    behavior: RequestedBehavior = field(default_factory=RequestedBehavior)


def parse_behavior(query: str) -> RequestedBehavior:
    """Read the requested behavior from the parameters of a query.

    ``ms`` is the duration of the work, ``parts`` the number of body parts, ``bytes``
    the size of a part, ``interval`` the milliseconds between parts and ``echo`` a text
    to return. Numbers above their limit are reduced to it.
    """
    values = dict(parse_qsl(query))
    return RequestedBehavior(
        _parse_number(values.get("ms"), MAX_WORK_MS),
        int(_parse_number(values.get("parts"), MAX_PARTS)),
        int(_parse_number(values.get("bytes", "1024"), MAX_PART_BYTES)),
        _parse_number(values.get("interval"), MAX_WORK_MS),
        values.get("echo", ""),
    )


def plan_response(
    behavior: RequestedBehavior, faults: UpstreamFaults, now: float, rng: random.Random
) -> ResponsePlan:
    """Return the response to a request under the injected faults."""
    factor = faults.slow_factor if faults.mode is UpstreamMode.SLOW else 1.0
    delay_s = behavior.work_ms * factor / 1000
    return ResponsePlan(
        500 if _should_fail(faults.mode, now, rng) else 200, delay_s, behavior
    )


def _should_fail(mode: UpstreamMode, now: float, rng: random.Random) -> bool:
    if mode is UpstreamMode.FAIL_ALL:
        return True
    if mode is UpstreamMode.FAIL_HALF:
        return rng.random() < 0.5
    if mode is UpstreamMode.FLAP:
        return int(now / FLAP_PERIOD_S) % 2 == 1
    return False


def _parse_number(text: str | None, limit: float) -> float:
    try:
        value = float(text or 0)
    except ValueError:
        return 0.0
    return min(max(0.0, value), limit)
