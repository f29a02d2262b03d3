"""Give one caller what is known of its request.

A refusal promises that the request has not run; whatever may have run ends with the
server's own failure or with an unknown outcome.
"""

import random

from flamingobank.core import Invariant, RequestId, check_invariant
from flamingobank.loop import Headers
from flamingobank.sidecar.decisions.refusals import RefusalCause, choose_retry_after
from flamingobank.sidecar.dialect import Dialect
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.messages import Answer, AnswerPart

REFUSED_STATUS = 503


class CallerReply:
    """Hold what servers did with a request, and answer its caller."""

    def __init__(
        self,
        request: CallerRequest,
        request_id: RequestId,
        dialect: Dialect,
        rng: random.Random,
    ) -> None:
        # A part of an answer has been passed on.
        self.started = False
        self._request = request
        self._request_id = request_id
        self._dialect = dialect
        self._rng = rng
        self._failure: Answer | None = None
        self._unknown = False

    def note_failure(self, answer: Answer) -> None:
        """Keep the answer of a server that failed the request."""
        self._failure = answer

    def note_unknown(self) -> None:
        """Note that a server may have run the request without an answer."""
        self._unknown = True

    def pass_answer(self, answer: Answer) -> None:
        """Pass on an answer, or its beginning."""
        if answer.complete:
            self._request.answer(answer.status, answer.headers, answer.body)
            return
        self.started = True
        length = _find_content_length(answer.headers)
        self._request.start(answer.status, answer.headers, length)
        self._request.write(answer.body)

    def pass_part(self, part: AnswerPart) -> None:
        """Pass on the next part of an answer."""
        self._request.write(part.body)
        if part.complete:
            self._request.finish()

    def abort(self) -> None:
        """Break off an answer whose rest will not come."""
        self._request.abort()

    def end_without_answer(
        self,
        in_flight: bool,
        unknown_status: int,
        unknown_outcome: str,
        cause: RefusalCause,
    ) -> str:
        """Pass a server's failure on, else say what is known; return the outcome."""
        if self._failure is not None:
            self.pass_answer(self._failure)
            return str(self._failure.status)
        if self._unknown or in_flight:
            headers = self._dialect.list_refusal_headers(self._request_id, None)
            self._request.answer(unknown_status, headers, b"")
            return unknown_outcome
        self.refuse(cause)
        return cause.value

    def refuse(self, cause: RefusalCause) -> None:
        """Tell the caller that its request has not run and when to come back."""
        check_invariant(
            Invariant.NOT_RUN,
            not self._unknown and self._failure is None and not self.started,
            request=self._request_id,
            cause=cause.value,
        )
        retry_after_s = choose_retry_after(cause, self._rng)
        headers = self._dialect.list_refusal_headers(self._request_id, retry_after_s)
        self._request.answer(REFUSED_STATUS, headers, b"")

    def answer_not_found(self) -> None:
        """Tell the caller that no route leads anywhere."""
        headers = self._dialect.list_refusal_headers(self._request_id, None)
        self._request.answer(404, headers, b"")


def _find_content_length(headers: Headers) -> int | None:
    for name, value in headers:
        if name == b"content-length":
            return int(value)
    return None
