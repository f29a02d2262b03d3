"""Token buckets that limit the calls of a node to the store."""


class CallBudget:
    """Limit calls with a token bucket; a call may reserve a token in advance."""

    def __init__(self, rate_per_s: float, burst: float, now: float = 0.0) -> None:
        self._rate_per_s = rate_per_s
        self._burst = burst
        self._tokens = burst
        self._updated_s = now

    def set_rate(self, rate_per_s: float, burst: float, now: float) -> None:
        """Change the rate and the burst from now on."""
        self._refill(now)
        self._rate_per_s = rate_per_s
        self._burst = burst

    def take(self, now: float) -> bool:
        """Take a token if one is available now; tell whether it was."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reserve(self, now: float, max_wait_s: float) -> float | None:
        """Reserve the next token and return the seconds until it is available.

        Return None, without a reservation, if that takes longer than ``max_wait_s``.
        """
        self._refill(now)
        missing = 1.0 - self._tokens
        wait_s = max(0.0, missing / self._rate_per_s) if self._rate_per_s else 0.0
        if missing > 0 and (not self._rate_per_s or wait_s > max_wait_s):
            return None
        self._tokens -= 1.0
        return wait_s

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_s)
        self._updated_s = max(self._updated_s, now)
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate_per_s)


class GroupBudget:
    """Limit a node to its share of a rate that the whole fleet may use.

    A share is the rate divided by the number of nodes. Load is uneven, so a node may
    use up to MAX_SHARES. Each answer that reports the store's limit as reached halves
    that number, and each second restores RECOVERY_SHARES_PER_S.
    """

    MAX_SHARES = 8.0
    BURST_S = 10.0
    RECOVERY_SHARES_PER_S = 0.2

    def __init__(self, fleet_rate_per_s: float, members: int, now: float) -> None:
        self._fleet_rate_per_s = fleet_rate_per_s
        self._members = max(1, members)
        self._shares = self.MAX_SHARES
        self._updated_s = now
        self._tokens = max(1.0, self.rate_per_s * self.BURST_S)

    @property
    def rate_per_s(self) -> float:
        """Return the number of calls per second that this node may make now."""
        share = self._fleet_rate_per_s / self._members
        return min(self._fleet_rate_per_s, share * self._shares)

    def set_members(self, members: int, now: float) -> None:
        """Set the number of nodes that share the rate."""
        self._refill(now)
        self._members = max(1, members)

    def take(self, now: float) -> bool:
        """Take a token if one is available now; tell whether it was."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def record_throttled(self, now: float) -> None:
        """Halve the number of shares, to no less than one, after a throttled call."""
        self._refill(now)
        self._shares = max(1.0, self._shares / 2)
        self._tokens = min(self._tokens, 1.0)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_s)
        self._updated_s = max(self._updated_s, now)
        burst = max(1.0, self.rate_per_s * self.BURST_S)
        self._tokens = min(burst, self._tokens + elapsed_s * self.rate_per_s)
        restored = self._shares + elapsed_s * self.RECOVERY_SHARES_PER_S
        self._shares = min(self.MAX_SHARES, restored)
