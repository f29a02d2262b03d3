"""Format and print text for terminals and pipes."""

import sys
from collections.abc import Mapping, Sequence
from typing import TextIO

from flamingobank.schema import Severity

_ANSI_COLOR_CODES = {"red": "31", "green": "32", "yellow": "33", "bold": "1"}


def use_color(stream: TextIO, environ: Mapping[str, str]) -> bool:
    """Tell whether a stream is a terminal and NO_COLOR is not set."""
    if environ.get("NO_COLOR") or environ.get("TERM") == "dumb":
        return False
    return stream.isatty()


def colorize(text: str, color: str, enabled: bool) -> str:
    """Return the text with terminal codes for a color, if colors are enabled."""
    if not enabled:
        return text
    return f"\x1b[{_ANSI_COLOR_CODES[color]}m{text}\x1b[0m"


def print_line(text: str, stream: TextIO | None = None) -> None:
    """Write one line and flush it, so that progress is visible through a pipe."""
    print(text, file=stream or sys.stdout, flush=True)


def format_table(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    """Return a table whose columns are as wide as their longest cell."""
    table_rows = [tuple(header), *(tuple(row) for row in rows)]
    widths = [
        max(len(line[index]) for line in table_rows) for index in range(len(header))
    ]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in table_rows
    )


def print_findings(findings, stream: TextIO, environ: Mapping[str, str]) -> bool:
    """Write one line for each finding and tell whether any is an error."""
    color = use_color(stream, environ)
    for finding in findings:
        color_name = "red" if finding.severity is Severity.ERROR else "yellow"
        print_line(colorize(str(finding), color_name, color), stream)
    return any(finding.severity is Severity.ERROR for finding in findings)
