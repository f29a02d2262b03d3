"""Stand in for a server with slots and gray failures."""

from flamingobank_standins.upstream.behavior import Faults, Mode
from flamingobank_standins.upstream.server import Upstream

__all__ = ["Faults", "Mode", "Upstream"]
