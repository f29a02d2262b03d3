"""Read and write INI text as sections of keys and values."""

import configparser
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from flamingobank.schema.errors import SchemaError


@dataclass(frozen=True, slots=True)
class Section:
    """Hold the title of one section and its values in the order of the file."""

    title: str
    values: Mapping[str, str] = field(default_factory=dict)


def read_sections(text: str, source: str) -> Result[list[Section], list[SchemaError]]:
    """Read INI text; keys keep their case and nothing is interpolated."""
    # configparser applies the keys of its default section to all others. No section can
    # have the empty title given here, so there is no default section.
    parser = configparser.ConfigParser(
        delimiters=("=",), interpolation=None, default_section="", strict=True
    )
    parser.optionxform = str
    try:
        parser.read_string(text, source)
    except configparser.Error as error:
        return Error([_make_schema_error(error, source)])
    return Ok([Section(title, dict(parser[title])) for title in parser.sections()])


def render_sections(sections: Iterable[Section]) -> str:
    """Write sections as INI text that reads back to the same sections."""
    blocks: list[str] = []
    for section in sections:
        lines = [f"[{section.title}]"]
        lines.extend(
            f"{key} = {value}".rstrip() for key, value in section.values.items()
        )
        blocks.append("\n".join(lines) + "\n")
    return "\n".join(blocks)


def _make_schema_error(error: configparser.Error, source: str) -> SchemaError:
    if isinstance(error, configparser.DuplicateSectionError):
        seen = f"a second section on line {error.lineno}"
        return SchemaError(source, error.section, "", seen, "each section once")
    if isinstance(error, configparser.DuplicateOptionError):
        seen = f"a second value on line {error.lineno}"
        return SchemaError(source, error.section, error.option, seen, "each key once")
    if isinstance(error, configparser.MissingSectionHeaderError):
        line = f"line {error.lineno}: {error.line.strip()}"
        return SchemaError(
            source, "", "", line, "a section header before the first key"
        )
    if isinstance(error, configparser.ParsingError) and error.errors:
        lineno, line = error.errors[0]
        return SchemaError(source, "", "", f"line {lineno}: {line}", "key = value")
    return SchemaError(source, "", "", str(error), "INI text")
