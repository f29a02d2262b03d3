"""Define the messages between sidecars.

A trailing field with a default is optional. It is sent only to peers of revision 2 or
later, and only if its value is not the default. Types that a peer does not know are not
sent to it.
"""

import enum
from dataclasses import dataclass

from flamingobank.core import BootId

# A connection to a peer with another version is closed, since its messages could be
# decoded wrongly.
PROTOCOL_VERSION = 1
# What this build understands beyond the fields that every build has. A process states
# it in its boot id, which builds before revision 2 only compare.
MESSAGE_REVISION = 3
# Entries of this revision or later tell homes how much of a streamed answer they take.
WINDOW_REVISION = 3
# What a home sends of a streamed answer before the entry tells that it has room for
# more. One window in each round trip of 2 ms fills a link of 1,000 Mbit/s.
WINDOW_BYTES = 262_144


class RefusalReason(enum.Enum):
    """Why a home refused an offer; the request has not run."""

    LEAVING = "leaving"
    NO_SERVER = "no-server"
    SERVER_DOWN = "server-down"
    SUSPECT = "suspect"
    BUSY = "busy"
    NEVER_RECEIVED = "never-received"
    # The server's own calls, made again in a repeated run, would exceed the retry
    # budget of the service that they call.
    CALLS_SPENT = "calls-spent"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Hello:
    """Identify the sending process at the start of a connection."""

    protocol: int
    node: str
    boot: str


@dataclass(frozen=True, slots=True)
class HomeReport:
    """Describe the current state of a home's server."""

    service: str
    # Estimated probability that the server fails a request now.
    failing: float
    running: int
    waiting: int
    slots: int
    accepting: bool
    # Requests that the server takes at once now; 0 if that is not stated.
    limit: int = 0
    # Expected time until a new request of the usual priority gets a slot.
    backlog_s: float = 0.0
    # How long work takes at this server, divided by what entries expected.
    pace: float = 1.0
    # Share of the recent requests that the server itself rejected.
    shedding: float = 0.0


@dataclass(frozen=True, slots=True)
class Offer:
    """Ask a home for a slot; the request itself follows in Commit after Granted."""

    stream: int
    service: str
    idempotent: bool
    # No further attempt can follow, so a failure of this one is final.
    final_attempt: bool
    priority: int
    remaining_s: float
    # Seconds until the latency objective is missed; negative afterwards.
    objective_remaining_s: float
    # The home queues the offer when it is busy, and accepts it although its server is
    # suspect.
    forced: bool
    # An earlier attempt of this request has reached a server, or may have.
    repeated: bool
    route: str = ""
    workspace: str = ""
    # The entry's estimate of this route's work at an average server; 0 if unknown.
    expected_s: float = 0.0
    # A server makes this call for a request that it is running.
    internal: bool = False


@dataclass(frozen=True, slots=True)
class Granted:
    """Tell that a slot is reserved for an offer for a short time."""

    stream: int


@dataclass(frozen=True, slots=True)
class Queued:
    """Tell that an offer is queued until a slot is free."""

    stream: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Refuse an offer; the request has not run."""

    stream: int
    reason: str
    report: HomeReport


@dataclass(frozen=True, slots=True)
class Commit:
    """Carry the request for a granted slot."""

    stream: int
    request_id: str
    method: str
    target: bytes
    headers: list
    body: bytes
    remaining_s: float
    calling_service: str
    workspace: str = ""


@dataclass(frozen=True, slots=True)
class Answer:
    """Carry the head of an answer and its whole body or the first part of it."""

    stream: int
    status: int
    headers: list
    body: bytes
    complete: bool
    report: HomeReport


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Carry a further part of the body of an answer."""

    stream: int
    body: bytes
    complete: bool


@dataclass(frozen=True, slots=True)
class WindowUpdate:
    """Let a home send more bytes of a streamed answer, as its caller has taken some."""

    stream: int
    count: int


@dataclass(frozen=True, slots=True)
class Failed:
    """Report a committed request that got no answer from the server."""

    stream: int
    # The request did not run and never will.
    not_run: bool
    # Bytes reached the server, so the entry counts the attempt as an arrival there.
    arrived: bool
    reason: str
    report: HomeReport


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel a request whose outcome is no longer needed."""

    stream: int


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask for the outcome of a committed request after its link broke."""

    stream: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask the peer for a Pong, to check that it is alive."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a Ping."""


@dataclass(frozen=True, slots=True)
class ReportPush:
    """Report a change of a home's state without a request for it."""

    report: HomeReport


@dataclass(frozen=True, slots=True)
class TablePull:
    """Ask a peer for its routing table."""


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """Carry a routing table."""

    table: list


@dataclass(frozen=True, slots=True)
class QuotaRequest:
    """Ask the owner of some workspaces' quotas for tokens."""

    sequence: int
    # For each workspace: its name, the number of tokens, and the seconds since when
    # each of some earlier tokens was asked for that were not used.
    items: list


@dataclass(frozen=True, slots=True)
class QuotaGrant:
    """Answer a QuotaRequest."""

    sequence: int
    # For each workspace: its name, whether the sender owns its quota, the number of
    # tokens granted, the seconds until the next one is expected, and the process that
    # may be the owner if the sender is not.
    items: list


@dataclass(frozen=True, slots=True)
class QuotaVoteRequest:
    """Ask for votes to own the quotas of some workspaces."""

    sequence: int
    # Each of one value, the name of a workspace.
    items: list


@dataclass(frozen=True, slots=True)
class QuotaVote:
    """Answer a QuotaVoteRequest."""

    sequence: int
    # For each workspace: its name, whether the sender votes for the receiver, the
    # seconds for which no other process has had the vote, and the process that has it.
    items: list


MESSAGE_TYPES = (
    Hello,
    Offer,
    Granted,
    Queued,
    Refused,
    Commit,
    Answer,
    AnswerPart,
    Failed,
    Cancel,
    Resume,
    Ping,
    Pong,
    ReportPush,
    TablePull,
    TableUpdate,
    QuotaRequest,
    QuotaGrant,
    QuotaVoteRequest,
    QuotaVote,
    WindowUpdate,
)
REVISION_2_TYPES = (QuotaRequest, QuotaGrant, QuotaVoteRequest, QuotaVote)
# The revision from which on builds know a type, if not from the first one on. Earlier
# ones take it for malformed and close the connection.
TYPE_REVISIONS = {
    **dict.fromkeys(REVISION_2_TYPES, 2),
    WindowUpdate: WINDOW_REVISION,
}
Message = object


def make_boot(unique: str) -> BootId:
    """Return the boot id of a process of this build."""
    return BootId(f"{unique}.{MESSAGE_REVISION}")


def parse_revision(boot: str) -> int:
    """Return the revision that a boot id states; 1 if it states none."""
    _, _, revision = boot.partition(".")
    return int(revision) if revision.isascii() and revision.isdigit() else 1
