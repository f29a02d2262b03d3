"""Store packed records in key order without a Python object for each record."""

from array import array
from bisect import bisect_left, bisect_right
from collections.abc import Iterator

SHARD_BITS = 6
SHARDS = 1 << SHARD_BITS
MAX_KEY = (1 << 64) - 1
_LENGTH_BYTES = 2
_LONG_LENGTH_BYTES = 4
_LONG_LENGTH_MARK = 0xFFFF
# A shard is compacted when this share of its bytes belongs to replaced records. With
# 6,000 records that takes about 2 ms, because only this shard is rewritten and not the
# whole table.
MAX_GARBAGE_SHARE = 0.25
MIN_GARBAGE_BYTES = 16_384


class Shard:
    """Store the records of one range of keys.

    New and changed records are appended to one byte array, and an index points to
    them. Replaced records stay in the array until the shard is compacted.
    """

    __slots__ = ("_data", "_garbage_bytes", "_keys", "_offsets")

    def __init__(self) -> None:
        self._keys = array("Q")
        self._offsets = array("I")
        self._data = bytearray()
        self._garbage_bytes = 0

    def __len__(self) -> int:
        return len(self._keys)

    @property
    def bytes_used(self) -> int:
        """Return the size of the index and the records in bytes."""
        return 12 * len(self._keys) + len(self._data)

    def read(self, key: int) -> Iterator[bytes]:
        """Yield the records with a key; different objects may have the same key."""
        position = bisect_left(self._keys, key)
        while position < len(self._keys) and self._keys[position] == key:
            yield self._read_at(self._offsets[position])
            position += 1

    def read_range(self, after: int, until: int) -> Iterator[tuple[int, bytes]]:
        """Yield keys and records with after < key <= until, in key order."""
        position = bisect_right(self._keys, after)
        while position < len(self._keys) and self._keys[position] <= until:
            yield self._keys[position], self._read_at(self._offsets[position])
            position += 1

    def write(self, key: int, record: bytes, replaced: bytes | None) -> None:
        """Add a record, or replace the given record by it."""
        offset = len(self._data)
        self._append(record)
        if replaced is None and (not self._keys or key >= self._keys[-1]):
            # The usual case when a snapshot is loaded, as it arrives in key order.
            self._keys.append(key)
            self._offsets.append(offset)
            return
        if replaced is None:
            position = bisect_right(self._keys, key)
            self._keys.insert(position, key)
            self._offsets.insert(position, offset)
            return
        self._offsets[self._find(key, replaced)] = offset
        self._discard(replaced)

    def delete(self, key: int, record: bytes) -> None:
        """Remove a record."""
        position = self._find(key, record)
        del self._keys[position]
        del self._offsets[position]
        self._discard(record)

    def trim(self) -> None:
        """Release the memory that was reserved for growth."""
        self._keys = array("Q", self._keys)
        self._offsets = array("I", self._offsets)
        self._data = bytearray(bytes(self._data))

    def _find(self, key: int, record: bytes) -> int:
        position = bisect_left(self._keys, key)
        while self._read_at(self._offsets[position]) != record:
            position += 1
        return position

    def _append(self, record: bytes) -> None:
        size = len(record)
        if size < _LONG_LENGTH_MARK:
            self._data += size.to_bytes(_LENGTH_BYTES, "little")
        else:
            self._data += _LONG_LENGTH_MARK.to_bytes(_LENGTH_BYTES, "little")
            self._data += size.to_bytes(_LONG_LENGTH_BYTES, "little")
        self._data += record

    def _read_at(self, offset: int) -> bytes:
        start = offset + _LENGTH_BYTES
        size = int.from_bytes(self._data[offset:start], "little")
        if size == _LONG_LENGTH_MARK:
            size = int.from_bytes(
                self._data[start : start + _LONG_LENGTH_BYTES], "little"
            )
            start += _LONG_LENGTH_BYTES
        return bytes(self._data[start : start + size])

    def _discard(self, record: bytes) -> None:
        self._garbage_bytes += len(record) + _LENGTH_BYTES
        if self._garbage_bytes < max(
            MIN_GARBAGE_BYTES, MAX_GARBAGE_SHARE * len(self._data)
        ):
            return
        records = [self._read_at(offset) for offset in self._offsets]
        self._data = bytearray()
        for position, kept in enumerate(records):
            self._offsets[position] = len(self._data)
            self._append(kept)
        self._garbage_bytes = 0


class ShardedRecords:
    """Store records in shards that are chosen by the top bits of the keys."""

    def __init__(self) -> None:
        self._shards = [Shard() for _ in range(SHARDS)]

    def __len__(self) -> int:
        return sum(len(shard) for shard in self._shards)

    @property
    def bytes_used(self) -> int:
        """Return the size of all indexes and records in bytes."""
        return sum(shard.bytes_used for shard in self._shards)

    def trim(self, after: int, until: int) -> None:
        """Release reserved memory of the shards whose last key is in a range."""
        first = max(0, after) >> (64 - SHARD_BITS)
        last = (until + 1) >> (64 - SHARD_BITS)
        for shard in self._shards[first:last]:
            shard.trim()

    def find(self, key: int) -> Shard:
        """Return the shard to which a key belongs."""
        return self._shards[key >> (64 - SHARD_BITS)]

    def read_range(self, after: int, until: int) -> Iterator[tuple[int, bytes]]:
        """Yield keys and records with after < key <= until, in key order."""
        first = max(0, after) >> (64 - SHARD_BITS)
        last = until >> (64 - SHARD_BITS)
        for shard in self._shards[first : last + 1]:
            yield from shard.read_range(after, until)
