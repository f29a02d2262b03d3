"""Describe what is known about a server as values."""

import enum
import math
from dataclasses import dataclass

# Lowest assumed share of failed work. A lower one would let two or three chance
# failures look like a gray server.
FAILURE_RATE_FLOOR = 0.01
# Lowest assumed share of work that runs longer than SLOW_FACTOR times expected.
SLOW_RATE_FLOOR = 0.005
RATE_CEILING = 0.95


class WorkOutcome(enum.Enum):
    """Say how real work on a server ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    # The server said that the work was not run; no evidence against it.
    SHED = "shed"
    # The caller gave up; only its age is evidence.
    CANCELLED = "cancelled"
    # No connection was made; evidence about the path, not the server.
    UNREACHABLE = "unreachable"


class Cause(enum.Enum):
    """Name the evidence behind a judgement."""

    NONE = "none"
    FAILURES = "failures"
    LATENCY = "latency"
    # The home itself was paused or its clock jumped; open work is aged anew.
    CLOCK_JUMP = "clock-jump"


class Condition(enum.Enum):
    """Say whether the sequential test has reached its threshold."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"


@dataclass(frozen=True, slots=True)
class Assessment:
    """Give a server's condition; the score is a log-likelihood ratio."""

    condition: Condition
    score: float
    cause: Cause


@dataclass(frozen=True, slots=True)
class Baseline:
    """Say which shares of work fail or are slow on a normal server now."""

    failure_rate: float = FAILURE_RATE_FLOOR
    slow_rate: float = SLOW_RATE_FLOOR
    # Reading after which the default applies again.
    deadline: float = math.inf


DEFAULT_BASELINE = Baseline()


@dataclass(frozen=True, slots=True)
class ServerSummary:
    """Sum up a server's recent real work over a window of seconds."""

    n: int = 0
    failures: int = 0
    slow: int = 0
    # Natural logarithms of latency over the route's expectation.
    log_sum: float = 0.0
    log_squares: float = 0.0
    window_s: float = 1.0

    @property
    def log_mean(self) -> float:
        """Return the mean log latency ratio; 0 without work."""
        return self.log_sum / self.n if self.n else 0.0


class Finding(enum.Enum):
    """Say what the comparison with the peers showed."""

    OUTLIER = "outlier"
    COMMON_CAUSE = "common-cause"
    TOO_LITTLE_EVIDENCE = "too-little-evidence"


@dataclass(frozen=True, slots=True)
class OutlierVerdict:
    """Give the finding with the rates that led to it."""

    finding: Finding
    cause: Cause = Cause.NONE
    own_rate: float = 0.0
    peer_rate: float = 0.0
    # Generalized log-likelihood ratio of the own rate against the peers'.
    strength: float = 0.0


def clamp_rate(rate: float, floor: float) -> float:
    """Return a usable rate; anything that is no number gives the floor."""
    if not math.isfinite(rate):
        return floor
    return min(max(rate, floor), RATE_CEILING)
