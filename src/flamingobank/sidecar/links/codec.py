"""Encode and decode the messages between sidecars with msgpack."""

import struct
from collections.abc import Callable
from dataclasses import MISSING, fields
from functools import partial
from math import isfinite
from operator import attrgetter

import msgpack

from flamingobank.sidecar.links.large_bodies import (
    BIN32_MARK,
    LargeBody,
    find_large_body,
)
from flamingobank.sidecar.links.messages import (
    MESSAGE_REVISION,
    MESSAGE_TYPES,
    HomeReport,
    Message,
)

MAX_BUFFER_BYTES = 96 * 1024 * 1024
# Memory that each connection's decoder takes from the start; it grows with messages.
INITIAL_BUFFER_BYTES = 4096
# Larger bodies are sent as they are, behind the mark of msgpack's format bin 32.
MAX_COPIED_BODY_BYTES = 65536
# The decoder keeps the buffer of its largest message. One that grew beyond this is
# replaced when it is empty.
MAX_KEPT_BUFFER_BYTES = 1_048_576
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


def _find_optional_fields(message_type: type) -> tuple[int, tuple]:
    defaults = tuple(
        item.default for item in fields(message_type) if item.default is not MISSING
    )
    return len(fields(message_type)) - len(defaults), defaults


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
_BODY_NUMBERS = {
    _TYPE_NUMBERS[message_type]: position
    for message_type, position in _BODY_POSITIONS.items()
}
# For each type, how many of its fields are required, and the defaults of the others.
_OPTIONAL_FIELDS = {
    message_type: _find_optional_fields(message_type)
    for message_type in (*MESSAGE_TYPES, HomeReport)
}
# dataclasses.astuple copies all values, which takes ten times as long.
_FIELD_READERS = {
    message_type: _make_field_reader(message_type)
    for message_type in (*MESSAGE_TYPES, HomeReport)
}


def pack_message(message: Message, revision: int = MESSAGE_REVISION) -> bytes:
    """Encode one message for a peer of a revision."""
    return msgpack.packb(
        (_TYPE_NUMBERS[type(message)], _read_values(message, revision)),
        default=_REPORT_READERS[revision > 1],
    )


def pack_pieces(message: Message, revision: int = MESSAGE_REVISION) -> list[bytes]:
    """Encode one message in pieces, without a copy of its body if that is large."""
    message_type = type(message)
    position = _BODY_POSITIONS.get(message_type)
    if position is None or len(message.body) <= MAX_COPIED_BODY_BYTES:
        return [pack_message(message, revision)]
    values = _read_values(message, revision)
    packer = msgpack.Packer(default=_REPORT_READERS[revision > 1], autoreset=False)
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


def _read_values(message: Message, revision: int) -> tuple:
    """Return the fields to send, without trailing optional ones of no effect."""
    message_type = type(message)
    values = _FIELD_READERS[message_type](message)
    required, defaults = _OPTIONAL_FIELDS[message_type]
    if revision < 2:
        return values[:required]
    count = len(values)
    while count > required and values[count - 1] == defaults[count - 1 - required]:
        count -= 1
    return values[:count]


def _read_report_fields(revision: int, value: object) -> tuple:
    """Return the fields of a report inside a message, for msgpack."""
    if not isinstance(value, HomeReport):
        raise TypeError(f"value of type {type(value).__name__} cannot be encoded")
    return _read_values(value, revision)


# By whether the peer understands optional fields.
_REPORT_READERS = {
    False: partial(_read_report_fields, 1),
    True: partial(_read_report_fields, MESSAGE_REVISION),
}


class MessageReader:
    """Decode messages from the bytes of a connection."""

    def __init__(self) -> None:
        self._unpacker = _make_unpacker()
        # Bytes that the decoder has got, and its position after the last message.
        self._fed_bytes = 0
        self._decoded_bytes = 0
        self._largest_bytes = 0
        # The message with a large body that is arriving.
        self._large_body: LargeBody | None = None

    def feed(self, data: bytes) -> list[Message]:
        """Return the messages that new bytes complete.

        Raises ValueError when the bytes are malformed.
        """
        messages = []
        try:
            if self._large_body is not None:
                data = self._feed_large_body(data, messages)
            if not data:
                return messages
            if self._fed_bytes == self._decoded_bytes:
                found = find_large_body(
                    data, _BODY_NUMBERS, MAX_COPIED_BODY_BYTES, MAX_BUFFER_BYTES
                )
                if found is not None:
                    self._large_body, data = found
                    data = self._feed_large_body(data, messages)
                    if not data:
                        return messages
            self._unpacker.feed(data)
            self._fed_bytes += len(data)
            for item in self._unpacker:
                messages.append(_decode(item))
            if messages:
                self._note_decoded()
        except (TypeError, IndexError, msgpack.UnpackException) as error:
            raise ValueError(f"message is malformed: {error!r}") from error
        return messages

    def _feed_large_body(self, data: bytes, messages: list[Message]) -> bytes:
        """Add to a large message; return the bytes after it if it is complete."""
        received = self._large_body.feed(data)
        if received is None:
            return b""
        self._large_body = None
        item, rest = received
        messages.append(_decode(item))
        return rest

    def _note_decoded(self) -> None:
        decoded_bytes = self._unpacker.tell()
        message_bytes = self._fed_bytes - self._decoded_bytes
        self._largest_bytes = max(self._largest_bytes, message_bytes)
        self._decoded_bytes = decoded_bytes
        is_empty = decoded_bytes == self._fed_bytes
        if is_empty and self._largest_bytes > MAX_KEPT_BUFFER_BYTES:
            self._unpacker = _make_unpacker()
            self._fed_bytes = 0
            self._decoded_bytes = 0
            self._largest_bytes = 0


def _make_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        max_buffer_size=MAX_BUFFER_BYTES,
        read_size=INITIAL_BUFFER_BYTES,
        strict_map_key=False,
        use_list=True,
    )


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
    "bytes": (bytes, bytearray),
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
    required, _ = _OPTIONAL_FIELDS[message_type]
    if not required <= len(values) <= len(expected):
        raise ValueError(
            f"{message_type.__name__} has {len(values)} fields, "
            f"expected {required} to {len(expected)}"
        )
    for value, types in zip(values, expected, strict=False):
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
