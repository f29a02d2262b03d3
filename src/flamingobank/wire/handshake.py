"""Handshake in which both nodes prove that they know the fleet secret.

It also derives the keys of the connection.
"""

import hmac
import os
import struct
from collections.abc import Sequence
from dataclasses import dataclass
from hashlib import blake2b

import msgpack

from flamingobank.wire.messages import PROTOCOL_VERSION

LENGTH = struct.Struct(">H")
NONCE_BYTES = 16
PROOF_BYTES = 32
MAX_HANDSHAKE_BYTES = 512


@dataclass(frozen=True, slots=True)
class LinkSession:
    """Peer and keys of a connection after a completed handshake."""

    peer: str
    peer_boot: str
    send_key: bytes
    receive_key: bytes
    # Bytes received after the handshake, which belong to the first frames.
    rest: bytes


@dataclass(frozen=True, slots=True)
class HandshakeError:
    """Reason why the handshake with a peer failed."""

    reason: str


@dataclass(frozen=True, slots=True)
class HandshakeStep:
    """Bytes to send next and, when the handshake is complete, the session."""

    output: bytes
    session: LinkSession | None = None


class Handshake:
    """One side of the handshake; the initiator begins it with start().

    An acceptor proves its first secret, and an initiator accepts a proof of any of
    its secrets. To rotate the secret, the new one is therefore added after the old
    one on all nodes before it is moved to the front.
    """

    def __init__(
        self, node_id: str, boot: str, secrets: Sequence[bytes], initiator: bool
    ) -> None:
        nonce = os.urandom(NONCE_BYTES)
        self._hello = [PROTOCOL_VERSION, node_id, boot, nonce]
        self._secrets = list(secrets)
        self._initiator = initiator
        self._buffer = b""
        self._peer_hello: list | None = None
        self._secret = self._secrets[0]

    def start(self) -> bytes:
        """Return the initiator's first message."""
        return _encode_message(self._hello)

    def feed(self, data: bytes) -> HandshakeStep | HandshakeError | None:
        """Handle received bytes and return the next step or an error.

        Return None if a complete message has not been received yet.
        """
        self._buffer += data
        if len(self._buffer) < LENGTH.size:
            return None
        (size,) = LENGTH.unpack_from(self._buffer)
        if size > MAX_HANDSHAKE_BYTES:
            return HandshakeError(
                f"handshake message of {size} bytes, at most "
                f"{MAX_HANDSHAKE_BYTES} are allowed"
            )
        if len(self._buffer) < LENGTH.size + size:
            return None
        payload = self._buffer[LENGTH.size : LENGTH.size + size]
        self._buffer = self._buffer[LENGTH.size + size :]
        try:
            fields = msgpack.unpackb(payload)
        except (ValueError, msgpack.UnpackException) as error:
            return HandshakeError(f"handshake message is not msgpack: {error}")
        if not isinstance(fields, list):
            return HandshakeError("handshake message is not an array")
        if self._initiator:
            return self._finish_as_initiator(fields)
        if self._peer_hello is None:
            return self._answer_hello(fields)
        return self._finish_as_acceptor(fields)

    def _answer_hello(self, fields: list) -> HandshakeStep | HandshakeError:
        error = _check_hello(fields, 4)
        if error is not None:
            return error
        self._peer_hello = fields
        proof = _compute_mac(self._secret, b"acceptor", fields, self._hello)
        return HandshakeStep(_encode_message([*self._hello, proof]))

    def _finish_as_initiator(self, fields: list) -> HandshakeStep | HandshakeError:
        error = _check_hello(fields, 5)
        if error is not None:
            return error
        secret = self._find_secret(fields[4], fields)
        if secret is None:
            return HandshakeError(f"node {fields[1]!r} does not prove the fleet secret")
        proof = _compute_mac(secret, b"initiator", self._hello, fields)
        session = self._make_session(secret, fields)
        return HandshakeStep(_encode_message([proof]), session)

    def _finish_as_acceptor(self, fields: list) -> HandshakeStep | HandshakeError:
        hello = self._peer_hello
        if len(fields) < 1 or not isinstance(fields[0], bytes):
            return HandshakeError("handshake message has no proof")
        expected = _compute_mac(self._secret, b"initiator", hello, self._hello)
        if not hmac.compare_digest(expected, fields[0]):
            return HandshakeError(f"node {hello[1]!r} does not prove the fleet secret")
        session = self._make_session(self._secret, hello)
        return HandshakeStep(b"", session)

    def _find_secret(self, proof: object, peer_hello: list) -> bytes | None:
        if not isinstance(proof, bytes):
            return None
        for secret in self._secrets:
            expected = _compute_mac(secret, b"acceptor", self._hello, peer_hello)
            if hmac.compare_digest(expected, proof):
                return secret
        return None

    def _make_session(self, secret: bytes, peer_hello: list) -> LinkSession:
        hellos = [self._hello, peer_hello]
        if not self._initiator:
            hellos.reverse()
        send_key = _compute_mac(secret, b"to-acceptor", *hellos)
        receive_key = _compute_mac(secret, b"to-initiator", *hellos)
        if not self._initiator:
            send_key, receive_key = receive_key, send_key
        return LinkSession(
            peer_hello[1], peer_hello[2], send_key, receive_key, self._buffer
        )


def _compute_mac(
    secret: bytes, role: bytes, initiator_hello: list, acceptor_hello: list
) -> bytes:
    """Return a MAC over both nonces and identities, bound to a role."""
    transcript = msgpack.packb([role, initiator_hello[1:4], acceptor_hello[1:4]])
    return blake2b(
        transcript, key=_hash_secret(secret), digest_size=PROOF_BYTES
    ).digest()


def _hash_secret(secret: bytes) -> bytes:
    """Return the secret hashed to a size that BLAKE2b accepts as a key."""
    return blake2b(secret, digest_size=32).digest()


def _encode_message(fields: list) -> bytes:
    payload = msgpack.packb(fields)
    return LENGTH.pack(len(payload)) + payload


def _check_hello(fields: list, count: int) -> HandshakeError | None:
    if not fields or fields[0] != PROTOCOL_VERSION:
        version = fields[0] if fields else None
        return HandshakeError(
            f"protocol version {version!r}, expected {PROTOCOL_VERSION}"
        )
    if len(fields) < count:
        return HandshakeError(f"hello has {len(fields)} fields, expected {count}")
    types_match = (
        isinstance(fields[1], str)
        and isinstance(fields[2], str)
        and isinstance(fields[3], bytes)
        and len(fields[3]) == NONCE_BYTES
    )
    if not types_match:
        return HandshakeError("hello has fields of the wrong type")
    return None
