"""Encoding and decoding of authenticated frames.

A frame consists of a 4-byte length, a msgpack array ``[type, stream, fields]`` and
a MAC over a sequence number and that array, so that a replayed, reordered or
altered frame fails verification.
"""

import hmac
import struct
from dataclasses import dataclass
from hashlib import blake2b

import msgpack

LENGTH = struct.Struct(">I")
SEQUENCE = struct.Struct(">Q")
MAC_BYTES = 16
MAX_FRAME_BYTES = 262_144

RawFrame = tuple[int, int, list]


@dataclass(frozen=True, slots=True)
class FrameError:
    """Reason why no further frame of a connection can be accepted."""

    reason: str


class FrameEncoder:
    """Encode the frames of one direction of one connection."""

    def __init__(self, key: bytes) -> None:
        self._mac = blake2b(key=key, digest_size=MAC_BYTES)
        self._sequence = 0
        self._packer = msgpack.Packer(use_bin_type=True)

    def encode(self, kind: int, stream: int, fields: tuple | list) -> bytes:
        """Return the bytes of one frame."""
        payload = self._packer.pack((kind, stream, fields))
        mac = self._mac.copy()
        mac.update(SEQUENCE.pack(self._sequence))
        mac.update(payload)
        self._sequence += 1
        return b"".join((LENGTH.pack(len(payload)), payload, mac.digest()))


class FrameDecoder:
    """Decode the frames of one direction of one connection."""

    def __init__(self, key: bytes) -> None:
        self._mac = blake2b(key=key, digest_size=MAC_BYTES)
        self._sequence = 0
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[RawFrame] | FrameError:
        """Return the frames that new bytes complete, or an error.

        After an error the connection must be closed.
        """
        self._buffer += data
        frames: list[RawFrame] = []
        position = 0
        available = len(self._buffer)
        while available - position >= LENGTH.size:
            (size,) = LENGTH.unpack_from(self._buffer, position)
            if size > MAX_FRAME_BYTES:
                return FrameError(
                    f"frame of {size} bytes, at most {MAX_FRAME_BYTES} are allowed"
                )
            end = position + LENGTH.size + size + MAC_BYTES
            if end > available:
                break
            start = position + LENGTH.size
            payload = bytes(self._buffer[start : start + size])
            mac = self._buffer[start + size : end]
            frame = self._verify_and_decode(payload, mac)
            if isinstance(frame, FrameError):
                return frame
            frames.append(frame)
            position = end
        del self._buffer[:position]
        return frames

    def _verify_and_decode(
        self, payload: bytes, received: bytearray
    ) -> RawFrame | FrameError:
        mac = self._mac.copy()
        mac.update(SEQUENCE.pack(self._sequence))
        mac.update(payload)
        if not hmac.compare_digest(mac.digest(), received):
            return FrameError(f"frame {self._sequence} does not verify")
        self._sequence += 1
        try:
            decoded = msgpack.unpackb(payload, raw=False, strict_map_key=False)
        except (ValueError, TypeError, msgpack.UnpackException) as error:
            # msgpack raises TypeError for a map with a key that cannot be hashed.
            return FrameError(f"frame is not msgpack: {error}")
        if not isinstance(decoded, list) or len(decoded) != 3:
            return FrameError("frame is not an array of type, stream and fields")
        kind, stream, fields = decoded
        if not (
            isinstance(kind, int)
            and isinstance(stream, int)
            and isinstance(fields, list)
        ):
            return FrameError("frame has fields of the wrong type")
        return kind, stream, fields
