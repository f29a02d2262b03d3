"""Track the attempts of one request, each of them an offer to one home."""

import abc
import enum

from flamingobank.core import Clock, RequestId, ServiceName
from flamingobank.loop import MAX_STATUS
from flamingobank.sidecar.decisions.home_choice import ChoiceReason
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.links import Link, StreamHandler
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.links.messages import (
    WINDOW_BYTES,
    WINDOW_REVISION,
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
    WindowUpdate,
)

# Homes of earlier revisions lose the name of a request's workspace.
WORKSPACE_REVISION = 2
MIN_FINAL_STATUS = 200
# A home is told of room when its caller has taken this much, so that the window never
# closes for a caller that reads.
MIN_UPDATE_BYTES = WINDOW_BYTES // 4


class AttemptState(enum.Enum):
    """State of one attempt."""

    OFFERED = "offered"
    QUEUED = "queued"
    COMMITTED = "committed"
    ENDED = "ended"


class AttemptObserver(abc.ABC):
    """Receive the events of an attempt."""

    @abc.abstractmethod
    def on_granted(self, attempt: "Attempt") -> None:
        """Handle a grant: the home holds a slot for the request."""

    @abc.abstractmethod
    def on_refused(self, attempt: "Attempt", reason: RefusalReason) -> None:
        """Handle a refusal: the request has not run at this home."""

    @abc.abstractmethod
    def on_answer(self, attempt: "Attempt", answer: Answer) -> None:
        """Handle a whole answer of the server or its first part."""

    @abc.abstractmethod
    def on_part(self, attempt: "Attempt", part: AnswerPart) -> None:
        """Handle a further part of an answer."""

    @abc.abstractmethod
    def on_failed(self, attempt: "Attempt", failure: Failed) -> None:
        """Handle a request that ended at the server without an answer."""

    @abc.abstractmethod
    def on_path_lost(self, attempt: "Attempt") -> None:
        """Handle the loss of the link on which the request was sent."""

    @abc.abstractmethod
    def on_home_restarted(self, attempt: "Attempt") -> None:
        """Handle a restart of the home, which lost the request sent to it."""


class Attempt(StreamHandler):
    """One offer to one home, and the request if a slot is granted."""

    def __init__(
        self,
        observer: AttemptObserver,
        clock: Clock,
        home: HomeView,
        link: Link | LocalLink,
        stream: int,
        forced: bool,
        reason: ChoiceReason = ChoiceReason.BY_LOAD,
    ) -> None:
        self.home = home
        # Why the home was chosen.
        self.reason = reason
        self.stream = stream
        self.forced = forced
        self.state = AttemptState.OFFERED
        self.streaming = False
        self.committed_at = 0.0
        # What has arrived of a streamed answer since the last window update.
        self._arrived_bytes = 0
        # Offer timeout; cancelled when the home responds.
        self.timer = None
        self._observer = observer
        self._clock = clock
        self._link = link

    @property
    def is_committed(self) -> bool:
        """Return whether the request was sent and has no outcome yet."""
        return self.state is AttemptState.COMMITTED

    @property
    def offer_timeout_s(self) -> float:
        """Return how many seconds the offer waits for a response."""
        return self._link.offer_timeout_s

    @property
    def waits_for_link(self) -> bool:
        """Return whether the offer may not have been sent yet."""
        return self._link.has_backlog

    @property
    def keeps_workspace(self) -> bool:
        """Return whether the home, which has answered, passes on a workspace's name."""
        return self._link.peer_revision >= WORKSPACE_REVISION

    def offer(self, offer: Offer) -> None:
        """Send the offer to the home."""
        self._link.open_stream(self.stream, self)
        self._link.send(offer)

    def commit(
        self,
        request: CallerRequest,
        request_id: RequestId,
        remaining_s: float,
        calling_service: ServiceName,
        workspace: str,
    ) -> None:
        """Send the request for the granted slot."""
        self.state = AttemptState.COMMITTED
        self.committed_at = self._clock.now()
        self.home.own_in_flight += 1
        self._link.send(
            Commit(
                self.stream,
                request_id,
                request.method,
                request.target,
                request.headers,
                request.body,
                remaining_s,
                calling_service,
                workspace,
            )
        )

    def open_window(self) -> None:
        """Let the home send more, as the caller has taken all that has arrived."""
        if self._arrived_bytes < MIN_UPDATE_BYTES:
            return
        if self._link.peer_revision >= WINDOW_REVISION:
            self._link.send_if_up(WindowUpdate(self.stream, self._arrived_bytes))
        self._arrived_bytes = 0

    def cancel(self) -> None:
        """Tell the home to cancel the request, and close the attempt."""
        self._link.send_if_up(Cancel(self.stream))
        self.close()

    def close(self) -> None:
        """End the attempt and stop receiving the home's messages for it."""
        self._cancel_timer()
        if self.state is AttemptState.COMMITTED:
            self.home.own_in_flight -= 1
        self.state = AttemptState.ENDED
        self._link.close_stream(self.stream)

    def on_message(self, message: Message) -> None:
        if isinstance(message, Refused | Answer | Failed):
            self.home.update_report(message.report, self._clock.now())
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
            self._pass_answer(message)
        elif isinstance(message, AnswerPart):
            self._arrived_bytes += len(message.body)
            self._observer.on_part(self, message)
        elif isinstance(message, Failed):
            self._observer.on_failed(self, message)

    def _pass_answer(self, answer: Answer) -> None:
        # Homes of older builds pass on answers whose status is outside the protocol.
        if MIN_FINAL_STATUS <= answer.status <= MAX_STATUS:
            self._arrived_bytes += len(answer.body)
            self._observer.on_answer(self, answer)
            return
        reason = f"status is {answer.status:03d}, expected at most {MAX_STATUS}"
        self._observer.on_failed(
            self, Failed(answer.stream, False, True, reason, answer.report)
        )

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
    """The open attempts of one request."""

    def __init__(self) -> None:
        self._open: list[Attempt] = []

    def __len__(self) -> int:
        return len(self._open)

    @property
    def any_committed(self) -> bool:
        """Return whether the request was sent in an attempt that is still open."""
        return any(attempt.is_committed for attempt in self._open)

    def find_committed(self) -> Attempt | None:
        """Return the first open attempt in which the request was sent."""
        for attempt in self._open:
            if attempt.is_committed:
                return attempt
        return None

    def add(self, attempt: Attempt) -> None:
        """Add an open attempt."""
        self._open.append(attempt)

    def close(self, attempt: Attempt) -> None:
        """Close an attempt whose outcome is known, and remove it."""
        attempt.close()
        if attempt in self._open:
            self._open.remove(attempt)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt whose outcome is no longer needed, and remove it."""
        attempt.cancel()
        self.close(attempt)

    def cancel_others(self, kept: Attempt | None) -> None:
        """Cancel all attempts except `kept`; None cancels all."""
        for attempt in list(self._open):
            if attempt is not kept:
                self.cancel(attempt)
