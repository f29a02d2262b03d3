"""Keep what one entry knows about the homes of the services that it calls."""

import copy
from collections.abc import Callable

from flamingobank.core import NodeId, ServiceName
from flamingobank.sidecar.callers.scheduling import Candidates, Scheduling
from flamingobank.sidecar.decisions.home_subset import HomeSubset
from flamingobank.sidecar.decisions.selection import HomeView
from flamingobank.sidecar.fleet.peers import PeerRecord, PeerTable
from flamingobank.sidecar.links.links import Link
from flamingobank.sidecar.links.local_link import LocalLink
from flamingobank.sidecar.links.messages import HomeReport


class HomeViews:
    """Views of homes, and the subset of homes that is used for each service."""

    def __init__(self, peers: PeerTable) -> None:
        self._peers = peers
        self._views: dict[NodeId, HomeView] = {}
        self._subsets: dict[tuple[ServiceName, float], HomeSubset] = {}

    def choose_subset(
        self, service: ServiceName, homes: list[PeerRecord], scheduling: Scheduling
    ) -> list[PeerRecord]:
        """Return the homes that are used for a service."""
        key = (service, scheduling.max_local_share)
        subset = self._subsets.get(key)
        if subset is None:
            subset = self._subsets[key] = self._create_subset(scheduling)
        return subset.choose(homes)

    def compute_subset(
        self, homes: list[PeerRecord], scheduling: Scheduling
    ) -> list[PeerRecord]:
        """Return the homes that are used for a service, and keep nothing."""
        return self._create_subset(scheduling).choose(homes)

    def list_candidates(
        self,
        homes: list[PeerRecord],
        get_link: Callable[[NodeId], Link | LocalLink],
        now: float,
    ) -> Candidates:
        """Return the views of the homes that can be reached."""
        return _group_by_reach(homes, get_link, self._get_view, now)

    def copy_candidates(
        self,
        homes: list[PeerRecord],
        find_link: Callable[[NodeId], Link | LocalLink | None],
        now: float,
    ) -> Candidates:
        """Return copies of the views of the homes that can be reached."""
        return _group_by_reach(homes, find_link, self._copy_view, now)

    def note_report(self, node: NodeId, report: HomeReport, now: float) -> None:
        """Store a report that a home sent without a request for it."""
        view = self._views.get(node)
        if view is not None:
            view.update_report(report, now)

    def remove(self, node: NodeId) -> None:
        """Discard the view of a home."""
        self._views.pop(node, None)

    def _get_view(self, record: PeerRecord, now: float) -> HomeView:
        view = self._views.get(record.node)
        if view is None:
            view = self._views[record.node] = self._create_view(record, now)
        return view

    def _copy_view(self, record: PeerRecord, now: float) -> HomeView:
        view = self._views.get(record.node)
        return self._create_view(record, now) if view is None else copy.copy(view)

    def _create_view(self, record: PeerRecord, now: float) -> HomeView:
        same_failure_domain = (
            record.failure_domain == self._peers.local_record.failure_domain
        )
        return HomeView(record.node, same_failure_domain, first_seen_at=now)

    def _create_subset(self, scheduling: Scheduling) -> HomeSubset:
        local_record = self._peers.local_record
        return HomeSubset(
            local_record.node, local_record.failure_domain, scheduling.max_local_share
        )


def _group_by_reach(
    homes: list[PeerRecord],
    get_link: Callable[[NodeId], Link | LocalLink | None],
    get_view: Callable[[PeerRecord, float], HomeView],
    now: float,
) -> Candidates:
    usable = []
    silent = []
    for record in homes:
        link = get_link(record.node)
        # A link that is not made yet would be usable.
        if link is None or link.is_usable:
            usable.append(get_view(record, now))
        elif link.may_answer:
            silent.append(get_view(record, now))
    return Candidates(usable, silent)
