"""Provide the command line."""

from flamingobank.cli.main import main, run

__all__ = ["main", "run"]
