"""Describe one key of a section."""

from collections.abc import Sequence
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


def find_field(fields: Sequence[Field], key: str) -> Field | None:
    """Return the field that a key belongs to, if any."""
    for field in fields:
        if field.is_family and key.startswith(field.key):
            return field
        if not field.is_family and key == field.key:
            return field
    return None
