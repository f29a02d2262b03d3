"""Define the messages between sidecars and their msgpack encoding."""

import enum
import struct
from collections.abc import Callable
from dataclasses import dataclass, fields
from math import isfinite
from operator import attrgetter

import msgpack

# A connection to a peer with another version is closed, since its messages could be
# decoded wrongly.
PROTOCOL_VERSION = 1
MAX_BUFFER_BYTES = 96 * 1024 * 1024
# Memory that each connection's decoder takes from the start; it grows with messages.
INITIAL_BUFFER_BYTES = 4096
# Larger bodies are sent as they are, behind the mark of msgpack's format bin 32.
MAX_COPIED_BODY_BYTES = 65536
BIN32_MARK = 0xC6


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


def _make_field_reader(message_type: type) -> Callable[[Message], tuple]:
    names = [item.name for item in fields(message_type)]
    if not names:
        return lambda message: ()
    if len(names) == 1:
        return lambda message: (getattr(message, names[0]),)
    return attrgetter(*names)


_REPORT_POSITIONS = _find_field_positions("report")
_HEADERS_POSITIONS = _find_field_positions("headers")
_BODY_POSITIONS = _find_field_positions("body")
# dataclasses.astuple copies all values, which takes ten times as long.
_FIELD_READERS = {
    message_type: _make_field_reader(message_type)
    for message_type in (*MESSAGE_TYPES, HomeReport)
}


def pack_message(message: Message) -> bytes:
    """Encode one message."""
    message_type = type(message)
    values = _FIELD_READERS[message_type](message)
    return msgpack.packb(
        (_TYPE_NUMBERS[message_type], values), default=_read_report_fields
    )


def pack_pieces(message: Message) -> list[bytes]:
    """Encode one message in pieces, without a copy of its body if that is large."""
    message_type = type(message)
    position = _BODY_POSITIONS.get(message_type)
    if position is None or len(message.body) <= MAX_COPIED_BODY_BYTES:
        return [pack_message(message)]
    values = _FIELD_READERS[message_type](message)
    packer = msgpack.Packer(default=_read_report_fields, autoreset=False)
    packer.pack_array_header(2)
    packer.pack(_TYPE_NUMBERS[message_type])
    packer.pack_array_header(len(values))
    for value in values[:position]:
        packer.pack(value)
    start = packer.bytes() + struct.pack(">BI", BIN32_MARK, len(message.body))
    packer.reset()
    for value in values[position + 1 :]:
        packer.pack(value)
    return [start, message.body, packer.bytes()]


def _read_report_fields(value: object) -> tuple:
    """Return the fields of a report inside a message, for msgpack."""
    if not isinstance(value, HomeReport):
        raise TypeError(f"value of type {type(value).__name__} cannot be encoded")
    return _FIELD_READERS[HomeReport](value)


class MessageReader:
    """Decode messages from the bytes of a connection."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_BUFFER_BYTES,
            read_size=INITIAL_BUFFER_BYTES,
            strict_map_key=False,
            use_list=True,
        )

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that new bytes complete.

        Raises ValueError when the bytes are malformed.
        """
        messages = []
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                messages.append(_decode(item))
        except (TypeError, IndexError, msgpack.UnpackException) as error:
            raise ValueError(f"message is malformed: {error!r}") from error
        return messages


def _list_field_types(message_type: type) -> tuple[tuple[type, ...], ...]:
    return tuple(
        WIRE_TYPES[getattr(item.type, "__name__", item.type)]
        for item in fields(message_type)
    )


# The types that the decoder of msgpack gives for each annotation of a field.
WIRE_TYPES = {
    "int": (int,),
    "str": (str,),
    "float": (float, int),
    "bool": (bool,),
    "bytes": (bytes,),
    "list": (list,),
    "HomeReport": (list,),
}
_FIELD_TYPES = {
    message_type: _list_field_types(message_type)
    for message_type in (*MESSAGE_TYPES, HomeReport)
}


def _check_types(message_type: type, values: list) -> None:
    """Raise ValueError unless all values have the types of the message's fields."""
    expected = _FIELD_TYPES[message_type]
    if len(values) != len(expected):
        raise ValueError(
            f"{message_type.__name__} has {len(values)} fields, "
            f"expected {len(expected)}"
        )
    for value, types in zip(values, expected, strict=True):
        if type(value) not in types or (types[0] is float and not isfinite(value)):
            raise ValueError(
                f"{message_type.__name__} has the value {value!r:.80}, "
                f"expected {types[0].__name__}"
            )


def _decode_header(item: object) -> tuple[bytes, bytes]:
    if isinstance(item, list) and len(item) == 2:
        name, value = item
        if type(name) is bytes and type(value) is bytes:
            return name, value
    raise ValueError(f"header is not a pair of name and value: {item!r:.80}")


def _decode(item: object) -> Message:
    if not isinstance(item, list) or len(item) != 2:
        raise ValueError(
            f"message is not a pair of type number and fields: {item!r:.80}"
        )
    type_number, values = item
    if type(type_number) is not int or not 0 <= type_number < len(MESSAGE_TYPES):
        raise ValueError(f"message has the unknown type number {type_number!r:.80}")
    message_type = MESSAGE_TYPES[type_number]
    _check_types(message_type, values)
    position = _REPORT_POSITIONS.get(message_type)
    if position is not None:
        _check_types(HomeReport, values[position])
        values[position] = HomeReport(*values[position])
    position = _HEADERS_POSITIONS.get(message_type)
    if position is not None:
        values[position] = [_decode_header(item) for item in values[position]]
    return message_type(*values)
