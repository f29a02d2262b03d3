"""Name the exit codes of the command line."""

import enum


class ExitCode(enum.IntEnum):
    """Say how a command ended."""

    DONE = 0
    # Something failed, or diff found a difference.
    FAILED = 1
    BAD_INPUT = 2
    CONFLICT = 3
    # The store cannot be reached and nothing was changed.
    STORE_UNAVAILABLE = 4
    # A write was sent and its answer is lost.
    UNKNOWN = 5
