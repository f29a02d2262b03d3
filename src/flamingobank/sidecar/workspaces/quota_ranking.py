"""Rank the processes that may own a workspace's quota or have a fallback for it."""

import heapq
from collections.abc import Callable

from flamingobank.core import NodeId, WorkspaceId, hash_text

# Processes that vote for the owner; the owner is one of them.
VOTER_COUNT = 3
# More than these are never needed: the chance that all of them have ended while others
# run is below 1e-6 with 55% of the processes killed.
MAX_RANKED = 24


class QuotaRanking:
    """Rendezvous rankings over the known processes, computed on first use."""

    def __init__(self) -> None:
        self._nodes: tuple[NodeId, ...] = ()
        self._ranked: dict[WorkspaceId, tuple[NodeId, ...]] = {}
        # Changes with the processes.
        self.version = 0
        # When a process was last removed.
        self.last_removal_at = float("-inf")

    def __len__(self) -> int:
        return len(self._nodes)

    def set_nodes(self, nodes: tuple[NodeId, ...], now: float) -> None:
        """Set the processes that have not left, including this one."""
        if nodes != self._nodes:
            self.version += 1
            if not set(self._nodes) <= set(nodes):
                self.last_removal_at = now
            self._nodes = nodes
            self._ranked.clear()

    def list_ranked(self, workspace: WorkspaceId) -> tuple[NodeId, ...]:
        """Return the first processes of a workspace's ranking."""
        ranked = self._ranked.get(workspace)
        if ranked is None:
            ranked = tuple(
                heapq.nlargest(
                    MAX_RANKED,
                    self._nodes,
                    key=lambda node: (hash_text(f"{workspace}\x00{node}"), node),
                )
            )
            self._ranked[workspace] = ranked
        return ranked

    def list_voters(
        self,
        workspace: WorkspaceId,
        find_ended_at: Callable[[NodeId], float | None],
    ) -> list[NodeId]:
        """Return the voters: the first processes that are not known to have ended.

        Two majorities of running voters always have one in common, also if some have
        not noticed yet that a process has ended.
        """
        voters = []
        for node in self.list_ranked(workspace):
            if find_ended_at(node) is not None:
                continue
            voters.append(node)
            if len(voters) == VOTER_COUNT:
                break
        return voters

    def find_last_end(
        self,
        workspace: WorkspaceId,
        find_ended_at: Callable[[NodeId], float | None],
    ) -> float:
        """Return when this process last noticed that one before a voter has ended."""
        last_end = self.last_removal_at
        voters = 0
        for node in self.list_ranked(workspace):
            ended_at = find_ended_at(node)
            if ended_at is not None:
                last_end = max(last_end, ended_at)
                continue
            voters += 1
            if voters == VOTER_COUNT:
                break
        return last_end

    def find_fallback_rank(self, workspace: WorkspaceId, node: NodeId) -> int:
        """Return a process's place among those with fallback buckets.

        Places from the end of the ranking differ from those of the voters, which are
        out of reach when a fallback is needed.
        """
        ranked = self.list_ranked(workspace)
        if node not in ranked:
            # Behind all entries that have one, however many the tolerance allows.
            return len(self._nodes)
        return len(ranked) - 1 - ranked.index(node)
