"""Account for the memory that a process holds for others, and choose what to give up.

All functions are pure: they open no socket and read no clock.
"""

import enum
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Generic, TypeVar

# Budget where the memory of the machine is not stated.
DEFAULT_BUDGET_BYTES = 128 * 1_048_576
# Share of the machine's memory for what is held for others. The rest is for the process
# itself (36 MB at rest, more with its table and peers), for copies that a message takes
# while it is decoded and for gaps between allocated blocks.
BUDGET_SHARE = 0.45
# Part of the budget that only small requests may use: a share, at most some bytes.
RESERVE_SHARE = 0.125
MAX_RESERVE_BYTES = 8_000_000
SMALL_REQUEST_BYTES = 65536
# Room is made for this share of the budget at once, so that the scan of all connections
# is rare.
FREED_SHARE = 0.125
# Kept outcomes take at most this share of the budget.
OUTCOMES_SHARE = 0.125
# Answers that wait for room at their entries take at most this share of the budget.
# Until then the server is read at its own speed, so that its slot is free again.
ANSWERS_SHARE = 0.25
# A body of which nothing has arrived for this long gives way to others.
STALLED_S = 1.0
# Descriptors of the machine's limit that are not for this process.
RESERVED_DESCRIPTORS = 200
# Share of the other descriptors at which no more callers are accepted, since links to
# peers and connections to the server need some as well.
CALLERS_DESCRIPTOR_SHARE = 0.875
# Share of them that each of the process's own addresses may use besides, so that
# callers who hold all others do not make it look dead to its platform and its server.
OWN_ADDRESS_DESCRIPTOR_SHARE = 0.03125
MIN_DESCRIPTORS = 64

Holder = TypeVar("Holder")


class ShedReason(enum.Enum):
    """Why a caller was refused or cut off."""

    BODY_STALLED = "body-stalled"
    BODY_LARGE = "body-large"
    NO_MEMORY = "no-memory"
    OUTPUT_UNREAD = "output-unread"
    ANSWER_HELD = "answer-held"
    BODY_TIMEOUT = "body-timeout"
    NO_DESCRIPTOR = "no-descriptor"


class HeldBytes:
    """Running sum of the bytes that are held for one purpose."""

    __slots__ = ("bytes",)

    def __init__(self) -> None:
        self.bytes = 0


@dataclass(frozen=True, slots=True)
class Holding(Generic[Holder]):
    """What one connection holds, and when it last made progress."""

    holder: Holder
    held_bytes: int
    progress_at: float


class MemoryAccount:
    """Running sums of what a process holds for others, and their common budget."""

    __slots__ = (
        "answers",
        "budget_bytes",
        "caller_output",
        "link_input",
        "link_output",
        "outcomes",
        "requests",
        "shared_bytes",
    )

    def __init__(self, budget_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self.budget_bytes = budget_bytes
        reserve_bytes = min(int(budget_bytes * RESERVE_SHARE), MAX_RESERVE_BYTES)
        # What is left for large requests.
        self.shared_bytes = budget_bytes - reserve_bytes
        # Heads and bodies of requests; a large body counts with its stated length.
        self.requests = HeldBytes()
        # Answers of the server that are not passed on yet.
        self.answers = HeldBytes()
        self.caller_output = HeldBytes()
        self.link_output = HeldBytes()
        self.link_input = HeldBytes()
        self.outcomes = HeldBytes()

    @property
    def total_bytes(self) -> int:
        """Return how many bytes are held."""
        return (
            self.requests.bytes
            + self.answers.bytes
            + self.caller_output.bytes
            + self.link_output.bytes
            + self.link_input.bytes
            + self.outcomes.bytes
        )

    @property
    def is_full(self) -> bool:
        """Return whether not even a small request finds room."""
        # Without a call of total_bytes, as this is asked for each part of an answer.
        return self.budget_bytes < (
            self.requests.bytes
            + self.answers.bytes
            + self.caller_output.bytes
            + self.link_output.bytes
            + self.link_input.bytes
            + self.outcomes.bytes
        )

    @property
    def is_shared_full(self) -> bool:
        """Return whether only small requests find room."""
        return self.total_bytes > self.shared_bytes

    @property
    def max_outcome_bytes(self) -> int:
        """Return how many bytes of outcomes may be kept."""
        return int(self.budget_bytes * OUTCOMES_SHARE)

    @property
    def is_answers_full(self) -> bool:
        """Return whether the server's answers take as much as they may."""
        return self.is_shared_full or (
            self.answers.bytes > self.budget_bytes * ANSWERS_SHARE
        )

    def has_room(self, held_bytes: int) -> bool:
        """Return whether a request that holds some bytes, which are counted, may go on.

        The reserve is for small requests only.
        """
        if held_bytes <= SMALL_REQUEST_BYTES:
            return not self.is_full
        return not self.is_shared_full

    def count_excess(self) -> int:
        """Return how many bytes to give up to make room for a while."""
        target_bytes = self.shared_bytes - int(self.budget_bytes * FREED_SHARE)
        return max(0, self.total_bytes - target_bytes)

    def list_held(self) -> Iterable[tuple[str, int]]:
        """Return each purpose with the bytes held for it."""
        return (
            ("requests", self.requests.bytes),
            ("answers", self.answers.bytes),
            ("caller_output", self.caller_output.bytes),
            ("link_output", self.link_output.bytes),
            ("link_input", self.link_input.bytes),
            ("outcomes", self.outcomes.bytes),
        )


def derive_budget_bytes(memory_bytes: int | None) -> int:
    """Return the budget of a process on a machine, whose memory may not be stated."""
    if memory_bytes is None:
        return DEFAULT_BUDGET_BYTES
    return int(memory_bytes * BUDGET_SHARE)


def derive_descriptor_limit(descriptors: int) -> int:
    """Return from how many open descriptors on no more callers are accepted."""
    return int(_count_own_descriptors(descriptors) * CALLERS_DESCRIPTOR_SHARE)


def derive_reserved_connections(descriptors: int) -> int:
    """Return how many connections an address accepts that is not for callers.

    It accepts more of them while there are descriptors for callers as well.
    """
    return int(_count_own_descriptors(descriptors) * OWN_ADDRESS_DESCRIPTOR_SHARE)


def _count_own_descriptors(descriptors: int) -> int:
    return max(MIN_DESCRIPTORS, descriptors - RESERVED_DESCRIPTORS)


def choose_stalled(
    holdings: Iterable[Holding[Holder]], needed_bytes: int, now: float
) -> list[Holder]:
    """Return those without progress whose end frees some bytes, the worst first."""
    stalled = [
        holding for holding in holdings if now >= holding.progress_at + STALLED_S
    ]
    return _take(stalled, needed_bytes, now)


def choose_largest(
    holdings: Iterable[Holding[Holder]], needed_bytes: int, now: float
) -> list[Holder]:
    """Return those who hold more than a small request, until some bytes are freed."""
    large = [
        holding for holding in holdings if holding.held_bytes > SMALL_REQUEST_BYTES
    ]
    return _take(large, needed_bytes, now)


def _take(
    holdings: list[Holding[Holder]], needed_bytes: int, now: float
) -> list[Holder]:
    # Those who hold much for long without progress come first.
    holdings.sort(
        key=lambda holding: holding.held_bytes * (STALLED_S + now - holding.progress_at)
    )
    chosen = []
    while holdings and needed_bytes > 0:
        worst = holdings.pop()
        chosen.append(worst.holder)
        needed_bytes -= worst.held_bytes
    return chosen
