"""Reading and writing of objects as INI manifests."""

from collections.abc import Iterable

from expression import Error, Ok, Result

from flamingobank.objects.kinds import AnyObject, ObjectKind, get_kind
from flamingobank.objects.specs import ObjectError, parse_spec, render_spec
from flamingobank.schema import Section, read_sections, render_sections, suggest_name

_KINDS = {kind.value: kind for kind in ObjectKind}


def parse_manifest(
    text: str, source: str
) -> Result[list[AnyObject], list[ObjectError]]:
    """Return the objects of a manifest in order, or all errors found in it."""
    sections = read_sections(text, source)
    if sections.is_error():
        return Error(sections.error)
    items: list[AnyObject] = []
    errors: list[ObjectError] = []
    seen: set[tuple[ObjectKind, str]] = set()
    for section in sections.ok:
        result = _parse_section(section, source)
        if result.is_error():
            errors.extend(result.error)
            continue
        item = result.ok
        key = (get_kind(item), item.name)
        if key in seen:
            errors.append(
                ObjectError(
                    source, section.title, "", "a second time", "each name once"
                )
            )
        seen.add(key)
        items.append(item)
    return Error(errors) if errors else Ok(items)


def render_manifest(items: Iterable[AnyObject]) -> str:
    """Return a manifest that parse_manifest reads back to equal objects."""
    return render_sections(
        Section(f"{get_kind(item).value} {item.name}", render_spec(item))
        for item in items
    )


def _parse_section(
    section: Section, source: str
) -> Result[AnyObject, list[ObjectError]]:
    kind_name, _, name = section.title.strip().partition(" ")
    kind = _KINDS.get(kind_name)
    if kind is None:
        expected = f"the kind {suggest_name(kind_name, _KINDS)}"
        return Error([ObjectError(source, section.title, "", kind_name, expected)])
    return parse_spec(kind, name.strip(), section.values, source)
