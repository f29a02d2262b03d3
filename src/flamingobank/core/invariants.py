"""Invariants that are checked while the program runs."""

import enum


class Invariant(enum.Enum):
    """Invariants, by the names that the errors about their violation show."""

    FLOOR = "floor"
    OWN_ANSWER = "own_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    DRAINED = "drained"
    GRACEFUL = "graceful"
    NO_REVERT = "no_revert"
    SLOTS = "slots"


class InvariantError(AssertionError):
    """Violation of an invariant, with the state that shows it."""

    def __init__(self, invariant: Invariant, state: dict[str, object]) -> None:
        details = ", ".join(f"{key}={value!r}" for key, value in state.items())
        super().__init__(f"invariant {invariant.value} is broken: {details}")
        self.invariant = invariant
        self.state = state


def check_invariant(invariant: Invariant, condition: bool, **state: object) -> None:
    """Raise InvariantError unless the condition holds.

    The daemon stops the process on this exception. The check is not an assert
    statement, so it also runs under ``python -O``.
    """
    if not condition:
        raise InvariantError(invariant, state)
