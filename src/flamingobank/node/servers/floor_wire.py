"""Convert floor lease messages to and from wire messages."""

from flamingobank.core import InstanceId, NodeId, ServiceName
from flamingobank.health import (
    DenialReason,
    FloorDenial,
    FloorGrant,
    FloorMessage,
    FloorRelease,
    FloorRequest,
    FloorRevocation,
    ServerSummary,
)
from flamingobank.wire import FloorNotice

REQUEST, GRANT, DENIAL, RELEASE, REVOCATION = range(1, 6)


def pack_floor_message(message: FloorMessage) -> FloorNotice:
    """Return the wire message that carries a floor lease message."""
    if isinstance(message, FloorRequest):
        return FloorNotice(REQUEST, _pack_request(message))
    if isinstance(message, FloorGrant):
        fields = [
            _pack_request(message.request),
            message.score,
            message.announced,
            message.pending,
            message.destination,
            _pack_summary(message.summary),
        ]
        return FloorNotice(GRANT, fields)
    if isinstance(message, FloorDenial):
        fields = [
            _pack_request(message.request),
            message.reason.value,
            message.destination,
            _pack_summary(message.summary),
        ]
        return FloorNotice(DENIAL, fields)
    fields = [message.service, message.instance, message.target]
    if isinstance(message, FloorRelease):
        fields += [message.holder, message.epoch, message.number]
        return FloorNotice(RELEASE, [*fields, message.destination])
    return FloorNotice(REVOCATION, [*fields, message.destination])


def unpack_floor_message(notice: FloorNotice) -> FloorMessage | None:
    """Return the floor lease message, or None if the fields are malformed."""
    try:
        return _unpack(notice.kind, notice.fields)
    except (ValueError, TypeError, IndexError):
        return None


def _unpack(kind: int, fields: list) -> FloorMessage | None:
    if kind == REQUEST:
        return _unpack_request(fields)
    if kind == GRANT:
        request, score, announced, pending, destination, summary = fields[:6]
        return FloorGrant(
            _unpack_request(request),
            float(score),
            int(announced),
            bool(pending),
            NodeId(str(destination)),
            _unpack_summary(summary),
        )
    if kind == DENIAL:
        request, reason, destination, summary = fields[:4]
        return FloorDenial(
            _unpack_request(request),
            DenialReason(reason),
            NodeId(str(destination)),
            _unpack_summary(summary),
        )
    names = [str(field) for field in fields[:3]]
    ids = (ServiceName(names[0]), InstanceId(names[1]), InstanceId(names[2]))
    if kind == RELEASE:
        holder, epoch, number, destination = fields[3:7]
        return FloorRelease(
            *ids,
            NodeId(str(holder)),
            int(epoch),
            int(number),
            NodeId(str(destination)),
        )
    if kind == REVOCATION:
        return FloorRevocation(*ids, NodeId(str(fields[3])))
    return None


def _pack_request(request: FloorRequest) -> list:
    return [
        request.service,
        request.instance,
        request.target,
        request.holder,
        request.epoch,
        request.number,
        request.score,
        request.destination,
        _pack_summary(request.summary),
    ]


def _unpack_request(fields: list) -> FloorRequest:
    service, instance, target, holder, epoch, number, score, destination = fields[:8]
    return FloorRequest(
        ServiceName(str(service)),
        InstanceId(str(instance)),
        InstanceId(str(target)),
        NodeId(str(holder)),
        int(epoch),
        int(number),
        float(score),
        NodeId(str(destination)),
        _unpack_summary(fields[8]),
    )


def _pack_summary(summary: ServerSummary) -> list:
    return [
        summary.n,
        summary.failures,
        summary.slow,
        summary.log_sum,
        summary.log_squares,
        summary.window_s,
    ]


def _unpack_summary(fields: list) -> ServerSummary:
    n, failures, slow, log_sum, log_squares, window_s = fields[:6]
    return ServerSummary(
        int(n),
        int(failures),
        int(slow),
        float(log_sum),
        float(log_squares),
        float(window_s),
    )
