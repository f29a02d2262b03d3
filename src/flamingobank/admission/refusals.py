"""Build the refusals of work that is not started."""

import math

from flamingobank.admission.work import Work
from flamingobank.core import Disposition, Refusal, RefusalCause

MIN_RETRY_AFTER_S = 0.1
MAX_RETRY_AFTER_S = 5.0


def refuse(reason: RefusalCause, detail: str, retry_after_s: float = 1.0) -> Refusal:
    """Return a refusal that states that the work was not run."""
    return Refusal(Disposition.NOT_RUN, reason, retry_after_s, detail)


def validate_work(work: Work, now: float) -> Refusal | None:
    """Refuse work that no server could run in time; None if it is valid."""
    if not (math.isfinite(work.deadline) and 0.0 <= work.expected_s < math.inf):
        return refuse(
            RefusalCause.BAD_REQUEST,
            f"request {work.request_id}: expected a finite deadline and duration, "
            f"got {work.deadline} and {work.expected_s}",
        )
    if work.deadline <= now:
        detail = f"request {work.request_id}: the deadline has passed"
        return refuse(RefusalCause.DEADLINE, detail)
    return None


def refuse_duplicate(work: Work) -> Refusal:
    """Refuse a duplicate of work that may be running, so not as not run."""
    detail = f"request {work.request_id} is already queued or running"
    return Refusal(Disposition.STILL_RUNNING, RefusalCause.BAD_REQUEST, detail=detail)


def refuse_late(work: Work, wait_s: float, run_s: float, now: float) -> Refusal:
    """Refuse work that cannot finish by its deadline."""
    return refuse(
        RefusalCause.DEADLINE,
        f"request {work.request_id} would wait {wait_s:.3f} s and run {run_s:.3f} s, "
        f"but has {work.deadline - now:.3f} s",
        min(max(wait_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S),
    )
