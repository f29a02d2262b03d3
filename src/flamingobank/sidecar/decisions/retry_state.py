"""Decide whether one request may be retried, and when it may be hedged.

A hedge is a second attempt that starts while the first is still in progress.
"""

from collections.abc import Callable

from flamingobank.sidecar.fleet.routes import Route

# No attempt starts with less time than this before the deadline.
MIN_ATTEMPT_S = 0.03
# A hedge starts when this share of the latency objective has passed without an answer.
HEDGE_DELAY_SHARE = 0.55
# A hedge needs at least this retry allowance, which leaves retries for failed requests.
HEDGE_RETRY_RESERVE = 3.0
# Share of the retries of a window that a hedge leaves where work is scheduled by cost.
# One entry of a hundred may send about 4.6 retries in 10 s, of which the whole reserve
# leaves 1.6, so one hung request a window was hedged.
HEDGE_RESERVE_SHARE = 1 / 3
# If the entry may send fewer retries than this, the next attempt is treated as final,
# because a retry after it may be denied.
FINAL_ATTEMPT_BELOW_RETRIES = 2.0
# Limit on how often one request may reach a server. Attempts that a server reports as
# not run count too.
MAX_ARRIVALS = 5


class RetryState:
    """Runs and arrivals of one request, checked against its route and retry budget."""

    def __init__(
        self,
        route: Route,
        deadline: float,
        compute_retry_allowance: Callable[[float], float],
    ) -> None:
        # Attempts that ran on a server, or may have run.
        self.runs = 0
        # Attempts that reached a server, whether or not they ran.
        self.arrivals = 0
        self.deadline = deadline
        self._route = route
        self._compute_retry_allowance = compute_retry_allowance

    @property
    def allowed_by_route(self) -> bool:
        """Return whether the route allows the request to run more than once."""
        return self._route.kind.is_idempotent

    @property
    def has_arrivals_left(self) -> bool:
        """Return whether a request that a server did not run may be sent again."""
        return self.arrivals < MAX_ARRIVALS

    def has_time(self, now: float) -> bool:
        """Return whether enough time for an attempt is left before the deadline."""
        return self.deadline - now >= MIN_ATTEMPT_S

    def is_final_attempt(self, now: float) -> bool:
        """Return whether a failure of the next attempt would probably be final."""
        if not self.allowed_by_route or self.runs + 1 >= self._route.max_attempts:
            return True
        return self._compute_retry_allowance(now) < FINAL_ATTEMPT_BELOW_RETRIES

    def may_run_again(self, now: float) -> bool:
        """Return whether an unsuccessful run may be followed by a retry."""
        return (
            self.allowed_by_route
            and self.runs < self._route.max_attempts
            and self.has_time(now)
            and self._compute_retry_allowance(now) >= 1.0
        )

    def choose_hedge_time(self, now: float) -> float | None:
        """Return when to hedge a request that is sent now; None for no hedge."""
        if not self.allowed_by_route or self.runs + 1 >= self._route.max_attempts:
            return None
        hedge_at = now + HEDGE_DELAY_SHARE * self._route.target_latency_s
        return hedge_at if self.has_time(hedge_at) else None

    def may_hedge(self, now: float, reserve: float = HEDGE_RETRY_RESERVE) -> bool:
        """Return whether a second run may start while the first is in progress.

        `reserve` is the retry allowance that it needs.
        """
        if self.runs + 2 > self._route.max_attempts:
            return False
        return self._compute_retry_allowance(now) >= reserve


def compute_hedge_reserve(retry_limit: float) -> float:
    """Return the allowance a hedge needs at an entry with a limit in its window.

    The hedge itself needs one retry.
    """
    return min(HEDGE_RETRY_RESERVE, max(1.0, HEDGE_RESERVE_SHARE * retry_limit))
