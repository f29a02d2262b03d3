"""Load the whole configuration from pages of the store."""

from array import array
from bisect import bisect_left
from collections.abc import Iterable

from flamingobank.configuration.log import ConfigurationLog
from flamingobank.configuration.messages import ConfigurationChange
from flamingobank.configuration.outcomes import RevisionRegressed, SnapshotLoaded
from flamingobank.configuration.packing import hash_key, unpack_record
from flamingobank.configuration.shards import MAX_KEY
from flamingobank.configuration.snapshots import BEFORE_FIRST_KEY
from flamingobank.core import Revision


class ListingLoader:
    """Make the tables equal to the store's, page by page, while they are in use.

    This is used when no peer answers or the store has compacted the watched revision.
    """

    def __init__(self, log: ConfigurationLog, revision: Revision) -> None:
        self._log = log
        self._revision = revision
        # Key hashes instead of names, because they take only 8 bytes per object.
        self._listed_keys = array("Q")
        log.is_loading = True

    def load_page(self, items: Iterable[ConfigurationChange], now: float) -> None:
        """Apply the objects of one page."""
        for item in items:
            self._listed_keys.append(hash_key(item.kind, item.name))
            self._log.apply_change(item, now)

    def finish(self, now: float) -> SnapshotLoaded | RevisionRegressed:
        """Delete the objects that were not listed and advance to the listed revision.

        That is the revision of the first page; later changes arrive as deltas.
        """
        if self._revision < self._log.revision:
            self._log.is_loading = False
            return RevisionRegressed("store", self._revision, self._log.revision)
        listed = array("Q", sorted(self._listed_keys))
        missing: list[ConfigurationChange] = []
        for key, record in self._log.tables.read_range(BEFORE_FIRST_KEY, MAX_KEY):
            position = bisect_left(listed, key)
            if position < len(listed) and listed[position] == key:
                continue
            held = unpack_record(record)
            # An object that is not older was written after the listing began.
            if held.revision < self._revision:
                missing.append(held)
        for held in missing:
            deletion = ConfigurationChange(held.kind, held.name, self._revision, None)
            self._log.apply_change(deletion, now)
        self._log.tables.trim(BEFORE_FIRST_KEY, MAX_KEY)
        self._log.finish_loading(self._revision)
        return SnapshotLoaded(self._revision, len(listed))
