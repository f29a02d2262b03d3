"""State of a home in the detection benchmark."""

from benchmarks.detection_world import SLOTS
from benchmarks.floor_network import FloorFleet
from flamingobank.balancing import ServerSlots
from flamingobank.core import InstanceId
from flamingobank.health import (
    DEFAULT_BASELINE,
    PathEvidence,
    Readmission,
    ServerHealth,
)


class HomeState:
    """What a home knows of its server."""

    def __init__(self, index: int, fleet: FloorFleet) -> None:
        self.index = index
        self.instance = InstanceId(f"server-{index}")
        self.home = fleet.homes[fleet.home_of[self.instance]]
        now = self.home.now()
        self.health = ServerHealth(now)
        self.readmission = Readmission(now)
        self.slots = ServerSlots(self.instance, SLOTS, now, warm=1.0)
        self.baseline = DEFAULT_BASELINE
        self.announced_at = now
        self.connect_failures = 0
        self.unacknowledged_since: float | None = None
        self.suspended = False
        # Load that the server reports if it is set to misreport its load.
        self.claimed_load: tuple[float, float] | None = None

    def get_path(self) -> PathEvidence:
        """Return the evidence about the path to the server."""
        return PathEvidence(
            self.announced_at, self.connect_failures, self.unacknowledged_since
        )
