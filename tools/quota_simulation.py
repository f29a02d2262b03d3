"""Simulate the quotas of a fleet over a network that delays, loses and separates."""

import heapq
import itertools
import random

from flamingobank.core import BootId, NodeId, WorkspaceId
from flamingobank.sidecar.fleet.workspaces import Workspace
from flamingobank.sidecar.settings import Bounds
from flamingobank.sidecar.workspaces.quota_process import QuotaProcess
from flamingobank.sidecar.workspaces.quota_tokens import Token
from tools.soak.windows import count_most

BUSY_TICK_S = 0.02
IDLE_TICK_S = 0.1
# Within this time all processes know of a restart.
GOSSIP_S = 0.8
BOUNDS = Bounds()


class SimulatedMachine:
    """One process with its state in the network."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.island = 0
        self.running = False
        self.suspended = False
        self.starts = 0
        # Known to others as running since its last start.
        self.announced_at = 0.0
        self.process = None
        self.held = []
        # When this process noticed that others have ended, and which start of them.
        self.ended = {}

    def start(self):
        """Start a process with an empty memory."""
        fleet = self.fleet
        self.running, self.suspended, self.held, self.ended = True, False, [], {}
        self.starts += 1
        self.process = QuotaProcess(
            self.node,
            BootId(f"{self.node}-{self.starts}"),
            BOUNDS,
            fleet.now,
            self._find_ended_at,
            lambda node: True,
        )
        self.process.ranking.set_nodes(tuple(sorted(fleet.machines)), fleet.now)
        self.process.apply_limits(tuple(fleet.workspaces.values()), fleet.now)
        self.announced_at = fleet.now + GOSSIP_S
        self.tick(self.process)

    def kill(self):
        """End the process."""
        self.running, self.process = False, None

    def resume(self):
        """Continue a suspended process with the messages that have come meanwhile."""
        self.suspended = False
        held, self.held = self.held, []
        for callback in held:
            callback()

    def _find_ended_at(self, node):
        """Return when it was noticed that a machine in reach refuses connections."""
        other = self.fleet.machines[node]
        ended = other.starts > 1 and self.fleet.now < other.announced_at
        if not other.running:
            ended = other.island == self.island
        if not ended:
            self.ended.pop(node, None)
            return None
        # The process that has ended; a restart is not known at once.
        start = other.starts - other.running
        known = self.ended.get(node)
        if known is None or known[1] != start:
            known = (self.fleet.now, start)
            self.ended[node] = known
        return known[0]

    def tick(self, process):
        """Run the process now and again later, until it ends."""
        if process is not self.process:
            return
        if self.suspended:
            self.held.append(lambda: self.tick(process))
            return
        self.run()
        busy = process.client.is_busy
        delay_s = BUSY_TICK_S if busy else IDLE_TICK_S
        self.fleet.call_at(self.fleet.now + delay_s, lambda: self.tick(process))

    def run(self):
        """Run the process and send its messages."""
        for outgoing in self.process.run(self.fleet.now):
            self.fleet.send(self, outgoing.node, outgoing.message)

    def request(self, workspace):
        """Take a caller's request, and send it to a server once it has a token."""
        if not self.running or self.suspended:
            return
        fleet = self.fleet
        fleet.asked += 1
        token = self.process.take(workspace, fleet.now)
        if token is not None:
            self.send_request(token)
            return
        self.process.wait(workspace, self.on_outcome, fleet.now)
        self.run()

    def on_outcome(self, outcome):
        """Send the request, mostly at once, or count the refusal."""
        if isinstance(outcome, Token):
            self.send_request(outcome)
        else:
            self.fleet.denied += 1

    def send_request(self, token):
        """Let the request arrive at any time at which its token is still valid.

        Some requests wait longer than that, and need another token then.
        """
        fleet = self.fleet
        if fleet.rng.random() < fleet.late_share and self.running:
            process = self.process

            def send_late():
                if self.suspended:
                    self.held.append(send_late)
                elif process is self.process:
                    process.client.give_back(token, fleet.now)
                    process.wait(token.workspace, self.on_late_outcome, fleet.now)
                    self.run()

            fleet.call_at(fleet.now + fleet.rng.uniform(0.5, 2.0), send_late)
            return
        self.note_arrival(token)

    def on_late_outcome(self, outcome):
        """Send a request that waited longer than its first token was valid."""
        if isinstance(outcome, Token):
            self.note_arrival(outcome)
        else:
            self.fleet.denied += 1

    def note_arrival(self, token):
        """Record a request that arrives while its token is valid."""
        fleet = self.fleet
        wait_s = max(0.0, token.expires_at - fleet.now)
        sent_at = fleet.now + fleet.rng.choice((0.0, 0.2, 0.999)) * wait_s
        fleet.arrivals.setdefault(token.workspace, []).append(sent_at)
        fleet.fallbacks += token.from_fallback


class SimulatedFleet:
    """All machines, the time and the network between them."""

    def __init__(self, seed, count, workspaces, loss=0.0, max_delay_s=0.02):
        self.rng = random.Random(seed)
        self.now = 0.0
        self.loss = loss
        # Share of the requests that wait longer than a token is valid.
        self.late_share = 0.0
        self.max_delay_s = max_delay_s
        self.workspaces = {item.name: item for item in workspaces}
        self.arrivals = {}
        self.asked = self.denied = self.fallbacks = 0
        self._events = []
        self._order = itertools.count()
        self.machines = {}
        for number in range(count):
            node = NodeId(f"sidecar-{number}")
            self.machines[node] = SimulatedMachine(self, node)
        for machine in self.machines.values():
            machine.start()

    def call_at(self, at, callback):
        """Run a callback at a time."""
        heapq.heappush(self._events, (at, next(self._order), callback))

    def note_message(self, message):
        """Do nothing; tools that count messages override this."""

    def send(self, sender, node, message):
        """Deliver a message and its answer, unless the network loses one of them."""
        self.note_message(message)
        receiver = self.machines[node]
        process, boot = sender.process, BootId(f"{sender.node}-{sender.starts}")

        def deliver():
            if not receiver.running or receiver.island != sender.island:
                return
            if receiver.suspended:
                receiver.held.append(deliver)
                return
            answer = receiver.process.receive(sender.node, boot, message, self.now)
            receiver.run()
            if answer is not None and self.rng.random() >= self.loss:
                self.note_message(answer)
                self._call_later(lambda: accept(answer))

        def accept(answer):
            if sender.process is not process or receiver.island != sender.island:
                return
            if sender.suspended:
                sender.held.append(lambda: accept(answer))
                return
            process.receive(node, BootId(""), answer, self.now)
            sender.run()

        if self.rng.random() >= self.loss:
            self._call_later(deliver)

    def _call_later(self, callback):
        self.call_at(self.now + self.rng.uniform(0.001, self.max_delay_s), callback)

    def add_demand(self, workspace, rate_per_s, start, end):
        """Let requests of a workspace arrive at random machines at random times."""
        machines = list(self.machines.values())
        at = start
        while (at := at + self.rng.expovariate(rate_per_s)) < end:
            machine = self.rng.choice(machines)
            self.call_at(at, lambda machine=machine: machine.request(workspace))

    def run_until(self, end):
        """Run all events up to a time."""
        while self._events and self._events[0][0] <= end:
            self.now, _, callback = heapq.heappop(self._events)
            callback()
        self.now = end

    def list_owners(self, workspace):
        """Return the machines that take themselves for the owner now."""
        owners = []
        for machine in self.machines.values():
            if machine.running and machine.process.owner.is_owner(workspace, self.now):
                owners.append(machine)
        return owners

    def list_excesses(self):
        """Return the workspaces with more arrivals in a window than allowed."""
        excesses = []
        for name, times in self.arrivals.items():
            most = count_most(sorted(times), BOUNDS.quota_window_s)
            allowed = compute_bound(self.workspaces[name])
            if most > allowed:
                excesses.append((name, most, allowed))
        return excesses


def make_workspace(name, rate_per_s):
    """Return a workspace whose burst equals its rate."""
    return Workspace(WorkspaceId(name), (), None, rate_per_s, rate_per_s)


def compute_bound(workspace):
    """Return how many requests of a workspace may arrive in one window."""
    tokens = workspace.rate_per_s * BOUNDS.quota_window_s + workspace.burst
    return tokens * (1 + BOUNDS.quota_excess_ratio) + BOUNDS.quota_tolerance


def inject_failures(fleet, start, end):
    """Let random failures and repairs happen at random times."""
    rng = fleet.rng
    machines = list(fleet.machines.values())

    def start_later(machine):
        fleet.call_at(
            fleet.now + rng.choice((0.1, 1.0, 3.0)),
            lambda: machine.running or machine.start(),
        )

    def suspend(machine):
        if not machine.running or machine.suspended:
            return
        machine.suspended = True
        fleet.call_at(
            fleet.now + rng.choice((0.1, 0.5, 0.7, 2.0, 5.0)),
            lambda: machine.suspended and machine.resume(),
        )

    def separate():
        island = rng.randrange(1, 4)
        for machine in rng.sample(machines, rng.randrange(1, len(machines) + 1)):
            machine.island = island

    def kill_many():
        for machine in rng.sample(machines, len(machines) * 55 // 100):
            machine.kill()

    def repair():
        for machine in machines:
            machine.island = 0
            if not machine.running:
                machine.start()

    def heal():
        for machine in machines:
            machine.island = 0

    def restart():
        machine = rng.choice(machines)
        machine.kill()
        start_later(machine)

    def lose_owner():
        for name in fleet.workspaces:
            for machine in fleet.list_owners(name):
                how = rng.randrange(3)
                if how == 0:
                    machine.kill()
                    start_later(machine)
                elif how == 1:
                    suspend(machine)
                else:
                    machine.island = 9

    def lose_voters():
        for name in fleet.workspaces:
            for machine in fleet.list_owners(name):
                ranked = machine.process.ranking.list_ranked(name)
                for node in ranked[:3]:
                    if node != machine.node:
                        fleet.machines[node].kill()
                suspend(machine)

    failures = (
        lose_voters,
        separate,
        kill_many,
        repair,
        heal,
        restart,
        lose_owner,
        lose_owner,
        lambda: suspend(rng.choice(machines)),
        lambda: rng.choice(machines).kill(),
    )
    at = start
    while (at := at + rng.expovariate(1.0)) < end:
        fleet.call_at(at, rng.choice(failures))
