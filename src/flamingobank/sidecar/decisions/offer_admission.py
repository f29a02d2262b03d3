"""Decide whether a home admits an offered request to its server.

The rules cover gray failures and overload. A final attempt, whose failure would not be
followed by a retry, is admitted only to a server with recent successes; a request that
may be retried is used to probe whether a suspect server has recovered. A request joins
the queue only if it can be served within its latency objective. Under overload, a FIFO
queue that drops requests only at their deadlines makes every answer late; refusing
requests that cannot be served in time keeps the others on time.
"""

import enum
import math
from dataclasses import dataclass

from flamingobank.sidecar.links.messages import RefusalReason

# A server with a higher failure probability than this gets no final attempts, except
# those of forced offers.
FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY = 0.2
# Above this probability a server gets one repeatable request at a time as a probe, with
# at least PROBE_INTERVAL_S between probes.
SUSPECT_FAILURE_PROBABILITY = 0.5
PROBE_INTERVAL_S = 0.5
# A request is queued only if this share of the mean request duration still fits into
# its time limit after the expected wait.
MIN_DURATION_SHARE = 0.8


class OfferVerdict(enum.Enum):
    """How a home responds to an offer."""

    GRANT = "grant"
    QUEUE = "queue"
    REFUSE = "refuse"


@dataclass(frozen=True, slots=True)
class AdmissionState:
    """State of a home and its server that an offer is judged by."""

    failure_probability: float
    running: int
    waiting: int
    # Waiting requests with the same or a more urgent priority.
    waiting_ahead: int
    slots: int
    # Moving average of the duration of successful requests at the server, in seconds.
    mean_duration_s: float
    last_probe_at: float
    # Seconds until the server's rate limit admits a request, and that limit.
    limit_wait_s: float = 0.0
    rate_per_s: float = math.inf


@dataclass(frozen=True, slots=True)
class OfferDecision:
    """Verdict on an offer; `reason` is set for a refusal only."""

    verdict: OfferVerdict
    reason: RefusalReason | None = None


GRANT = OfferDecision(OfferVerdict.GRANT)
QUEUE = OfferDecision(OfferVerdict.QUEUE)


def compute_queue_limit(
    remaining_s: float, objective_remaining_s: float, mean_duration_s: float
) -> float:
    """Return the seconds within which a queued request must be served.

    This is the time to the latency objective, or to the deadline if that is sooner. If
    the mean request duration alone exceeds the time to the objective, only the deadline
    applies.
    """
    if mean_duration_s > objective_remaining_s > 0:
        return remaining_s
    return min(remaining_s, objective_remaining_s)


def is_too_suspect(final_attempt: bool, state: AdmissionState, now: float) -> bool:
    """Return whether a server fails too often for an offer without force."""
    if (
        final_attempt
        and state.failure_probability > FINAL_ATTEMPT_MAX_FAILURE_PROBABILITY
    ):
        return True
    probing = state.running > 0 or now < state.last_probe_at + PROBE_INTERVAL_S
    return state.failure_probability > SUSPECT_FAILURE_PROBABILITY and probing


def decide_scheduled_offer(
    final_attempt: bool,
    forced: bool,
    remaining_s: float,
    work_s: float,
    state: AdmissionState,
    now: float,
) -> OfferDecision:
    """Decide on an offer of work that is scheduled by cost.

    QUEUE means that the offer may wait if the order of the waiting work leaves it room.
    Work that takes longer than the time left is refused, also with a slot free.
    """
    if not forced and is_too_suspect(final_attempt, state, now):
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.SUSPECT)
    if MIN_DURATION_SHARE * work_s > remaining_s:
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.BUSY)
    has_slot = state.running < state.slots and not state.waiting
    if has_slot and state.limit_wait_s <= 0:
        return GRANT
    if not forced:
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.BUSY)
    return QUEUE


def decide_offer(
    final_attempt: bool,
    forced: bool,
    remaining_s: float,
    objective_remaining_s: float,
    state: AdmissionState,
    now: float,
) -> OfferDecision:
    """Decide whether to grant, queue or refuse an offer.

    The server must be accepting work. A forced offer skips the failure checks and may
    be queued; without force an offer to a busy server is refused.
    """
    if not forced and is_too_suspect(final_attempt, state, now):
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.SUSPECT)
    has_slot = state.running < state.slots and not state.waiting
    if has_slot and state.limit_wait_s <= 0:
        return GRANT
    if not forced:
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.BUSY)
    rounds = 0 if has_slot else (state.waiting_ahead + 1) / max(1, state.slots)
    wait_s = max(
        rounds * state.mean_duration_s,
        state.limit_wait_s + state.waiting_ahead / state.rate_per_s,
    )
    needed_s = wait_s + MIN_DURATION_SHARE * state.mean_duration_s
    if needed_s > compute_queue_limit(
        remaining_s, objective_remaining_s, state.mean_duration_s
    ):
        return OfferDecision(OfferVerdict.REFUSE, RefusalReason.BUSY)
    return QUEUE
