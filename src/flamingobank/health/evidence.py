"""Value types for the evidence about a server and the conclusions from it."""

import enum
import math
from dataclasses import dataclass

# Minimum baseline share of failed work. With a lower one, two or three random failures
# would look like a partly failing server.
FAILURE_RATE_FLOOR = 0.01
# Minimum baseline share of work that takes more than SLOW_FACTOR times its expected
# time.
SLOW_RATE_FLOOR = 0.005
RATE_CEILING = 0.95


class WorkOutcome(enum.Enum):
    """How work on a server ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    TIMED_OUT = "timed-out"
    # The server reported that it did not run the work; no evidence against it.
    SHED = "shed"
    # The caller gave up; the work counts as slow if it had taken too long by then, and
    # is no evidence otherwise.
    CANCELLED = "cancelled"
    # No connection could be made; evidence about the path, not the server.
    UNREACHABLE = "unreachable"


class Cause(enum.Enum):
    """Kind of evidence behind an assessment or a verdict."""

    NONE = "none"
    FAILURES = "failures"
    LATENCY = "latency"
    # The home was paused or its clock jumped; the timers of open work were restarted.
    CLOCK_JUMP = "clock-jump"


class Condition(enum.Enum):
    """Whether a sequential test has reached its threshold."""

    HEALTHY = "healthy"
    SUSPECT = "suspect"


@dataclass(frozen=True, slots=True)
class Assessment:
    """Condition of a server; the score is a log-likelihood ratio."""

    condition: Condition
    score: float
    cause: Cause


@dataclass(frozen=True, slots=True)
class Baseline:
    """Shares of work that currently fail or are slow on a normal server."""

    failure_rate: float = FAILURE_RATE_FLOOR
    slow_rate: float = SLOW_RATE_FLOOR
    # Time on the home's clock from which DEFAULT_BASELINE applies again.
    deadline: float = math.inf


DEFAULT_BASELINE = Baseline()


@dataclass(frozen=True, slots=True)
class ServerSummary:
    """Statistics of a server's recent work over a window in seconds."""

    n: int = 0
    failures: int = 0
    slow: int = 0
    # Sums over the natural logarithm of latency divided by the expected time.
    log_sum: float = 0.0
    log_squares: float = 0.0
    window_s: float = 1.0

    @property
    def log_mean(self) -> float:
        """Return the mean log latency ratio, or 0 without work."""
        return self.log_sum / self.n if self.n else 0.0


class Finding(enum.Enum):
    """Result of comparing a server with its peers."""

    OUTLIER = "outlier"
    COMMON_CAUSE = "common-cause"
    TOO_LITTLE_EVIDENCE = "too-little-evidence"


@dataclass(frozen=True, slots=True)
class OutlierVerdict:
    """A finding with the rates that led to it."""

    finding: Finding
    cause: Cause = Cause.NONE
    own_rate: float = 0.0
    peer_rate: float = 0.0
    # Generalized log-likelihood ratio of the server's rate against the peers' rate.
    strength: float = 0.0


def clamp_rate(rate: float, floor: float) -> float:
    """Limit a rate to floor..RATE_CEILING; a rate that is not finite gives floor."""
    if not math.isfinite(rate):
        return floor
    return min(max(rate, floor), RATE_CEILING)
