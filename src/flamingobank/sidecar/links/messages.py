"""Define the messages between sidecars and their msgpack form."""

import enum
from dataclasses import astuple, dataclass, fields

import msgpack

# A peer of another version is refused instead of being misread.
PROTOCOL_VERSION = 1
MAX_BUFFER_BYTES = 96 * 1024 * 1024


class RefusalReason(enum.Enum):
    """Say why a home does not take a request; nothing has run."""

    LEAVING = "leaving"
    NO_SERVER = "no-server"
    SERVER_DOWN = "server-down"
    SUSPECT = "suspect"
    BUSY = "busy"
    NEVER_RECEIVED = "never-received"
    # The calls of a repeated run would exceed the called service's retry budget.
    CALLS_SPENT = "calls-spent"
    EXPIRED = "expired"


@dataclass(frozen=True, slots=True)
class Hello:
    """Introduce a process on a new link."""

    protocol: int
    node: str
    boot: str


@dataclass(frozen=True, slots=True)
class HomeReport:
    """Tell how a home's server does."""

    service: str
    # Probability that the server fails work at the moment.
    failing: float
    running: int
    waiting: int
    slots: int
    accepting: bool


@dataclass(frozen=True, slots=True)
class Offer:
    """Ask for a slot; the request itself follows a grant."""

    stream: int
    service: str
    idempotent: bool
    # No further attempt can follow, so a failure would be final.
    final_attempt: bool
    priority: int
    left_s: float
    # Time until the latency objective is missed; negative afterwards.
    objective_left_s: float
    # Queue when busy, and accept a suspect server.
    forced: bool
    # An earlier send of this request has reached a server, or may have.
    repeated: bool


@dataclass(frozen=True, slots=True)
class Granted:
    """Reserve a slot for an offer for a short time."""

    stream: int


@dataclass(frozen=True, slots=True)
class Queued:
    """Hold an offer until a slot is free."""

    stream: int


@dataclass(frozen=True, slots=True)
class Refused:
    """Turn an offer down; nothing has run."""

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
    left_s: float
    calling_service: str


@dataclass(frozen=True, slots=True)
class Answer:
    """Carry an answer, whole or its first part."""

    stream: int
    status: int
    headers: list
    body: bytes
    complete: bool
    report: HomeReport


@dataclass(frozen=True, slots=True)
class AnswerPart:
    """Carry a further part of an answer."""

    stream: int
    body: bytes
    complete: bool


@dataclass(frozen=True, slots=True)
class Failed:
    """Report a committed request that got no answer from the server."""

    stream: int
    # The request did not run and never will.
    not_run: bool
    # Bytes reached the server, so the attempt counts as an arrival.
    arrived: bool
    reason: str
    report: HomeReport


@dataclass(frozen=True, slots=True)
class Cancel:
    """Give a request up."""

    stream: int


@dataclass(frozen=True, slots=True)
class Resume:
    """Ask for the outcome of a committed request after its link broke."""

    stream: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Ask for any sign of life."""


@dataclass(frozen=True, slots=True)
class Pong:
    """Answer a ping."""


@dataclass(frozen=True, slots=True)
class ReportPush:
    """Tell of a change of a home's state without being asked."""

    report: HomeReport


@dataclass(frozen=True, slots=True)
class TablePull:
    """Ask for the routing table."""


@dataclass(frozen=True, slots=True)
class TableUpdate:
    """Carry a routing table."""

    table: list


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
)
Message = object
_TYPE_NUMBERS = {
    message_type: number for number, message_type in enumerate(MESSAGE_TYPES)
}


def _find_field_positions(name: str) -> dict[type, int]:
    positions = {}
    for message_type in MESSAGE_TYPES:
        names = [item.name for item in fields(message_type)]
        if name in names:
            positions[message_type] = names.index(name)
    return positions


_REPORT_POSITIONS = _find_field_positions("report")
_HEADERS_POSITIONS = _find_field_positions("headers")


def pack_message(message: Message) -> bytes:
    """Return the bytes of one message."""
    return msgpack.packb((_TYPE_NUMBERS[type(message)], astuple(message)))


class MessageReader:
    """Decode messages from the bytes of a link."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_BUFFER_BYTES, strict_map_key=False, use_list=True
        )

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages completed by new bytes; raises ValueError on others."""
        messages = []
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                messages.append(_decode(item))
        except (TypeError, IndexError, msgpack.UnpackException) as error:
            raise ValueError(f"message is malformed: {error!r}") from error
        return messages


def _decode(item: object) -> Message:
    if not isinstance(item, list) or len(item) != 2:
        raise ValueError(
            f"message is not a pair of type number and fields: {item!r:.80}"
        )
    type_number, values = item
    message_type = MESSAGE_TYPES[type_number]
    position = _REPORT_POSITIONS.get(message_type)
    if position is not None:
        values[position] = HomeReport(*values[position])
    position = _HEADERS_POSITIONS.get(message_type)
    if position is not None:
        values[position] = [(name, value) for name, value in values[position]]
    return message_type(*values)
