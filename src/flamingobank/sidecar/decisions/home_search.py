"""Track the homes that a request was offered to, and decide where to queue it."""

import enum
import math
from collections.abc import Callable
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
# Where homes state their backlog, the first refusals already tell where a request waits
# least. Asking more homes cost more than half of the objective of some requests.
MAX_BUSY_WITH_BACKLOG = 4
MAX_REFUSALS_WITH_BACKLOG = 10
# Homes that refused to queue the request, after which it is given up. They were those
# with the earliest completion, so others could not serve it in time either.
MAX_FORCED_WITH_BACKLOG = 3
# Homes whose machine may start no more repeated runs, after which a repeat is not
# offered to others. A short service spends the retries of all machines alike, and
# a repeat asked each of 30 homes in turn.
MAX_CALLS_SPENT_WITH_BACKLOG = 4
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


@dataclass(frozen=True, slots=True)
class SearchLimits:
    """Numbers of refusals that end the search for a free slot."""

    busy: int = MAX_BUSY_BEFORE_QUEUE
    refusals: int = MAX_REFUSALS_BEFORE_QUEUE
    # Refusals of forced offers for lack of room.
    forced: float = math.inf
    # Refusals of repeated runs for their calls.
    calls_spent: float = math.inf


SEARCH_WITH_BACKLOG = SearchLimits(
    MAX_BUSY_WITH_BACKLOG,
    MAX_REFUSALS_WITH_BACKLOG,
    MAX_FORCED_WITH_BACKLOG,
    MAX_CALLS_SPENT_WITH_BACKLOG,
)


class HomeSearch:
    """Record of the homes that refused one request or may have run it."""

    def __init__(
        self,
        limits: SearchLimits | None = None,
        choose: Callable[[list[HomeView], float], HomeView] = choose_queue_home,
    ) -> None:
        self._limits = limits or SearchLimits()
        # Chooses the home at which the request is queued.
        self._choose = choose
        self.ran_on: set[NodeId] = set()
        # Whether a home refused for one of BUSY_REASONS, so its server is reachable.
        self.found_busy = False
        self._refused_by: set[NodeId] = set()
        # Homes that refused as busy or suspect and may still queue the request.
        self._queue_candidates: dict[NodeId, HomeView] = {}
        # Refusals as busy or suspect, and as busy, since the search was last started.
        self._refusals = 0
        self._busy_refusals = 0
        self._forced_refusals = 0
        self._calls_spent_refusals = 0

    @property
    def is_exhausted(self) -> bool:
        """Return whether enough homes have refused to queue the request at one."""
        return (
            self._busy_refusals >= self._limits.busy
            or self._refusals >= self._limits.refusals
            or self._forced_refusals >= self._limits.forced
            or self._calls_spent_refusals >= self._limits.calls_spent
        )

    @property
    def queue_candidates(self) -> list[HomeView]:
        """Return the homes that refused the request and may still queue it."""
        return [
            home
            for home in self._queue_candidates.values()
            if home.node not in self.ran_on
        ]

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
        self._forced_refusals += forced and reason is RefusalReason.BUSY
        self._calls_spent_refusals += reason is RefusalReason.CALLS_SPENT

    def decide_next(
        self, final_attempt: bool, waited_s: float, objective_s: float, now: float
    ) -> NextDecision:
        """Return the next step after every home has refused the request.

        `waited_s` is the time since the request was read. A decision to wait makes all
        homes eligible again except those that ran the request.
        """
        homes = self.queue_candidates
        if not homes or self._forced_refusals >= self._limits.forced:
            return NextDecision(NextStep.GIVE_UP)
        best = min(home.estimate_failure_probability(now) for home in homes)
        may_wait = waited_s <= RECOVERY_WAIT_SHARE * objective_s
        if final_attempt and may_wait and best > WAIT_MIN_FAILURE_PROBABILITY:
            self._refused_by.clear()
            self._queue_candidates.clear()
            self._refusals = 0
            self._busy_refusals = 0
            return NextDecision(NextStep.WAIT)
        home = self._choose(homes, now)
        del self._queue_candidates[home.node]
        return NextDecision(NextStep.QUEUE, home)
