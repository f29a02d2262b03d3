"""Track the homes that a request was offered to, and decide where to queue it."""

import enum
from dataclasses import dataclass

from flamingobank.core import NodeId
from flamingobank.sidecar.decisions.selection import HomeView, choose_queue_home
from flamingobank.sidecar.links.messages import RefusalReason

# A request whose next attempt is final and that all homes have refused waits for a
# server to recover, until this share of its latency objective has passed.
RECOVERY_WAIT_SHARE = 0.3
# The request waits only if the server of every home that could queue it has a higher
# failure probability than this; otherwise it is queued.
WAIT_MIN_FAILURE_PROBABILITY = 0.5
# A request is queued at the best home so far after this many homes were busy, or this
# many busy or suspect. Asking all homes of a large service takes longer than most waits
# in a queue, and under overload each of these offers costs two processes time in vain.
# A suspect server may only have had no work lately, so the search for a proven one goes
# on for longer.
MAX_BUSY_BEFORE_QUEUE = 8
MAX_REFUSALS_BEFORE_QUEUE = 24
BUSY_REASONS = (RefusalReason.BUSY, RefusalReason.SUSPECT, RefusalReason.CALLS_SPENT)


class NextStep(enum.Enum):
    """What a request does after every home has refused it."""

    QUEUE = "queue"
    WAIT = "wait"
    GIVE_UP = "give-up"


@dataclass(frozen=True, slots=True)
class NextDecision:
    """Next step; `home` is set for QUEUE only."""

    step: NextStep
    home: HomeView | None = None


class HomeSearch:
    """Record of the homes that refused one request or may have run it."""

    def __init__(self) -> None:
        self.ran_on: set[NodeId] = set()
        # Whether a home refused for one of BUSY_REASONS, so its server is reachable.
        self.found_busy = False
        self._refused_by: set[NodeId] = set()
        # Homes that refused as busy or suspect and may still queue the request.
        self._queue_candidates: dict[NodeId, HomeView] = {}
        # Refusals as busy or suspect, and as busy, since the search was last started.
        self._refusals = 0
        self._busy_refusals = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether enough homes have refused to queue the request at one."""
        return (
            self._busy_refusals >= MAX_BUSY_BEFORE_QUEUE
            or self._refusals >= MAX_REFUSALS_BEFORE_QUEUE
        )

    @property
    def excluded(self) -> set[NodeId]:
        """Return the homes to which the request is not offered again."""
        return self._refused_by | self.ran_on

    def note_refusal(self, home: HomeView, reason: RefusalReason, forced: bool) -> None:
        """Record that a home refused an offer of the request.

        A home that was busy or suspect may be asked later to queue the request, but
        not after it refused a forced offer, as it could have queued that one.
        """
        self._refused_by.add(home.node)
        if reason in BUSY_REASONS:
            self.found_busy = True
        if reason in (RefusalReason.BUSY, RefusalReason.SUSPECT) and not forced:
            self._queue_candidates[home.node] = home
            self._refusals += 1
            self._busy_refusals += reason is RefusalReason.BUSY
            return
        self._queue_candidates.pop(home.node, None)

    def decide_next(
        self, final_attempt: bool, waited_s: float, objective_s: float, now: float
    ) -> NextDecision:
        """Return the next step after every home has refused the request.

        `waited_s` is the time since the request was read. A decision to wait makes all
        homes eligible again except those that ran the request.
        """
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
            self._refused_by.clear()
            self._queue_candidates.clear()
            self._refusals = 0
            self._busy_refusals = 0
            return NextDecision(NextStep.WAIT)
        home = choose_queue_home(homes, now)
        del self._queue_candidates[home.node]
        return NextDecision(NextStep.QUEUE, home)
