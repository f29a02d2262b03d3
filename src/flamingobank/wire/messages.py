"""Define the messages between nodes and check them on receipt."""

import dataclasses
import enum
import typing
from collections.abc import Callable
from dataclasses import dataclass

from flamingobank.wire.fields import (
    is_list_of_types,
    list_accepted_types,
    make_fields_getter,
)

PROTOCOL_VERSION = 1

HeaderList = list


class AnswerState(enum.IntEnum):
    """Say whether more parts of an answer follow."""

    MORE = 0
    COMPLETE = 1
    BROKEN = 2


class KeyedMode(enum.IntEnum):
    """Say who is asked with an OpenRequest."""

    PLAIN = 0
    KEEPER = 1
    REPLICA = 2


@dataclass(frozen=True, slots=True)
class MessageError:
    """Say why a message was refused."""

    kind: int
    reason: str


@dataclass(slots=True)
class OpenRequest:
    """Ask a home node to run a request."""

    request_id: str
    route: str
    service: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    # More parts of the body follow in RequestPart.
    body_continues: bool
    traffic_class: str
    workspace: str
    remaining_ms: int
    expected_ms: int
    idempotent: bool
    attempt: int = 1
    key: str = ""
    # A KeyedMode.
    keyed: int = 0
    # Counts the times a key was surely not run; see flamingobank.idempotency.
    generation: int = 0


@dataclass(slots=True)
class RequestPart:
    """Carry a part of a request's body."""

    data: bytes
    last: bool


@dataclass(slots=True)
class AnswerHead:
    """Carry the head of an answer with the first bytes of its body."""

    request_id: str
    status: int
    headers: HeaderList
    instance: str
    queue_delay_ms: float
    free_slots: int
    data: bytes
    state: int


@dataclass(slots=True)
class AnswerPart:
    """Carry a part of an answer's body."""

    data: bytes
    state: int


@dataclass(slots=True)
class Refused:
    """Say that a home node gives no answer."""

    disposition: str
    reason: str
    retry_after_ms: int
    detail: str
    queue_delay_ms: float
    free_slots: int


@dataclass(slots=True)
class Cancel:
    """Give up a request."""


@dataclass(slots=True)
class Window:
    """Report how many bytes of an answer the caller has taken."""

    consumed: int


@dataclass(slots=True)
class DirectoryUpdate:
    """Announce which services a home node serves."""

    home: str
    boot: str
    sequence: int
    host: str
    port: int
    failure_domain: str
    region: str
    leaving: bool
    # Each entry is [service, servers in service, slots, announced instances].
    services: list
    servers_host: str
    servers_port: int


@dataclass(slots=True)
class FloorNotice:
    """Carry one floor lease message; flamingobank.node.servers.floor_wire reads it."""

    kind: int
    fields: list


@dataclass(slots=True)
class CrashNotice:
    """Say that a request was in flight on a server that crashed."""

    fingerprint: bytes
    instance: str
    crash_id: str


@dataclass(slots=True)
class CrashClearance:
    """Say that a request completed after a crash it was in flight in."""

    fingerprint: bytes
    crash_id: str


@dataclass(slots=True)
class ConfigurationDelta:
    """Carry changes; each is [kind, name, revision, spec or None]."""

    base_revision: int
    revision: int
    changes: list


@dataclass(slots=True)
class ConfigurationPull:
    """Ask for the changes after a revision."""

    base_revision: int


@dataclass(slots=True)
class ConfigurationChunkRequest:
    """Ask for packed records after a key hash."""

    after: int


@dataclass(slots=True)
class ConfigurationChunk:
    """Carry packed records of a snapshot."""

    revision: int
    after: int
    until: int
    records: list


@dataclass(slots=True)
class KeyNotice:
    """Carry a message of keepers; flamingobank.node.callers.key_wire reads it."""

    kind: int
    fields: list


@dataclass(slots=True)
class DirectoryDigest:
    """Compare directories; the digest covers every home's boot and sequence."""

    digest: bytes


@dataclass(slots=True)
class DirectorySummary:
    """List boot and sequence of each home by name."""

    homes: dict
    # The receiver answers with its own summary when it lacks something.
    answer: bool


Message = typing.Any

_MESSAGE_CLASSES: dict[int, type] = {
    1: OpenRequest,
    2: RequestPart,
    3: AnswerHead,
    4: AnswerPart,
    5: Refused,
    6: Cancel,
    7: Window,
    8: DirectoryUpdate,
    9: FloorNotice,
    10: CrashNotice,
    11: CrashClearance,
    12: ConfigurationDelta,
    13: ConfigurationPull,
    14: ConfigurationChunkRequest,
    15: ConfigurationChunk,
    16: DirectoryDigest,
    17: DirectorySummary,
    18: KeyNotice,
}
_KINDS: dict[type, int] = {}
_GETTERS: dict[type, Callable[[object], tuple]] = {}
_ACCEPTED_TYPES: dict[int, tuple[tuple[type, ...], ...]] = {}
_REQUIRED_FIELD_COUNTS: dict[int, int] = {}


def register_message(kind: int, message_class: type) -> None:
    """Add a message type under a number that no other message has."""
    _MESSAGE_CLASSES[kind] = message_class
    _KINDS[message_class] = kind
    fields = dataclasses.fields(message_class)
    hints = typing.get_type_hints(message_class)
    _ACCEPTED_TYPES[kind] = tuple(
        list_accepted_types(hints[field.name]) for field in fields
    )
    _REQUIRED_FIELD_COUNTS[kind] = sum(
        1
        for field in fields
        if field.default is dataclasses.MISSING
        and field.default_factory is dataclasses.MISSING
    )
    _GETTERS[message_class] = make_fields_getter([field.name for field in fields])


def pack_message(message: Message) -> tuple[int, tuple]:
    """Return a message's number and its fields in order."""
    message_class = type(message)
    return _KINDS[message_class], _GETTERS[message_class](message)


def unpack_message(kind: int, fields: list) -> Message | MessageError:
    """Check received fields and return the message.

    Fields beyond the known ones come from a newer version and are ignored.
    """
    message_class = _MESSAGE_CLASSES.get(kind)
    if message_class is None:
        return MessageError(kind, f"unknown message type {kind}")
    accepted_types = _ACCEPTED_TYPES[kind]
    if len(fields) < _REQUIRED_FIELD_COUNTS[kind]:
        return MessageError(
            kind,
            f"{message_class.__name__} has {len(fields)} fields, "
            f"at least {_REQUIRED_FIELD_COUNTS[kind]} are expected",
        )
    del fields[len(accepted_types) :]
    for value, accepted in zip(fields, accepted_types, strict=False):
        if type(value) not in accepted:
            names = " or ".join(one.__name__ for one in accepted)
            return MessageError(
                kind,
                f"{message_class.__name__} has a field of type "
                f"{type(value).__name__}, expected {names}",
            )
    message = message_class(*fields)
    has_valid_entries = _ENTRY_CHECKS.get(message_class)
    if has_valid_entries is not None and not has_valid_entries(message):
        reason = f"{message_class.__name__} has malformed entries"
        return MessageError(kind, reason)
    return message


def _has_valid_headers(message: OpenRequest | AnswerHead) -> bool:
    return all(is_list_of_types(header, (bytes, bytes)) for header in message.headers)


def _has_valid_services(message: DirectoryUpdate) -> bool:
    return all(
        is_list_of_types(service, (str, int, int, list))
        and all(type(instance) is str for instance in service[3])
        for service in message.services
    )


def _has_valid_homes(message: DirectorySummary) -> bool:
    return all(
        type(home) is str and is_list_of_types(version, (str, int))
        for home, version in message.homes.items()
    )


# Receivers unpack the entries of these messages without a check of their own.
_ENTRY_CHECKS: dict[type, Callable[[Message], bool]] = {
    OpenRequest: _has_valid_headers,
    AnswerHead: _has_valid_headers,
    DirectoryUpdate: _has_valid_services,
    DirectorySummary: _has_valid_homes,
}


for _kind, _message_class in list(_MESSAGE_CLASSES.items()):
    register_message(_kind, _message_class)
