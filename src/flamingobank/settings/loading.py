"""Load the settings of a node from an INI file."""

from collections.abc import Mapping
from dataclasses import asdict
from pathlib import Path

from expression import Error, Ok, Result

from flamingobank.schema import (
    SchemaError,
    parse_sections,
    render_section_values,
)
from flamingobank.settings.node import CallerLimits, NodeSettings
from flamingobank.settings.schema import SETTINGS_SECTIONS

SettingsError = SchemaError


def load_settings(path: Path | str) -> Result[NodeSettings, list[SettingsError]]:
    """Read settings from a file.

    File names in the settings are relative to the directory of the settings file.
    """
    path = Path(path)
    text = read_text(path)
    if text.is_error():
        return Error([text.error])
    return parse_settings(text.ok, str(path), path.parent)


def parse_settings(
    text: str, source: str, directory: Path = Path()
) -> Result[NodeSettings, list[SettingsError]]:
    """Read settings from text; file names are relative to the directory."""
    parsed = parse_sections(SETTINGS_SECTIONS, text, source)
    if parsed.is_error():
        return Error(parsed.error)
    attributes: dict[str, object] = {}
    for name, values in parsed.ok.items():
        if name == "limits":
            attributes["limits"] = CallerLimits(**values)
            continue
        attributes.update(values)
    resolve_paths(attributes, directory)
    node = NodeSettings(**attributes)
    errors = _check_settings(node, source)
    return Error(errors) if errors else Ok(node)


def render_settings(node: NodeSettings) -> str:
    """Write settings as INI text; values equal to their default are left out."""
    values = {schema.name: {} for schema in SETTINGS_SECTIONS}
    for schema in SETTINGS_SECTIONS:
        if schema.name == "limits":
            values["limits"] = asdict(node.limits)
            continue
        for field in schema.fields:
            values[schema.name][field.attribute] = getattr(node, field.attribute)
    return render_section_values(SETTINGS_SECTIONS, values)


def read_text(path: Path) -> Result[str, SettingsError]:
    """Return the text of a file, or why it cannot be read."""
    try:
        return Ok(path.read_text(encoding="utf-8"))
    except OSError as error:
        seen = error.strerror or str(error)
    except UnicodeDecodeError as error:
        seen = f"byte {error.start} is not UTF-8"
    return Error(SettingsError(str(path), "", "", seen, "a readable text file"))


def resolve_paths(attributes: dict[str, object], directory: Path) -> None:
    """Resolve relative file names against a directory."""
    for name, value in attributes.items():
        if isinstance(value, Path):
            attributes[name] = directory / value


def _check_settings(node: NodeSettings, source: str) -> list[SettingsError]:
    errors = []
    if node.store is not None and node.store_token_file is None:
        expected = "the name of a file, because the store has an address"
        errors.append(
            SettingsError(source, "store", "token_file", "no value", expected)
        )
    errors.extend(_check_listeners(node, source))
    return errors


def _check_listeners(node: NodeSettings, source: str) -> list[SettingsError]:
    listeners: Mapping[str, tuple[str, int]] = {
        "callers": node.callers,
        "peers": node.peers,
        "servers": node.servers,
        "operators": node.operators,
    }
    key_by_port: dict[int, str] = {}
    errors = []
    for key, (host, port) in listeners.items():
        other_key = key_by_port.get(port)
        same_host = other_key is not None and (
            listeners[other_key][0] in (host, "0.0.0.0") or host == "0.0.0.0"
        )
        if port and same_host:
            expected = f"an address of its own; {other_key} already uses this one"
            errors.append(
                SettingsError(source, "listen", key, f"{host}:{port}", expected)
            )
        key_by_port.setdefault(port, key)
    return errors
