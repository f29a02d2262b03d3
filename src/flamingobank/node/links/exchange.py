"""Interfaces between the sender of a request and the node or server that runs it."""

import abc
from dataclasses import dataclass

from flamingobank.core import Refusal
from flamingobank.wire import AnswerState, CrashNotice

Headers = list[tuple[bytes, bytes]]

# Flow control: limit for the bytes of an answer that are in transit and unacknowledged.
WINDOW_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class HomeReport:
    """How busy a home node is with one service."""

    queue_delay_ms: float
    free_slots: int


@dataclass(slots=True)
class AnswerStart:
    """The head of an answer with the first bytes of its body."""

    request_id: str
    status: int
    headers: Headers
    instance: str
    report: HomeReport
    data: bytes
    state: AnswerState


class AnswerSink(abc.ABC):
    """Receive the answer to one request: its head, then its parts, or a refusal."""

    @abc.abstractmethod
    def on_start(self, start: AnswerStart) -> None:
        """Handle the head of the answer."""

    @abc.abstractmethod
    def on_part(self, data: bytes, state: AnswerState) -> None:
        """Handle a further part of the body; its state says whether more follow."""

    @abc.abstractmethod
    def on_refused(self, refusal: Refusal, report: HomeReport) -> None:
        """Handle the refusal that ends the request, with the report of its home."""

    def on_notice(self, notice: CrashNotice) -> None:
        """Handle the report that a server crashed while it ran this request.

        The report arrives before the refusal.
        """
        return None


class RunningRequest(abc.ABC):
    """Control a request that was sent to a home or a server."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Cancel the request; the sink receives nothing more."""

    @abc.abstractmethod
    def acknowledge(self, consumed: int) -> None:
        """Report how many more bytes of the answer were passed on to the caller."""
