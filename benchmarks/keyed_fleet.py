"""Simulate nodes, callers and faults for keyed requests in virtual time."""

import abc
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

from benchmarks.events import EventQueue

NODES = 12
DOMAINS = ("kl-a", "kl-b", "pj-a", "shah-a")
DETECTION_DELAY_S = 3.0
ATTEMPT_TIMEOUT_S = 2.0
MAX_ATTEMPTS = 8
RUN_S = 0.05
TICK_S = 0.05
SHED_RATIO = 0.02
BROKEN_RATIO = 0.02


@dataclass(slots=True)
class KeyedCall:
    """A keyed request of a caller with its attempts, executions and answers.

    ``chosen`` tells that the caller chose the key. ``contradicted`` tells that an
    answer was "not-run" although the request had run.
    """

    number: int
    chosen: bool
    key: str = ""
    attempts: int = 0
    executions: int = 0
    answers: list[str] = field(default_factory=list)
    done: bool = False
    contradicted: bool = False


class KeyedNode:
    """One process of a node."""

    def __init__(self, name: str, domain: str, epoch: int) -> None:
        self.name = name
        self.domain = domain
        self.epoch = epoch
        self.alive = True
        self.unreachable_since: float | None = None
        self.inbox: list[Callable[[], None]] = []
        self.paused = False


class KeyedFleet(abc.ABC):
    """Callers and nodes; nodes are killed, paused, disconnected and replaced."""

    def __init__(self, seed: int, duration_s: float, rate_per_s: float) -> None:
        self.events = EventQueue()
        self.rng = random.Random(seed)
        self.fault_rng = random.Random(seed + 1)
        self.duration_s = duration_s
        self.calls: list[KeyedCall] = []
        self.faults: Counter[str] = Counter()
        self.epochs = 0
        self.nodes: dict[str, KeyedNode] = {}
        self.cut_links: dict[tuple[str, str], float] = {}
        for index in range(NODES):
            name = f"n{index}"
            self.nodes[name] = self.start_node(name, DOMAINS[index % len(DOMAINS)])
        for index in range(int(duration_s * rate_per_s)):
            self.events.call_at(index / rate_per_s, partial(self._begin, index))
        for index in range(int(duration_s / 2)):
            self.events.call_at(5.0 + index * 2, self._inject_fault)

    @abc.abstractmethod
    def make_node(self, name: str, domain: str, epoch: int) -> KeyedNode:
        """Return a node without records."""

    @abc.abstractmethod
    def assign_key(self, call: KeyedCall) -> bool:
        """Assign a key to the request; return False if no node issues one now."""

    @abc.abstractmethod
    def handle_request(
        self, node: KeyedNode, call: KeyedCall, answer: Callable[[str], None]
    ) -> None:
        """Handle a request at its entry node; call answer with the outcome."""

    @abc.abstractmethod
    def shut_down(self, node: KeyedNode) -> None:
        """Shut a node down gracefully."""

    def tick_node(self, node: KeyedNode) -> None:
        """Run the timers of a node; called each TICK_S."""
        return None

    @property
    def now(self) -> float:
        """Return the virtual time in seconds."""
        return self.events.clock.now()

    def start_node(self, name: str, domain: str) -> KeyedNode:
        """Start a node and schedule its ticks."""
        self.epochs += 1
        node = self.make_node(name, domain, self.epochs)
        self.events.call_after(TICK_S, partial(self._tick, node))
        return node

    def sees_alive(self, observer: KeyedNode, name: str) -> bool:
        """Tell whether a node considers another one alive."""
        unreachable_since = self.nodes[name].unreachable_since
        if (
            unreachable_since is not None
            and self.now - unreachable_since >= DETECTION_DELAY_S
        ):
            return False
        cut_since = self.cut_links.get((name, observer.name))
        return cut_since is None or self.now - cut_since < DETECTION_DELAY_S

    def send(
        self, sender: KeyedNode, name: str, action: Callable[[KeyedNode], None]
    ) -> None:
        """Deliver a message to a node's current process after a random delay.

        It is lost if the link is cut, the sender is dead or the process ends before.
        """
        target = self.nodes[name]
        if (sender.name, name) in self.cut_links or not sender.alive:
            return
        delay_s = 0.001 + self.rng.expovariate(1000.0)
        if self.rng.random() < 0.01:
            delay_s += self.rng.random()
        deliver = partial(self.run_on, target, partial(action, target))
        self.events.call_after(delay_s, deliver)

    def run_on(self, node: KeyedNode, action: Callable[[], None]) -> None:
        """Run an action on a process: not if killed, after the pause if paused."""
        if not node.alive:
            return
        if node.paused:
            node.inbox.append(action)
            return
        action()

    def run_upstream(
        self, node: KeyedNode, call: KeyedCall, end: Callable[[str], None]
    ) -> None:
        """Run a request on a server; the node gets the outcome unless it was killed."""
        chance = self.rng.random()
        outcome = "done"
        if chance < SHED_RATIO:
            outcome = "not-run"
        elif chance < SHED_RATIO + BROKEN_RATIO:
            outcome = "unknown"
        if outcome == "done" or (outcome == "unknown" and self.rng.random() < 0.5):
            call.executions += 1
        finish = partial(self.run_on, node, partial(end, outcome))
        self.events.call_after(RUN_S, finish)

    def run(self) -> dict[str, object]:
        """Run the simulation and return its figures."""
        self.events.run_until(self.duration_s + 60.0)
        counts: Counter[str] = Counter()
        for call in self.calls:
            counts[self._classify(call)] += 1
        total = len(self.calls)
        issued = [call for call in self.calls if not call.chosen]
        return {
            "requests": total,
            "attempts": sum(call.attempts for call in self.calls),
            "faults": dict(self.faults),
            "duplicates": sum(call.executions > 1 for call in self.calls),
            "false_not_run": counts["false"]
            + sum(call.contradicted and not call.chosen for call in self.calls),
            "refused_after_run_chosen": sum(
                call.contradicted and call.chosen for call in self.calls
            ),
            "done_ratio": round(counts["done"] / total, 5),
            "done_ratio_issued": round(
                sum(call.done for call in issued) / len(issued), 5
            ),
            "unknown_ratio": round(counts["unknown"] / total, 5),
            "refused_ratio": round((counts["refused"] + counts["false"]) / total, 5),
        }

    def _classify(self, call: KeyedCall) -> str:
        if call.done:
            return "done"
        if any(answer != "not-run" for answer in call.answers):
            return "unknown"
        return "false" if call.executions else "refused"

    def _tick(self, node: KeyedNode) -> None:
        if not node.alive:
            return
        if not node.paused:
            self.tick_node(node)
        self.events.call_after(TICK_S, partial(self._tick, node))

    def _begin(self, number: int) -> None:
        call = KeyedCall(number, chosen=number % 5 == 0)
        self.calls.append(call)
        if self.assign_key(call):
            self._attempt(call)

    def _attempt(self, call: KeyedCall) -> None:
        call.attempts += 1
        number = call.attempts
        node = self.nodes[self.rng.choice(sorted(self.nodes))]
        answer = partial(self._on_answer, call, number)
        self.events.call_after(ATTEMPT_TIMEOUT_S, partial(answer, "timeout"))
        if node.alive:
            self.run_on(node, partial(self.handle_request, node, call, answer))

    def _on_answer(self, call: KeyedCall, number: int, answer: str) -> None:
        if call.done or len(call.answers) >= number:
            return
        call.answers.append(answer)
        if answer == "not-run" and call.executions:
            call.contradicted = True
        if answer == "done":
            call.done = True
            return
        if call.attempts < MAX_ATTEMPTS:
            delay_s = 0.1 + self.rng.random() * 0.5 * call.attempts
            self.events.call_after(delay_s, partial(self._attempt, call))

    def _inject_fault(self) -> None:
        rng = self.fault_rng
        name = rng.choice(sorted(self.nodes))
        fault = rng.choice(("kill", "pause", "cut", "leave", "cut-both"))
        seconds = 1.0 + rng.random() * 9.0
        other = rng.choice([each for each in sorted(self.nodes) if each != name])
        node = self.nodes[name]
        if not node.alive or node.paused:
            return
        self.faults[fault] += 1
        if fault == "kill":
            self.kill(node, seconds)
        elif fault == "pause":
            node.paused, node.unreachable_since = True, self.now
            self.events.call_after(seconds, partial(self._resume, node))
        elif fault == "leave":
            self.shut_down(node)
            self.events.call_after(1.5, partial(self.kill, node, 1.0))
        else:
            pairs = [(name, other), (other, name)]
            for pair in pairs[: 2 if fault == "cut-both" else 1]:
                self.cut_links[pair] = self.now
                heal = partial(self.cut_links.pop, pair, None)
                self.events.call_after(seconds, heal)

    def kill(self, node: KeyedNode, replaced_after_s: float) -> None:
        """Kill a process; a new one without records replaces it after a delay."""
        if not node.alive:
            return
        node.alive, node.unreachable_since = False, self.now
        self.events.call_after(replaced_after_s, partial(self._replace, node))

    def _replace(self, node: KeyedNode) -> None:
        self.nodes[node.name] = self.start_node(node.name, node.domain)

    def _resume(self, node: KeyedNode) -> None:
        if not node.alive:
            return
        node.paused, node.unreachable_since = False, None
        inbox, node.inbox = node.inbox, []
        for action in inbox:
            self.run_on(node, action)
