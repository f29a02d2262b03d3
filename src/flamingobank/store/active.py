"""Hold an operation of the store client while it is under way."""

from collections.abc import Callable
from dataclasses import dataclass

from expression import Result

from flamingobank.store.operations import Operation
from flamingobank.store.revisions import RevisionMark

Callback = Callable[[Result], None]


@dataclass(slots=True)
class ActiveOperation:
    """Hold an operation under way."""

    operation: Operation
    mark: RevisionMark
    callbacks: list[Callback]
    key: tuple | None = None
    subject: tuple[str, str] = ("", "")
    is_watch: bool = False
    prepaid: bool = False
    sent_at: float = 0.0
