"""Load and check settings."""

from flamingobank.settings.loading import (
    SettingsError,
    load_settings,
    parse_settings,
    read_text,
    render_settings,
    resolve_paths,
)
from flamingobank.settings.node import Address, CallerLimits, NodeSettings
from flamingobank.settings.schema import SETTINGS_SECTIONS
from flamingobank.settings.secrets import load_secrets, load_token

__all__ = [
    "SETTINGS_SECTIONS",
    "Address",
    "CallerLimits",
    "NodeSettings",
    "SettingsError",
    "load_secrets",
    "load_settings",
    "load_token",
    "parse_settings",
    "read_text",
    "render_settings",
    "resolve_paths",
]
