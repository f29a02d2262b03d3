"""Directory of the nodes that are homes of a service's servers."""

from flamingobank.directory.table import DirectoryTable, HomeEntry

__all__ = ["DirectoryTable", "HomeEntry"]
