"""Describe services, routes and workspaces as labeled objects."""

from flamingobank.objects.kinds import (
    AnyObject,
    Floor,
    FloorUnit,
    Kind,
    Route,
    Service,
    TrafficClass,
    Workspace,
    get_kind,
)
from flamingobank.objects.selectors import (
    Operator,
    Selector,
    SelectorError,
    Term,
    parse_selector,
)

__all__ = [
    "AnyObject",
    "Floor",
    "FloorUnit",
    "Kind",
    "Operator",
    "Route",
    "Selector",
    "SelectorError",
    "Service",
    "Term",
    "TrafficClass",
    "Workspace",
    "get_kind",
    "parse_selector",
]
