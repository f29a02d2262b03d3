"""Count the tokens of a rate limit."""

from collections import deque

ROUNDING_ERROR = 1e-6
# Callers that can come back at all mostly do so within this time.
MAX_PROMISE_S = 1.5
# The highest levels of the bucket are kept for steps of this length, and tokens that
# were taken longer ago than all of them are not given back.
STEP_S = 0.1
MAX_STEPS = 50


class TokenBucket:
    """Tokens that are added at a rate, up to a capacity."""

    def __init__(
        self, rate_per_s: float, capacity: float, tokens: float, now: float
    ) -> None:
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._tokens = min(tokens, capacity)
        self._counted_at = now
        # The token that the last refused request may expect is added at this time.
        self._promised_until = now
        self._started_at = now
        # Pairs of step and highest level.
        self._peaks: deque[list] = deque(maxlen=MAX_STEPS)

    def change(self, rate_per_s: float, capacity: float, now: float) -> None:
        """Apply another rate and capacity from now on."""
        if (rate_per_s, capacity) == (self.rate_per_s, self.capacity):
            return
        self._count(now)
        self.rate_per_s = rate_per_s
        self.capacity = capacity
        self._tokens = min(self._tokens, capacity)
        self._started_at = now
        self._peaks.clear()

    def give_back(self, taken_at: float, now: float) -> bool:
        """Return a token that was taken at a time and not used, if that is still due.

        The bucket then holds what it would hold if the token had not been taken. If it
        would have been full since, the token would have been lost.
        """
        self._count(now)
        if taken_at < max(self._started_at, now - STEP_S * (MAX_STEPS - 1)):
            return False
        first_step = int(taken_at / STEP_S)
        since = [peak for peak in self._peaks if peak[0] >= first_step]
        for peak in since:
            if peak[1] + 1 > self.capacity:
                return False
        for peak in since:
            peak[1] += 1
        self._tokens += 1
        return True

    def take(self, wanted: int, now: float) -> int:
        """Take up to a number of tokens; return how many were taken."""
        self._count(now)
        taken = min(wanted, int(self._tokens + ROUNDING_ERROR))
        self._tokens -= taken
        return taken

    def promise(self, count: int, now: float) -> float:
        """Return the seconds until a token is expected for the first of some refused.

        Each refused request is told a later time than the one before, so that those
        that come back on time find tokens.
        """
        self._count(now)
        missing = max(0.0, 1.0 - self._tokens) / self.rate_per_s
        first_at = max(now + missing, self._promised_until)
        if first_at > now + max(missing, MAX_PROMISE_S):
            first_at = now + missing
        self._promised_until = first_at + count / self.rate_per_s
        return first_at - now

    def _count(self, now: float) -> None:
        earned = max(0.0, now - self._counted_at) * self.rate_per_s
        self._tokens = min(self._tokens + earned, self.capacity)
        self._counted_at = max(now, self._counted_at)
        step = int(now / STEP_S)
        if self._peaks and self._peaks[-1][0] == step:
            self._peaks[-1][1] = max(self._peaks[-1][1], self._tokens)
            return
        self._peaks.append([step, self._tokens])
