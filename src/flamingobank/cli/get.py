"""Show objects of the store."""

import argparse
import json

from flamingobank.cli.context import CommandContext, open_session
from flamingobank.cli.exit_codes import ExitCode
from flamingobank.cli.output import format_table, print_line
from flamingobank.cli.plans import StoreContent, read_content
from flamingobank.cli.reports import (
    report_error,
    report_input_errors,
    report_store_error,
)
from flamingobank.objects import (
    KIND_SCHEMAS,
    AnyObject,
    ObjectKind,
    Selector,
    get_kind,
    parse_selector,
    parse_spec,
    render_manifest,
    render_spec,
)
from flamingobank.schema import Field

# One list call every two seconds is far below the store's 2,000 reads a second.
WATCH_INTERVAL_S = 2.0


def add_parser(subparsers) -> None:
    """Add the parser of the subcommand."""
    text = "Show objects of the store."
    parser = subparsers.add_parser("get", help=text, description=text)
    parser.add_argument("kind", choices=[*(kind.value for kind in ObjectKind), "all"])
    parser.add_argument("name", nargs="?")
    parser.add_argument("-l", "--selector", default="", help="select by labels")
    parser.add_argument(
        "-o", "--output", choices=["table", "json", "ini"], default="table"
    )
    parser.add_argument("--watch", action="store_true", help="print after each change")
    parser.set_defaults(run=run)


def run(options: argparse.Namespace) -> ExitCode:
    """Print objects once, or each time that they change."""
    context = options.context
    selector = parse_selector(options.selector)
    if selector.is_error():
        return report_input_errors(context, [selector.error])
    session = open_session(options)
    if session.is_error():
        return report_input_errors(context, session.error)
    kinds = tuple(ObjectKind) if options.kind == "all" else (ObjectKind(options.kind),)
    shown = None
    while True:
        content = read_content(session.ok.store, kinds)
        if content.is_error():
            return report_store_error(context, content.error)
        items = _select_objects(context, content.ok, options.name, selector.ok)
        text = _render(content.ok, items, options.output)
        if text != shown and (text or not options.watch):
            print_line(text, context.out)
        shown = text
        if not options.watch:
            break
        context.sleep(WATCH_INTERVAL_S)
    if options.name and not items:
        report_error(context, f"{options.kind} {options.name} does not exist")
        return ExitCode.FAILED
    return ExitCode.DONE


def _select_objects(
    context: CommandContext, content: StoreContent, name: str | None, selector: Selector
) -> list[AnyObject]:
    items = []
    for (kind, item_name), stored in content.stored.items():
        if name and item_name != name:
            continue
        result = parse_spec(kind, item_name, stored.spec, "store")
        if result.is_error():
            report_input_errors(context, result.error)
            continue
        labels = {**result.ok.labels, kind.value: item_name}
        if selector.matches(labels):
            items.append(result.ok)
    return items


def _render(content: StoreContent, items: list[AnyObject], output: str) -> str:
    if output == "ini":
        # After an edit, the operator passes this revision to "apply --base".
        return f"# revision {content.revision}\n{render_manifest(items)}".rstrip()
    if output == "json":
        shown = [_make_json(content, item) for item in items]
        return json.dumps({"revision": content.revision, "items": shown}, indent=2)
    return "\n\n".join(
        _make_table(content, kind, [item for item in items if get_kind(item) is kind])
        for kind in ObjectKind
        if any(get_kind(item) is kind for item in items)
    )


def _make_json(content: StoreContent, item: AnyObject) -> dict[str, object]:
    kind = get_kind(item)
    return {
        "kind": kind.value,
        "name": item.name,
        "revision": content.stored[kind, item.name].revision,
        "spec": render_spec(item),
    }


def _make_table(content: StoreContent, kind: ObjectKind, items: list[AnyObject]) -> str:
    fields = KIND_SCHEMAS[kind].fields
    header = [kind.value, "revision", *(field.label.rstrip(".") for field in fields)]
    rows = []
    for item in items:
        revision = str(content.stored[kind, item.name].revision)
        cells = [
            _format_cell(field, getattr(item, field.attribute)) for field in fields
        ]
        rows.append([item.name, revision, *cells])
    return format_table(header, rows)


def _format_cell(field: Field, value: object) -> str:
    if field.is_family:
        pairs = (f"{name}={value[name]}" for name in sorted(value))
        return ",".join(pairs) or "-"
    return field.value_type.render(value) or "-"
