"""Simulate keyed requests under faults with two designs.

In the product, a key names its keeper; in the naive design, the first live node of a
ranking takes over.
"""

import argparse
import json
from collections.abc import Callable
from functools import partial
from urllib.parse import urlsplit

from benchmarks.keyed_fleet import (
    ATTEMPT_TIMEOUT_S,
    KeyedCall,
    KeyedFleet,
    KeyedNode,
)
from flamingobank.core import rank_by_rendezvous
from flamingobank.idempotency import (
    CallerKeyRun,
    CallerKeys,
    HandoverAck,
    HandoverPart,
    Keeper,
    KeeperMoved,
    KeeperMoveTable,
    KeeperName,
    KeyRecord,
    KeyRecordAck,
    KeyWrite,
    Prepare,
    Replay,
    ReplicaRecords,
    ResendRequired,
    RunGranted,
    RunRefused,
    StillRunning,
    parse_key,
    rank_replicas,
)
from flamingobank.store import (
    CallFailed,
    GroupBudget,
    StoreAnswer,
    StoreClient,
    Transport,
)
from flamingobank_standins.store import ObjectStore, ReceivedCall

SECRET = b"secret of the model"
REPLICA_TIMEOUT_S = 0.3
DECISION_OUTCOMES = {Replay: "done", StillRunning: "still-running"}

Answer = Callable[[str], None]


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the options of this benchmark."""
    parser.add_argument("--seconds", type=float, default=600.0, help="virtual time")
    parser.add_argument("--rate", type=float, default=20.0, help="requests per second")


class NaiveKeyedFleet(KeyedFleet):
    """Naive design for comparison.

    The keeper of a key is the node that ranks first among those that the entry
    considers alive.
    """

    def make_node(self, name: str, domain: str, epoch: int) -> KeyedNode:
        """Return a node without records."""
        node = KeyedNode(name, domain, epoch)
        node.records = {}
        return node

    def assign_key(self, call: KeyedCall) -> bool:
        """Give the request a key that the caller chose."""
        call.key = f"key-{call.number}"
        return True

    def handle_request(self, node: KeyedNode, call: KeyedCall, answer: Answer) -> None:
        """Send the request to the node that this node believes to be the keeper."""
        live = [name for name in self.nodes if self.sees_alive(node, name)]
        keeper = rank_by_rendezvous(call.key, live)[0]

        def reply(process: KeyedNode, text: str) -> None:
            self.send(process, node.name, lambda entry: answer(text))

        self.send(node, keeper, partial(self._handle_at_keeper, call, reply))

    def shut_down(self, node: KeyedNode) -> None:
        """Do nothing: without a handover, the next node by rank takes over."""

    def _handle_at_keeper(self, call: KeyedCall, reply, node: KeyedNode) -> None:
        state = node.records.get(call.key)
        if state is not None:
            reply(node, state)
            return
        node.records[call.key] = "still-running"

        def end(outcome: str) -> None:
            node.records[call.key] = outcome
            if outcome == "not-run":
                del node.records[call.key]
            reply(node, outcome)

        self.run_upstream(node, call, end)


class ModelTransport(Transport):
    """Pass calls to the in-memory store, which loses some answers."""

    def __init__(self, fleet: "KeeperFleet") -> None:
        self._fleet = fleet

    def send(self, call, on_answer) -> None:
        """Answer a call after 2 ms."""
        url = urlsplit(call.target)
        headers = {name.lower(): value for name, value in call.headers}
        handled = self._fleet.store.handle(
            ReceivedCall(call.method, url.path, {}, headers, call.body), self._fleet.now
        )
        body = json.dumps(handled.reply.body).encode()
        answer = StoreAnswer(handled.reply.status, handled.reply.headers, body)
        if handled.lost:
            answer = CallFailed("answer lost", sent=True)
        self._fleet.events.call_after(0.002, partial(on_answer, answer))


class KeeperFleet(KeyedFleet):
    """Nodes with the product's keepers, replicas, handovers and caller-chosen keys."""

    def __init__(self, seed: int, duration_s: float, rate_per_s: float) -> None:
        self.store = ObjectStore(seed=seed)
        self.domains: dict[str, str] = {}
        super().__init__(seed, duration_s, rate_per_s)
        faults = self.store.faults
        third = duration_s / 3
        for at, values in (
            (third, {"outage": "refuse"}),
            (2 * third, {"outage": "none", "lose_ratio": 0.3}),
        ):
            self.events.call_at(at, partial(faults.update, values))

    def make_node(self, name: str, domain: str, epoch: int) -> KeyedNode:
        """Return a node without records, which gets the keeper moves from a peer."""
        node = KeyedNode(name, domain, epoch)
        self.domains[name] = domain
        node.identity = KeeperName(name, f"e{epoch}")
        node.keeper = Keeper(node.identity, [SECRET], 1e9)
        node.replica = ReplicaRecords(name)
        node.moves = KeeperMoveTable()
        node.waiting = {}
        node.client = StoreClient(
            ModelTransport(self),
            self.events,
            self.events.clock,
            self.rng,
            f"{name}-{epoch}",
            calls_per_s=50.0,
            burst=50.0,
        )
        budget = GroupBudget(200.0, 12, self.now)
        node.chosen = CallerKeys(node.identity, budget)
        for peer in self.nodes.values():
            if not peer.alive or peer.paused or peer.name == name:
                continue
            for moved in peer.moves.list_moves():
                node.moves.record(moved)
            break
        return node

    def assign_key(self, call: KeyedCall) -> bool:
        """Request a key from a node that answers, or choose one."""
        call.key = f"key-{call.number}"
        if call.chosen:
            return True
        for name in self.rng.sample(sorted(self.nodes), len(self.nodes)):
            node = self.nodes[name]
            if not node.alive or node.paused:
                continue
            issued = node.keeper.issue_keys(1, self.now)
            if issued.is_ok():
                call.key = issued.ok[0]
                return True
        return False

    def handle_request(self, node: KeyedNode, call: KeyedCall, answer: Answer) -> None:
        """Send the request to its keeper; the store decides about a chosen key."""
        if call.chosen:
            self._enter_chosen(node, call, answer)
            return
        self._ask_keeper(node, call, answer, 0, self.now + ATTEMPT_TIMEOUT_S / 2)

    def shut_down(self, node: KeyedNode) -> None:
        """Seal the keeper and hand its records over to a random live node."""
        live = [
            name
            for name in sorted(self.nodes)
            if name != node.name and self.sees_alive(node, name)
        ]
        successor = self.nodes[self.rng.choice(live)].identity
        self._apply(node, node.keeper.seal(successor, self.now))

    def tick_node(self, node: KeyedNode) -> None:
        """Update the replicas to the live nodes and run the keeper's timers."""
        live = {
            name: self.domains[name]
            for name in sorted(self.nodes)
            if self.sees_alive(node, name)
        }
        ranked = rank_replicas(node.identity, node.domain, live)
        node.keeper.set_replicas(ranked)
        self._apply(node, node.keeper.tick(self.now))

    def _ask_keeper(
        self,
        node: KeyedNode,
        call: KeyedCall,
        answer: Answer,
        generation: int,
        until: float,
    ) -> None:
        keeper = node.moves.find(parse_key(call.key, [SECRET]).ok.keeper)
        if not self.sees_alive(node, keeper.node):
            self._ask_replicas(node, call, answer)
            return

        def reply(process: KeyedNode, decision: object) -> None:
            take = partial(self._on_decision, call, answer, until, decision)
            self.send(process, node.name, take)

        decide = partial(self._decide, call, generation, reply)
        self.send(node, keeper.node, decide)

    def _decide(self, call: KeyedCall, generation: int, reply, node: KeyedNode) -> None:
        deadline = self.now + ATTEMPT_TIMEOUT_S
        fingerprint = str(call.number).encode()
        decision = node.keeper.accept(
            call.key, fingerprint, self.now, generation, deadline
        )
        if isinstance(decision, Prepare | RunGranted):
            node.waiting[decision.key_id] = (call, reply)
            sends = decision.sends if isinstance(decision, Prepare) else [decision]
            self._apply(node, sends)
            return
        reply(node, decision)

    def _on_decision(
        self,
        call: KeyedCall,
        answer: Answer,
        until: float,
        decision: object,
        node: KeyedNode,
    ) -> None:
        if isinstance(decision, str):
            answer(decision)
        elif isinstance(decision, ResendRequired):
            if self.now < until:
                self._ask_keeper(node, call, answer, decision.generation, until)
        elif type(decision) in DECISION_OUTCOMES:
            answer(DECISION_OUTCOMES[type(decision)])
        else:
            self._ask_replicas(node, call, answer)

    def _ask_replicas(self, node: KeyedNode, call: KeyedCall, answer: Answer) -> None:
        issued = parse_key(call.key, [SECRET]).ok
        domain = self.domains[issued.keeper.node]
        ranked = rank_replicas(issued.keeper, domain, self.domains)
        for name in ranked[:3]:
            ask = partial(self._answer_as_replica, call, issued, node.name, answer)
            self.send(node, name, ask)
        give_up = partial(self.run_on, node, partial(answer, "unknown"))
        self.events.call_after(REPLICA_TIMEOUT_S, give_up)

    def _answer_as_replica(
        self, call: KeyedCall, issued, entry: str, answer: Answer, node: KeyedNode
    ) -> None:
        found = node.replica.answer(issued, str(call.number).encode())
        if isinstance(found, Replay):
            self.send(node, entry, lambda process: answer("done"))

    def _apply(self, node: KeyedNode, effects) -> None:
        for effect in effects:
            if isinstance(effect, RunGranted):
                call, _ = node.waiting[effect.key_id]
                self.run_upstream(node, call, partial(self._end, node, effect))
            elif isinstance(effect, RunRefused):
                _, reply = node.waiting.pop(effect.key_id)
                reply(node, "not-run")
            else:
                receive = partial(self._receive, node.name, effect.message)
                self.send(node, effect.to, receive)

    def _end(self, node: KeyedNode, run: RunGranted, outcome: str) -> None:
        _, reply = node.waiting.pop(run.key_id)
        if outcome == "done":
            sends = node.keeper.record_done(run, 200, b"answer", self.now)
        elif outcome == "not-run":
            sends = node.keeper.record_not_run(run, self.now)
        else:
            sends = node.keeper.record_unknown(run, self.now)
        self._apply(node, sends)
        reply(node, outcome)

    def _receive(self, sender: str, message: object, node: KeyedNode) -> None:
        keeper = node.keeper
        if isinstance(message, KeyRecord):
            sends = keeper.on_record(message, sender, self.now)
            self._apply(node, sends)
            ack = node.replica.on_record(message)
            if ack is not None and not sends:
                self.send(node, sender, partial(self._receive, node.name, ack))
        elif isinstance(message, KeyRecordAck):
            effect = keeper.on_ack(message, self.now)
            self._apply(node, [effect] if effect else [])
        elif isinstance(message, HandoverPart):
            self._apply(node, keeper.on_handover_part(message, self.now))
        elif isinstance(message, HandoverAck):
            self._announce_move(node, message)

    def _announce_move(self, node: KeyedNode, ack: HandoverAck) -> None:
        if not node.keeper.on_handover_ack(ack):
            return
        moved = KeeperMoved(tuple(node.keeper.list_names()), ack.successor)
        node.moves.record(moved)
        for name in self.nodes:
            if name != node.name:
                self.send(node, name, lambda peer: peer.moves.record(moved))

    def _enter_chosen(self, node: KeyedNode, call: KeyedCall, answer: Answer) -> None:
        fingerprint = str(call.number).encode()
        decision = node.chosen.begin(call.key, fingerprint, 1_000_000, self.now)
        self._follow_chosen(node, call, answer, decision)

    def _follow_chosen(
        self, node: KeyedNode, call: KeyedCall, answer: Answer, decision: object
    ) -> None:
        if isinstance(decision, KeyWrite):

            def on_written(result) -> None:
                following = node.chosen.on_written(decision, result, self.now)
                self._follow_chosen(node, call, answer, following)

            self._put(node, decision, on_written)
        elif isinstance(decision, CallerKeyRun):
            end = partial(self._end_chosen, node, decision, answer)
            self.run_upstream(node, call, end)
        else:
            answer(DECISION_OUTCOMES.get(type(decision), decision.disposition.value))

    def _put(self, node: KeyedNode, write: KeyWrite, on_written) -> None:
        node.client.put(
            "key",
            write.name,
            write.spec,
            lambda result: self.run_on(node, partial(on_written, result)),
            expected=write.expected,
            timeout_s=ATTEMPT_TIMEOUT_S / 2,
        )

    def _end_chosen(
        self, node: KeyedNode, run: CallerKeyRun, answer: Answer, outcome: str
    ) -> None:
        write = node.chosen.end(run, outcome, 1_000_000, status=200)
        self._put(node, write, lambda result: None)
        answer(outcome)


def measure(options: argparse.Namespace) -> dict[str, object]:
    """Run both designs with the same seed and return their figures."""
    figures: dict[str, object] = {"seed": options.seed}
    for name, fleet_class in (("naive", NaiveKeyedFleet), ("product", KeeperFleet)):
        fleet = fleet_class(options.seed, options.seconds, options.rate)
        figures[name] = fleet.run()
    return figures
