"""Run a node of the fleet."""

from flamingobank.node.daemon import Node, make_boot_id

__all__ = ["Node", "make_boot_id"]
