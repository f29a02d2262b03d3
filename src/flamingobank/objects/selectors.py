"""Selectors, which choose objects by their labels."""

import enum
import re
from collections.abc import Mapping
from dataclasses import dataclass

from expression import Error, Ok, Result

LABEL_NAME = re.compile(r"[A-Za-z0-9](?:[A-Za-z0-9._/-]*[A-Za-z0-9])?")
_SET_TERM = re.compile(r"(?P<name>\S+)\s+(?P<operator>in|notin)\s*\((?P<values>.*)\)")
_TERM_END = re.compile(r",(?![^(]*\))")


class Operator(enum.Enum):
    """How a term compares a label."""

    EQUALS = "="
    NOT_EQUALS = "!="
    IN = "in"
    NOT_IN = "notin"
    EXISTS = "exists"
    NOT_EXISTS = "!"


@dataclass(frozen=True, slots=True)
class SelectorError:
    """A wrong term of a selector and what is expected instead."""

    term: str
    expected: str

    def __str__(self) -> str:
        return f"selector term {self.term!r}: expected {self.expected}"


@dataclass(frozen=True, slots=True)
class Term:
    """Condition on one label."""

    name: str
    operator: Operator
    values: tuple[str, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether the labels satisfy the term."""
        value = labels.get(self.name)
        if self.operator is Operator.EXISTS:
            return value is not None
        if self.operator is Operator.NOT_EXISTS:
            return value is None
        if self.operator in (Operator.EQUALS, Operator.IN):
            return value in self.values
        return value not in self.values

    def __str__(self) -> str:
        if self.operator is Operator.EXISTS:
            return self.name
        if self.operator is Operator.NOT_EXISTS:
            return f"!{self.name}"
        if self.operator in (Operator.IN, Operator.NOT_IN):
            return f"{self.name} {self.operator.value} ({', '.join(self.values)})"
        return f"{self.name}{self.operator.value}{self.values[0]}"


@dataclass(frozen=True, slots=True)
class Selector:
    """Conditions on labels that must all hold; a selector without terms matches all."""

    terms: tuple[Term, ...] = ()

    def matches(self, labels: Mapping[str, str]) -> bool:
        """Tell whether the labels satisfy every term."""
        return all(term.matches(labels) for term in self.terms)

    def __str__(self) -> str:
        return ", ".join(str(term) for term in self.terms)


def parse_selector(text: str) -> Result[Selector, SelectorError]:
    """Parse terms such as ``a=b, c!=d, e in (f, g), h notin (i), j, !k``."""
    terms: list[Term] = []
    if not text.strip():
        return Ok(Selector())
    for part in _TERM_END.split(text):
        term = _parse_term(part.strip())
        if isinstance(term, SelectorError):
            return Error(term)
        terms.append(term)
    return Ok(Selector(tuple(terms)))


def _parse_term(text: str) -> Term | SelectorError:
    set_term = _SET_TERM.fullmatch(text)
    if set_term:
        values = tuple(value.strip() for value in set_term["values"].split(","))
        return _check_term(
            Term(set_term["name"], Operator(set_term["operator"]), values), text
        )
    for operator in (Operator.NOT_EQUALS, Operator.EQUALS):
        name, found, value = text.partition(operator.value)
        if not found:
            continue
        return _check_term(Term(name.strip(), operator, (value.strip(),)), text)
    if text.startswith("!"):
        return _check_term(Term(text[1:].strip(), Operator.NOT_EXISTS), text)
    return _check_term(Term(text, Operator.EXISTS), text)


def _check_term(term: Term, text: str) -> Term | SelectorError:
    if not LABEL_NAME.fullmatch(term.name):
        return SelectorError(
            text, "a label name with =, !=, in (...), notin (...), or !name"
        )
    for value in term.values:
        if value and not LABEL_NAME.fullmatch(value):
            return SelectorError(text, f"a label value, not {value!r}")
    return term
