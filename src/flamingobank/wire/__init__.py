"""Speak the protocol between nodes."""

from flamingobank.wire.frames import FrameDecoder, FrameEncoder, FrameError
from flamingobank.wire.handshake import (
    Handshake,
    HandshakeError,
    HandshakeStep,
    Session,
)
from flamingobank.wire.messages import (
    AnswerHead,
    AnswerPart,
    AnswerState,
    Cancel,
    DirectoryUpdate,
    Message,
    MessageError,
    OpenRequest,
    Refused,
    RequestPart,
    Window,
    pack_message,
    register_message,
    unpack_message,
)

__all__ = [
    "AnswerHead",
    "AnswerPart",
    "AnswerState",
    "Cancel",
    "DirectoryUpdate",
    "FrameDecoder",
    "FrameEncoder",
    "FrameError",
    "Handshake",
    "HandshakeError",
    "HandshakeStep",
    "Message",
    "MessageError",
    "OpenRequest",
    "Refused",
    "RequestPart",
    "Session",
    "Window",
    "pack_message",
    "register_message",
    "unpack_message",
]
