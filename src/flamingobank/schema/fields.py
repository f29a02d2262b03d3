"""Describe the keys of a section."""

from collections.abc import Iterator
from dataclasses import dataclass

from flamingobank.schema.values import ValueType


@dataclass(frozen=True, slots=True)
class Field:
    """Describe a key: its type, its default as text, and its documentation.

    A field with a ``key_type`` is a family of keys: ``key`` is their common prefix
    and the rest of each key is checked by ``key_type``.
    """

    key: str
    attribute: str
    value_type: ValueType
    description: str
    example: str
    # None marks a required key.
    default: str | None = None
    key_type: ValueType | None = None

    @property
    def is_family(self) -> bool:
        """Tell whether the field stands for all keys with its prefix."""
        return self.key_type is not None

    @property
    def label(self) -> str:
        """Return the key as documentation shows it."""
        return f"{self.key}NAME" if self.is_family else self.key


class FieldTable:
    """Hold the fields of a section and look them up by key."""

    def __init__(self, *fields: Field) -> None:
        self._fields = fields
        self._fields_by_key = {
            field.key: field for field in self._fields if not field.is_family
        }
        self._families = tuple(field for field in self._fields if field.is_family)
        self._defaults = {
            field.attribute: _parse_default(field)
            for field in self._fields_by_key.values()
            if field.default is not None
        }
        self.required = tuple(
            field for field in self._fields_by_key.values() if field.default is None
        )

    def __iter__(self) -> Iterator[Field]:
        return iter(self._fields)

    def find(self, key: str) -> Field | None:
        """Return the field that a key belongs to, if any."""
        field = self._fields_by_key.get(key)
        if field is not None:
            return field
        for family in self._families:
            if key.startswith(family.key):
                return family
        return None

    def make_defaults(self) -> dict[str, object]:
        """Return the attributes of a section that contains no keys."""
        attributes = dict(self._defaults)
        for family in self._families:
            attributes[family.attribute] = {}
        return attributes


def _parse_default(field: Field) -> object:
    result = field.value_type.parse(field.default)
    # An optional field may have a default that does not parse, such as empty text; its
    # value is then None.
    return result.ok if result.is_ok() else None
