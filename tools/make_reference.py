"""Write the reference pages that are generated from the schemas.

With ``--check`` nothing is written, and the exit code is 1 if a page is out of date.
"""

import argparse
import sys
from collections.abc import Iterable, Sequence
from pathlib import Path

from flamingobank.cli.config import CONFIG_SECTIONS
from flamingobank.objects import KIND_SCHEMAS
from flamingobank.schema import Field, SectionSchema, describe_default
from flamingobank.settings import SETTINGS_SECTIONS

ROOT = Path(__file__).resolve().parent.parent
REFERENCE = ROOT / "docs" / "reference"
NOTE = "This page is written by `python -m tools.make_reference`; edit the schema.\n"


def render_objects_page() -> str:
    """Return the reference page of the object kinds."""
    parts = [
        "# Objects\n",
        NOTE,
        "A manifest is an INI file with one section per object, such as "
        "`[service orders]`.\n"
        "Names have at most 128 letters, digits, dots, underscores and hyphens. "
        "Lines that\nstart with `#` or `;` are comments.\n",
        "A selector is a list of terms that must all hold: `a=b`, `a!=b`, "
        "`a in (b, c)`,\n`a notin (b, c)`, `a` (the label exists), `!a` (it does "
        "not exist). An empty\nselector matches everything.\n",
    ]
    for schema in KIND_SCHEMAS.values():
        parts.append(f"## {schema.kind.value}\n")
        parts.append(f"{schema.description}\n")
        parts.append(render_table(schema.fields))
    return "\n".join(parts)


def render_settings_page() -> str:
    """Return the reference page of the settings of nodes and of the command line."""
    parts = [
        "# Settings\n",
        NOTE,
        "File names are relative to the directory of the settings file. Secrets "
        "are read\nfrom files and never stand in settings.\n",
        "## Settings of a node\n",
        "Used by `flamingobank node --settings FILE`.\n",
        *_render_sections(SETTINGS_SECTIONS),
        "## Settings of the command line\n",
        "Used by the other commands, from `--config FILE` or the environment "
        "variable\n`FLAMINGOBANK_CONFIG`.\n",
        *_render_sections(CONFIG_SECTIONS),
    ]
    return "\n".join(parts)


def render_table(fields: Iterable[Field]) -> str:
    """Return a Markdown table with one row per field."""
    lines = [
        "| key | meaning | expected | default | example |",
        "| --- | --- | --- | --- | --- |",
    ]
    for field in fields:
        cells = [
            f"`{field.label}`",
            field.description,
            field.value_type.expected,
            describe_default(field),
            f"`{field.example}`",
        ]
        lines.append(
            f"| {' | '.join(cell.replace('|', chr(92) + '|') for cell in cells)} |"
        )
    return "\n".join(lines) + "\n"


def _render_sections(sections: Sequence[SectionSchema]) -> list[str]:
    parts = []
    for section in sections:
        parts.append(f"### [{section.name}]\n")
        parts.append(f"{section.description}\n")
        parts.append(render_table(section.fields))
    return parts


PAGES = {"objects.md": render_objects_page, "settings.md": render_settings_page}


def find_stale_pages() -> list[str]:
    """Return the file names of the pages that differ from the rendered schemas."""
    stale = []
    for name, render in PAGES.items():
        path = REFERENCE / name
        if not path.exists() or path.read_text(encoding="utf-8") != render():
            stale.append(name)
    return stale


def main(arguments: list[str]) -> int:
    """Write the pages, or with ``--check`` return 1 if one is out of date."""
    parser = argparse.ArgumentParser(prog="python -m tools.make_reference")
    parser.add_argument("--check", action="store_true")
    options = parser.parse_args(arguments)
    if options.check:
        stale = find_stale_pages()
        for name in stale:
            print(f"docs/reference/{name} differs from the schema")
        return 1 if stale else 0
    for name, render in PAGES.items():
        (REFERENCE / name).write_text(render(), encoding="utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
