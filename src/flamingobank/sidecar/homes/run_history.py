"""Tell the requests that a home never received from those whose outcome it forgot.

An entry may send a request elsewhere only after its home has stated that the request
never arrived. A home that has no record of the request can state this only if the
record was not dropped.
"""

from collections import OrderedDict

# The processes that were granted a slot longest ago are dropped beyond this number.
MAX_PROCESSES = 4096


class RunHistory:
    """The newest request of each entry process whose outcome was forgotten.

    An entry process numbers its requests in rising order, so one number stands for all
    forgotten requests before it.
    """

    def __init__(self) -> None:
        self._newest_forgotten: OrderedDict[str, int] = OrderedDict()

    def note_grant(self, boot: str, stream: int) -> None:
        """Record an entry process that may send a request for a granted slot.

        What is known of its earlier requests may have been dropped, so these count as
        forgotten.
        """
        self._newest_forgotten.setdefault(boot, stream - 1)
        self._newest_forgotten.move_to_end(boot)
        if len(self._newest_forgotten) > MAX_PROCESSES:
            self._newest_forgotten.popitem(last=False)

    def note_forgotten(self, boot: str, stream: int) -> None:
        """Record that the outcome of a request that may have run was dropped."""
        newest = self._newest_forgotten.get(boot)
        if newest is not None:
            self._newest_forgotten[boot] = max(newest, stream)

    def may_have_run(self, boot: str, stream: int) -> bool:
        """Return whether a request without a record may have run here."""
        newest = self._newest_forgotten.get(boot)
        return newest is None or stream <= newest
