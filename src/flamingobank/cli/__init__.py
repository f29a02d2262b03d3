"""Provide the command line."""

import sys

# circuits imports pkg_resources when it is installed, only to declare a namespace;
# that takes 10 MB of the 64 MB that a node may use. Without it circuits goes on.
if "pkg_resources" not in sys.modules:
    sys.modules["pkg_resources"] = None
    import circuits  # noqa: F401

    del sys.modules["pkg_resources"]

from flamingobank.cli.main import main, run  # noqa: E402

__all__ = ["main", "run"]
