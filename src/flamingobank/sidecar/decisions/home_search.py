"""Remember which homes one request has asked, and decide where to queue."""

import enum
from dataclasses import dataclass

from flamingobank.core import NodeId
from flamingobank.sidecar.decisions.selection import HomeView, choose_full_home
from flamingobank.sidecar.links.messages import RefusalReason

# A final attempt waits for a server to recover for this share of its objective.
RECOVERY_WAIT_SHARE = 0.3
TOO_LIKELY_FAILING = 0.5
FULL_REASONS = (RefusalReason.BUSY, RefusalReason.SUSPECT, RefusalReason.CALLS_SPENT)


class NextStep(enum.Enum):
    """Say what a request without a grant does."""

    QUEUE = "queue"
    WAIT = "wait"
    GIVE_UP = "give-up"


@dataclass(frozen=True, slots=True)
class NextMove:
    """Hold the next step and, to queue, the home."""

    step: NextStep
    home: HomeView | None = None


class HomeSearch:
    """Hold the homes that turned a request down and those that ran it."""

    def __init__(self) -> None:
        self.ran_at: set[NodeId] = set()
        # A home with a working server turned the request down.
        self.found_full = False
        self._asked: set[NodeId] = set()
        # Homes whose server works but could not take the request.
        self._full: dict[NodeId, HomeView] = {}

    @property
    def excluded(self) -> set[NodeId]:
        """Return the homes that are not asked again."""
        return self._asked | self.ran_at

    def note_refusal(self, home: HomeView, reason: RefusalReason, forced: bool) -> None:
        """Learn that a home did not take the request."""
        self._asked.add(home.node)
        if reason in FULL_REASONS:
            self.found_full = True
        if reason in (RefusalReason.BUSY, RefusalReason.SUSPECT) and not forced:
            self._full[home.node] = home
            return
        self._full.pop(home.node, None)

    def decide_next(
        self, final_attempt: bool, waited_s: float, objective_s: float, now: float
    ) -> NextMove:
        """Decide what follows when every home has turned the request down."""
        homes = [home for home in self._full.values() if home.node not in self.ran_at]
        if not homes:
            return NextMove(NextStep.GIVE_UP)
        best = min(home.estimate_failing(now) for home in homes)
        may_wait = waited_s <= RECOVERY_WAIT_SHARE * objective_s
        if final_attempt and may_wait and best > TOO_LIKELY_FAILING:
            self._asked.clear()
            self._full.clear()
            return NextMove(NextStep.WAIT)
        home = choose_full_home(homes, now)
        del self._full[home.node]
        return NextMove(NextStep.QUEUE, home)
