"""Define the exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Tell how a command ended."""

    DONE = 0
    # The command failed, or diff found a difference.
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    # The store is unavailable and nothing was changed.
    STORE_UNAVAILABLE = 4
    # A write was sent, but its answer was lost.
    UNKNOWN = 5
