"""Import of circuits without a module that it does not need, to save memory."""

import importlib
import sys

UNUSED_MODULE = "pkg_resources"


def import_circuits() -> None:
    """Import circuits while pkg_resources cannot be imported.

    If pkg_resources is installed, circuits imports it only to declare a namespace
    package. That takes 10 MB of the 64 MB that the control functions of a node may
    use.
    """
    if UNUSED_MODULE in sys.modules:
        return
    sys.modules[UNUSED_MODULE] = None
    try:
        importlib.import_module("circuits")
    finally:
        del sys.modules[UNUSED_MODULE]
