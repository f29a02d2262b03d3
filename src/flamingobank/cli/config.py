"""Load the settings of the command line."""

from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from expression import Error, Ok, Result

from flamingobank.objects import OBJECT_NAME
from flamingobank.schema import (
    AddressValue,
    Field,
    FieldTable,
    FilePath,
    Integer,
    ListOf,
    SchemaError,
    SectionSchema,
    parse_sections,
)
from flamingobank.settings import Address, read_text, resolve_paths

CONFIG_VARIABLE = "FLAMINGOBANK_CONFIG"


@dataclass(frozen=True, slots=True)
class OperatorConfig:
    """Hold the operator's name, the store and the nodes that commands use."""

    operator: str
    store: Address
    token_file: Path
    timeout_ms: int
    nodes: tuple[Address, ...]


CONFIG_SECTIONS: tuple[SectionSchema, ...] = (
    SectionSchema(
        "operator",
        "Names the person or job that changes objects.",
        FieldTable(
            Field(
                "name",
                "operator",
                OBJECT_NAME,
                "Name that the audit trail and conflicts show.",
                "name = anna.gruber",
            ),
        ),
    ),
    SectionSchema(
        "store",
        "Gives access to the platform's object API.",
        FieldTable(
            Field(
                "address",
                "store",
                AddressValue(),
                "Address of the store.",
                "address = 10.9.0.1:8400",
            ),
            Field(
                "token_file",
                "token_file",
                FilePath(),
                "File with the bearer token of the store.",
                "token_file = secrets/store-token",
            ),
        ),
    ),
    SectionSchema(
        "nodes",
        "Lists nodes that report the state of the fleet.",
        FieldTable(
            Field(
                "addresses",
                "nodes",
                ListOf(AddressValue()),
                "Operator addresses of a few nodes, tried in this order.",
                "addresses = 10.1.0.4:7300, 10.2.0.4:7300",
                default="",
            ),
            Field(
                "timeout_ms",
                "timeout_ms",
                Integer(1, 600_000, "milliseconds"),
                "Time limit of a call to a node.",
                "timeout_ms = 5000",
                default="5000",
            ),
        ),
    ),
)


def load_config(
    option: str | None, environ: Mapping[str, str]
) -> Result[OperatorConfig, list[SchemaError]]:
    """Read the file named by the option, or else by FLAMINGOBANK_CONFIG."""
    name = option or environ.get(CONFIG_VARIABLE)
    if not name:
        expected = f"the name of a file in --config or {CONFIG_VARIABLE}"
        return Error([SchemaError("command line", "", "", "no settings", expected)])
    path = Path(name)
    text = read_text(path)
    if text.is_error():
        return Error([text.error])
    return parse_config(text.ok, name, path.parent)


def parse_config(
    text: str, source: str, directory: Path = Path()
) -> Result[OperatorConfig, list[SchemaError]]:
    """Parse command line settings; file names are relative to the directory."""
    parsed = parse_sections(CONFIG_SECTIONS, text, source)
    if parsed.is_error():
        return Error(parsed.error)
    attributes: dict[str, object] = {}
    for values in parsed.ok.values():
        attributes.update(values)
    resolve_paths(attributes, directory)
    return Ok(OperatorConfig(**attributes))
