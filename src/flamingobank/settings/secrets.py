"""Load secrets from files, so that settings and logs never contain them."""

import re
import stat
from pathlib import Path

from expression import Error, Ok, Result

from flamingobank.settings.loading import SettingsError, read_text

MAX_SECRETS = 2
# A shorter secret could be found by brute force against a single handshake.
MIN_SECRET_CHARACTERS = 16
_TOKEN_PATTERN = re.compile(r"[A-Za-z0-9._~+/=-]+")


def load_secrets(path: Path) -> Result[tuple[bytes, ...], SettingsError]:
    """Return one secret, or two during a rotation: the new one, then the old one.

    A secret is one line. Errors never show any part of a secret.
    """
    lines = _read_lines(path)
    if lines.is_error():
        return Error(lines.error)
    if not 1 <= len(lines.ok) <= MAX_SECRETS:
        seen = f"{len(lines.ok)} lines"
        return Error(_make_error(path, seen, "one or two lines with one secret each"))
    for number, line in enumerate(lines.ok, start=1):
        if len(line) < MIN_SECRET_CHARACTERS:
            seen = f"{len(line)} characters on line {number}"
            expected = f"at least {MIN_SECRET_CHARACTERS} characters"
            return Error(_make_error(path, seen, expected))
    if len(set(lines.ok)) != len(lines.ok):
        return Error(_make_error(path, "the same secret twice", "two secrets"))
    return Ok(tuple(line.encode() for line in lines.ok))


def load_token(path: Path) -> Result[str, SettingsError]:
    """Return the bearer token from a file with a single line."""
    lines = _read_lines(path)
    if lines.is_error():
        return Error(lines.error)
    if len(lines.ok) != 1:
        return Error(_make_error(path, f"{len(lines.ok)} lines", "one line"))
    if not _TOKEN_PATTERN.fullmatch(lines.ok[0]):
        expected = "letters, digits and . _ ~ + / = -"
        return Error(_make_error(path, "other characters in the token", expected))
    return Ok(lines.ok[0])


def _read_lines(path: Path) -> Result[list[str], SettingsError]:
    text = read_text(path)
    if text.is_error():
        return Error(text.error)
    # Any user who can write the file could add a secret of their own.
    if path.stat().st_mode & (stat.S_IWGRP | stat.S_IWOTH):
        seen = f"mode {stat.S_IMODE(path.stat().st_mode):03o}"
        return Error(_make_error(path, seen, "a file that only its owner can write"))
    lines = [line.strip() for line in text.ok.splitlines()]
    return Ok([line for line in lines if line])


def _make_error(path: Path, seen: str, expected: str) -> SettingsError:
    return SettingsError(str(path), "", "", seen, expected)
