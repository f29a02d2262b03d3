"""Load and check settings."""

from flamingobank.settings.node import Address, CallerLimits, NodeSettings

__all__ = ["Address", "CallerLimits", "NodeSettings"]
