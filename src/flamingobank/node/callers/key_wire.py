"""Convert the messages of keepers and replicas to wire messages and back."""

from dataclasses import astuple

from flamingobank.core import NodeId
from flamingobank.idempotency import (
    ChunkImage,
    HandoverAck,
    HandoverPart,
    KeeperMoved,
    KeeperName,
    KeyId,
    KeyRecord,
    KeyRecordAck,
    KeyState,
)
from flamingobank.wire import KeyNotice

RECORD, RECORD_ACK, HANDOVER_PART, HANDOVER_ACK, MOVED = range(1, 6)

KeyMessage = KeyRecord | KeyRecordAck | HandoverPart | HandoverAck | KeeperMoved


def pack_key_message(message: KeyMessage) -> KeyNotice:
    """Return the wire message that carries a message of a keeper or replica."""
    if isinstance(message, KeyRecord):
        fields = [
            _pack_id(message.key_id),
            message.version,
            message.state.value,
            message.generation,
            message.status,
            message.fingerprint,
            message.expiry_s,
            message.answer,
        ]
        return KeyNotice(RECORD, fields)
    if isinstance(message, KeyRecordAck):
        fields = [_pack_id(message.key_id), message.version, message.replica]
        return KeyNotice(RECORD_ACK, fields)
    if isinstance(message, HandoverPart):
        return KeyNotice(HANDOVER_PART, _pack_part(message))
    if isinstance(message, HandoverAck):
        return KeyNotice(HANDOVER_ACK, [list(message.sealed), list(message.successor)])
    keepers = [list(keeper) for keeper in message.keepers]
    return KeyNotice(MOVED, [keepers, list(message.successor)])


def unpack_key_message(notice: KeyNotice) -> KeyMessage | None:
    """Return the message, or None when its kind or its fields are invalid."""
    try:
        return _unpack(notice.kind, notice.fields)
    except (ValueError, TypeError, IndexError):
        return None


def _unpack(kind: int, fields: list) -> KeyMessage | None:
    if kind == RECORD:
        key_id, version, state, generation, status, fingerprint, expiry, answer = fields
        if answer is not None and not isinstance(answer, bytes):
            return None
        return KeyRecord(
            _unpack_id(key_id),
            int(version),
            KeyState(state),
            int(generation),
            int(status),
            int(fingerprint),
            int(expiry),
            answer,
        )
    if kind == RECORD_ACK:
        return KeyRecordAck(_unpack_id(fields[0]), int(fields[1]), NodeId(fields[2]))
    if kind == HANDOVER_PART:
        return _unpack_part(fields)
    if kind == HANDOVER_ACK:
        return HandoverAck(_unpack_name(fields[0]), _unpack_name(fields[1]))
    if kind == MOVED:
        keepers = tuple(_unpack_name(name) for name in fields[0])
        return KeeperMoved(keepers, _unpack_name(fields[1]))
    return None


def _pack_part(part: HandoverPart) -> list:
    return [
        list(part.sealed),
        list(part.successor),
        part.index,
        part.total,
        [list(keeper) for keeper in part.keepers],
        [[list(keeper), list(astuple(image))] for keeper, image in part.chunks],
        [[_pack_id(key_id), answer] for key_id, answer in part.answers],
    ]


def _unpack_part(fields: list) -> HandoverPart:
    sealed, successor, index, total, keepers, chunks, answers = fields
    return HandoverPart(
        _unpack_name(sealed),
        _unpack_name(successor),
        int(index),
        int(total),
        tuple(_unpack_name(keeper) for keeper in keepers),
        tuple((_unpack_name(keeper), ChunkImage(*image)) for keeper, image in chunks),
        tuple((_unpack_id(key_id), bytes(answer)) for key_id, answer in answers),
    )


def _pack_id(key_id: KeyId) -> list:
    return [key_id.keeper.node, key_id.keeper.epoch, key_id.sequence]


def _unpack_id(fields: list) -> KeyId:
    node, epoch, sequence = fields
    return KeyId(_unpack_name([node, epoch]), int(sequence))


def _unpack_name(fields: list) -> KeeperName:
    node, epoch = fields
    return KeeperName(NodeId(str(node)), str(epoch))
