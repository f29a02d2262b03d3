"""Bring one request of a caller to its answer.

A request is offered to homes until one grants a slot, so refusals cost no arrival at a
server and never leave it unclear whether a request ran. What may be repeated is sent
again after a failure as far as the route and the fleet's budget allow; what may run
only once is sent again only when a home states that it has not run.
"""

from typing import TYPE_CHECKING

from flamingobank.core import Invariant, RequestId, ServiceName, check_invariant
from flamingobank.loop import Headers
from flamingobank.sidecar.attempts import Attempt, AttemptState
from flamingobank.sidecar.caller_request import CallerRequest, CallerWatcher
from flamingobank.sidecar.home_search import HomeSearch, NextStep
from flamingobank.sidecar.messages import (
    Answer,
    AnswerPart,
    Cancel,
    Commit,
    Failed,
    Granted,
    Message,
    Offer,
    Queued,
    RefusalReason,
    Refused,
)
from flamingobank.sidecar.refusals import RefusalCause
from flamingobank.sidecar.routes import Route
from flamingobank.sidecar.selection import HomeView

if TYPE_CHECKING:
    from flamingobank.sidecar.entry import Entry

# The answer travels to the caller within this part of its time.
RETURN_MARGIN_S = 0.03
# Less time than this is not worth an attempt.
MIN_LEFT_S = 0.03
# A second attempt starts when the first has used this share of the latency objective.
HEDGE_SHARE = 0.55
# Hedges leave this many retries to requests that have failed.
HEDGE_RESERVE = 3.0
# Work that waits for a server to recover asks all homes again after this time.
PATIENCE_STEP_S = 0.1
MAX_ARRIVALS = 5
# With fewer retries left than this, the first attempt may be the last.
CAREFUL_BELOW = 2.0


class Exchange(CallerWatcher):
    """Hold one request until its final answer."""

    def __init__(
        self,
        entry: "Entry",
        request: CallerRequest,
        request_id: RequestId,
        route: Route,
        service: ServiceName,
        deadline: float,
    ) -> None:
        self.request = request
        self.request_id = request_id
        self.route = route
        self.service = service
        self.deadline = deadline
        self.attempts: list[Attempt] = []
        # Servers that ran the request, or may have.
        self.runs = 0
        # Sends that reached a server, run or not.
        self.arrivals = 0
        self.done = False
        self._entry = entry
        self._search = HomeSearch()
        self._failure: Answer | None = None
        self._unknown = False
        self._budget_denied = False
        self._timers = []
        self._started = False

    @property
    def idempotent(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.route.kind.is_idempotent

    @property
    def careful(self) -> bool:
        """Tell whether a failure of the next attempt would be final."""
        if not self.idempotent or self.runs + 1 >= self.route.max_attempts:
            return True
        now = self._entry.clock.now()
        return self._entry.measure_retries(self.service, now) < CAREFUL_BELOW

    def start(self) -> None:
        """Begin to look for a home."""
        self.request.watcher = self
        self._call_at(self.deadline, self._on_deadline)
        self._ask_next()

    def on_caller_left(self) -> None:
        self._log("exchange:caller-left")
        self._end("caller-left")

    def on_message(self, attempt: Attempt, message: Message) -> None:
        """React to what a home says of an attempt."""
        now = self._entry.clock.now()
        if isinstance(message, Refused | Answer | Failed):
            attempt.home.take_report(message.report, now)
        if self.done or attempt.state is AttemptState.ENDED:
            return
        if isinstance(message, Granted):
            self._commit(attempt, now)
        elif isinstance(message, Queued):
            attempt.state = AttemptState.QUEUED
            self._cancel_timer(attempt)
        elif isinstance(message, Refused):
            self.on_refused(attempt, RefusalReason(message.reason))
        elif isinstance(message, Answer):
            self._take_answer(attempt, message)
        elif isinstance(message, AnswerPart):
            self._take_part(attempt, message)
        elif isinstance(message, Failed):
            self._take_failure(attempt, message)

    def on_refused(self, attempt: Attempt, reason: RefusalReason) -> None:
        """Go on to another home; nothing has run at this one."""
        self._log(
            "exchange:refused",
            home=attempt.home.node,
            reason=reason.value,
            forced=attempt.forced,
            failing=round(attempt.home.estimate_failing(self._entry.clock.now()), 3),
        )
        self._close(attempt)
        self._search.note_refusal(attempt.home, reason, attempt.forced)
        self._ask_next()

    def on_path_lost(self, attempt: Attempt) -> None:
        """Send repeatable work elsewhere; other work waits for the path."""
        self._log("exchange:path-lost", home=attempt.home.node)
        if attempt.streaming:
            self.request.abort()
            self._end("path-lost")
            return
        if self.idempotent and self._may_run_again():
            self.arrivals += 1
            self.on_unknown(attempt, "path lost")

    def on_home_restarted(self, attempt: Attempt) -> None:
        """Handle a home that forgot the request; it may have run."""
        if attempt.state is AttemptState.COMMITTED:
            self.arrivals += 1
            self.on_unknown(attempt, "home restarted")

    def on_unknown(self, attempt: Attempt, reason: str) -> None:
        """Handle a request that may have run without an answer."""
        self._close(attempt)
        if self.done:
            return
        if attempt.streaming:
            self.request.abort()
            self._end("broken-midway")
            return
        self.runs += 1
        self._search.ran_at.add(attempt.home.node)
        self._unknown = True
        self._log("exchange:unknown", home=attempt.home.node, reason=reason)
        if self.idempotent:
            self._retry()
            return
        self._give_up("outcome-unknown")

    def _ask_next(self) -> None:
        if self.done or self.attempts:
            return
        now = self._entry.clock.now()
        if self.deadline - now < MIN_LEFT_S:
            self._give_up("no-time-left")
            return
        if self.arrivals and self._entry.is_quarantined(self.request):
            self._give_up("quarantined")
            return
        home = self._pick_home(now)
        if home is None:
            self._ask_full_homes(now)
            return
        self._offer(home, forced=False)

    def _pick_home(self, now: float) -> HomeView | None:
        return self._entry.pick_home(
            self.service, self.route.kind, self.careful, self._search.excluded, now
        )

    def _ask_full_homes(self, now: float) -> None:
        """Queue at a home that was full, wait for one, or give the request up."""
        move = self._search.decide_next(
            self.careful,
            now - self.request.read_at,
            self.route.target_latency_s,
            now,
        )
        if move.step is NextStep.GIVE_UP:
            self._give_up("no-home")
        elif move.step is NextStep.WAIT:
            self._call_at(now + PATIENCE_STEP_S, self._ask_next)
        else:
            self._offer(move.home, forced=True)

    def _offer(self, home: HomeView, forced: bool) -> None:
        now = self._entry.clock.now()
        attempt = Attempt(self, home, self._entry.new_stream(), forced)
        self.attempts.append(attempt)
        link = self._entry.get_link(home.node)
        link.open_stream(attempt.stream, attempt)
        attempt.timer = self._call_at(
            now + link.patience_s, lambda: self._on_offer_timeout(attempt)
        )
        link.send(
            Offer(
                attempt.stream,
                self.service,
                self.idempotent,
                self.careful,
                self.route.priority,
                self.deadline - now,
                self.request.read_at + self.route.target_latency_s - now,
                forced,
                self._is_repeat(),
            )
        )

    def _on_offer_timeout(self, attempt: Attempt) -> None:
        if self.done or attempt.state is not AttemptState.OFFERED:
            return
        self._entry.note_silence(attempt.home)
        self._send_cancel(attempt)
        self.on_refused(attempt, RefusalReason.SERVER_DOWN)

    def _is_repeat(self) -> bool:
        """Tell whether an earlier send has reached a server, or may have."""
        return self.arrivals > 0 or any(
            other.state is AttemptState.COMMITTED for other in self.attempts
        )

    def _commit(self, attempt: Attempt, now: float) -> None:
        self._cancel_timer(attempt)
        if attempt.state not in (AttemptState.OFFERED, AttemptState.QUEUED):
            return
        extra = self._is_repeat()
        if extra and not self._entry.spend_retry(self.service, now):
            self._send_cancel(attempt)
            self._close(attempt)
            self._budget_denied = True
            if not self.attempts:
                self._give_up("retries-spent")
            return
        check_invariant(
            Invariant.AT_MOST_ONCE,
            self.idempotent or self.runs == 0,
            request=self.request_id,
            runs=self.runs,
        )
        attempt.state = AttemptState.COMMITTED
        attempt.home.own_running += 1
        left_s = self.deadline - now
        self._log(
            "exchange:sent",
            home=attempt.home.node,
            left_ms=round(left_s * 1000),
            extra=extra,
            failing=round(attempt.home.estimate_failing(now), 3),
            report_age_ms=round((now - attempt.home.reported_at) * 1000),
        )
        request = self.request
        self._entry.get_link(attempt.home.node).send(
            Commit(
                attempt.stream,
                self.request_id,
                request.method,
                request.target,
                request.headers,
                request.body,
                left_s,
                self._entry.calling_service,
            )
        )
        if self.idempotent and self.route.max_attempts > self.runs + 1:
            hedge_at = now + HEDGE_SHARE * self.route.target_latency_s
            if hedge_at < self.deadline - MIN_LEFT_S:
                self._call_at(hedge_at, lambda: self._hedge(attempt))

    def _hedge(self, attempt: Attempt) -> None:
        if self.done or attempt.state is not AttemptState.COMMITTED:
            return
        if attempt.streaming or len(self.attempts) > 1:
            return
        if self.runs + 2 > self.route.max_attempts:
            return
        now = self._entry.clock.now()
        if self._entry.measure_retries(self.service, now) < HEDGE_RESERVE:
            return
        excluded = self._search.ran_at | {attempt.home.node}
        home = self._entry.pick_home(self.service, self.route.kind, True, excluded, now)
        if home is not None:
            self._log("exchange:hedged", slow_home=attempt.home.node, home=home.node)
            self._offer(home, forced=False)

    def _take_answer(self, attempt: Attempt, answer: Answer) -> None:
        self.arrivals += 1
        self.runs += 1
        self._search.ran_at.add(attempt.home.node)
        if answer.status >= 500 and answer.complete:
            self._close(attempt)
            self._failure = answer
            self._log("exchange:failed", home=attempt.home.node, status=answer.status)
            if self.idempotent:
                self._retry()
                return
            self._deliver_failure()
            return
        self._log(
            "exchange:answered",
            home=attempt.home.node,
            status=answer.status,
            took_ms=round((self._entry.clock.now() - self.request.read_at) * 1000),
        )
        if answer.complete:
            self._close(attempt)
            self.request.answer(answer.status, answer.headers, answer.body)
            self._end(str(answer.status))
            return
        attempt.streaming = True
        self._started = True
        for other in list(self.attempts):
            if other is not attempt:
                self._send_cancel(other)
                self._close(other)
        self.request.start(answer.status, answer.headers, _find_length(answer.headers))
        self.request.write(answer.body)

    def _take_part(self, attempt: Attempt, part: AnswerPart) -> None:
        self.request.write(part.body)
        if part.complete:
            self._close(attempt)
            self.request.finish()
            self._end("streamed")

    def _take_failure(self, attempt: Attempt, failure: Failed) -> None:
        self._log(
            "exchange:no-answer",
            home=attempt.home.node,
            not_run=failure.not_run,
            reason=failure.reason,
        )
        self.arrivals += failure.arrived
        if not failure.not_run:
            self.on_unknown(attempt, failure.reason)
            return
        self._close(attempt)
        self._search.note_refusal(attempt.home, RefusalReason.SERVER_DOWN, True)
        if self.arrivals >= MAX_ARRIVALS:
            self._give_up("retries-spent")
            return
        self._ask_next()

    def _retry(self) -> None:
        """Try another server for work that may run again."""
        if self.attempts:
            return
        if not self._may_run_again():
            self._give_up("attempts-spent")
            return
        self._ask_next()

    def _may_run_again(self) -> bool:
        now = self._entry.clock.now()
        return (
            self.runs < self.route.max_attempts
            and self.deadline - now > MIN_LEFT_S
            and self._entry.measure_retries(self.service, now) >= 1.0
        )

    def _on_deadline(self) -> None:
        if self.done:
            return
        if self._started:
            self.request.abort()
            self._end("deadline-midway")
            return
        committed = any(
            attempt.state is AttemptState.COMMITTED for attempt in self.attempts
        )
        if self._failure is not None:
            self._deliver_failure()
        elif committed or self._unknown:
            self._entry.answer_error(self, 504, "deadline")
            self._end("deadline")
        else:
            self._refuse(RefusalCause.DEADLINE)

    def _give_up(self, why: str) -> None:
        """Give the final answer at once."""
        if self.done or any(
            attempt.state is AttemptState.COMMITTED for attempt in self.attempts
        ):
            return
        if self._failure is not None:
            self._deliver_failure()
            return
        if self._unknown or self.runs:
            self._entry.answer_error(self, 502, why)
            self._end(why)
            return
        if self._budget_denied or why == "retries-spent":
            self._refuse(RefusalCause.RETRIES_SPENT)
            return
        self._refuse(
            RefusalCause.BUSY if self._search.has_asked else RefusalCause.NO_HOME
        )

    def _deliver_failure(self) -> None:
        answer = self._failure
        self.request.answer(answer.status, answer.headers, answer.body)
        self._end(str(answer.status))

    def _refuse(self, cause: RefusalCause) -> None:
        check_invariant(
            Invariant.NOT_RUN,
            not self.runs and not self._unknown,
            request=self.request_id,
            runs=self.runs,
        )
        self._entry.refuse(self, cause)
        self._end(cause.value)

    def _end(self, outcome: str) -> None:
        if self.done:
            return
        self.done = True
        for attempt in list(self.attempts):
            self._send_cancel(attempt)
            self._close(attempt)
        for timer in self._timers:
            timer.cancel()
        self._entry.on_ended(self, outcome)

    def _send_cancel(self, attempt: Attempt) -> None:
        self._entry.get_link(attempt.home.node).send_if_up(Cancel(attempt.stream))

    def _close(self, attempt: Attempt) -> None:
        self._cancel_timer(attempt)
        if attempt.state is AttemptState.COMMITTED:
            attempt.home.own_running -= 1
        attempt.state = AttemptState.ENDED
        if attempt in self.attempts:
            self.attempts.remove(attempt)
        self._entry.get_link(attempt.home.node).close_stream(attempt.stream)

    def _cancel_timer(self, attempt: Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None

    def _call_at(self, deadline: float, callback):
        timer = self._entry.timers.call_at(deadline, callback)
        self._timers.append(timer)
        return timer

    def _log(self, kind: str, **fields: object) -> None:
        self._entry.journal.request(kind, self.request_id, **fields)


def _find_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None
