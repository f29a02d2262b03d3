"""Choose when refused callers return, so that they find room then.

Each refusal reserves the next time at which the service is expected to serve one more
returning request. The times follow from the wait at the best home and from the rate of
this entry's answers; callers of urgent requests return after half of the spread.
"""

import math
import random

# Bounds of the delay. Callers wait at most a third of the time that they have left.
MIN_RETURN_S = 0.1
MAX_REMAINING_SHARE = 1 / 3
# Share of this entry's rate of answers that returning requests may take. The rest is
# for callers that come for the first time.
RETURN_SHARE = 0.5
# Rate to assume at least, so that few answers do not spread a few callers over minutes.
MIN_RETURN_RATE_PER_S = 1.0
# Time over which the rate of answers is averaged.
RATE_WINDOW_S = 5.0
# A request is on time at a home that completes it within this share of its objective.
ON_TIME_SHARE = 0.8
URGENT_SPREAD_SHARE = 0.5
# Share of the delay that is drawn at random; callers that were refused together have
# different reserved times already.
JITTER_SHARE = 0.1


class AnswerRate:
    """Rate of answers, averaged over the last few seconds."""

    def __init__(self) -> None:
        self._rate_per_s = 0.0
        self._updated_at = -math.inf

    def note(self, now: float) -> None:
        """Count one answer."""
        self._rate_per_s = self.read(now) + 1 / RATE_WINDOW_S
        self._updated_at = now

    def read(self, now: float) -> float:
        """Return the answers per second at a time."""
        elapsed_s = now - self._updated_at
        return self._rate_per_s * math.exp(-elapsed_s / RATE_WINDOW_S)


class ReturnTimes:
    """Times at which the refused callers of one service return."""

    def __init__(self) -> None:
        self.answers = AnswerRate()
        # The next time that no refused caller was given.
        self._next_free_at = -math.inf

    def choose_delay_s(
        self,
        room_in_s: float,
        urgent: bool,
        remaining_s: float,
        now: float,
        rng: random.Random,
    ) -> float:
        """Return the delay of a refused caller that has a time left.

        `room_in_s` is the time until a home is expected to serve a request on time.
        """
        remaining_s = max(0.01, remaining_s)
        limit_s = MAX_REMAINING_SHARE * remaining_s
        room_in_s = min(room_in_s, limit_s)
        rate_per_s = max(MIN_RETURN_RATE_PER_S, RETURN_SHARE * self.answers.read(now))
        room_at = now + max(MIN_RETURN_S, room_in_s)
        # Callers return within their limits, so no later time is reserved.
        reserved_at = min(max(self._next_free_at, room_at), max(room_at, now + limit_s))
        self._next_free_at = reserved_at + 1 / rate_per_s
        spread_s = reserved_at - room_at
        if urgent:
            spread_s *= URGENT_SPREAD_SHARE
        delay_s = room_at - now + spread_s
        delay_s *= 1 + rng.uniform(-JITTER_SHARE, JITTER_SHARE)
        if delay_s > limit_s:
            # Callers beyond the limit would otherwise return together at it.
            delay_s = limit_s * rng.uniform(0.5, 1.0)
        return round(max(min(MIN_RETURN_S, remaining_s), delay_s), 2)


def estimate_room_in_s(earliest_s: float, objective_s: float) -> float:
    """Return the time until a request that completes so would be on time."""
    return max(0.0, earliest_s - ON_TIME_SHARE * objective_s)
