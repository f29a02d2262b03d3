"""Types for the waiting work of one server, as its order sees it."""

import math
from dataclasses import dataclass

# Durations are compared in steps of about 40%, as closer estimates do not differ.
STEPS_PER_DOUBLING = 2
MIN_WORK_S = 0.001


@dataclass(frozen=True, slots=True)
class Candidate:
    """One piece of waiting work; times are of the monotonic clock."""

    owner: object
    priority: int
    internal: bool
    # Work of one share competes for one equal part of the slots.
    share: str
    idempotent: bool
    work_s: float
    # Time that must be left at the start.
    needed_s: float
    objective_at: float
    deadline: float
    sequence: int
    # Kept in order of arrival, and refused by other rules only.
    fixed: bool = False

    def can_be_on_time(self, now: float) -> bool:
        """Return whether the objective can be met if the work starts now."""
        return now + self.needed_s <= self.objective_at

    def get_due(self, now: float) -> float:
        """Return when the work must be done: the objective, or else the deadline."""
        if self.can_be_on_time(now):
            return min(self.objective_at, self.deadline)
        return self.deadline


@dataclass(frozen=True, slots=True)
class Placed:
    """A candidate with its rank in the order."""

    candidate: Candidate
    # (priority, call of a running request first, on time first, round, due, sequence)
    rank: tuple
    # What the refusal costs callers; less for long and for repeatable work.
    refusal_cost: tuple
    # Factor of the wait by which more urgent work that arrives meanwhile extends it.
    stretch: float

    def misses(self, start: float, now: float) -> bool:
        """Return whether it is too late if no more work arrives until a start."""
        start = now + (start - now) * self.stretch
        return start + self.candidate.needed_s > self.candidate.get_due(now)

    @property
    def round(self) -> int:
        """Return how many equal shares of the slots the candidate's share has used."""
        return self.rank[3]


def compute_refusal_cost(candidate: Candidate) -> tuple:
    """Return what a refusal costs callers; less for long and for repeatable work."""
    steps = math.log2(max(candidate.work_s, MIN_WORK_S)) * STEPS_PER_DOUBLING
    return (-math.floor(steps), not candidate.idempotent, -candidate.deadline)
