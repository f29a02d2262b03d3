"""Simulate an upstream with slots and injected failures."""

from flamingobank_standins.upstream.behavior import UpstreamFaults, UpstreamMode
from flamingobank_standins.upstream.server import Upstream

__all__ = ["UpstreamFaults", "UpstreamMode", "Upstream"]
