"""Give workspaces keys, withdraw some of them, and check which requests were run."""

import random
from collections.abc import Iterable
from dataclasses import dataclass, field

# Each key contains this text, which must appear nowhere behind an entry.
KEY_MARK = "soak-key"
WORKSPACES = 4
# A request that is sent this much later than its key was withdrawn must not run.
REVOCATION_S = 5.0
# Share of the requests with a key that was never valid, and with one that was
# withdrawn.
UNKNOWN_SHARE = 0.05
WITHDRAWN_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class DrawnKey:
    """The key of one request, and what the configuration says about it."""

    text: str
    # The workspace that the key belongs to or belonged to, "" for none.
    workspace: str
    # The key is in the newest configuration.
    is_current: bool


@dataclass(slots=True)
class WorkspaceKeys:
    """The current and the withdrawn keys of all workspaces."""

    generations: list[int] = field(default_factory=lambda: [0] * WORKSPACES)
    # When each key was withdrawn, by the clock of the soak.
    withdrawn_at: dict[str, float] = field(default_factory=dict)

    def withdraw(self, rng: random.Random, now: float) -> None:
        """Replace the key of one workspace by another one."""
        number = rng.randrange(WORKSPACES)
        self.withdrawn_at[self._make_key(number)] = now
        self.generations[number] += 1

    def list_resources(self) -> list[dict]:
        """Return the workspaces as resources of the configuration."""
        resources = []
        for number in range(WORKSPACES):
            specification = {"api-keys": [self._make_key(number)], "priority": 1}
            resources.append(
                {
                    "resource-kind": "tenants",
                    "metadata": {"name": f"w{number}"},
                    "specification": specification,
                }
            )
        return resources

    def draw(self, rng: random.Random) -> DrawnKey:
        """Return the key of a random request."""
        share = rng.random()
        if share < UNKNOWN_SHARE:
            return DrawnKey(f"{KEY_MARK}-none", "", False)
        if share < UNKNOWN_SHARE + WITHDRAWN_SHARE and self.withdrawn_at:
            return self._make_withdrawn(rng.choice(list(self.withdrawn_at)))
        number = rng.randrange(WORKSPACES)
        return DrawnKey(self._make_key(number), f"w{number}", True)

    def get_newest_withdrawn(self) -> DrawnKey:
        """Return the key that was withdrawn last."""
        return self._make_withdrawn(next(reversed(self.withdrawn_at)))

    def find_violations(
        self,
        sent: dict[str, tuple[DrawnKey, float]],
        runs: Iterable[tuple[str, str]],
    ) -> list[str]:
        """Check the name of the workspace with which each request was run.

        `sent` has the key and the time of each request, `runs` the request and the name
        that the server got.
        """
        violations = []
        for request_id, workspace in runs:
            key, sent_at = sent[request_id]
            if not key.workspace:
                violations.append(f"{request_id} was executed with an unknown key")
                continue
            if workspace != key.workspace:
                violations.append(
                    f"{request_id} of {key.workspace} was executed for {workspace!r}"
                )
            withdrawn_at = self.withdrawn_at.get(key.text)
            if withdrawn_at is not None and sent_at > withdrawn_at + REVOCATION_S:
                violations.append(
                    f"{request_id} was executed, sent {sent_at - withdrawn_at:.1f} s "
                    "after its key was withdrawn"
                )
        return violations

    def _make_withdrawn(self, key: str) -> DrawnKey:
        return DrawnKey(key, f"w{key.split('-')[2]}", False)

    def _make_key(self, number: int) -> str:
        return f"{KEY_MARK}-{number}-{self.generations[number]}"
