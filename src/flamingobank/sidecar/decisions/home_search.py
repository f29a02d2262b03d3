"""Remember which homes one request has asked, and decide where to queue."""

import enum
from dataclasses import dataclass

from flamingobank.core import NodeId
from flamingobank.sidecar.decisions.selection import HomeView, choose_queue_home
from flamingobank.sidecar.links.messages import RefusalReason

# A final attempt waits for a server to recover for this share of its objective.
RECOVERY_WAIT_SHARE = 0.3
WAIT_MIN_FAILURE_PROBABILITY = 0.5
BUSY_REASONS = (RefusalReason.BUSY, RefusalReason.SUSPECT, RefusalReason.CALLS_SPENT)


class NextStep(enum.Enum):
    """Say what a request without a grant does."""

    QUEUE = "queue"
    WAIT = "wait"
    GIVE_UP = "give-up"


@dataclass(frozen=True, slots=True)
class NextDecision:
    """Hold the next step and, to queue, the home."""

    step: NextStep
    home: HomeView | None = None


class HomeSearch:
    """Hold the homes that turned a request down and those that ran it."""

    def __init__(self) -> None:
        self.ran_on: set[NodeId] = set()
        # A home with a working server turned the request down.
        self.found_busy = False
        self._asked: set[NodeId] = set()
        # Homes whose server works but could not take the request.
        self._queue_candidates: dict[NodeId, HomeView] = {}

    @property
    def excluded(self) -> set[NodeId]:
        """Return the homes that are not asked again."""
        return self._asked | self.ran_on

    def note_refusal(self, home: HomeView, reason: RefusalReason, forced: bool) -> None:
        """Learn that a home did not take the request."""
        self._asked.add(home.node)
        if reason in BUSY_REASONS:
            self.found_busy = True
        if reason in (RefusalReason.BUSY, RefusalReason.SUSPECT) and not forced:
            self._queue_candidates[home.node] = home
            return
        self._queue_candidates.pop(home.node, None)

    def decide_next(
        self, final_attempt: bool, waited_s: float, objective_s: float, now: float
    ) -> NextDecision:
        """Decide what follows when every home has turned the request down."""
        homes = [
            home
            for home in self._queue_candidates.values()
            if home.node not in self.ran_on
        ]
        if not homes:
            return NextDecision(NextStep.GIVE_UP)
        best = min(home.estimate_failure_probability(now) for home in homes)
        may_wait = waited_s <= RECOVERY_WAIT_SHARE * objective_s
        if final_attempt and may_wait and best > WAIT_MIN_FAILURE_PROBABILITY:
            self._asked.clear()
            self._queue_candidates.clear()
            return NextDecision(NextStep.WAIT)
        home = choose_queue_home(homes, now)
        del self._queue_candidates[home.node]
        return NextDecision(NextStep.QUEUE, home)
