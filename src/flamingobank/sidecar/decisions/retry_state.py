"""Decide whether one request may run again, and when a second run may overtake."""

from collections.abc import Callable

from flamingobank.sidecar.fleet.routes import Route

# Less time than this is not worth an attempt.
MIN_ATTEMPT_S = 0.03
# A second attempt starts when the first has used this share of the latency objective.
HEDGE_DELAY_SHARE = 0.55
# Hedges leave this many retries to requests that have failed.
HEDGE_RETRY_RESERVE = 3.0
# With fewer retries left than this, the first attempt may be the last.
FINAL_ATTEMPT_BELOW_RETRIES = 2.0
# A server that says that it has not run a request was reached all the same.
MAX_ARRIVALS = 5


class RetryState:
    """Count the runs of one request against its route and the fleet's budget."""

    def __init__(
        self,
        route: Route,
        deadline: float,
        compute_retry_allowance: Callable[[float], float],
    ) -> None:
        # Servers that ran the request, or may have.
        self.runs = 0
        # Sends that reached a server, run or not.
        self.arrivals = 0
        self.deadline = deadline
        self._route = route
        self._compute_retry_allowance = compute_retry_allowance

    @property
    def allowed_by_route(self) -> bool:
        """Tell whether the request may run more than once."""
        return self._route.kind.is_idempotent

    @property
    def has_arrivals_left(self) -> bool:
        """Tell whether servers that did not run it may be followed by another."""
        return self.arrivals < MAX_ARRIVALS

    def has_time(self, now: float) -> bool:
        """Tell whether enough time is left for an attempt."""
        return self.deadline - now >= MIN_ATTEMPT_S

    def is_final_attempt(self, now: float) -> bool:
        """Tell whether a failure of the next attempt would be final."""
        if not self.allowed_by_route or self.runs + 1 >= self._route.max_attempts:
            return True
        return self._compute_retry_allowance(now) < FINAL_ATTEMPT_BELOW_RETRIES

    def may_run_again(self, now: float) -> bool:
        """Tell whether a run without success may be followed by another."""
        return (
            self.allowed_by_route
            and self.runs < self._route.max_attempts
            and self.has_time(now)
            and self._compute_retry_allowance(now) >= 1.0
        )

    def choose_hedge_time(self, now: float) -> float | None:
        """Return when a second run of a request sent now may start, if ever."""
        if not self.allowed_by_route or self.runs + 1 >= self._route.max_attempts:
            return None
        hedge_at = now + HEDGE_DELAY_SHARE * self._route.target_latency_s
        return hedge_at if self.has_time(hedge_at) else None

    def may_hedge(self, now: float) -> bool:
        """Tell whether a second run may start beside the first."""
        if self.runs + 2 > self._route.max_attempts:
            return False
        return self._compute_retry_allowance(now) >= HEDGE_RETRY_RESERVE
