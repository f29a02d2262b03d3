"""Parse INI text with a fixed set of sections."""

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from expression import Error, Ok, Result

from flamingobank.schema.errors import SchemaError, suggest_name
from flamingobank.schema.fields import FieldTable
from flamingobank.schema.ini import Section, read_sections, render_sections
from flamingobank.schema.parsing import parse_fields, render_fields


@dataclass(frozen=True, slots=True)
class SectionSchema:
    """Describe a section of an INI file by its fields."""

    name: str
    description: str
    fields: FieldTable


def parse_sections(
    schemas: Sequence[SectionSchema], text: str, source: str
) -> Result[dict[str, dict[str, object]], list[SchemaError]]:
    """Return the attributes of each section by its name, or all errors."""
    sections = read_sections(text, source)
    if sections.is_error():
        return Error(sections.error)
    values_by_title = {section.title: section.values for section in sections.ok}
    names = [schema.name for schema in schemas]
    errors = [
        SchemaError(
            source, title, "", title, f"the section {suggest_name(title, names)}"
        )
        for title in values_by_title
        if title not in names
    ]
    parsed: dict[str, dict[str, object]] = {}
    for schema in schemas:
        values = values_by_title.get(schema.name, {})
        result = parse_fields(schema.fields, values, source, schema.name)
        if result.is_error():
            errors.extend(result.error)
            continue
        parsed[schema.name] = result.ok
    return Error(errors) if errors else Ok(parsed)


def render_section_values(
    schemas: Sequence[SectionSchema], parsed: Mapping[str, Mapping[str, object]]
) -> str:
    """Write the attributes of each section; sections without a value are left out."""
    sections = []
    for schema in schemas:
        values = render_fields(schema.fields, parsed[schema.name])
        if values:
            sections.append(Section(schema.name, values))
    return render_sections(sections)
