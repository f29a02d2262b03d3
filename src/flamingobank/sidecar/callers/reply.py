"""Answer one caller.

A refusal guarantees that the request has not run. A request that may have run gets the
server's own failure, or an answer that says the outcome is unknown.
"""

import random
from collections.abc import Callable

from flamingobank.core import Invariant, RequestId, check_invariant
from flamingobank.loop import Headers
from flamingobank.sidecar.decisions.refusals import (
    RefusalCause,
    choose_refusal_status,
    choose_retry_after,
)
from flamingobank.sidecar.dialect import Dialect
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.messages import Answer, AnswerPart

OUTCOME_UNKNOWN_STATUS = 502


class CallerReply:
    """Answer to a caller, chosen by what servers did with its request."""

    def __init__(
        self,
        request: CallerRequest,
        request_id: RequestId,
        dialect: Dialect,
        rng: random.Random,
    ) -> None:
        # Whether a part of an answer has been sent to the caller.
        self.started = False
        # When a refused caller should come back, if that is known.
        self.retry_after_s: float | None = None
        self._request = request
        self._request_id = request_id
        self._dialect = dialect
        self._rng = rng
        self._failure: Answer | None = None
        self._outcome_unknown = False

    def note_failure(self, answer: Answer) -> None:
        """Keep the error answer of a server, to send if no retry succeeds."""
        self._failure = answer

    def note_unknown_outcome(self) -> None:
        """Record that a server may have run the request but did not answer."""
        self._outcome_unknown = True

    def pass_answer(self, answer: Answer) -> None:
        """Send the caller a whole answer or its first part."""
        if answer.complete:
            self._request.answer(answer.status, answer.headers, answer.body)
            return
        self.started = True
        length = _find_content_length(answer.headers)
        self._request.start(answer.status, answer.headers, length)
        self._request.write(answer.body)

    def pass_part(self, part: AnswerPart) -> None:
        """Send the caller the next part of an answer."""
        if not part.complete:
            self._request.write_part(part.body)
            return
        self._request.write(part.body)
        self._request.finish()

    def abort(self) -> None:
        """End an answer that cannot be completed.

        If nothing of it has been sent, as answers to earlier requests of the connection
        come first, the caller is told that the outcome is unknown. Otherwise the
        connection is reset, with all requests on it.
        """
        if not self._request.discard_output():
            self._request.abort()
            return
        headers = self._dialect.list_refusal_headers(self._request_id, None)
        self._request.answer(OUTCOME_UNKNOWN_STATUS, headers, b"")

    def end_without_answer(
        self,
        in_flight: bool,
        unknown_status: int,
        unknown_outcome: str,
        cause: RefusalCause,
        choose_delay_s: Callable[[], float | None] = lambda: None,
    ) -> str:
        """Send the final answer of a request that no server completed.

        This is the error answer of a server if there is one, `unknown_status` if the
        request may have run, and else a refusal, for which `choose_delay_s` chooses the
        retry delay. Returns the outcome for the log.
        """
        if self._failure is not None:
            self.pass_answer(self._failure)
            return str(self._failure.status)
        if self._outcome_unknown or in_flight:
            headers = self._dialect.list_refusal_headers(self._request_id, None)
            self._request.answer(unknown_status, headers, b"")
            return unknown_outcome
        self.refuse(cause, choose_delay_s())
        return cause.value

    def refuse(self, cause: RefusalCause, retry_after_s: float | None = None) -> None:
        """Tell the caller that its request has not run and when to retry.

        Without a time, the usual delay of the cause is chosen.
        """
        check_invariant(
            Invariant.NOT_RUN,
            not self._outcome_unknown and self._failure is None and not self.started,
            request=self._request_id,
            cause=cause.value,
        )
        if retry_after_s is None:
            retry_after_s = self.retry_after_s
        if retry_after_s is None:
            retry_after_s = choose_retry_after(cause, self._rng)
        headers = self._dialect.list_refusal_headers(self._request_id, retry_after_s)
        self._request.answer(choose_refusal_status(cause), headers, b"")

    def answer_not_found(self) -> None:
        """Tell the caller that no route matches its request."""
        self._answer_denied(404)

    def answer_malformed(self) -> None:
        """Tell the caller that its request is not valid HTTP/1.1."""
        self._answer_denied(400)

    def _answer_denied(self, status: int) -> None:
        headers = self._dialect.list_refusal_headers(self._request_id, None)
        self._request.answer(status, headers, b"")


def _find_content_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None
