"""Distinguish a broken network path between home and server from a failed server."""

import enum
from dataclasses import dataclass

# A server from which its home has received no announcement for this long is removed
# (section 10 of the design).
ANNOUNCEMENT_LIFE_S = 3.0
# Consecutive failures from which the path counts as broken. A single refused
# connection may be a restart of the server.
CONNECT_FAILURES_MIN = 2
# The path counts as broken if sent bytes stay unacknowledged for this long. The kernel
# of a slow server still acknowledges them.
UNACKNOWLEDGED_MAX_S = 0.2


class PathDecision(enum.Enum):
    """What the home does about the path to a server."""

    KEEP = "keep"
    # Send no new work and do not eject: a broken path and a slow server cannot be
    # distinguished until an announcement arrives or the last one expires.
    SUSPEND = "suspend"
    # Announcements still arrive, so the server runs: another node becomes its home.
    MOVE_HOME = "move-home"
    REMOVE = "remove"


@dataclass(frozen=True, slots=True)
class PathEvidence:
    """Observations of a home about the path to a server."""

    announced_at: float
    # Number of consecutive failed connection attempts.
    connect_failures: int = 0
    # When the oldest unacknowledged byte was sent; None if all are acknowledged.
    unacknowledged_since: float | None = None

    @property
    def is_clear(self) -> bool:
        """Return whether all sent bytes are acknowledged.

        Only then may a server be ejected for slowness. The home sends a probe to an
        undecided server, so that there are bytes to acknowledge even if all slots
        are in use.
        """
        return self.unacknowledged_since is None


def judge_path(evidence: PathEvidence, now: float) -> PathDecision:
    """Decide what the home does, from what it knows of the path to a server."""
    silent_s = now - evidence.announced_at
    if silent_s >= ANNOUNCEMENT_LIFE_S:
        return PathDecision.REMOVE
    if silent_s < 0.0:
        # The clock jumped back; the next announcement gives a usable time.
        return PathDecision.KEEP
    if evidence.connect_failures >= CONNECT_FAILURES_MIN:
        return PathDecision.MOVE_HOME
    since = evidence.unacknowledged_since
    if since is None or now - since < UNACKNOWLEDGED_MAX_S:
        return PathDecision.KEEP
    if evidence.announced_at > since:
        return PathDecision.MOVE_HOME
    return PathDecision.SUSPEND
