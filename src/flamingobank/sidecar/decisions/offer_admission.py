"""Decide whether a home takes a request for its server.

Answers overload and gray failures: work whose failure would be final needs a server
with fresh successes, work that may be tried again finds out whether a suspect has
recovered, and a queue is only joined by requests that it can serve within their latency
objective. A queue that is served in order until deadlines pass makes every answer late
once there is more work than servers; refusing what cannot be in time keeps the rest so.
"""

import enum
from dataclasses import dataclass

from flamingobank.sidecar.links.messages import RefusalReason

# Final attempts are kept from servers that fail more likely than this.
FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY = 0.2
# Beyond this a server gets one repeatable request at a time, spaced out.
SUSPECT_FAILURE_PROBABILITY = 0.5
PROBE_INTERVAL_S = 0.5
# A request joins a queue only when this share of the usual work fits behind the wait.
MIN_DURATION_SHARE = 0.8


class OfferVerdict(enum.Enum):
    """Say what happens to an offer."""

    GRANT = "grant"
    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """Hold what decides about an offer."""

    failure_probability: float
    running: int
    waiting: int
    # Waiting requests that are at least as urgent.
    waiting_ahead: int
    slots: int
    # Mean duration of recent requests at the server, in seconds.
    mean_duration_s: float
    last_probe_at: float


@dataclass(frozen=True, slots=True)
class OfferDecision:
    """Hold a verdict and, for a refusal, its reason."""

    verdict: OfferVerdict
    reason: RefusalReason | None = None


GRANT = OfferDecision(OfferVerdict.GRANT)
QUEUE = OfferDecision(OfferVerdict.QUEUE)


def compute_queue_limit(
    left_s: float, objective_left_s: float, mean_duration_s: float
) -> float:
    """Return the time within which a queued request must be served to be worth it.

    Where the work alone takes longer than the objective, only the deadline counts.
    """
    if mean_duration_s > objective_left_s > 0:
        return left_s
    return min(left_s, objective_left_s)


def decide_offer(
    final_attempt: bool,
    forced: bool,
    left_s: float,
    objective_left_s: float,
    state: AdmissionState,
    now: float,
) -> OfferDecision:
    """Return what to do with an offer to a server that accepts work."""
    if not forced:
        if (
            final_attempt
            and state.failure_probability > FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY
        ):
            return OfferDecision(OfferVerdict.REFUSE, RefusalReason.SUSPECT)
        probing = state.running > 0 or now < state.last_probe_at + PROBE_INTERVAL_S
        if state.failure_probability > SUSPECT_FAILURE_PROBABILITY and probing:
            return OfferDecision(OfferVerdict.REFUSE, RefusalReason.SUSPECT)
    if state.running < state.slots and not state.waiting:
        return GRANT
    if not forced:
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.BUSY)
    rounds = (state.waiting_ahead + 1) / max(1, state.slots)
    needed_s = (rounds + MIN_DURATION_SHARE) * state.mean_duration_s
    if needed_s > compute_queue_limit(left_s, objective_left_s, state.mean_duration_s):
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.BUSY)
    return QUEUE
