"""Requests and attempts of the model."""

import enum
from collections.abc import Callable
from dataclasses import dataclass, field

from flamingobank.admission import ServiceLoad, Work
from flamingobank.core import (
    Disposition,
    Fingerprint,
    InstanceId,
    RefusalCause,
    RequestId,
    RouteName,
    WorkspaceId,
)
from flamingobank.objects import TrafficClass
from flamingobank.quarantine import CrashReport

# Benchmarks without crashes do not need distinct fingerprints.
NO_FINGERPRINT = Fingerprint(b"")


class RequestOutcome(enum.Enum):
    """Outcome of a request as reported to the caller."""

    WAITING = "waiting"
    DONE = "done"
    NOT_RUN = "not-run"
    FAILED = "failed"


@dataclass(slots=True, eq=False)
class Request:
    """Request of a caller and its outcome; times are in virtual seconds."""

    request_id: RequestId
    route: RouteName
    workspace: WorkspaceId
    traffic_class: TrafficClass
    arrival_s: float
    deadline_s: float
    run_s: float
    expected_s: float
    idempotent: bool = True
    fingerprint: Fingerprint = NO_FINGERPRINT
    poison: bool = False
    outcome: RequestOutcome = RequestOutcome.WAITING
    reason: RefusalCause | None = None
    finished_s: float = 0.0
    attempts: int = 0
    # Servers that started the request, once for each start.
    ran_on: list[InstanceId] = field(default_factory=list)

    @property
    def in_time(self) -> bool:
        """Return whether the caller got the answer by the deadline."""
        return (
            self.outcome is RequestOutcome.DONE and self.finished_s <= self.deadline_s
        )

    def make_work(self, attempt: int) -> Work:
        """Return the Work that describes an attempt to admission control."""
        return Work(
            RequestId(f"{self.request_id}/{attempt}"),
            self.route,
            self.workspace,
            self.traffic_class,
            self.deadline_s,
            self.expected_s,
            self.idempotent,
            attempt,
        )


@dataclass(frozen=True, slots=True)
class ModelReply:
    """Reply to the entry on how an attempt ended."""

    disposition: Disposition
    reason: RefusalCause | None = None
    load: ServiceLoad | None = None
    crash: CrashReport | None = None


@dataclass(slots=True, eq=False)
class ModelAttempt:
    """Attempt that is sent to a home; on_reply may be called once."""

    request: Request
    work: Work
    on_reply: Callable[[ModelReply], None]
