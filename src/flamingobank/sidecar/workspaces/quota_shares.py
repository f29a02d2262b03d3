"""Divide what a workspace's bound allows between the owner and the fallbacks.

Tokens are used within `token_age_s` of being counted, so arrivals in one window were
counted within the window and that time before it. The owner counts at most
capacity + rate x (window + age) there, and all fallback buckets together at most
FALLBACK_SHARE of the tolerance. The age uses up the excess ratio of the rate.
"""

from dataclasses import dataclass

from flamingobank.sidecar.fleet.workspaces import Workspace
from flamingobank.sidecar.settings import Bounds

# Shares of the tolerance. The rest, and the excess ratio of the burst, are left for
# requests that are delayed on their way to the server.
EXTRA_BURST_SHARE = 0.4
FALLBACK_SHARE = 0.5
MAX_TOKEN_AGE_S = 0.5


@dataclass(frozen=True, slots=True)
class QuotaShares:
    """The limits of the buckets of one workspace."""

    rate_per_s: float
    # Of the owner's bucket.
    capacity: float
    # Of the bucket that one entry uses without an owner; 0 if it has none.
    fallback_rate_per_s: float
    fallback_capacity: float
    # Time after which what was counted no longer matters.
    window_s: float
    # Time from the counting of a token until the request must have been sent.
    token_age_s: float


def count_fallback_entries(bounds: Bounds, process_count: int) -> int:
    """Return how many entries have a fallback bucket.

    A bucket holds at least one token, and with one bucket in each of many processes,
    their tokens together would exceed the tolerance.
    """
    shared = FALLBACK_SHARE * bounds.quota_tolerance / 2
    return min(process_count, int(shared))


def compute_shares(
    workspace: Workspace, bounds: Bounds, process_count: int, fallback_rank: int
) -> QuotaShares:
    """Return the limits of a workspace at the entry with a rank among all entries."""
    token_age_s = min(
        MAX_TOKEN_AGE_S, bounds.quota_excess_ratio * bounds.quota_window_s
    )
    capacity = max(1.0, workspace.burst + EXTRA_BURST_SHARE * bounds.quota_tolerance)
    window_s = bounds.quota_window_s + token_age_s
    entries = count_fallback_entries(bounds, process_count)
    own_tokens = 0.0
    if fallback_rank < entries:
        # Half of the share is for full buckets and half for what a window adds.
        own_tokens = FALLBACK_SHARE * bounds.quota_tolerance / 2 / entries
    return QuotaShares(
        workspace.rate_per_s,
        capacity,
        own_tokens / window_s,
        own_tokens,
        window_s,
        token_age_s,
    )
