"""Conversion between objects and specs.

A spec is the form in which the store holds an object: a mapping of keys to texts.
"""

from collections.abc import Mapping

from expression import Error, Ok, Result

from flamingobank.objects.kinds import AnyObject, ObjectKind, Route, get_kind
from flamingobank.objects.schema import KIND_SCHEMAS, OBJECT_NAME
from flamingobank.schema import SchemaError, parse_fields, render_fields

ObjectError = SchemaError


def parse_spec(
    kind: ObjectKind, name: str, spec: Mapping[str, str], source: str = "spec"
) -> Result[AnyObject, list[ObjectError]]:
    """Return the object of a spec, or one error for each wrong key."""
    schema = KIND_SCHEMAS[kind]
    section = f"{kind.value} {name}"
    errors: list[ObjectError] = []
    name_result = OBJECT_NAME.parse(name)
    if name_result.is_error():
        errors.append(ObjectError(source, section, "", name, name_result.error))
    result = parse_fields(schema.fields, spec, source, section)
    if result.is_error():
        return Error(errors + result.error)
    if errors:
        return Error(errors)
    item = schema.object_class(name=name, **result.ok)
    errors = _check_times(item, source, section)
    return Error(errors) if errors else Ok(item)


def render_spec(item: AnyObject) -> dict[str, str]:
    """Return the spec of an object without the keys that have their default value."""
    schema = KIND_SCHEMAS[get_kind(item)]
    attributes = {
        field.attribute: getattr(item, field.attribute) for field in schema.fields
    }
    return render_fields(schema.fields, attributes)


def validate_object(item: AnyObject, source: str = "object") -> list[ObjectError]:
    """Return the errors of an object that was created by code."""
    kind = get_kind(item)
    result = parse_spec(kind, item.name, render_spec(item), source)
    return result.error if result.is_error() else []


def _check_times(item: AnyObject, source: str, section: str) -> list[ObjectError]:
    if not isinstance(item, Route) or item.expected_ms <= item.deadline_ms:
        return []
    expected = f"at most the deadline_ms of the route, {item.deadline_ms}"
    seen = str(item.expected_ms)
    return [ObjectError(source, section, "expected_ms", seen, expected)]
