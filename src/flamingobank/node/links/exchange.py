"""Define how a running request reports its answer."""

import abc
from dataclasses import dataclass

from flamingobank.core import Refusal
from flamingobank.wire import AnswerState, CrashNotice

Headers = list[tuple[bytes, bytes]]

# Bytes of an answer that may be under way to the caller unacknowledged.
WINDOW_BYTES = 262_144


@dataclass(frozen=True, slots=True)
class HomeReport:
    """Report how busy a home node is with one service."""

    queue_delay_ms: float
    free_slots: int


@dataclass(slots=True)
class AnswerStart:
    """Carry the head of an answer and the first bytes of its body."""

    request_id: str
    status: int
    headers: Headers
    instance: str
    load: HomeReport
    data: bytes
    state: AnswerState


class AnswerSink(abc.ABC):
    """Receive the answer to one request, in order."""

    @abc.abstractmethod
    def on_start(self, start: AnswerStart) -> None:
        """React to the head of the answer."""

    @abc.abstractmethod
    def on_part(self, data: bytes, state: AnswerState) -> None:
        """React to a further part of the body."""

    @abc.abstractmethod
    def on_refused(self, refusal: Refusal, load: HomeReport) -> None:
        """React to there being no answer."""

    def on_notice(self, notice: CrashNotice) -> None:
        """React to a crash report that precedes the refusal."""
        return None


class RunningRequest(abc.ABC):
    """Control a request that was handed over."""

    @abc.abstractmethod
    def cancel(self) -> None:
        """Give the request up; nothing more reaches the sink."""

    @abc.abstractmethod
    def acknowledge(self, consumed: int) -> None:
        """Report bytes that the caller has taken."""
