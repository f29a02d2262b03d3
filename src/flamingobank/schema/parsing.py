"""Parse and render the keys of a section by their fields."""

from collections.abc import Mapping, Sequence

from expression import Error, Ok, Result

from flamingobank.schema.errors import SchemaError, suggest_name
from flamingobank.schema.fields import Field, find_field


def parse_fields(
    fields: Sequence[Field], values: Mapping[str, str], source: str, section: str
) -> Result[dict[str, object], list[SchemaError]]:
    """Return the attributes of a section, or one error for each wrong key."""
    attributes = _parse_defaults(fields)
    errors: list[SchemaError] = []
    for key, text in values.items():
        error = _parse_key(fields, key, text, attributes)
        if error is None:
            continue
        shown = text if isinstance(text, str) else repr(text)
        seen = key if find_field(fields, key) is None else shown
        errors.append(SchemaError(source, section, key, seen, error))
    for field in fields:
        if field.default is not None or field.is_family or field.key in values:
            continue
        expected = f"{field.value_type.expected} (the key is required)"
        errors.append(SchemaError(source, section, field.key, "no value", expected))
    return Error(errors) if errors else Ok(attributes)


def render_fields(
    fields: Sequence[Field], attributes: Mapping[str, object]
) -> dict[str, str]:
    """Return keys and texts in the order of the fields, without defaults."""
    values: dict[str, str] = {}
    for field in fields:
        value = attributes[field.attribute]
        if field.is_family:
            for name in sorted(value):
                values[field.key + name] = field.value_type.render(value[name])
            continue
        text = "" if value is None else field.value_type.render(value)
        if text != field.default:
            values[field.key] = text
    return values


def _parse_defaults(fields: Sequence[Field]) -> dict[str, object]:
    attributes: dict[str, object] = {}
    for field in fields:
        if field.is_family:
            attributes[field.attribute] = {}
            continue
        if field.default is None:
            continue
        result = field.value_type.parse(field.default)
        # Blank text that does not parse marks a value that may be absent.
        attributes[field.attribute] = result.ok if result.is_ok() else None
    return attributes


def _parse_key(
    fields: Sequence[Field], key: str, text: str, attributes: dict[str, object]
) -> str | None:
    """Store the value and return None, or return what is expected."""
    field = find_field(fields, key)
    if field is None:
        return suggest_name(key, [field.label for field in fields])
    if not isinstance(text, str):
        return "text"
    result = field.value_type.parse(text)
    if result.is_error():
        return result.error
    if not field.is_family:
        attributes[field.attribute] = result.ok
        return None
    name = field.key_type.parse(key[len(field.key) :])
    if name.is_error():
        return f"the key {field.label} with NAME {name.error}"
    family = attributes[field.attribute]
    if name.ok in family:
        return f"{field.key}{name.ok} once"
    family[name.ok] = result.ok
    return None
