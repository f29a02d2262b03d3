"""Provide the command line."""

from flamingobank._lean_import import import_circuits

# Before the first module that uses circuits.
import_circuits()

from flamingobank.cli.main import main, run  # noqa: E402

__all__ = ["main", "run"]
