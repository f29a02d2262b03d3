"""Define what the store client needs from its surroundings."""

import abc
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from flamingobank.store.calls import Answer, StoreCall


class Transport(abc.ABC):
    """Carry calls to the store."""

    @abc.abstractmethod
    def send(self, call: StoreCall, on_answer: Callable[[Answer], None]) -> None:
        """Send a call; the answer or the failure arrives once, within its timeout."""


class Scheduler(Protocol):
    """Run callbacks at deadlines, as flamingobank.loop.Timers does."""

    def call_at(self, deadline: float, callback: Callable[[], None]) -> object:
        """Run a callback once the clock reaches a deadline."""


@dataclass(slots=True)
class ClientCounters:
    """Count what the client did, for metrics."""

    calls: int = 0
    coalesced: int = 0
    refused: int = 0
    unknown_writes: int = 0
    reverts: int = 0
