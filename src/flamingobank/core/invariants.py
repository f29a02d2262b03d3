"""Check the promises that must always hold."""

import enum


class Invariant(enum.Enum):
    """Name a promise that is checked while the program runs."""

    FLOOR = "floor"
    OWN_ANSWER = "own_answer"
    NOT_RUN = "not_run"
    AT_MOST_ONCE = "at_most_once"
    DRAINED = "drained"
    GRACEFUL = "graceful"
    NO_REVERT = "no_revert"
    SLOTS = "slots"


class InvariantError(AssertionError):
    """Report a broken promise with the state that shows it."""

    def __init__(self, invariant: Invariant, state: dict[str, object]) -> None:
        details = ", ".join(f"{key}={value!r}" for key, value in state.items())
        super().__init__(f"invariant {invariant.value} is broken: {details}")
        self.invariant = invariant
        self.state = state


def check_invariant(invariant: Invariant, condition: bool, **state: object) -> None:
    """Raise InvariantError unless the condition holds.

    The daemon turns the exception into a process stop; it is not an assert
    statement, so ``python -O`` keeps the check.
    """
    if not condition:
        raise InvariantError(invariant, state)
