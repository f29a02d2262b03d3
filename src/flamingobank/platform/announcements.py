"""Decode the calls that servers make to the control address."""

import json
import re

from expression import Error, Ok, Result

from flamingobank.core import InstanceId, ServiceName
from flamingobank.platform.settings import parse_address
from flamingobank.sidecar.fleet.server_state import Announcement, Departure, Lifecycle

_CALL_PATH = re.compile(
    r"^/flamingobank/instances/([^/]{1,200})/(heartbeat|deregister)$"
)
MAX_NAME_CHARACTERS = 250
MAX_SLOTS = 10_000
MAX_WARMUP_S = 3600


def decode_call(
    method: str, path: str, body: bytes
) -> Result[Announcement | Departure, str]:
    """Decode a server's call, or return a description of the error."""
    match = _CALL_PATH.match(path)
    if match is None or method != "POST":
        return Error(f"unknown call: {method} {path[:80]}")
    instance = InstanceId(match[1])
    try:
        document = json.loads(body) if body else {}
        if not isinstance(document, dict):
            raise ValueError(f"body is {type(document).__name__}, expected object")
        if match[2] == "deregister":
            return Ok(Departure(instance, _read_start_ms(document)))
        return Ok(_decode_announcement(instance, document))
    except (
        AttributeError,
        KeyError,
        OverflowError,
        RecursionError,
        TypeError,
        ValueError,
    ) as error:
        return Error(f"instance {instance[:40]}: {error!r}")


def _decode_announcement(instance: InstanceId, document: dict) -> Announcement:
    info, status = document["info"], document["status"]
    slots = _read_integer(info, "slots", 1, MAX_SLOTS)
    # Seconds from now until the server has warmed up, not a point in time.
    warmup_s = status.get("warmup-remaining-s", 0)
    if isinstance(warmup_s, bool) or not isinstance(warmup_s, int | float):
        raise ValueError(f"warmup-remaining-s is {warmup_s!r}, expected a number")
    if not 0 <= warmup_s <= MAX_WARMUP_S:
        raise ValueError(
            f"warmup-remaining-s is {warmup_s}, expected 0 to {MAX_WARMUP_S}"
        )
    # "ready" means that the server wants work, not that it is healthy.
    lifecycle = {"ready": Lifecycle.READY, "draining": Lifecycle.DRAINING}.get(
        status["state"]
    )
    if lifecycle is None:
        raise ValueError(f"state is {status['state']!r}, expected ready or draining")
    return Announcement(
        instance=instance,
        started_ms=_read_start_ms(document) or 0,
        sequence=_read_integer(status, "sequence", 0, 2**63),
        service=ServiceName(_read_string(info, "service")),
        address=parse_address(_read_string(document, "address")),
        # The version of the server's software.
        version=_read_string(info, "version"),
        slots=slots,
        lifecycle=lifecycle,
        warmup_remaining_s=float(warmup_s),
    )


def _read_start_ms(document: dict) -> int | None:
    """Return the server's start in Unix milliseconds, or None if it is not given."""
    if "born" not in document:
        return None
    return _read_integer(document, "born", 0, 2**63)


def _read_integer(document: dict, name: str, minimum: int, maximum: int) -> int:
    value = document[name]
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{name} is {value!r}, expected an integer")
    if not minimum <= value <= maximum:
        raise ValueError(f"{name} is {value}, expected {minimum} to {maximum}")
    return value


def _read_string(document: dict, name: str) -> str:
    value = document[name]
    if not isinstance(value, str) or not 0 < len(value) <= MAX_NAME_CHARACTERS:
        raise ValueError(f"{name} is {value!r:.80}, expected a short string")
    # Raises UnicodeEncodeError, a ValueError, for text that cannot be sent to peers.
    value.encode()
    return value
