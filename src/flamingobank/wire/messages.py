"""Messages between nodes and the checks that they undergo on receipt."""

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
    """Tell whether an answer continues, is complete, or was broken off."""

    MORE = 0
    COMPLETE = 1
    BROKEN = 2


class KeyedMode(enum.IntEnum):
    """Whether the receiver of an OpenRequest is its home, its keeper or a replica."""

    PLAIN = 0
    KEEPER = 1
    REPLICA = 2


@dataclass(frozen=True, slots=True)
class MessageError:
    """Refusal of a received message, with the number of its type and the reason."""

    kind: int
    reason: str


@dataclass(slots=True)
class OpenRequest:
    """Asks a home node to run a request."""

    request_id: str
    route: str
    service: str
    method: str
    target: bytes
    headers: HeaderList
    body: bytes
    # Whether more parts of the body follow in RequestPart messages.
    body_continues: bool
    traffic_class: str
    workspace: str
    remaining_ms: int
    expected_ms: int
    idempotent: bool
    attempt: int = 1
    key: str = ""
    # The role of the receiver, as the value of a KeyedMode.
    keyed: int = 0
    # Counts how often the request of a key is known not to have run; see
    # flamingobank.idempotency.
    generation: int = 0


@dataclass(slots=True)
class RequestPart:
    """Carries a part of a request's body."""

    data: bytes
    last: bool


@dataclass(slots=True)
class AnswerHead:
    """Carries the head of an answer and the first bytes of its body."""

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
    """Carries a part of an answer's body."""

    data: bytes
    state: int


@dataclass(slots=True)
class Refused:
    """Reports that a home node gives no answer to a request, and why."""

    disposition: str
    reason: str
    retry_after_ms: int
    detail: str
    queue_delay_ms: float
    free_slots: int


@dataclass(slots=True)
class Cancel:
    """Cancels a request."""


@dataclass(slots=True)
class Window:
    """Reports how many bytes were passed to the caller since the last such report."""

    consumed: int


@dataclass(slots=True)
class DirectoryUpdate:
    """Announces which services a home node serves."""

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
    """Carries one floor lease message.

    flamingobank.node.servers.floor_wire decodes it.
    """

    kind: int
    fields: list


@dataclass(slots=True)
class CrashNotice:
    """Reports that a request was in flight on a server that crashed."""

    fingerprint: bytes
    instance: str
    crash_id: str


@dataclass(slots=True)
class CrashClearance:
    """Reports that a request that was in flight during a crash completed later."""

    fingerprint: bytes
    crash_id: str


@dataclass(slots=True)
class ConfigurationDelta:
    """Carries changes of the configuration.

    Each change is [kind, name, revision, spec], with None as the spec of a deletion.
    """

    base_revision: int
    revision: int
    changes: list


@dataclass(slots=True)
class ConfigurationPull:
    """Asks for the changes of the configuration after a revision."""

    base_revision: int


@dataclass(slots=True)
class ConfigurationChunkRequest:
    """Asks for packed records of a snapshot whose key hash is above ``after``."""

    after: int


@dataclass(slots=True)
class ConfigurationChunk:
    """Carries all packed records of a snapshot with after < key hash <= until."""

    revision: int
    after: int
    until: int
    records: list


@dataclass(slots=True)
class KeyNotice:
    """Carries a message between keepers, or between a keeper and its replicas.

    flamingobank.node.callers.key_wire decodes it.
    """

    kind: int
    fields: list


@dataclass(slots=True)
class DirectoryDigest:
    """Carries a digest to compare directories.

    It covers the boot id and sequence number of the newest update of each home.
    """

    digest: bytes


@dataclass(slots=True)
class DirectorySummary:
    """Maps each home to the boot id and sequence number of its newest update."""

    homes: dict
    # Whether the receiver should answer with its own summary if it lacks updates.
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
    """Add a message type under a number that no other message uses."""
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
    """Return the number of a message's type and its fields in order."""
    message_class = type(message)
    return _KINDS[message_class], _GETTERS[message_class](message)


def unpack_message(kind: int, fields: list) -> Message | MessageError:
    """Check received fields and return the message, or why it is refused.

    Additional fields come from a newer version and are ignored.
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


# Checks of the items in list and dict fields, by message class. Receivers rely on them
# and unpack the items without checks of their own.
_ENTRY_CHECKS: dict[type, Callable[[Message], bool]] = {
    OpenRequest: _has_valid_headers,
    AnswerHead: _has_valid_headers,
    DirectoryUpdate: _has_valid_services,
    DirectorySummary: _has_valid_homes,
}


for _kind, _message_class in list(_MESSAGE_CLASSES.items()):
    register_message(_kind, _message_class)
