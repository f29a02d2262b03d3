"""Helpers that check and read the fields of messages by their declared types."""

import operator
import types
import typing
from collections.abc import Callable


def is_list_of_types(values: object, expected: tuple[type, ...]) -> bool:
    """Tell whether a value is a list whose items have exactly these types."""
    return type(values) is list and tuple(map(type, values)) == expected


def list_accepted_types(hint: object) -> tuple[type, ...]:
    """Return the types of values that a field with this annotation accepts."""
    if hint is float:
        return (float, int)
    if isinstance(hint, types.UnionType):
        return tuple(
            accepted
            for part in typing.get_args(hint)
            for accepted in list_accepted_types(part)
        )
    origin = typing.get_origin(hint)
    return (origin or hint,)


def make_fields_getter(names: list[str]) -> Callable[[object], tuple]:
    """Return a function that returns these fields of a message in this order."""
    if not names:
        return lambda message: ()
    if len(names) == 1:
        name = names[0]
        return lambda message: (getattr(message, name),)
    return operator.attrgetter(*names)
