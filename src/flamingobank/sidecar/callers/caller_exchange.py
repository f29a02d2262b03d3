"""Process one request of a caller until its final answer.

A request is offered to homes until one grants a slot, so a refusal causes no arrival at
a server and leaves no doubt about whether the request ran. After a failure, a
repeatable request is retried as far as its route and the fleet's retry budget allow; a
request that may run only once is sent again only if a home states that it has not run.
"""

from flamingobank.core import (
    Invariant,
    NodeId,
    RequestId,
    ServiceName,
    check_invariant,
)
from flamingobank.sidecar.callers.attempts import (
    Attempt,
    AttemptObserver,
    Attempts,
    AttemptState,
)
from flamingobank.sidecar.callers.exchange_owner import EndedRequest, ExchangeOwner
from flamingobank.sidecar.callers.reply import OUTCOME_UNKNOWN_STATUS
from flamingobank.sidecar.callers.request_permit import RequestPermit
from flamingobank.sidecar.callers.scheduling import OfferFields
from flamingobank.sidecar.decisions.home_choice import (
    ChoiceReason,
    HomeChoice,
    HomeQuery,
)
from flamingobank.sidecar.decisions.home_search import NextStep
from flamingobank.sidecar.decisions.refusals import ROOM_CAUSES, RefusalCause
from flamingobank.sidecar.decisions.retry_state import RetryState
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.fleet.routes import Route
from flamingobank.sidecar.fleet.workspaces import KeyDigest
from flamingobank.sidecar.http.caller_request import CallerRequest, CallerWatcher
from flamingobank.sidecar.links.messages import (
    Answer,
    AnswerPart,
    Failed,
    Offer,
    RefusalReason,
)
from flamingobank.sidecar.workspaces.access import (
    ACCESS_WITHOUT_KEY,
    Access,
)
from flamingobank.sidecar.workspaces.quota_tokens import Denial

# A request that waits for a server to recover is offered to all homes again after this
# time.
RETRY_OFFER_DELAY_S = 0.1
DEADLINE_STATUS = 504


class CallerExchange(CallerWatcher, AttemptObserver):
    """One request of a caller, from its first offer to its final answer."""

    def __init__(
        self,
        entry: ExchangeOwner,
        request: CallerRequest,
        request_id: RequestId,
        route: Route,
        service: ServiceName,
        deadline: float,
        access: Access = ACCESS_WITHOUT_KEY,
        key_digest: KeyDigest | None = None,
    ) -> None:
        self.request = request
        self.request_id = request_id
        self.route = route
        # Drawn by the route's weights; not changed when the service has no room.
        self.service = service
        self.deadline = deadline
        self._permit = RequestPermit(entry, request, route, access, key_digest)
        self.retry_state = RetryState(
            route, deadline, lambda now: entry.compute_retry_allowance(service, now)
        )
        self.ended = False
        self._entry = entry
        self._scheduling = entry.scheduling
        self._attempts = Attempts()
        self._distance_draw = entry.draw_distance()
        self._search = self._scheduling.create_search(self._create_query(True))
        self._reply = entry.create_reply(request, request_id)
        self._retry_denied = False
        self._hedge_offers = 0
        self._timers = []

    def start(self) -> None:
        """Start the deadline timer and offer the request to the first home."""
        now = self._entry.clock.now()
        self.request.watcher = self
        self.request.drop_answer = self._drop_answer
        self._call_at(self.deadline, self._on_deadline)
        if self._refuse_early(now):
            return
        if self._permit.acquire_first(now, self._on_first_token):
            self._offer_next()

    def _refuse_early(self, now: float) -> bool:
        """Refuse the request without an offer if its service has no room for it."""
        query = self._create_query(self.retry_state.is_final_attempt(now))
        shortage = self._entry.find_shortage(
            self.service, query, self._permit.priority, now
        )
        # Refusing a call of a running request would waste the work already done.
        if shortage is None or self._describe_offer().internal:
            return False
        self._entry.metrics.count(
            "early_refusals_total", service=self.service, route=self.route.name
        )
        self._log(
            "exchange:refused-early",
            earliest_ms=round(1000 * min(shortage.earliest_s, self.route.timeout_s)),
            short_homes=shortage.homes.short,
            recent_homes=shortage.homes.recent,
        )
        self._end_without_answer(
            OUTCOME_UNKNOWN_STATUS, "no-room", RefusalCause.NO_ROOM
        )
        return True

    def _on_first_token(self, denial: Denial | None) -> None:
        if denial is None:
            self._offer_next()
            return
        self._refuse_over_quota(denial)

    def _refuse_over_quota(self, denial: Denial) -> None:
        self._permit.note_denial(denial)
        self._reply.retry_after_s = round(denial.retry_s, 3)
        self._log(
            "exchange:over-quota",
            workspace=self._permit.workspace_name,
            retry_ms=round(denial.retry_s * 1000),
            by_owner=denial.by_owner,
        )
        self._give_up(RefusalCause.OVER_QUOTA.value)

    def _drop_answer(self) -> None:
        """Answer that the outcome is unknown, as there is no memory for the answer."""
        self._log("exchange:answer-dropped", ended=self.ended)
        self._reply.abort()
        self._end("no-memory")

    def on_output_sent(self) -> None:
        attempt = self._attempts.find_committed()
        if attempt is not None and attempt.streaming:
            attempt.open_window()

    def on_caller_left(self) -> None:
        self._log("exchange:caller-left")
        self._end("caller-left")

    def on_refused(self, attempt: Attempt, reason: RefusalReason) -> None:
        self._log(
            "exchange:refused",
            home=attempt.home.node,
            reason=reason.value,
            forced=attempt.forced,
            failing=round(
                attempt.home.estimate_failure_probability(self._entry.clock.now()), 3
            ),
        )
        if attempt.is_committed:
            # The home refused it after the grant, before it reached the server.
            self._permit.tokens.restore()
        self._attempts.close(attempt)
        self._search.note_refusal(attempt.home, reason, attempt.forced)
        committed = self._attempts.find_committed()
        if committed is not None:
            self._hedge_later(committed)
            return
        self._offer_next()

    def on_path_lost(self, attempt: Attempt) -> None:
        """Retry a repeatable request elsewhere; others wait for the link to resume."""
        self._log("exchange:path-lost", home=attempt.home.node)
        if attempt.streaming:
            self._reply.abort()
            self._end("path-lost")
            return
        if self.retry_state.may_run_again(self._entry.clock.now()):
            self.retry_state.arrivals += 1
            self._handle_unknown_outcome(attempt, "link lost")

    def on_home_restarted(self, attempt: Attempt) -> None:
        """Handle a home that restarted; the request may have run there."""
        self.retry_state.arrivals += 1
        self._handle_unknown_outcome(attempt, "home restarted")

    def _offer_next(self) -> None:
        if self.ended or self._attempts:
            return
        now = self._entry.clock.now()
        if not self.retry_state.has_time(now):
            self._give_up("no-time-left")
            return
        if not self._entry.can_finish(self.deadline):
            self._give_up("process-stopping")
            return
        if self.retry_state.arrivals and self._entry.is_quarantined(self.request):
            self._give_up("quarantined")
            return
        if self.retry_state.arrivals and self._is_retry_denied(now):
            self._retry_denied = True
            self._entry.metrics.count("retries_denied_total")
            self._give_up("retries-spent")
            return
        final_attempt = self.retry_state.is_final_attempt(now)
        choice = None
        if not self._search.is_exhausted:
            choice = self._choose_home(
                final_attempt,
                self._search.excluded,
                self._search.queue_candidates,
                now,
            )
        if choice is None:
            self._queue_or_give_up(final_attempt, now)
            return
        self._offer(choice)

    def _is_retry_denied(self, now: float) -> bool:
        """Return whether a slot would be granted in vain, as no retry may be sent."""
        if not self._scheduling.refuses_spent_retries:
            return False
        return self._entry.compute_retry_allowance(self.service, now) < 1.0

    def _choose_home(
        self,
        final_attempt: bool,
        excluded: set[NodeId],
        refused: list[HomeView],
        now: float,
    ) -> HomeChoice | None:
        query = self._create_query(final_attempt)
        return self._entry.choose_home(self.service, query, excluded, refused, now)

    def _create_query(self, final_attempt: bool) -> HomeQuery:
        return HomeQuery(
            self.route,
            final_attempt,
            self.request.read_at + self.route.target_latency_s,
            self.deadline,
            self._distance_draw,
        )

    def _queue_or_give_up(self, final_attempt: bool, now: float) -> None:
        """Queue at a home that refused, wait for a recovery, or give up."""
        decision = self._search.decide_next(
            final_attempt, now - self.request.read_at, self.route.target_latency_s, now
        )
        if decision.step is NextStep.GIVE_UP:
            self._give_up("no-home")
        elif decision.step is NextStep.WAIT:
            self._call_at(now + RETRY_OFFER_DELAY_S, self._offer_next)
        else:
            reason = self._scheduling.queue_reason
            self._offer(HomeChoice(decision.home, True, reason))

    def _offer(self, choice: HomeChoice) -> None:
        now = self._entry.clock.now()
        attempt = Attempt(
            self,
            self._entry.clock,
            choice.home,
            self._entry.get_link(choice.home.node),
            self._entry.allocate_stream(),
            choice.forced,
            choice.reason,
        )
        self._scheduling.note_offer(choice.home, self.route)
        repeated = self._is_repeat()
        fields = self._describe_offer()
        self._attempts.add(attempt)
        self._start_offer_timer(attempt)
        attempt.offer(
            Offer(
                attempt.stream,
                self.service,
                self.retry_state.allowed_by_route,
                self.retry_state.is_final_attempt(now),
                self._permit.priority,
                self.deadline - now,
                self.request.read_at + self.route.target_latency_s - now,
                choice.forced,
                repeated,
                fields.route,
                fields.workspace,
                fields.expected_s,
                fields.internal,
            )
        )

    def _describe_offer(self) -> OfferFields:
        return self._scheduling.describe_offer(
            self.route, self._permit.workspace_name, self._entry.has_workspaces
        )

    def _start_offer_timer(self, attempt: Attempt) -> None:
        attempt.timer = self._call_at(
            self._entry.clock.now() + attempt.offer_timeout_s,
            lambda: self._on_offer_timeout(attempt),
        )

    def _on_offer_timeout(self, attempt: Attempt) -> None:
        if self.ended or attempt.state is not AttemptState.OFFERED:
            return
        if attempt.waits_for_link:
            self._start_offer_timer(attempt)
            return
        self._entry.note_offer_timeout(attempt.home)
        self._attempts.cancel(attempt)
        self.on_refused(attempt, RefusalReason.SERVER_DOWN)

    def _is_repeat(self) -> bool:
        """Return whether an earlier attempt reached a server, or may have."""
        return self.retry_state.arrivals > 0 or self._attempts.any_committed

    def on_granted(self, attempt: Attempt) -> None:
        if not self._entry.can_finish(self.deadline):
            self._attempts.cancel(attempt)
            self._give_up("process-stopping")
            return
        if not self._check_key(attempt):
            return
        if not self._permit.acquire_again(
            lambda denial: self._on_late_token(attempt, denial)
        ):
            return
        now = self._entry.clock.now()
        is_repeat = self._is_repeat()
        if is_repeat and not self._entry.try_spend_retry(self.service, now):
            self._attempts.cancel(attempt)
            self._retry_denied = True
            if not self._attempts:
                self._give_up("retries-spent")
            return
        check_invariant(
            Invariant.AT_MOST_ONCE,
            self.retry_state.allowed_by_route or self.retry_state.runs == 0,
            request=self.request_id,
            runs=self.retry_state.runs,
        )
        remaining_s = self.deadline - now
        self._log(
            "exchange:sent",
            home=attempt.home.node,
            left_ms=round(remaining_s * 1000),
            extra=is_repeat,
            failing=round(attempt.home.estimate_failure_probability(now), 3),
            report_age_ms=round((now - attempt.home.reported_at) * 1000),
            **self._entry.describe_keys(),
        )
        self._count_choice(attempt)
        attempt.commit(
            self.request,
            self.request_id,
            remaining_s,
            self._entry.calling_service,
            self._permit.workspace_name,
        )
        self._permit.tokens.spend()
        hedge_at = self.retry_state.choose_hedge_time(now)
        if hedge_at is not None:
            self._call_at(hedge_at, lambda: self._hedge(attempt))

    def _on_late_token(self, attempt: Attempt, denial: Denial | None) -> None:
        """Continue with a grant that waited for a token."""
        if self.ended or attempt.state is AttemptState.ENDED:
            return
        if denial is None:
            self.on_granted(attempt)
            return
        self._attempts.cancel(attempt)
        if not self._attempts:
            self._refuse_over_quota(denial)

    def _check_key(self, attempt: Attempt) -> bool:
        """Check the key again before a commit; cancel the attempt if it may not run."""
        if not self._permit.check_key():
            self._attempts.cancel(attempt)
            cause = self._permit.refusal.value
            self._log("exchange:key-refused", cause=cause)
            self._give_up(cause)
            return False
        if self._permit.workspace is not None and not attempt.keeps_workspace:
            self._attempts.cancel(attempt)
            self.on_refused(attempt, RefusalReason.NO_SERVER)
            return False
        return True

    def _count_choice(self, attempt: Attempt) -> None:
        if attempt.reason is ChoiceReason.BY_LOAD:
            return
        own = attempt.home.same_failure_domain
        self._entry.metrics.count(
            "home_choices_total",
            domain="own" if own else "other",
            reason=attempt.reason.value,
        )
        if not own:
            self._log(
                "exchange:leaves-domain",
                home=attempt.home.node,
                reason=attempt.reason.value,
            )

    def _hedge(self, attempt: Attempt) -> None:
        if self.ended or not attempt.is_committed:
            return
        now = self._entry.clock.now()
        if attempt.streaming or len(self._attempts) > 1:
            return
        reserve = self._scheduling.find_hedge_reserve(
            lambda: self._entry.compute_retry_limit(self.service, now)
        )
        if not self.retry_state.may_hedge(now, reserve):
            return
        if not self._scheduling.may_hedge(self.service):
            return
        excluded = self._search.ran_on | {attempt.home.node}
        choice = self._choose_home(True, excluded, [], now)
        # A hedge that would wait for a slot is of no use.
        if choice is None or choice.forced:
            self._hedge_later(attempt)
            return
        self._log("exchange:hedged", slow_home=attempt.home.node, home=choice.home.node)
        self._offer(choice)

    def _hedge_later(self, attempt: Attempt) -> None:
        """Try again to hedge an attempt after no home had a free slot."""
        self._hedge_offers += 1
        if self._hedge_offers >= self._scheduling.max_hedge_offers:
            return
        retry_at = self._entry.clock.now() + RETRY_OFFER_DELAY_S
        if self.retry_state.has_time(retry_at):
            self._call_at(retry_at, lambda: self._hedge(attempt))

    def on_answer(self, attempt: Attempt, answer: Answer) -> None:
        self.retry_state.arrivals += 1
        self.retry_state.runs += 1
        self._search.ran_on.add(attempt.home.node)
        if answer.status >= 500 and answer.complete:
            self._attempts.close(attempt)
            self._reply.note_failure(answer)
            self._log("exchange:failed", home=attempt.home.node, status=answer.status)
            self._retry("attempts-spent")
            return
        if answer.complete and answer.status < 300:
            now = self._entry.clock.now()
            self._scheduling.note_answer(
                self.service,
                self.route,
                now - attempt.committed_at,
                answer.report.pace,
                now,
            )
        self._log(
            "exchange:answered",
            home=attempt.home.node,
            status=answer.status,
            took_ms=round((self._entry.clock.now() - self.request.read_at) * 1000),
        )
        self._reply.pass_answer(answer)
        if answer.complete:
            self._attempts.close(attempt)
            self._end(str(answer.status))
            return
        attempt.streaming = True
        self._attempts.cancel_others(attempt)

    def on_part(self, attempt: Attempt, part: AnswerPart) -> None:
        self._reply.pass_part(part)
        if part.complete:
            self._attempts.close(attempt)
            self._end("streamed")

    def on_failed(self, attempt: Attempt, failure: Failed) -> None:
        self._log(
            "exchange:no-answer",
            home=attempt.home.node,
            not_run=failure.not_run,
            reason=failure.reason,
        )
        self.retry_state.arrivals += failure.arrived
        if not failure.arrived:
            self._permit.tokens.restore()
        if not failure.not_run:
            self._handle_unknown_outcome(attempt, failure.reason)
            return
        self._attempts.close(attempt)
        self._search.note_refusal(attempt.home, RefusalReason.SERVER_DOWN, True)
        if not self.retry_state.has_arrivals_left:
            self._retry_denied = True
            self._give_up("retries-spent")
            return
        now = self._entry.clock.now()
        pause_s = self._scheduling.choose_pause_s(
            self.service,
            self.retry_state.arrivals,
            self.request.read_at + self.route.target_latency_s,
            now,
        )
        if pause_s > 0:
            self._call_at(now + pause_s, self._offer_next)
            return
        self._offer_next()

    def _handle_unknown_outcome(self, attempt: Attempt, reason: str) -> None:
        """Handle an attempt that got no answer but may have run."""
        self._attempts.close(attempt)
        if attempt.streaming:
            self._reply.abort()
            self._end("broken-midway")
            return
        self.retry_state.runs += 1
        self._search.ran_on.add(attempt.home.node)
        self._reply.note_unknown_outcome()
        self._log("exchange:unknown", home=attempt.home.node, reason=reason)
        self._retry("outcome-unknown")

    def _retry(self, unknown_outcome: str) -> None:
        """Retry if the request may run again and no other attempt is open."""
        if self._attempts:
            return
        if not self.retry_state.may_run_again(self._entry.clock.now()):
            self._give_up(unknown_outcome)
            return
        self._offer_next()

    def _on_deadline(self) -> None:
        if self.ended:
            return
        if self._reply.started:
            self._reply.abort()
            self._end("deadline-midway")
            return
        self._end_without_answer(DEADLINE_STATUS, "deadline", RefusalCause.DEADLINE)

    def on_stop_begun(self) -> None:
        """Refuse the request if it waits to be started and could not be finished."""
        if not self._entry.can_finish(self.deadline):
            self._give_up("process-stopping")

    def on_process_ending(self) -> None:
        """Send the final answer now, as this process ends."""
        if self._reply.started:
            self._reply.abort()
            self._end("process-ending-midway")
            return
        self._end_without_answer(
            OUTCOME_UNKNOWN_STATUS, "process-ending", RefusalCause.STOPPING
        )

    def _give_up(self, unknown_outcome: str) -> None:
        """Send the final answer now, unless a sent request still has no outcome."""
        if self.ended or self._attempts.any_committed:
            return
        cause = RefusalCause.BUSY if self._search.found_busy else RefusalCause.NO_HOME
        if self._permit.refusal is not None:
            cause = self._permit.refusal
        elif self._retry_denied:
            cause = RefusalCause.RETRIES_SPENT
        if not self._entry.can_finish(self.deadline):
            cause = RefusalCause.STOPPING
        self._end_without_answer(OUTCOME_UNKNOWN_STATUS, unknown_outcome, cause)

    def _end_without_answer(
        self, unknown_status: int, unknown_outcome: str, cause: RefusalCause
    ) -> None:
        outcome = self._reply.end_without_answer(
            self._attempts.any_committed,
            unknown_status,
            unknown_outcome,
            cause,
            lambda: self._choose_return_s(cause),
        )
        self._end(outcome)

    def _choose_return_s(self, cause: RefusalCause) -> float | None:
        if cause not in ROOM_CAUSES:
            return None
        return self._entry.choose_return_s(
            self.service,
            self._create_query(True),
            self._permit.priority,
            self._entry.clock.now(),
        )

    def _end(self, outcome: str) -> None:
        if self.ended:
            return
        self.ended = True
        self._attempts.cancel_others(None)
        self._permit.tokens.close()
        for timer in self._timers:
            timer.cancel()
        self._entry.on_ended(
            EndedRequest(
                self.request,
                self.request_id,
                self.route.kind,
                outcome,
                self.retry_state.runs,
                self.retry_state.arrivals,
                self._permit.workspace,
            )
        )

    def _call_at(self, deadline: float, callback):
        timer = self._entry.timers.call_at(deadline, callback)
        self._timers.append(timer)
        return timer

    def _log(self, kind: str, **fields: object) -> None:
        self._entry.event_log.request(kind, self.request_id, **fields)
