"""Record of an operation that the store client has in progress."""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from flamingobank.store.operations import Operation
from flamingobank.store.revisions import RevisionMark

Callback = Callable[[Result], None]


@dataclass(slots=True)
class ActiveOperation:
    """Keep an operation in progress with the callbacks that wait for its result.

    ``key`` identifies a read that later identical reads may share; writes have
    none. ``mark`` holds the revisions that were known when the operation began.
    A ``prepaid`` operation does not use the call budget.
    """

    operation: Operation
    mark: RevisionMark
    callbacks: list[Callback]
    key: tuple | None = None
    subject: tuple[str, str] = ("", "")
    is_watch: bool = False
    prepaid: bool = False
    sent_at: float = 0.0
