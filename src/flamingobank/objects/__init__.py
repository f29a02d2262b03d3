"""Services, routes and workspaces as labeled objects."""

from flamingobank.objects.checks import check_objects, select_services
from flamingobank.objects.kinds import (
    AnyObject,
    Floor,
    FloorUnit,
    ObjectKind,
    Route,
    Service,
    TrafficClass,
    Workspace,
    get_kind,
)
from flamingobank.objects.manifests import parse_manifest, render_manifest
from flamingobank.objects.schema import KIND_SCHEMAS, OBJECT_NAME, KindSchema
from flamingobank.objects.selectors import (
    Operator,
    Selector,
    SelectorError,
    Term,
    parse_selector,
)
from flamingobank.objects.specs import (
    ObjectError,
    parse_spec,
    render_spec,
    validate_object,
)

__all__ = [
    "AnyObject",
    "Floor",
    "FloorUnit",
    "KIND_SCHEMAS",
    "ObjectKind",
    "KindSchema",
    "OBJECT_NAME",
    "ObjectError",
    "Operator",
    "Route",
    "Selector",
    "SelectorError",
    "Service",
    "Term",
    "TrafficClass",
    "Workspace",
    "check_objects",
    "get_kind",
    "parse_manifest",
    "parse_selector",
    "parse_spec",
    "render_manifest",
    "render_spec",
    "select_services",
    "validate_object",
]
