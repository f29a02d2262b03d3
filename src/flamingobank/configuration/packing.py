"""Pack an object into a short record that is the same on every node."""

import hashlib

import msgpack

from flamingobank.configuration.messages import ConfigurationChange, Spec
from flamingobank.core import Revision
from flamingobank.objects import ObjectKind

KIND_CODES: dict[ObjectKind, int] = {
    ObjectKind.SERVICE: 1,
    ObjectKind.ROUTE: 2,
    ObjectKind.WORKSPACE: 3,
}
_KINDS = {code: kind for kind, code in KIND_CODES.items()}
# A text is packed as its index, which is part of the snapshot format: append only.
_TEXTS = (
    "selector",
    "floor",
    "long_share",
    "target",
    "host",
    "path",
    "methods",
    "callers",
    "class",
    "idempotent",
    "expected_ms",
    "deadline_ms",
    "customer",
    "internal",
    "yes",
    "no",
)
_CODES = {text: code for code, text in enumerate(_TEXTS)}
# These prefixes of spec keys are packed as one control character each, which does not
# occur in the keys of specs in the store.
_PREFIXES = (("label.", "\x01"), ("header.", "\x02"))
_pack = msgpack.Packer(use_bin_type=True, autoreset=True).pack


def hash_key(kind: ObjectKind, name: str) -> int:
    """Return the 64-bit hash of an object; all nodes order records by it."""
    return hash_kind_code(KIND_CODES[kind], name)


def hash_kind_code(code: int, name: str) -> int:
    """Return the key hash of an object whose kind is given by its code."""
    return hash_bytes(f"{code}\x00{name}".encode())


def hash_bytes(data: bytes) -> int:
    """Return a 64-bit hash that is the same on every node."""
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest(), "big")


def pack_record(kind: ObjectKind, name: str, revision: Revision, spec: Spec) -> bytes:
    """Return the packed record of an object."""
    packed_spec = {
        _pack_key(key): _CODES.get(value, value) for key, value in spec.items()
    }
    return _pack([KIND_CODES[kind], name, revision, packed_spec])


def unpack_record(record: bytes) -> ConfigurationChange:
    """Return the object of a record; raise ValueError if it is malformed."""
    code, name, revision, packed_spec = unpack_fields(record)
    spec = {
        _unpack_key(key): value if type(value) is str else _TEXTS[value]
        for key, value in packed_spec.items()
    }
    return ConfigurationChange(_KINDS[code], name, revision, spec)


def unpack_fields(record: bytes) -> tuple[int, str, Revision, dict]:
    """Return kind code, name, revision and packed spec of a record.

    Raises ValueError if the record is malformed.
    """
    try:
        code, name, revision, packed_spec = msgpack.unpackb(
            record, strict_map_key=False
        )
        is_known = code in _KINDS
    except (TypeError, ValueError) as error:
        raise ValueError(f"malformed record: {error!r}") from error
    if not is_known or type(revision) is not int:
        raise ValueError(f"malformed record of {name!r:.60}")
    if (
        type(name) is not str
        or type(packed_spec) is not dict
        or not _is_packed_spec(packed_spec)
    ):
        raise ValueError(f"malformed record of {name!r:.60}")
    return code, name, revision, packed_spec


def _is_packed_spec(packed_spec: dict) -> bool:
    for pair in packed_spec.items():
        for text in pair:
            if type(text) is str:
                continue
            if type(text) is not int or not 0 <= text < len(_TEXTS):
                return False
    return True


def _pack_key(key: str) -> str | int:
    code = _CODES.get(key)
    if code is not None:
        return code
    for prefix, marker in _PREFIXES:
        if key.startswith(prefix):
            return marker + key[len(prefix) :]
    return key


def _unpack_key(key: str | int) -> str:
    if type(key) is int:
        return _TEXTS[key]
    for prefix, marker in _PREFIXES:
        if key.startswith(marker):
            return prefix + key[len(marker) :]
    return key
