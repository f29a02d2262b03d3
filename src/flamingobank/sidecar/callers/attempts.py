"""Follow one offer of a request to one home."""

import abc
import enum

from flamingobank.core import Clock, RequestId, ServiceName
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.links import Link, StreamHandler
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.links.messages import (
    Answer,
    AnswerPart,
    Cancel,
    Commit,
    Failed,
    Granted,
    Message,
    Offer,
    Queued,
    RefusalReason,
    Refused,
)


class AttemptState(enum.Enum):
    """Say how far one attempt has come."""

    OFFERED = "offered"
    QUEUED = "queued"
    COMMITTED = "committed"
    ENDED = "ended"


class AttemptObserver(abc.ABC):
    """Receive what becomes of an attempt."""

    @abc.abstractmethod
    def on_granted(self, attempt: "Attempt") -> None:
        """React to a slot that waits for the request."""

    @abc.abstractmethod
    def on_refused(self, attempt: "Attempt", reason: RefusalReason) -> None:
        """React to a home at which nothing has run."""

    @abc.abstractmethod
    def on_answer(self, attempt: "Attempt", answer: Answer) -> None:
        """React to a whole answer of the server or to its beginning."""

    @abc.abstractmethod
    def on_part(self, attempt: "Attempt", part: AnswerPart) -> None:
        """React to a further part of an answer."""

    @abc.abstractmethod
    def on_failed(self, attempt: "Attempt", failure: Failed) -> None:
        """React to a request that ended at the server without an answer."""

    @abc.abstractmethod
    def on_path_lost(self, attempt: "Attempt") -> None:
        """React to the loss of the link that carried the request."""

    @abc.abstractmethod
    def on_home_restarted(self, attempt: "Attempt") -> None:
        """React to a home that forgot a request that was sent."""


class Attempt(StreamHandler):
    """Follow one offer to one home."""

    def __init__(
        self,
        observer: AttemptObserver,
        clock: Clock,
        home: HomeView,
        link: Link | LocalLink,
        stream: int,
        forced: bool,
    ) -> None:
        self.home = home
        self.stream = stream
        self.forced = forced
        self.state = AttemptState.OFFERED
        self.streaming = False
        # Ends the wait for a reaction to the offer.
        self.timer = None
        self._observer = observer
        self._clock = clock
        self._link = link

    @property
    def is_committed(self) -> bool:
        """Tell whether the request was sent and has no outcome yet."""
        return self.state is AttemptState.COMMITTED

    @property
    def offer_timeout_s(self) -> float:
        """Return how long the offer waits for a reaction."""
        return self._link.offer_timeout_s

    def offer(self, offer: Offer) -> None:
        """Ask the home for a slot."""
        self._link.open_stream(self.stream, self)
        self._link.send(offer)

    def commit(
        self,
        request: CallerRequest,
        request_id: RequestId,
        left_s: float,
        calling_service: ServiceName,
    ) -> None:
        """Send the request into the slot that was granted."""
        self.state = AttemptState.COMMITTED
        self.home.own_in_flight += 1
        self._link.send(
            Commit(
                self.stream,
                request_id,
                request.method,
                request.target,
                request.headers,
                request.body,
                left_s,
                calling_service,
            )
        )

    def cancel(self) -> None:
        """Tell the home that the outcome is not wanted any more."""
        self._link.send_if_up(Cancel(self.stream))
        self.close()

    def close(self) -> None:
        """Listen no more to what the home says."""
        self._cancel_timer()
        if self.state is AttemptState.COMMITTED:
            self.home.own_in_flight -= 1
        self.state = AttemptState.ENDED
        self._link.close_stream(self.stream)

    def on_message(self, message: Message) -> None:
        if isinstance(message, Refused | Answer | Failed):
            self.home.take_report(message.report, self._clock.now())
        if self.state is AttemptState.ENDED:
            return
        if isinstance(message, Granted):
            self._cancel_timer()
            if self.state in (AttemptState.OFFERED, AttemptState.QUEUED):
                self._observer.on_granted(self)
        elif isinstance(message, Queued):
            self.state = AttemptState.QUEUED
            self._cancel_timer()
        elif isinstance(message, Refused):
            self._observer.on_refused(self, RefusalReason(message.reason))
        elif isinstance(message, Answer):
            self._observer.on_answer(self, message)
        elif isinstance(message, AnswerPart):
            self._observer.on_part(self, message)
        elif isinstance(message, Failed):
            self._observer.on_failed(self, message)

    def on_link_lost(self) -> bool:
        if self.state is AttemptState.ENDED:
            return False
        if self.state is AttemptState.COMMITTED:
            self._observer.on_path_lost(self)
            return self.state is AttemptState.COMMITTED
        self._observer.on_refused(self, RefusalReason.SERVER_DOWN)
        return False

    def on_home_restarted(self) -> None:
        if self.state is AttemptState.COMMITTED:
            self._observer.on_home_restarted(self)

    def _cancel_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class Attempts:
    """Hold the attempts of one request that have not ended."""

    def __init__(self) -> None:
        self._open: list[Attempt] = []

    def __len__(self) -> int:
        return len(self._open)

    @property
    def any_committed(self) -> bool:
        """Tell whether a server may have the request."""
        return any(attempt.is_committed for attempt in self._open)

    def add(self, attempt: Attempt) -> None:
        """Hold one more attempt."""
        self._open.append(attempt)

    def close(self, attempt: Attempt) -> None:
        """End an attempt whose outcome is known."""
        attempt.close()
        if attempt in self._open:
            self._open.remove(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """End an attempt whose outcome is not wanted any more."""
        attempt.cancel()
        self.close(attempt)

    def cancel_others(self, kept: Attempt | None) -> None:
        """End all attempts but one, or all."""
        for attempt in list(self._open):
            if attempt is not kept:
                self.cancel(attempt)
