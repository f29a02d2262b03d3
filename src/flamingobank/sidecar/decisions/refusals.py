"""Decide when a refused caller should come back.

Answers a crowd of refused callers: those that return all at once would be refused
again, so returns are spread over a time that grows with what kept them out.
"""

import enum
import random


class RefusalCause(enum.Enum):
    """Say why a request is refused; it has not run."""

    NO_CONFIGURATION = "no-configuration"
    NO_HOME = "no-home"
    BUSY = "busy"
    RETRIES_SPENT = "retries-spent"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"


# Seconds until the cause has usually passed, and the time over which returns spread.
RETRY_AFTER_TIMES_S = {
    RefusalCause.NO_CONFIGURATION: (0.5, 0.5),
    RefusalCause.NO_HOME: (0.4, 0.6),
    RefusalCause.BUSY: (0.25, 0.5),
    RefusalCause.RETRIES_SPENT: (0.15, 0.4),
    RefusalCause.DEADLINE: (0.25, 0.5),
    RefusalCause.QUARANTINED: (5.0, 5.0),
}


def choose_retry_after(cause: RefusalCause, rng: random.Random) -> float:
    """Return the seconds after which a refused caller should come back."""
    wait_s, spread_s = RETRY_AFTER_TIMES_S[cause]
    return round(wait_s + rng.uniform(0, spread_s), 2)
