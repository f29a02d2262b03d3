"""Choose one of a home's servers for a request, by its exact slots in use."""

import enum
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass

from flamingobank.core import InstanceId, Invariant, check_invariant
from flamingobank.health import Stage

# Sending work to a server that has been draining for longer than this breaks the
# invariant DRAINED.
DRAIN_GRACE_S = 3.0
# A server that shed work gets none for this time, which doubles with each
# consecutive shed.
SHED_WAIT_S = 0.05
SHED_WAIT_MAX_S = 1.0
# Slow start: a cold server reaches its full number of slots this long after its first
# announcement, or earlier if it reports that it is warm.
RAMP_UP_S = 10.0
TRICKLE_SLOTS = 1


class SlotProblem(enum.Enum):
    """Reason why announced slots are not used."""

    NOT_A_NUMBER = "not-a-number"
    OUT_OF_RANGE = "out-of-range"


@dataclass(frozen=True, slots=True)
class SelectionCriteria:
    """Properties of a request that the choice of a server depends on."""

    idempotent: bool
    # Servers that already failed this request.
    tried: frozenset[InstanceId] = frozenset()


class ServerSlots:
    """Slots of one server, counted on its home; only the home changes them."""

    __slots__ = (
        "_shed_wait_s",
        "draining_since",
        "in_doubt",
        "in_use",
        "instance",
        "limit",
        "ready_at",
        "share",
        "shed_until",
        "slots",
        "stage",
        "warm",
    )

    def __init__(
        self, instance: InstanceId, slots: int, now: float, warm: float = 0.0
    ) -> None:
        self.instance = instance
        self.in_use = 0
        # limit is the announced number of slots; slots stays above it while work that
        # started under a higher limit ends.
        self.limit = self.slots = 1
        self.set_slots(slots)
        self.ready_at = now
        self.warm = warm if 0.0 <= warm <= 1.0 else 0.0
        self.draining_since: float | None = None
        self.shed_until = -math.inf
        self._shed_wait_s = SHED_WAIT_S
        # Copied from Readmission: the stage, and the fraction of its usual work that
        # the server gets during a trickle.
        self.stage = Stage.IN_SERVICE
        self.share = 1.0
        # Copied from ServerHealth.is_undecided(): a few more outcomes may decide
        # whether the server is failing.
        self.in_doubt = False

    def acquire_slot(self, now: float) -> None:
        """Take a slot for work that is sent now."""
        draining_s = 0.0
        if self.draining_since is not None:
            draining_s = now - self.draining_since
        check_invariant(
            Invariant.DRAINED,
            draining_s <= DRAIN_GRACE_S,
            instance=self.instance,
            draining_s=draining_s,
        )
        self.in_use += 1
        self._check_slots()

    def release_slot(self) -> None:
        """Release the slot of work that ended."""
        self.in_use -= 1
        self.slots = max(self.limit, self.in_use)
        self._check_slots()

    def note_shed(self, now: float) -> None:
        """Record that the server shed work, which does not count as a failure."""
        self.shed_until = now + self._shed_wait_s
        self._shed_wait_s = min(2.0 * self._shed_wait_s, SHED_WAIT_MAX_S)

    def note_success(self) -> None:
        """Record that the server ran work; this resets the wait after a shed."""
        self._shed_wait_s = SHED_WAIT_S

    def drain(self, now: float) -> None:
        """Start to drain the server; repeated calls have no effect."""
        if self.draining_since is None:
            self.draining_since = now

    def return_to_service(self) -> None:
        """Cancel the drain of the server."""
        self.draining_since = None

    def set_slots(self, slots: float) -> SlotProblem | None:
        """Change the limit; running work above a lower limit is not interrupted.

        New work waits until the slots in use are below the limit. A value that is
        rejected changes nothing.
        """
        if not isinstance(slots, int | float) or not math.isfinite(slots):
            return SlotProblem.NOT_A_NUMBER
        if not 1 <= slots <= 4096:
            return SlotProblem.OUT_OF_RANGE
        self.limit = int(slots)
        self.slots = max(self.limit, self.in_use)
        return None

    def count_usable(self, now: float) -> int:
        """Return how many slots may be in use now, including those already in use."""
        if self.stage is Stage.EJECTED or self.draining_since is not None:
            return 0
        if now < self.shed_until:
            return 0
        if self.stage is Stage.TRICKLE:
            return max(TRICKLE_SLOTS, int(self.share * self.limit))
        # A time before ready_at comes from a clock that jumped back.
        elapsed_share = min(max((now - self.ready_at) / RAMP_UP_S, 0.0), 1.0)
        ready_share = max(elapsed_share, self.warm)
        return max(1, math.ceil(ready_share * self.limit))

    def _check_slots(self) -> None:
        check_invariant(
            Invariant.SLOTS,
            0 <= self.in_use <= self.slots,
            instance=self.instance,
            in_use=self.in_use,
            slots=self.slots,
        )


def choose_server(
    servers: Sequence[ServerSlots],
    work: SelectionCriteria,
    rng: random.Random,
    now: float,
) -> InstanceId | None:
    """Choose the server with the smallest share of its usable slots in use.

    None means that no server may start work now; the caller queues or refuses it.
    """
    best: list[ServerSlots] = []
    best_rank = (3, math.inf)
    for server in servers:
        usable = server.count_usable(now)
        if server.in_use >= usable:
            continue
        tried = server.instance in work.tried
        if server.stage is Stage.TRICKLE:
            if not tried and work.idempotent and _draw_trickle(server, servers, rng):
                return server.instance
            continue
        rank = _rank_server(server, work, usable)
        if rank < best_rank:
            best_rank = rank
            best = [server]
        elif rank == best_rank:
            best.append(server)
    if not best:
        return None
    return best[0].instance if len(best) == 1 else rng.choice(best).instance


def count_free_slots(servers: Sequence[ServerSlots], now: float) -> int:
    """Return the number of free slots that a home should report to entries.

    If a server in doubt has a free slot, all its usable slots count as free, so that
    it gets the requests whose outcomes decide whether it is faulty.
    """
    free = 0
    for server in servers:
        usable = server.count_usable(now)
        if server.in_use < usable:
            free += usable if server.in_doubt else usable - server.in_use
    return free


def _rank_server(
    server: ServerSlots, work: SelectionCriteria, usable: int
) -> tuple[int, float]:
    """Return a sort key; servers that already failed the request come last.

    A server in doubt ranks as idle for idempotent work, and after the other servers
    for work that is not idempotent.
    """
    if server.instance in work.tried:
        return (2, server.in_use / usable)
    if not server.in_doubt:
        return (0, server.in_use / usable)
    return (0, 0.0) if work.idempotent else (1, server.in_use / usable)


def _draw_trickle(
    server: ServerSlots, servers: Sequence[ServerSlots], rng: random.Random
) -> bool:
    """Draw at random whether this request is in the server's reduced share."""
    total = sum(other.limit for other in servers)
    return rng.random() < server.share * server.limit / total
