"""Render refusals as HTTP answers."""

from flamingobank.core import Disposition, Refusal, RefusalCause

STATUS_BY_CAUSE = {
    RefusalCause.BAD_REQUEST: 400,
    RefusalCause.NO_ROUTE: 404,
    RefusalCause.KEY_INVALID: 400,
    RefusalCause.KEY_REQUIRED: 400,
    RefusalCause.LIMIT: 429,
}


def render_refusal(refusal: Refusal, request_id: str) -> bytes:
    """Return the HTTP answer for a refusal."""
    status = STATUS_BY_CAUSE.get(refusal.reason)
    if status is None:
        status = _choose_status(refusal)
    body = f"{refusal.reason.value}: {refusal.detail}\n".encode()
    lines = [
        f"HTTP/1.1 {status} -",
        "content-type: text/plain; charset=utf-8",
        f"content-length: {len(body)}",
        f"flamingobank-request-id: {request_id}",
        f"flamingobank-outcome: {refusal.disposition.value}",
        f"flamingobank-reason: {refusal.reason.value}",
    ]
    if status == 503:
        lines.append(f"retry-after: {max(1, round(refusal.retry_after_s))}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def _choose_status(refusal: Refusal) -> int:
    if refusal.disposition is Disposition.STILL_RUNNING:
        return 409
    if refusal.disposition is Disposition.NOT_RUN:
        return 503
    if refusal.reason is RefusalCause.DEADLINE:
        return 504
    return 502
