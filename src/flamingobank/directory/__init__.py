"""Know which nodes are home to the servers of a service."""

from flamingobank.directory.table import DirectoryTable, HomeEntry

__all__ = ["DirectoryTable", "HomeEntry"]
