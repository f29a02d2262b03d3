"""Parse and render the keys of a section by their fields."""

import functools
from collections.abc import Mapping

from expression import Error, Ok, Result

from flamingobank.schema.errors import SchemaError, suggest_name
from flamingobank.schema.fields import FieldTable
from flamingobank.schema.values import ValueType

# Large manifests repeat most of their values; parsing each value once halves the
# time.
VALUE_CACHE_SIZE = 16_384


def parse_fields(
    fields: FieldTable, values: Mapping[str, str], source: str, section: str
) -> Result[dict[str, object], list[SchemaError]]:
    """Return the attributes of a section, or one error per invalid or missing key."""
    attributes = fields.make_defaults()
    errors: list[SchemaError] = []
    for key, text in values.items():
        error = _parse_key(fields, key, text, attributes)
        if error is None:
            continue
        text_or_repr = text if isinstance(text, str) else repr(text)
        seen = key if fields.find(key) is None else text_or_repr
        errors.append(SchemaError(source, section, key, seen, error))
    for field in fields.required:
        if field.key in values:
            continue
        expected = f"{field.value_type.expected} (the key is required)"
        errors.append(SchemaError(source, section, field.key, "no value", expected))
    return Error(errors) if errors else Ok(attributes)


def render_fields(
    fields: FieldTable, attributes: Mapping[str, object]
) -> dict[str, str]:
    """Return keys and texts in the order of the fields, leaving out defaults."""
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


@functools.lru_cache(maxsize=VALUE_CACHE_SIZE)
def _parse_value(value_type: ValueType, text: str) -> Result[object, str]:
    return value_type.parse(text)


def _parse_key(
    fields: FieldTable, key: str, text: str, attributes: dict[str, object]
) -> str | None:
    """Store the value and return None, or return what is expected."""
    field = fields.find(key)
    if field is None:
        return suggest_name(key, [field.label for field in fields])
    if not isinstance(text, str):
        return "text"
    result = _parse_value(field.value_type, text)
    if result.is_error():
        return result.error
    if not field.is_family:
        attributes[field.attribute] = result.ok
        return None
    name = _parse_value(field.key_type, key[len(field.key) :])
    if name.is_error():
        return f"the key {field.label} with NAME {name.error}"
    family = attributes[field.attribute]
    if name.ok in family:
        return f"{field.key}{name.ok} once"
    family[name.ok] = result.ok
    return None
