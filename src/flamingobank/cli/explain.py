"""Explain kinds of objects and sections of settings."""

import argparse

from flamingobank.cli.config import CONFIG_SECTIONS
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import print_line
from flamingobank.objects import KIND_SCHEMAS
from flamingobank.schema import (
    FieldTable,
    explain_field,
    explain_fields,
    suggest_name,
)
from flamingobank.settings import SETTINGS_SECTIONS

Topics = dict[str, tuple[str, FieldTable]]


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Explain a kind of object, a section of settings, or one of their keys."
    parser = subparsers.add_parser("explain", help=text, description=text)
    parser.add_argument("topic", nargs="?", metavar="KIND[.FIELD]", default="")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Print the explanation of one topic, or a list of all topics."""
    context = options.context
    topics = list_topics()
    if not options.topic:
        for title, (description, _) in topics.items():
            print_line(f"{title}: {description}", context.out)
        return ExitCode.DONE
    title, _, key = options.topic.partition(".")
    if title not in topics:
        expected = suggest_name(title, topics)
        print_line(f"topic {title!r} is unknown, expected {expected}", context.err)
        return ExitCode.BAD_INPUT
    description, fields = topics[title]
    if not key:
        print_line(explain_fields(title, description, fields), context.out)
        return ExitCode.DONE
    field = fields.find(key) or fields.find(f"{key}.")
    if field is None:
        expected = suggest_name(key, [item.label for item in fields])
        print_line(f"{title} has no key {key!r}, expected {expected}", context.err)
        return ExitCode.BAD_INPUT
    print_line(explain_field(title, field), context.out)
    return ExitCode.DONE


def list_topics() -> Topics:
    """Return the description and fields of each kind and section by its topic."""
    topics: Topics = {}
    for schema in KIND_SCHEMAS.values():
        topics[schema.kind.value] = (schema.description, schema.fields)
    for section in SETTINGS_SECTIONS:
        topics[f"settings/{section.name}"] = (section.description, section.fields)
    for section in CONFIG_SECTIONS:
        topics[f"config/{section.name}"] = (section.description, section.fields)
    return topics
