"""A home with a simulated server in virtual time, which takes scheduled offers."""

from features.support.home import HomeHarness
from flamingobank.sidecar.decisions.memory_account import MemoryAccount
from flamingobank.sidecar.dialect import ServerFacts
from flamingobank.sidecar.homes.requests import HomeRequestState
from flamingobank.sidecar.homes.server_client import RunFailure, RunOutcome
from flamingobank.sidecar.links.messages import Answer, Commit, Granted, Offer, Queued

STEP_S = 0.02
REJECTION_S = 0.002
SLOTS = 4


class SimulatedClient:
    """Stand-in for the HTTP client and the server behind it."""

    def __init__(self, loop, work_s):
        self.loop, self.work_s = loop, work_s
        self.memory = MemoryAccount()
        # Requests beyond this are rejected, and so is each for which rejects() is true.
        self.takes = 1000
        self.rejects = lambda: False
        self.running = self.most_running = self.hidden = self.rejected = 0
        self.started = []

    def set_server(self, address, instance):
        """Do nothing, as there are no connections."""

    def run(self, request_id, encode, idempotent, handler):
        """Run or reject a request; its id starts with its route."""
        now = self.loop.clock.now()
        if self.running >= self.takes or self.rejects():
            self.rejected += 1
            self.loop.timers.call_at(now + REJECTION_S, lambda: self._reject(handler))
            return self
        self.started.append(request_id)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        end = now + self.work_s[request_id.split("/")[0]]
        self.loop.timers.call_at(end, lambda: self._answer(handler))
        return self

    def cancel(self):
        """Run on, as a server may do."""

    def _reject(self, handler):
        handler.on_run_facts(self._state(not_run=True))
        handler.on_run_failed(RunFailure(RunOutcome.NOT_RUN, True, False, "rejected"))

    def _answer(self, handler):
        handler.on_run_facts(self._state(not_run=False))
        self.running -= 1
        handler.on_run_answer(200, [], b"", complete=True)

    def _state(self, not_run):
        flags = (not_run, False, True, False, True, False, None, False)
        return ServerFacts(*flags, self.running + self.hidden, 0, None)


class ScheduledHome(HomeHarness):
    """Offers requests to a home, commits what it grants and records what happens."""

    def __init__(self, work_s):
        super().__init__("refuses the connection")
        self.client = self.home.client = SimulatedClient(self.loop, work_s)
        self.offers, self.offered_at, self.granted_at = {}, {}, {}
        # The final message for each stream, and when it came.
        self.ended = {}
        self.queued = set()
        # Starts while a more urgent request was waiting.
        self.inversions = []

    def offer(self, route, priority=1, objective_s=1.0, left_s=3.0, **fields):
        """Offer a request, at first by force, and return its stream."""
        stream = len(self.offers) + 1
        safe = fields.pop("idempotent", True)
        forced = fields.pop("forced", True)
        times = (left_s, objective_s)
        self.offers[stream] = Offer(
            stream, "orders", safe, not safe, priority, *times, forced, False, route,
            **fields,
        )  # fmt: skip
        self.offered_at[stream] = self.loop.clock.now()
        self.home.receive(self.channel, self.offers[stream])
        self._pump()
        return stream

    def press(self, rates, seconds, **fields):
        """Offer requests of routes at even rates; `rates` maps them to priorities."""
        due = dict.fromkeys(rates, 0.0)
        for _ in range(round(seconds / STEP_S)):
            for route, (rate, priority, limits) in rates.items():
                due[route] += rate * STEP_S
                while due[route] >= 1:
                    due[route] -= 1
                    expected_s = fields.get("expected_s", self.client.work_s[route])
                    self.offer(route, priority, *limits, expected_s=expected_s)
            self.advance(STEP_S)

    def advance(self, seconds):
        """Let time pass in small steps."""
        clock = self.loop.clock
        end = clock.now() + seconds
        while clock.now() < end - 1e-9:
            clock.advance_to(min(end, clock.now() + STEP_S))
            self.loop.timers.run_due()
            self._pump()

    def list_ended(self, kind, route=None):
        """Return the streams, of a route or of all, that ended with a message."""
        return [
            stream
            for stream, (message, _) in self.ended.items()
            if isinstance(message, kind) and route in (None, self.offers[stream].route)
        ]

    def measure_on_time(self, is_meant):
        """Return the share of the offers meant that got an answer in time."""
        meant = [stream for stream, offer in self.offers.items() if is_meant(offer)]
        answered = set(self.list_ended(Answer))
        on_time = [
            stream
            for stream in meant
            if stream in answered
            and self.measure_took(stream)
            <= self.offers[stream].objective_remaining_s + STEP_S
        ]
        return len(on_time) / len(meant)

    def measure_took(self, stream):
        """Return the time from the offer to the outcome."""
        return self.ended[stream][1] - self.offered_at[stream]

    def _pump(self):
        now = self.loop.clock.now()
        while self.channel.messages:
            message = self.channel.messages.pop(0)
            if isinstance(message, Queued):
                self.queued.add(message.stream)
            elif isinstance(message, Granted):
                self.granted_at[message.stream] = now
                self._note_inversion(message.stream)
                self._commit(message.stream, now)
            else:
                assert message.stream not in self.ended, message
                self.ended[message.stream] = (message, now)

    def _note_inversion(self, stream):
        priority = self.offers[stream].priority
        for request in self.home.requests.values():
            is_waiting = request.state is HomeRequestState.WAITING
            if is_waiting and request.offer.priority < priority:
                self.inversions.append(stream)
                return

    def _commit(self, stream, now):
        offer = self.offers[stream]
        left_s = self.offered_at[stream] + offer.remaining_s - now
        request_id = f"{offer.route}/{stream}"
        commit = Commit(stream, request_id, "GET", b"/x", [], b"", left_s, "callers")
        self.home.receive(self.channel, commit)
