"""Define the calls that commands make to the platform's object API."""

import abc
import enum
from collections.abc import Mapping
from dataclasses import dataclass, field

from expression import Error, Ok, Result


class ProblemKind(enum.Enum):
    """Say what is known after a call that failed."""

    # The store did not take the call, so it changed nothing.
    AWAY = "away"
    # The store refused the call for its rate, so it changed nothing.
    LIMITED = "limited"
    CONFLICT = "conflict"
    NOT_FOUND = "not found"
    # The store refused the call for its content or its token.
    REFUSED = "refused"
    # A write was sent and its answer is lost.
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class StoredObject:
    """Hold an object as the store returns it."""

    kind: str
    name: str
    revision: int
    write_id: str
    spec: Mapping[str, object]


@dataclass(frozen=True, slots=True)
class StoreProblem:
    """Say why a call failed; a conflict carries the current object."""

    kind: ProblemKind
    detail: str
    current: StoredObject | None = None
    retry_after_s: float = 1.0


@dataclass(frozen=True, slots=True)
class Page:
    """Hold a page of objects; next continues the list and is empty at its end."""

    revision: int
    items: list[StoredObject] = field(default_factory=list)
    next: str = ""


class ObjectsApi(abc.ABC):
    """Call the store; every call returns an outcome and raises nothing."""

    @abc.abstractmethod
    def get(self, kind: str, name: str) -> Result[StoredObject, StoreProblem]:
        """Read one object."""

    @abc.abstractmethod
    def put(
        self,
        kind: str,
        name: str,
        spec: Mapping[str, object],
        write_id: str,
        revision: int | None,
    ) -> Result[int, StoreProblem]:
        """Write if the object has this revision, or does not exist for None."""

    @abc.abstractmethod
    def delete(
        self, kind: str, name: str, write_id: str, revision: int
    ) -> Result[int, StoreProblem]:
        """Delete if the object has this revision."""

    @abc.abstractmethod
    def list(self, kind: str, after: str = "") -> Result[Page, StoreProblem]:
        """List a page of a kind's objects by name, after a name."""


def list_all(
    store: ObjectsApi, kind: str, after: str = "", prefix: str = ""
) -> Result[Page, StoreProblem]:
    """List all pages, or the part whose names start with a prefix."""
    items: list[StoredObject] = []
    position = max(after, prefix)
    while True:
        page = store.list(kind, position)
        if page.is_error():
            return Error(page.error)
        items.extend(item for item in page.ok.items if item.name.startswith(prefix))
        position = page.ok.next
        if not position or not position.startswith(prefix):
            return Ok(Page(page.ok.revision, items))
