"""Choose the retry delay that a refused caller is given.

Callers that were refused together and retry at the same time would be refused again, so
the delays are jittered over an interval that depends on the cause of the refusal.
"""

import enum
import random


class RefusalCause(enum.Enum):
    """Why a request is refused; a refused request has not run."""

    NO_CONFIGURATION = "no-configuration"
    NO_HOME = "no-home"
    # The whole service is short of room, so the request was not offered.
    NO_ROOM = "no-room"
    BUSY = "busy"
    RETRIES_SPENT = "retries-spent"
    DEADLINE = "deadline"
    QUARANTINED = "quarantined"
    STOPPING = "stopping"
    # The request has no key or an unknown one.
    KEY_UNKNOWN = "key-unknown"
    # The routing table may be out of date, so no key is known to be in force.
    TABLE_TOO_OLD = "table-too-old"
    # The workspace has used up its rate limit.
    OVER_QUOTA = "over-quota"


# For each cause: the seconds after which it has usually passed, and the width in
# seconds of the interval after that over which the callers' retries are spread.
RETRY_AFTER_TIMES_S = {
    RefusalCause.NO_CONFIGURATION: (0.5, 0.5),
    RefusalCause.NO_HOME: (0.4, 0.6),
    RefusalCause.NO_ROOM: (0.25, 0.5),
    RefusalCause.BUSY: (0.25, 0.5),
    RefusalCause.RETRIES_SPENT: (0.15, 0.4),
    RefusalCause.DEADLINE: (0.25, 0.5),
    RefusalCause.QUARANTINED: (5.0, 5.0),
    # The next process on this machine serves soon after the end of this one.
    RefusalCause.STOPPING: (1.0, 1.0),
    # Once the process is in touch with the store or a peer again, the next gossip
    # confirms its table within about half a second.
    RefusalCause.TABLE_TOO_OLD: (0.4, 0.3),
    # For a repeat that was refused; else the owner of the quota tells the time.
    RefusalCause.OVER_QUOTA: (0.3, 0.4),
}
REFUSED_STATUS = 503
OVER_QUOTA_STATUS = 429
# A caller must not send the same request again after these.
FINAL_STATUSES = {RefusalCause.KEY_UNKNOWN: 401}

# Causes that pass when a home has room, whose time can be estimated from reports.
ROOM_CAUSES = frozenset(
    {
        RefusalCause.NO_HOME,
        RefusalCause.NO_ROOM,
        RefusalCause.BUSY,
        RefusalCause.RETRIES_SPENT,
        RefusalCause.DEADLINE,
    }
)


def choose_refusal_status(cause: RefusalCause) -> int:
    """Return the status that a refused caller gets."""
    if cause is RefusalCause.OVER_QUOTA:
        return OVER_QUOTA_STATUS
    return FINAL_STATUSES.get(cause, REFUSED_STATUS)


def choose_retry_after(cause: RefusalCause, rng: random.Random) -> float | None:
    """Return a jittered delay in seconds after which a refused caller should retry.

    None tells that it should not.
    """
    if cause in FINAL_STATUSES:
        return None
    wait_s, spread_s = RETRY_AFTER_TIMES_S[cause]
    return round(wait_s + rng.uniform(0, spread_s), 2)
