"""Run a node of the fleet."""

from flamingobank.node.daemon import Node, hold_stop_signals, make_boot_id

__all__ = ["Node", "hold_stop_signals", "make_boot_id"]
