"""Describe errors in values and where they are."""

import difflib
import enum
from collections.abc import Iterable
from dataclasses import dataclass


class Severity(enum.Enum):
    """Tell whether a finding prevents the use of the text."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class SchemaError:
    """Hold the place of an error, the value seen and what was expected."""

    source: str
    section: str
    key: str
    seen: str
    expected: str
    severity: Severity = Severity.ERROR

    def __str__(self) -> str:
        place = f"{self.source}: [{self.section}]" if self.section else self.source
        if self.key:
            place = f"{place} {self.key}"
        text = f"{place}: {self.severity.value}: "
        return f"{text}got {self.seen!r}, expected {self.expected}"


def suggest_name(name: str, known: Iterable[str]) -> str:
    """Return a phrase with the nearest known name, or with all known names."""
    choices = list(known)
    close_matches = difflib.get_close_matches(name, choices, n=1, cutoff=0.6)
    if close_matches:
        return f"{close_matches[0]!r} (the nearest known name)"
    return f"one of {', '.join(choices)}"
