"""Describe who changed what, when, from what, to what, and with which result."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Longer texts are truncated: operators read them, and the store's objects hold at
# most 1 MB.
MAX_FIELD_CHARACTERS = 4096


@dataclass(frozen=True, slots=True)
class AuditEntry:
    """Hold one change; ``when_ms`` is the wall clock in milliseconds."""

    entry_id: str
    who: str
    what: str
    when_ms: int
    from_value: str
    to_value: str
    result: str
    evidence: str = ""

    def to_json(self) -> dict[str, object]:
        """Return the entry as the store holds it."""
        return {
            "id": _truncate(self.entry_id),
            "who": _truncate(self.who),
            "what": _truncate(self.what),
            "when_ms": self.when_ms,
            "from": _truncate(self.from_value),
            "to": _truncate(self.to_value),
            "result": _truncate(self.result),
            "evidence": _truncate(self.evidence),
        }


@dataclass(frozen=True, slots=True)
class AuditFilter:
    """Select entries; empty fields match all, texts match anywhere in the field."""

    since_ms: int = 0
    until_ms: int | None = None
    who: str = ""
    what: str = ""
    result: str = ""

    def matches(self, entry: AuditEntry) -> bool:
        """Tell whether the entry is selected."""
        if entry.when_ms < self.since_ms:
            return False
        if self.until_ms is not None and entry.when_ms >= self.until_ms:
            return False
        return (
            self.who in entry.who
            and self.what in entry.what
            and self.result in entry.result
        )


def parse_entry(value: object) -> AuditEntry | None:
    """Parse a stored entry; return None if a field is missing or has a wrong type."""
    if not isinstance(value, Mapping) or not isinstance(value.get("when_ms"), int):
        return None
    names = ("id", "who", "what", "from", "to", "result", "evidence")
    texts = [value.get(name) for name in names]
    if not all(isinstance(text, str) for text in texts):
        return None
    entry_id, who, what, from_value, to_value, result, evidence = texts
    return AuditEntry(
        entry_id, who, what, value["when_ms"], from_value, to_value, result, evidence
    )


def select_entries(
    specs: Iterable[Mapping[str, object]], selection: AuditFilter
) -> list[AuditEntry]:
    """Return each selected entry of the stored batches once, in order of time."""
    found: dict[str, AuditEntry] = {}
    for spec in specs:
        values = spec.get("entries")
        for value in values if isinstance(values, list) else ():
            entry = parse_entry(value)
            if entry is not None and selection.matches(entry):
                found.setdefault(entry.entry_id, entry)
    return sorted(found.values(), key=lambda entry: (entry.when_ms, entry.entry_id))


def _truncate(text: str) -> str:
    return text[:MAX_FIELD_CHARACTERS]
