"""Dispatch with the decisions of the product; each server has its own home."""

import random
from collections import deque
from collections.abc import Callable

from benchmarks.detection_home import HomeState
from benchmarks.detection_world import (
    DEADLINE_S,
    EXPECTED_S,
    SERVERS,
    SLOTS,
    SimServer,
    draw_work_s,
)
from benchmarks.floor_network import SERVICE, FloorFleet
from flamingobank.balancing import (
    HomeCandidate,
    LoadProblem,
    SelectionCriteria,
    choose_home,
    choose_server,
    count_free_slots,
    read_home_load,
)
from flamingobank.core import InstanceId
from flamingobank.health import (
    SLOW_FACTOR,
    Condition,
    EjectionState,
    Finding,
    PathDecision,
    ServerSummary,
    Stage,
    WorkOutcome,
    derive_baseline,
    judge_outlier,
    judge_path,
)
from flamingobank.objects import Floor, FloorUnit

FLOOR = Floor(FloorUnit.SHARE, 0.7)
DOMAINS = ("kl-a", "kl-b", "pj-a", "shah-a")
ENTRIES = len(DOMAINS)
HOME_TRIES = 4
ASSESS_S = 0.02
WORK = SelectionCriteria(idempotent=True)


class ProductDispatch:
    """Chooses homes at 4 entries and assesses each server on its home."""

    def __init__(self, seed: int) -> None:
        self._rng = random.Random(f"{seed}/work")
        self._choice = random.Random(f"{seed}/choice")
        self.fleet = FloorFleet(
            SERVERS, SERVERS, FLOOR, random.Random(f"{seed}/network")
        )
        self.fleet.faults.delay_max_s = 0.001
        self.fleet.summarize = self._summarize
        self.fleet.on_decision = self._on_decision
        self.events = self.fleet.events
        self.servers = [
            SimServer(self.events, random.Random(f"{seed}/server/{index}"))
            for index in range(SERVERS)
        ]
        self.states = [HomeState(index, self.fleet) for index in range(SERVERS)]
        self._by_instance = {state.instance: state for state in self.states}
        self._by_node = {state.home.node_id: state for state in self.states}
        self._entries = [
            [
                HomeCandidate(state.home.node_id, DOMAINS[state.index % 4], SLOTS)
                for state in self.states
            ]
            for _ in range(ENTRIES)
        ]
        self._backlog: deque[tuple[float, float]] = deque()
        self._allowed = SERVERS - FLOOR.count_servers(SERVERS)
        self._requests = 0
        self.floor_breaches = 0
        self.failed = 0
        self.refused = 0
        self.moved = 0
        self.on_eject: Callable[[int], None] = lambda index: None
        for state in self.states:
            self._tick(state)
            self._announce(state)

    def offer(self) -> None:
        """Dispatch a request from a random entry, or queue it."""
        deadline = self.events.clock.now() + DEADLINE_S
        item = (draw_work_s(self._rng), deadline)
        if self._backlog or not self._dispatch(item):
            self._backlog.append(item)

    def _dispatch(self, item: tuple[float, float]) -> bool:
        entry = self._choice.randrange(ENTRIES)
        candidates = list(self._entries[entry])
        now = self.events.clock.now()
        for _ in range(HOME_TRIES):
            chosen = choose_home(candidates, DOMAINS[entry], self._choice, now)
            if chosen is None:
                return False
            state = self._by_node[chosen.node_id]
            if self._start(state, entry, item):
                return True
            self._report_load(state, entry)
            candidates = [home for home in candidates if home is not chosen]
        return False

    def _start(self, state: HomeState, entry: int, item: tuple[float, float]) -> bool:
        """Start work on a home's server; return False if it was refused and not run."""
        now = state.home.now()
        if state.suspended or state.home.paused:
            return False
        if choose_server([state.slots], WORK, self._choice, now) is None:
            return False
        server = self.servers[state.index]
        if not server.reachable:
            state.connect_failures += 1
            return False
        if not server.answers and state.unacknowledged_since is None:
            state.unacknowledged_since = now
        self._requests += 1
        request = self._requests
        state.slots.acquire_slot(now)
        state.health.start(request, EXPECTED_S, now)
        timeout = [None, False]

        def finish(failed: bool) -> None:
            if timeout[1]:
                return
            timeout[1] = True
            outcome = WorkOutcome.FAILED if failed else WorkOutcome.SUCCEEDED
            self._finish(state, entry, request, outcome, now)

        def expire() -> None:
            if timeout[1]:
                return
            timeout[1] = True
            server.cancel(timeout[0])
            self._finish(state, entry, request, WorkOutcome.TIMED_OUT, now)

        timeout[0] = server.start(item[0], finish)
        left_s = max(0.0, item[1] - self.events.clock.now())
        self.events.call_after(left_s, expire)
        return True

    def _finish(
        self,
        state: HomeState,
        entry: int,
        request: int,
        outcome: WorkOutcome,
        started_at: float,
    ) -> None:
        now = state.home.now()
        latency_s = now - started_at
        state.slots.release_slot()
        state.health.record(outcome, latency_s, now, request)
        slow = latency_s > SLOW_FACTOR * EXPECTED_S
        state.readmission.record(outcome, now, slow)
        self._report_load(state, entry)
        if outcome is not WorkOutcome.SUCCEEDED:
            self.failed += 1
            self._assess(state)
        self._apply_stage(state)
        self._drain_backlog()

    def _drain_backlog(self) -> None:
        now = self.events.clock.now()
        while self._backlog:
            if self._backlog[0][1] <= now:
                self._backlog.popleft()
                self.refused += 1
                continue
            if not self._dispatch(self._backlog[0]):
                return
            self._backlog.popleft()

    def _report_load(self, state: HomeState, entry: int) -> None:
        """Pass the home's load to an entry, as an answer does; ignore invalid loads."""
        now = self.events.clock.now()
        state.slots.in_doubt = state.health.is_undecided()
        free = count_free_slots([state.slots], state.home.now())
        delay_s, free = state.claimed_load or (0.0, 0 if state.suspended else free)
        load = read_home_load(delay_s, free, now)
        old = self._entries[entry][state.index]
        self._entries[entry][state.index] = HomeCandidate(
            old.node_id,
            old.failure_domain,
            old.slots,
            None if isinstance(load, LoadProblem) else load,
        )

    def _tick(self, state: HomeState) -> None:
        if not state.home.paused:
            self._judge_path(state)
            self._assess(state)
            self._apply_stage(state)
        self.events.call_after(ASSESS_S, lambda: self._tick(state))

    def _announce(self, state: HomeState) -> None:
        if self.servers[state.index].answers:
            state.announced_at = state.home.now()
        self.events.call_after(1.0, lambda: self._announce(state))

    def _judge_path(self, state: HomeState) -> None:
        """Suspend a server behind a broken path.

        The simulation counts moves to another home but does not make them.
        """
        server = self.servers[state.index]
        if state.health.is_undecided():
            self._probe(state)
        if server.answers:
            state.unacknowledged_since = None
        if server.reachable:
            state.connect_failures = 0
        decision = judge_path(state.get_path(), state.home.now())
        if decision is PathDecision.MOVE_HOME and not state.suspended:
            self.moved += 1
        suspended = decision is not PathDecision.KEEP
        if state.suspended and not suspended:
            state.health.reset(state.home.now())
        state.suspended = suspended

    def _probe(self, state: HomeState) -> None:
        """Send bytes, which the server's kernel acknowledges if the path works."""
        if not self.servers[state.index].answers and state.get_path().is_clear:
            state.unacknowledged_since = state.home.now()

    def _assess(self, state: HomeState) -> None:
        now = state.home.now()
        found = state.health.assess(state.baseline, now)
        if found.condition is not Condition.SUSPECT:
            return
        if state.suspended or state.readmission.get_stage(now) is not Stage.IN_SERVICE:
            return
        self._probe(state)
        if not state.get_path().is_clear:
            return
        summary = state.health.summarize(now)
        ledger = state.home.ledger
        state.home.send_all(
            ledger.request_leases(SERVICE, state.instance, found.score, now, summary)
        )

    def _summarize(self, request, now: float) -> ServerSummary:
        state = self._by_instance[request.target]
        return state.health.summarize(now, request.summary.window_s)

    def _on_decision(self, home, instance: InstanceId, decision) -> None:
        state = self._by_instance[instance]
        if decision.state is EjectionState.EJECTED:
            self._begin_ejection(state)
            return
        now = home.now()
        peers = home.ledger.get_summaries(instance)
        enough = decision.leases >= decision.required or len(peers) == SERVERS - 1
        if decision.state is EjectionState.NONE or not enough:
            return
        verdict = judge_outlier(state.health.summarize(now), peers)
        if verdict.finding is Finding.OUTLIER:
            judged = home.ledger.eject(instance, now)
            home.send_all(judged.sends)
            if judged.state is EjectionState.EJECTED:
                self._begin_ejection(state)
            return
        home.send_all(home.ledger.cancel(instance, now))
        if verdict.finding is Finding.COMMON_CAUSE:
            state.baseline = derive_baseline(peers, now)

    def _begin_ejection(self, state: HomeState) -> None:
        now = state.home.now()
        if state.readmission.get_stage(now) is not Stage.IN_SERVICE:
            return
        state.readmission.eject(now)
        self._apply_stage(state)
        self.floor_breaches += len(self.fleet.list_ejected()) > self._allowed
        self.on_eject(state.index)

    def _apply_stage(self, state: HomeState) -> None:
        """Apply the readmission stage; keep leases until the server is in service."""
        now = state.home.now()
        stage = state.readmission.get_stage(now)
        ledger = state.home.ledger
        if stage is not Stage.IN_SERVICE and not ledger.is_ejected(state.instance, now):
            state.readmission.reverse(now)
            stage = Stage.IN_SERVICE
        if stage is Stage.IN_SERVICE and state.slots.stage is Stage.TRICKLE:
            state.home.send_all(ledger.cancel(state.instance, now))
            state.health.reset(now)
        state.slots.stage = stage
        if stage is Stage.IN_SERVICE and ledger.is_ejected(state.instance, now):
            self._begin_ejection(state)
            return
        state.slots.share = state.readmission.share
