"""Interfaces that the store client uses, and its counters."""

import abc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from flamingobank.store.calls import Answer, StoreCall


class Transport(abc.ABC):
    """Send calls to the store and report their answers."""

    @abc.abstractmethod
    def send(self, call: StoreCall, on_answer: Callable[[Answer], None]) -> None:
        """Send a call; report its answer or failure once, within its timeout."""


class Scheduler(Protocol):
    """Run callbacks at deadlines, as flamingobank.loop.Timers does."""

    def call_at(self, deadline: float, callback: Callable[[], None]) -> object:
        """Run a callback once the clock reaches a deadline."""


@dataclass(slots=True)
class ClientCounters:
    """Counters of the client for metrics.

    ``coalesced`` counts reads that shared the call of another read, ``refused``
    counts calls that were not sent, and ``unknown_writes`` counts writes whose
    outcome could not be determined.
    """

    calls: int = 0
    coalesced: int = 0
    refused: int = 0
    unknown_writes: int = 0
    reverts: int = 0
