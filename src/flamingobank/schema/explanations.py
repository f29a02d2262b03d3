"""Format the descriptions of fields for operators."""

from collections.abc import Iterable

from flamingobank.schema.fields import Field


def explain_fields(title: str, description: str, fields: Iterable[Field]) -> str:
    """Return the title and description, followed by one line per field."""
    width = max((len(field.label) for field in fields), default=0)
    lines = [f"{title}: {description}", ""]
    for field in fields:
        lines.append(f"  {field.label:<{width}}  {field.description}")
    return "\n".join(lines)


def explain_field(title: str, field: Field) -> str:
    """Return the description, type, default and example of one field."""
    lines = [
        f"{title}.{field.label}: {field.description}",
        f"  expected: {field.value_type.expected}",
        f"  default:  {describe_default(field)}",
        f"  example:  {field.example}",
    ]
    return "\n".join(lines)


def describe_default(field: Field) -> str:
    """Return the default as documentation shows it."""
    if field.is_family:
        return "none"
    if field.default is None:
        return "required"
    return field.default or "empty"
