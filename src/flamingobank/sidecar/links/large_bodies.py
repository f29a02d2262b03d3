"""Receive the body of one large message without a second copy of it.

The decoder of msgpack collects a whole message before it copies the body, so a body of
64 MB would take twice its size.
"""

import msgpack

# The format of a body with a length of 32 bits, with its mark.
BIN32_MARK = 0xC6
BIN32_HEAD_BYTES = 5
# The mark of an array of two, which begins each message.
PAIR_MARK = 0x92
# A body that arrives together with its head fills about this much of what is received.
MIN_JOINED_BYTES = 32_768
# The fields behind a body are a few numbers and a name.
MAX_FIELDS_BYTES = 65_536


class LargeBody:
    """A message whose fields before the body are known, and whose body arrives."""

    def __init__(self, type_number: int, count: int, values: list, size: int) -> None:
        self._type_number = type_number
        self._count = count
        self._values = values
        self._size = size
        self._body = bytearray()
        self._rest = bytearray()

    def feed(self, data: bytes) -> tuple[list, bytes] | None:
        """Return the whole message and the bytes after it, None while it is partial."""
        missing_bytes = self._size - len(self._body)
        if missing_bytes:
            self._body += data[:missing_bytes]
            data = data[missing_bytes:]
        if len(self._body) < self._size:
            return None
        self._rest += data
        unpacker = msgpack.Unpacker(strict_map_key=False, use_list=True)
        unpacker.feed(self._rest)
        values = [*self._values, self._body]
        try:
            while len(values) < self._count:
                values.append(unpacker.unpack())
        except msgpack.OutOfData:
            if len(self._rest) > MAX_FIELDS_BYTES:
                raise ValueError("the fields behind a body do not end") from None
            return None
        return [self._type_number, values], bytes(self._rest[unpacker.tell() :])


def find_large_body(
    data: bytes, positions: dict[int, int], min_bytes: int, max_bytes: int
) -> tuple[LargeBody, bytes] | None:
    """Return a large body that begins in data, and what has arrived of it.

    `data` begins with a message. `positions` has the place of the body among the fields
    for each type of message. None if no such body is found, also if its head is only
    partly there: such a message is decoded as a whole.
    """
    if data[0] != PAIR_MARK:
        return None
    if len(data) < MIN_JOINED_BYTES and data[-BIN32_HEAD_BYTES:][0] != BIN32_MARK:
        return None
    unpacker = msgpack.Unpacker(strict_map_key=False, use_list=True)
    unpacker.feed(data)
    try:
        unpacker.read_array_header()
        type_number = unpacker.unpack()
        position = positions.get(type_number) if type(type_number) is int else None
        if position is None:
            return None
        count = unpacker.read_array_header()
        if count <= position:
            return None
        values = []
        while len(values) < position:
            values.append(unpacker.unpack())
    except (ValueError, msgpack.OutOfData, msgpack.UnpackException):
        return None
    start = unpacker.tell()
    body_start = start + BIN32_HEAD_BYTES
    if len(data) < body_start or data[start] != BIN32_MARK:
        return None
    size = int.from_bytes(data[start + 1 : body_start], "big")
    if not min_bytes < size <= max_bytes:
        return None
    return LargeBody(type_number, count, values, size), data[body_start:]
