"""Compare objects with the store and order the changes between them."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, field

from expression import Error, Ok, Result

from flamingobank.cli.records import PlannedChange, read_current
from flamingobank.objects import (
    AnyObject,
    ObjectKind,
    get_kind,
    parse_spec,
    render_spec,
)
from flamingobank.store import BlockingStore, StoredObject, StoreError

# A route is written after the service that it needs, and deleted before it.
WRITE_ORDER = (ObjectKind.SERVICE, ObjectKind.WORKSPACE, ObjectKind.ROUTE)
# Up to this number, workspaces are read one by one; above it, all are listed. A page of
# the store's list holds about this many objects, so in a small fleet more single reads
# would cost more than the listing.
MAX_SINGLE_READS = 100

ObjectKey = tuple[ObjectKind, str]


@dataclass(slots=True)
class StoreContent:
    """Hold the configuration objects of the store at one revision."""

    revision: int = 0
    stored: dict[ObjectKey, StoredObject] = field(default_factory=dict)

    def parse_objects(self) -> list[AnyObject]:
        """Return the objects that can be parsed; nodes too ignore all others."""
        items = []
        for (kind, name), stored in self.stored.items():
            result = parse_spec(kind, name, stored.spec)
            if result.is_ok():
                items.append(result.ok)
        return items


def read_content(
    store: BlockingStore, kinds: Iterable[ObjectKind] = tuple(ObjectKind)
) -> Result[StoreContent, StoreError]:
    """Read all objects of the given kinds."""
    content = StoreContent()
    for kind in kinds:
        page = store.list_all(kind.value)
        if page.is_error():
            return Error(page.error)
        content.revision = max(content.revision, page.ok.revision)
        for item in page.ok.items:
            content.stored[kind, item.name] = item
    return Ok(content)


def read_required_content(
    store: BlockingStore, wanted: Collection[ObjectKey], prune: bool = False
) -> Result[StoreContent, StoreError]:
    """Read all services and routes, and those workspaces that are wanted.

    Services and routes are checked against each other. Workspaces are not, and a
    fleet has hundreds of thousands of them.
    """
    workspaces = [name for kind, name in wanted if kind is ObjectKind.WORKSPACE]
    kinds = [ObjectKind.SERVICE, ObjectKind.ROUTE]
    if workspaces and (prune or len(workspaces) > MAX_SINGLE_READS):
        return read_content(store, [*kinds, ObjectKind.WORKSPACE])
    content = read_content(store, kinds)
    if content.is_error():
        return content
    for name in workspaces:
        found = read_current(store, ObjectKind.WORKSPACE.value, name)
        if found.is_error():
            return Error(found.error)
        if found.ok is not None:
            content.ok.stored[ObjectKind.WORKSPACE, name] = found.ok
    return content


def plan_changes(
    items: Iterable[AnyObject], content: StoreContent, prune: bool, reason: str = ""
) -> list[PlannedChange]:
    """Return the changes that write the items, in a safe order.

    Pruning deletes objects that the manifests lack, but only of the kinds that
    they contain, so that routes can be applied without all workspaces.
    """
    wanted = {(get_kind(item), item.name): item for item in items}
    writes = []
    for key, item in wanted.items():
        before = content.stored.get(key)
        if before is not None and _is_equal(key, before, item):
            continue
        action = "create" if before is None else "update"
        spec = render_spec(item)
        writes.append(PlannedChange(action, key[0].value, key[1], spec, before, reason))
    deletions = []
    pruned_kinds = {kind for kind, _ in wanted} if prune else set()
    for (kind, name), before in content.stored.items():
        if kind in pruned_kinds and (kind, name) not in wanted:
            deletions.append(
                PlannedChange("delete", kind.value, name, None, before, reason)
            )
    writes.sort(key=_get_write_rank)
    deletions.sort(key=_get_write_rank, reverse=True)
    return writes + deletions


def merge_objects(
    items: Iterable[AnyObject], content: StoreContent, changes: Iterable[PlannedChange]
) -> list[AnyObject]:
    """Return the objects that are in force together after the changes."""
    merged = {(get_kind(item), item.name): item for item in content.parse_objects()}
    merged.update({(get_kind(item), item.name): item for item in items})
    for change in changes:
        if change.spec is None:
            merged.pop((ObjectKind(change.kind), change.name), None)
    return list(merged.values())


def _is_equal(key: ObjectKey, before: StoredObject, item: AnyObject) -> bool:
    """Compare parsed objects, because equal objects can have different texts."""
    result = parse_spec(key[0], key[1], before.spec)
    return result.is_ok() and result.ok == item


def _get_write_rank(change: PlannedChange) -> tuple[int, str]:
    return WRITE_ORDER.index(ObjectKind(change.kind)), change.name
