"""Stand in for a server with slots and gray failures."""

from flamingobank_standins.upstream.behavior import UpstreamFaults, UpstreamMode
from flamingobank_standins.upstream.server import Upstream

__all__ = ["UpstreamFaults", "UpstreamMode", "Upstream"]
