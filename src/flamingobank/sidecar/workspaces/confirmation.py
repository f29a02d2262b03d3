"""Track how long ago the store was known to hold the routing table in force.

A withdrawn key stays in the table of a process that is cut off, was suspended or has
just started. So the keys of a table are used only until a deadline after the newest
time at which the store was known to hold that table.
"""

import math
from dataclasses import dataclass

from flamingobank.core import NodeId

# Share of the time in which a withdrawn key must be out of use everywhere. The rest is
# for delays of datagrams, whose transit times are unknown, and of requests.
KEYS_SHARE = 0.75
# A process whose table is older than this share of the time until its keys' deadline
# reads the store itself. It decides that only about once a second, and in calm and
# after changes the tables of 95 processes stay younger than this.
READING_SHARE = 0.6
# A process that has just started may read an older table from a store that was
# restored. Until a peer has shown that it has no newer one, or for this long after the
# start, no keys are used.
PEERS_WAIT_S = 1.5
# The source of a confirmation that this process has read from the store itself.
OWN_READING = "store"


@dataclass(frozen=True, slots=True)
class Confirmation:
    """A time at which the store held a version, and who reported it."""

    version: int
    at: float
    # OWN_READING or the name of a peer, for the log.
    source: str = ""


NO_CONFIRMATION = Confirmation(0, -math.inf)


class TableConfirmation:
    """The newest time at which the store held the version that is in force."""

    def __init__(
        self, revocation_s: float | None = None, started_at: float = -math.inf
    ) -> None:
        """Let keys expire by `revocation_s`; None for no limit."""
        self._keys_s = math.inf if revocation_s is None else KEYS_SHARE * revocation_s
        self._confirmed = NO_CONFIRMATION
        # Of a newer version than the one in force, which is still to be fetched.
        self._newer = NO_CONFIRMATION
        self._peers_awaited_until = started_at + PEERS_WAIT_S

    @property
    def is_limited(self) -> bool:
        """Return whether keys expire."""
        return self._keys_s < math.inf

    @property
    def keys_deadline(self) -> float:
        """Return the time until which the keys of the table in force are used."""
        return self._confirmed.at + self._keys_s if self.is_limited else math.inf

    @property
    def source(self) -> str:
        """Return who reported the newest time, empty if nobody did."""
        return self._confirmed.source

    def is_fresh(self, now: float) -> bool:
        """Return whether the keys of the table in force may be used now."""
        if not self.is_limited:
            return True
        return self._peers_awaited_until <= now < self.keys_deadline

    def compute_age_s(self, now: float) -> float:
        """Return how long ago the store was known to hold the table in force."""
        return max(0.0, now - self._confirmed.at)

    def needs_reading(self, now: float) -> bool:
        """Return whether this process should read the store itself."""
        return self.is_limited and now >= (
            self._confirmed.at + READING_SHARE * self._keys_s
        )

    def set_version(self, version: int) -> None:
        """Put another version in force."""
        newer, self._newer = self._newer, NO_CONFIRMATION
        self._confirmed = Confirmation(version, -math.inf)
        if newer.version == version:
            self._confirmed = newer
        elif newer.version > version:
            self._newer = newer

    def note_store(self, version: int, at: float) -> None:
        """Note that the store held a version, by a reading of this process.

        A store that was restored from a copy may hold an older version than the one in
        force. It holds none that is newer then, so the keys in force remain valid.
        """
        if version <= self._confirmed.version:
            self._confirm(at, OWN_READING)

    def note_peer(self, version: int, at: float, peer: NodeId) -> None:
        """Note that the store held a version, by a peer that has it in force."""
        if version == self._confirmed.version:
            self._confirm(at, peer)
        elif version > self._confirmed.version and at > self._newer.at:
            self._newer = Confirmation(version, at, peer)

    def note_peer_version(self, version: int) -> None:
        """Note the version that a peer has in force."""
        if 0 < version <= self._confirmed.version:
            self._peers_awaited_until = -math.inf

    def _confirm(self, at: float, source: str) -> None:
        # A newer version is known, so a store that holds this one was restored. The
        # report of a newer version counts as long as its keys would.
        if at <= self._confirmed.at or at < self._newer.at + self._keys_s:
            return
        self._confirmed = Confirmation(self._confirmed.version, at, source)
