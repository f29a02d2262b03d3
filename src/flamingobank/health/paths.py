"""Tell a broken path between home and server from a broken server."""

import enum
from dataclasses import dataclass

# Same time as the announcement's life (section 10 of the design).
ANNOUNCEMENT_LIFE_S = 3.0
# One refused connection may be a restart; the path is judged from the second on.
CONNECT_FAILURES_MIN = 2
# Sent bytes that the server's kernel has not acknowledged for this long say that
# the path is broken; a slow server's kernel still acknowledges.
UNACKNOWLEDGED_MAX_S = 0.2


class PathDecision(enum.Enum):
    """Say what the home does about the path to a server."""

    KEEP = "keep"
    # Send no new work and eject nothing: silence and slowness look the same until
    # an announcement arrives or its life ends.
    SUSPEND = "suspend"
    # Announcements arrive, so the server lives: another node becomes its home.
    MOVE_HOME = "move-home"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class PathEvidence:
    """Hold what the home knows of the path to a server."""

    announced_at: float
    # Consecutive connections that could not be made.
    connect_failures: int = 0
    # When the oldest byte was sent that is not acknowledged, None without any.
    unacknowledged_since: float | None = None

    @property
    def is_clear(self) -> bool:
        """Tell whether all that was sent is acknowledged.

        Only then may slowness eject. The home sends a probe to a server in doubt,
        so that there is something to acknowledge even with every slot in use.
        """
        return self.unacknowledged_since is None


def judge_path(evidence: PathEvidence, now: float) -> PathDecision:
    """Tell a broken path from a broken server."""
    silent_s = now - evidence.announced_at
    if silent_s >= ANNOUNCEMENT_LIFE_S:
        return PathDecision.REMOVE
    if silent_s < 0.0:
        # The clock jumped; the next announcement gives a usable reading.
        return PathDecision.KEEP
    if evidence.connect_failures >= CONNECT_FAILURES_MIN:
        return PathDecision.MOVE_HOME
    since = evidence.unacknowledged_since
    if since is None or now - since < UNACKNOWLEDGED_MAX_S:
        return PathDecision.KEEP
    if evidence.announced_at > since:
        return PathDecision.MOVE_HOME
    return PathDecision.SUSPEND
