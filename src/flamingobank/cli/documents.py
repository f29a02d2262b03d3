"""Read manifests and settings from files and directories."""

from collections.abc import Iterable
from dataclasses import dataclass, field
from pathlib import Path

from flamingobank.cli.config import parse_config
from flamingobank.objects import (
    AnyObject,
    ObjectKind,
    check_objects,
    get_kind,
    parse_manifest,
)
from flamingobank.schema import SchemaError, read_sections
from flamingobank.settings import SETTINGS_SECTIONS, parse_settings, read_text

FILE_SUFFIX = ".ini"


@dataclass(slots=True)
class ObjectSet:
    """Hold the objects of one fleet, the file of each, and the errors in the files."""

    items: list[AnyObject] = field(default_factory=list)
    sources: dict[tuple[ObjectKind, str], str] = field(default_factory=dict)
    errors: list[SchemaError] = field(default_factory=list)

    def check(self) -> list[SchemaError]:
        """Return all findings; objects are checked together only if all were read."""
        if self.errors:
            return self.errors
        return check_objects(self.items, self.sources)


def read_object_sets(paths: Iterable[str]) -> list[ObjectSet]:
    """Read each directory as one set, and all single files as another set."""
    single_files = ObjectSet()
    sets = [single_files]
    for path_text in paths:
        path = Path(path_text)
        if not path.is_dir():
            _add_file(single_files, path)
            continue
        directory = ObjectSet()
        files = sorted(path.rglob(f"*{FILE_SUFFIX}"))
        if not files:
            expected = f"a directory with {FILE_SUFFIX} files"
            directory.errors.append(
                SchemaError(path_text, "", "", "no such files", expected)
            )
        for file in files:
            _add_file(directory, file)
        sets.append(directory)
    return sets


def read_merged_set(paths: Iterable[str]) -> ObjectSet:
    """Read all files and directories as one set."""
    merged = ObjectSet()
    for item_set in read_object_sets(paths):
        merged.errors.extend(item_set.errors)
        for item in item_set.items:
            _add_object(merged, item, item_set.sources[get_kind(item), item.name])
    return merged


def _add_file(target: ObjectSet, path: Path) -> None:
    text = read_text(path)
    if text.is_error():
        target.errors.append(text.error)
        return
    source = str(path)
    parse = _choose_parser(text.ok, source)
    result = parse(text.ok, source)
    if result.is_error():
        target.errors.extend(result.error)
        return
    if parse is not parse_manifest:
        return
    for item in result.ok:
        _add_object(target, item, source)


def _add_object(target: ObjectSet, item: AnyObject, source: str) -> None:
    key = (get_kind(item), item.name)
    if key in target.sources:
        section = f"{key[0].value} {item.name}"
        expected = f"each name once; {target.sources[key]} has it too"
        target.errors.append(
            SchemaError(source, section, "", "a second time", expected)
        )
        return
    target.sources[key] = source
    target.items.append(item)


def _choose_parser(text: str, source: str):
    """Return the parser for a file; its section titles show what it contains."""
    sections = read_sections(text, source)
    if sections.is_error():
        return parse_manifest
    titles = {section.title for section in sections.ok}
    if "operator" in titles:
        return parse_config
    if titles & {schema.name for schema in SETTINGS_SECTIONS}:
        return parse_settings
    return parse_manifest
