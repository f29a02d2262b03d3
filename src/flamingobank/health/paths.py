"""Tell a broken path between home and server from a broken server."""

import enum

# Same time as the announcement's life (section 10 of the design).
ANNOUNCEMENT_LIFE_S = 3.0
# One refused connection may be a restart; the path is judged from the second on.
CONNECT_FAILURES_MIN = 2


class PathDecision(enum.Enum):
    """Say what the home does about a server that it cannot connect to."""

    KEEP = "keep"
    # Announcements arrive, so the server lives: another node becomes its home.
    MOVE_HOME = "move-home"
    REMOVE = "remove"


def judge_path(connect_failures: int, announced_at: float, now: float) -> PathDecision:
    """Decide from consecutive connect failures and the last announcement."""
    age_s = now - announced_at
    # A negative age comes from a clock that jumped; only a fresh one counts.
    if not 0.0 <= age_s < ANNOUNCEMENT_LIFE_S:
        return PathDecision.REMOVE if age_s > 0.0 else PathDecision.KEEP
    if connect_failures >= CONNECT_FAILURES_MIN:
        return PathDecision.MOVE_HOME
    return PathDecision.KEEP
