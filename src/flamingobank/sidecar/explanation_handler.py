"""Answer requests for explanations from copies of the state of one process."""

import copy
import json
import math
import random
from collections.abc import Callable
from urllib.parse import parse_qsl

from expression import Error, Ok, Result

from flamingobank.core import Clock, NodeId, ServiceName
from flamingobank.sidecar.callers.entry import Entry
from flamingobank.sidecar.callers.scheduling import Candidates
from flamingobank.sidecar.decisions.home_subset import SUBSET_SIZE
from flamingobank.sidecar.decisions.retry_budget import RetryBudget
from flamingobank.sidecar.explanation import (
    EntryState,
    ExplainedRequest,
    ServiceState,
    explain,
)
from flamingobank.sidecar.fleet.peers import PeerTable
from flamingobank.sidecar.http.caller_request import CallerRequest
from flamingobank.sidecar.links.links import Link
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.workspaces.quota_sync import QuotaSync

EXPLAIN_PATH = b"/explain"
PARAMETERS = ("host", "path", "method", "deadline_ms", "workspace")


class ExplanationHandler:
    """Explain what the entry of this process would decide now."""

    def __init__(
        self,
        clock: Clock,
        entry: Entry,
        peers: PeerTable,
        retries: RetryBudget,
        rng: random.Random,
        find_link: Callable[[NodeId], Link | LocalLink | None],
        quotas: QuotaSync,
    ) -> None:
        self._clock = clock
        self._entry = entry
        self._peers = peers
        self._retries = retries
        self._rng = rng
        self._find_link = find_link
        self._quotas = quotas

    def answer(self, request: CallerRequest) -> None:
        """Answer a request for an explanation."""
        parsed = parse_query(request.target.partition(b"?")[2].decode("latin-1"))
        if parsed.is_error():
            status, content = 400, {"error": parsed.error}
        else:
            status, content = 200, explain(parsed.ok, self.copy_state())
        headers = [(b"content-type", b"application/json")]
        request.answer(status, headers, json.dumps(content).encode() + b"\n")

    def copy_state(self) -> EntryState:
        """Return copies of what the entry decides by."""
        entry = self._entry
        now = self._clock.now()
        table = entry.table
        return EntryState(
            now,
            table,
            table is not None and entry.access.is_usable(table),
            copy.deepcopy(self._rng),
            entry.scheduling,
            len(self._peers) + 1,
            lambda service: self._copy_service(service, now),
            self._quotas.is_limited,
            self._quotas.find_owner,
            entry.can_finish,
        )

    def _copy_service(self, service: ServiceName, now: float) -> ServiceState:
        views = self._entry.homes
        homes = self._peers.list_homes(service)
        scheduling = self._entry.scheduling.copy_for(service)

        def sample_others(rng: random.Random) -> Candidates:
            others = rng.sample(homes, SUBSET_SIZE)
            return views.copy_candidates(others, self._find_link, now)

        subset = views.compute_subset(homes, scheduling)
        return ServiceState(
            views.copy_candidates(subset, self._find_link, now),
            {record.node: record.failure_domain for record in homes},
            scheduling,
            self._retries.copy_for(service),
            sample_others if len(homes) > SUBSET_SIZE else None,
        )


def parse_query(query: str) -> Result[ExplainedRequest, str]:
    """Return the request that the parameters describe, or what is wrong."""
    values = dict(parse_qsl(query, keep_blank_values=True))
    # Unknown parameters are not repeated in the answer, as one may hold a key.
    if not set(values) <= set(PARAMETERS):
        return Error(f"unknown parameter, expected {', '.join(PARAMETERS)}")
    host = values.get("host", "").partition(":")[0].lower()
    path = values.get("path", "").partition("?")[0]
    if not host or not path.startswith("/"):
        return Error("expected a host and a path that starts with '/'")
    remaining_s = None
    if "deadline_ms" in values:
        try:
            remaining_s = float(values["deadline_ms"]) / 1000
        except ValueError:
            remaining_s = math.nan
        if not 0 <= remaining_s < math.inf:
            return Error("deadline_ms is no number of milliseconds")
    return Ok(
        ExplainedRequest(
            host,
            path,
            values.get("method", "GET"),
            remaining_s,
            values.get("workspace"),
        )
    )
