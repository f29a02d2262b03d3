"""Track one request at its home from its offer to its outcome."""

import abc
import enum

from flamingobank.core import InstanceId, RequestId
from flamingobank.loop import Headers
from flamingobank.sidecar.decisions.offer_admission import (
    MIN_DURATION_SHARE,
    compute_queue_limit,
)
from flamingobank.sidecar.decisions.server_estimate import ServerEstimate
from flamingobank.sidecar.dialect import Dialect, ServerFacts
from flamingobank.sidecar.fleet.server_state import Announcement
from flamingobank.sidecar.homes.answer_stream import AnswerStream
from flamingobank.sidecar.homes.server_client import (
    RunFailure,
    RunHandler,
    RunOutcome,
    ServerClient,
    ServerRun,
)
from flamingobank.sidecar.links.messages import (
    Answer,
    Commit,
    HomeReport,
    Message,
    Offer,
)

# A granted slot is freed if the request has not arrived within this time. It normally
# arrives one round trip after the grant.
GRANT_TIMEOUT_S = 0.6
# A repeatable request whose link broke is cancelled unless the entry resumes it within
# this time; meanwhile the entry retries at another home.
ORPHAN_TIMEOUT_S = 0.4
# A running request is cancelled this long after its deadline. Servers end requests at
# the deadline themselves, and their answers need some time to arrive.
DEADLINE_SLACK_S = 1.0
# Memory of an ended request besides the body of its answer.
KEPT_REQUEST_BYTES = 2048


class HomeRequestState(enum.Enum):
    """State of a request at its home."""

    WAITING = "waiting"
    GRANTED = "granted"
    RUNNING = "running"
    DONE = "done"


class HomeRequestOwner(abc.ABC):
    """What a request needs from its home, which is notified of the outcome."""

    client: ServerClient
    dialect: Dialect
    server_estimate: ServerEstimate

    @abc.abstractmethod
    def build_report(self) -> HomeReport:
        """Return the report on this home that is sent to entries."""

    @abc.abstractmethod
    def on_server_facts(self, request: "HomeRequest", facts: ServerFacts) -> None:
        """Note what the server states about itself in an answer."""

    @abc.abstractmethod
    def on_outcome_kept(self, request: "HomeRequest") -> None:
        """Count what is kept of an ended request in case its link is resumed."""

    @abc.abstractmethod
    def on_answered(self, request: "HomeRequest", status: int) -> None:
        """Record a complete answer and free the request's slot."""

    @abc.abstractmethod
    def on_run_failed(self, request: "HomeRequest", failure: RunFailure) -> None:
        """Record a failure, check the server if it may have crashed, then report."""

    @abc.abstractmethod
    def on_failed(self, request: "HomeRequest", failure: RunFailure) -> None:
        """Report the failure to the entry and free the request's slot."""


class HomeRequest(RunHandler):
    """One request at its home, from its offer to its outcome."""

    def __init__(
        self, home: HomeRequestOwner, channel, offer: Offer, now: float
    ) -> None:
        self.home = home
        self.channel = channel
        self.offer = offer
        self.state = HomeRequestState.WAITING
        self.deadline = now + offer.remaining_s
        self.objective_at = now + offer.objective_remaining_s
        limit_s = compute_queue_limit(
            offer.remaining_s,
            offer.objective_remaining_s,
            home.server_estimate.mean_duration_s,
        )
        # A request that starts later is expected to miss its latency objective, or its
        # deadline where only that applies.
        self.latest_start = (
            now + limit_s - MIN_DURATION_SHARE * home.server_estimate.mean_duration_s
        )
        self.state_since = now
        # Position in the order of arrival, set when the request is queued.
        self.sequence = 0
        self.request_id = RequestId("")
        self.commit: Commit | None = None
        # The server that the request was sent to.
        self.server: Announcement | None = None
        self.run: ServerRun | None = None
        self.repeated = False
        self.outcome: list[Message] = []
        self.orphaned_at: float | None = None
        # Set when the answer is passed on in parts, which are not kept.
        self.answer_stream: AnswerStream | None = None
        self._status = 0
        # What had arrived of the message that the channel is receiving.
        self._pending_bytes = 0
        # What the memory account counts for the body of the request.
        self.held_bytes = 0
        # What it counts for the record of the request after its end.
        self.counted_bytes = 0

    @property
    def key(self) -> tuple[str, int]:
        """Return a key that is unique among the requests of all entries."""
        return (self.channel.peer_boot, self.offer.stream)

    @property
    def is_sent(self) -> bool:
        """Return whether no part of the answer waits for room at the entry."""
        return self.answer_stream is None or self.answer_stream.is_sent

    @property
    def kept_bytes(self) -> int:
        """Return about how much memory the kept outcome takes."""
        bodies = [
            message.body for message in self.outcome if isinstance(message, Answer)
        ]
        return KEPT_REQUEST_BYTES + sum(len(body) for body in bodies)

    def start(self, commit: Commit, server: Announcement, now: float) -> None:
        """Send the request to the server."""
        self.state = HomeRequestState.RUNNING
        self.server = server
        self.state_since = now
        home = self.home

        def encode(instance: InstanceId) -> tuple[bytes, bytes]:
            return home.dialect.encode_request(
                commit.method,
                commit.target,
                list(commit.headers),
                commit.body,
                instance,
                commit.remaining_s,
                commit.calling_service,
                commit.workspace,
            )

        self.run = home.client.run(self.request_id, encode, self.offer.idempotent, self)

    def find_timeout_reason(self, now: float) -> str | None:
        """Return why a granted or running request has timed out; None if it has not."""
        if self.state is HomeRequestState.GRANTED:
            pending_bytes = self.channel.pending_bytes
            if pending_bytes > self._pending_bytes:
                # A large message is arriving, which may be the request.
                self._pending_bytes = pending_bytes
                self.state_since = now
            if now > self.state_since + GRANT_TIMEOUT_S:
                return "request did not follow the grant"
            return None
        orphaned = self.orphaned_at is not None and self.offer.idempotent
        if orphaned and now > self.orphaned_at + ORPHAN_TIMEOUT_S:
            return "entry did not resume the request"
        if now > self.deadline + DEADLINE_SLACK_S:
            return "deadline passed"
        return None

    def send_outcome(self, message: Message) -> None:
        """Send a message of the outcome and keep it in case the link is resumed."""
        self.outcome.append(message)
        self.channel.send(message)
        self.home.on_outcome_kept(self)

    def on_run_facts(self, facts: ServerFacts) -> None:
        self.home.on_server_facts(self, facts)

    def on_run_answer(
        self, status: int, headers: Headers, body: bytes, complete: bool
    ) -> None:
        if complete:
            self.home.on_answered(self, status)
        headers = self.home.dialect.pass_answer_headers(headers)
        report = self.home.build_report()
        message = Answer(self.offer.stream, status, headers, body, complete, report)
        if complete:
            self.send_outcome(message)
            return
        self._status = status
        self.answer_stream = AnswerStream(
            self.channel,
            self.offer.stream,
            self.run.connection,
            self.home.client.memory,
        )
        self.answer_stream.start(message)

    def on_run_part(self, body: bytes, complete: bool) -> None:
        if complete:
            self.home.on_answered(self, self._status)
        elif not body:
            self.discard_stream()
            self.home.on_run_failed(
                self,
                RunFailure(
                    RunOutcome.UNKNOWN,
                    arrived=True,
                    unreachable=False,
                    reason="answer broke off midway",
                    broken=True,
                ),
            )
            return
        self.answer_stream.add(body, complete)
        if complete:
            self.home.on_outcome_kept(self)

    def update_reading(self) -> None:
        """Read on from the server if the link has sent what was queued."""
        if self.answer_stream is not None:
            self.answer_stream.update_reading()

    def discard_stream(self) -> None:
        """Drop the parts of the answer that wait, as nobody is to get them."""
        if self.answer_stream is not None:
            self.answer_stream.discard()

    def on_run_failed(self, failure: RunFailure) -> None:
        self.home.on_run_failed(self, failure)
