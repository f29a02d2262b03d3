"""Bound the calls that a node makes to the store."""


class CallBudget:
    """Grant calls at a rate with a burst; a call may reserve a later grant."""

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
        """Take a grant if there is one now."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def reserve(self, now: float, max_wait_s: float) -> float | None:
        """Take the next grant; return its wait in seconds, None when it is longer."""
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
    """Give a node its share of a rate that the whole fleet may use.

    Load is uneven, so a node may use several shares; an answer that the store's
    limit is reached halves that allowance, and each second without one restores a
    part of it.
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
        """Return the rate this node may use now."""
        share = self._fleet_rate_per_s / self._members
        return min(self._fleet_rate_per_s, share * self._shares)

    def set_members(self, members: int, now: float) -> None:
        """Divide the rate among another number of nodes."""
        self._refill(now)
        self._members = max(1, members)

    def take(self, now: float) -> bool:
        """Take one grant if there is one now."""
        self._refill(now)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True

    def record_throttled(self, now: float) -> None:
        """Halve the allowance, to no less than one share."""
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
