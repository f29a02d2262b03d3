"""Provide the ``flamingobank`` command."""

from flamingobank._lean_import import import_circuits

# Must be called before the first import of a module that uses circuits.
import_circuits()

from flamingobank.cli.main import main, run  # noqa: E402

__all__ = ["main", "run"]
