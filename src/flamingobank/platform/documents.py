"""Decode JSON in which single values may be unreadable.

Other writers may put any value into the store. A listing that contains one that the
JSON decoder rejects must still give the other entries.
"""

import json
import re

# Deeper than any value of the platform; the decoder's own limit is about 1000.
MAX_DEPTH = 64
# The decoder of the standard library rejects integers with more than 4300 digits.
MAX_INTEGER_CHARACTERS = 40
# Its repetitions are possessive: otherwise the matcher keeps a state for each character
# of a string, and tries a string without an end from each of its quotation marks.
_TOKEN = re.compile(r'"[^"\\]*+(?:\\.?[^"\\]*+)*+(?:"|\Z)|[\[{]++|[\]}]++', re.DOTALL)


def decode_document(data: bytes) -> object:
    """Decode JSON; raises ValueError if it is malformed.

    Values nested too deeply and integers that are too long become null, and bytes that
    are not UTF-8 become replacement characters.
    """
    try:
        return json.loads(data)
    except (ValueError, RecursionError):
        text = data.decode(errors="replace")
    return json.loads(_replace_deep_values(text), parse_int=_parse_integer)


def _replace_deep_values(text: str) -> str:
    """Return the text with null in place of each value below MAX_DEPTH."""
    kept = []
    depth = 0
    kept_to = 0
    for token in _TOKEN.finditer(text):
        run = token[0]
        if run[0] in "[{":
            if depth <= MAX_DEPTH < depth + len(run):
                kept.append(text[kept_to : token.start() + MAX_DEPTH - depth])
                kept.append("null")
            depth += len(run)
        elif run[0] in "]}":
            if depth > MAX_DEPTH >= depth - len(run):
                kept_to = token.start() + depth - MAX_DEPTH
            depth -= len(run)
    if depth <= MAX_DEPTH:
        kept.append(text[kept_to:])
    return "".join(kept)


def _parse_integer(text: str) -> int | None:
    return int(text) if len(text) <= MAX_INTEGER_CHARACTERS else None
