"""Run one benchmark, selected by the name of its module.

A benchmark module defines ``measure(options) -> dict`` and may define
``add_arguments(parser)``. The first line of its docstring is its description in the
help text.
"""

import argparse
import importlib
import json
import pkgutil
import sys

import benchmarks

HELPER_MODULES = ("__main__", "events")


def list_benchmarks() -> list[str]:
    """Return the names of the benchmark modules, those that define measure()."""
    names = []
    for module in pkgutil.iter_modules(benchmarks.__path__):
        if module.ispkg or module.name in HELPER_MODULES:
            continue
        if hasattr(importlib.import_module(f"benchmarks.{module.name}"), "measure"):
            names.append(module.name)
    return names


def main(arguments: list[str]) -> int:
    """Run the named benchmark and print its figures as one JSON object.

    With --json the object is a single line, the last line of output.
    """
    parser = argparse.ArgumentParser(prog="python -m benchmarks")
    subparsers = parser.add_subparsers(dest="name", required=True, metavar="NAME")
    for name in list_benchmarks():
        module = importlib.import_module(f"benchmarks.{name}")
        description = (module.__doc__ or name).splitlines()[0]
        subparser = subparsers.add_parser(
            name, help=description, description=description
        )
        subparser.add_argument("--seed", type=int, default=1)
        subparser.add_argument(
            "--json", action="store_true", help="print the figures on one line"
        )
        if hasattr(module, "add_arguments"):
            module.add_arguments(subparser)
        subparser.set_defaults(measure=module.measure)
    options = parser.parse_args(arguments)
    figures = options.measure(options)
    print(json.dumps(figures, indent=None if options.json else 2))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
