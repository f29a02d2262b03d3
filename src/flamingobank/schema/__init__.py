"""Derive parsing, validation, rendering and explanations from field tables."""

from flamingobank.schema.errors import SchemaError, Severity, suggest_name
from flamingobank.schema.explanations import (
    describe_default,
    explain_field,
    explain_fields,
)
from flamingobank.schema.fields import Field, FieldTable
from flamingobank.schema.ini import Section, read_sections, render_sections
from flamingobank.schema.parsing import parse_fields, render_fields
from flamingobank.schema.sections import (
    SectionSchema,
    parse_sections,
    render_section_values,
)
from flamingobank.schema.values import (
    AddressValue,
    Choice,
    FilePath,
    Integer,
    ListOf,
    Pattern,
    Share,
    ValueType,
    YesNo,
    render_share,
)

__all__ = [
    "AddressValue",
    "Choice",
    "Field",
    "FieldTable",
    "FilePath",
    "Integer",
    "ListOf",
    "Pattern",
    "SchemaError",
    "Section",
    "SectionSchema",
    "Severity",
    "Share",
    "ValueType",
    "YesNo",
    "describe_default",
    "explain_field",
    "explain_fields",
    "parse_fields",
    "parse_sections",
    "read_sections",
    "render_fields",
    "render_section_values",
    "render_sections",
    "render_share",
    "suggest_name",
]
