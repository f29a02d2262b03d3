"""Import circuits without the memory of what it does not need."""

import importlib
import sys

UNUSED_MODULE = "pkg_resources"


def import_circuits() -> None:
    """Import circuits while pkg_resources is hidden.

    circuits imports it, where it is installed, only to declare a namespace package;
    that takes 10 MB of the 64 MB that a node may use for control.
    """
    if UNUSED_MODULE in sys.modules:
        return
    sys.modules[UNUSED_MODULE] = None
    try:
        importlib.import_module("circuits")
    finally:
        del sys.modules[UNUSED_MODULE]
