"""Fields of each kind of object."""

from dataclasses import dataclass

from expression import Error, Ok, Result

from flamingobank.objects.kinds import (
    KIND_CLASSES,
    Floor,
    FloorUnit,
    ObjectKind,
    TrafficClass,
)
from flamingobank.objects.selectors import LABEL_NAME, Selector, parse_selector
from flamingobank.schema import (
    Choice,
    Field,
    FieldTable,
    Integer,
    ListOf,
    Pattern,
    Share,
    ValueType,
    YesNo,
    render_share,
)

MAX_WORK_MS = 86_400_000
MAX_FLOOR_SERVERS = 100_000
METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS")

_HOST_LABEL = r"[a-z0-9](?:[a-z0-9-]{0,61}[a-z0-9])?"
_PATH_CHARACTER = r"(?:[A-Za-z0-9._~!$&'()*+,;=:@-]|%[0-9A-Fa-f]{2})"


class SelectorValue(ValueType):
    """Value type for a selector over labels."""

    expected = "terms such as a=b, c!=d, e in (f, g), h notin (i), j, !k"

    def parse(self, text: str) -> Result[Selector, str]:
        """Return the selector, or what is expected instead of its wrong term."""
        result = parse_selector(text)
        if result.is_error():
            return Error(f"{result.error.expected} instead of {result.error.term!r}")
        return Ok(result.ok)


class RequiredSelector(SelectorValue):
    """Value type for a selector with at least one term."""

    def parse(self, text: str) -> Result[Selector, str]:
        """Return the selector; an empty text is an error."""
        if not text.strip():
            return Error(f"at least one term: {self.expected}")
        return super().parse(text)


class FloorValue(ValueType):
    """Value type for a share of the announced servers or a number of servers."""

    expected = "a percentage from 0% to 100%, or a number of servers"

    def parse(self, text: str) -> Result[Floor, str]:
        """Return the floor, or what is expected instead."""
        if text.endswith("%"):
            share = Share().parse(text)
            if share.is_error():
                return Error(self.expected)
            return Ok(Floor(FloorUnit.SHARE, share.ok))
        count = Integer(0, MAX_FLOOR_SERVERS).parse(text)
        if count.is_error():
            return Error(self.expected)
        return Ok(Floor(FloorUnit.SERVERS, float(count.ok)))

    def render(self, value: Floor) -> str:
        """Return a share as a percentage such as 70%, and a number such as 8 as is."""
        if value.unit is FloorUnit.SHARE:
            return render_share(value.value)
        return f"{value.value:g}"


OBJECT_NAME = Pattern(
    r"[A-Za-z0-9](?:[A-Za-z0-9._-]{0,126}[A-Za-z0-9])?",
    "a name of at most 128 letters, digits, dots, underscores and hyphens",
)
LABEL_KEY = Pattern(
    LABEL_NAME.pattern, "of letters, digits, dots, underscores, slashes and hyphens"
)
LABEL_VALUE = Pattern(
    f"(?:{LABEL_NAME.pattern})?",
    "letters, digits, dots, underscores, slashes and hyphens, or nothing",
)
HOST = Pattern(
    rf"(?:(?:\*\.)?{_HOST_LABEL}(?:\.{_HOST_LABEL})*)?",
    "a host name, *.NAME for its subdomains, or nothing for every host",
    lower=True,
)
PATH = Pattern(
    rf"/|(?:/{_PATH_CHARACTER}+)+",
    "a path such as /orders/status, without a slash at the end",
)
HEADER_NAME = Pattern(r"[a-z0-9!#$%&'*+.^_`|~-]+", "a header name", lower=True)
HEADER_VALUE = Pattern(
    r"[!-~](?:[ -~]{0,1022}[!-~])?", "1 to 1024 printable ASCII characters"
)

LABELS = Field(
    "label.",
    "labels",
    LABEL_VALUE,
    "Labels that selectors match.",
    "label.team = stock",
    key_type=LABEL_KEY,
)

_SERVICE_FIELDS = FieldTable(
    Field(
        "selector",
        "selector",
        RequiredSelector(),
        "Selects the servers of the service by the labels that they announce.",
        "selector = app=orders",
    ),
    Field(
        "floor",
        "floor",
        FloorValue(),
        "Healthy capacity that ejection must leave in service, "
        "as a percentage of the announced servers or as a number.",
        "floor = 70%",
        default="70%",
    ),
    Field(
        "long_share",
        "long_share",
        Share(),
        "Share of a server's slots that long requests may use while short ones wait.",
        "long_share = 75%",
        default="75%",
    ),
    LABELS,
)

_ROUTE_FIELDS = FieldTable(
    Field(
        "target",
        "target",
        RequiredSelector(),
        "Selects the service by its labels; the label service holds its name.",
        "target = service=orders",
    ),
    Field(
        "host",
        "host",
        HOST,
        "Host of matching requests; empty for every host.",
        "host = *.orders.example",
        default="",
    ),
    Field(
        "path",
        "path",
        PATH,
        "Path prefix of matching requests; only whole path segments match.",
        "path = /orders/status",
        default="/",
    ),
    Field(
        "methods",
        "methods",
        ListOf(Choice({method: method for method in METHODS})),
        "Methods of matching requests; empty for every method.",
        "methods = GET, HEAD",
        default="",
    ),
    Field(
        "header.",
        "headers",
        HEADER_VALUE,
        "Header that a request must have with exactly this value.",
        "header.x-purpose = stock-check",
        key_type=HEADER_NAME,
    ),
    Field(
        "callers",
        "callers",
        SelectorValue(),
        "Selects callers by the labels of their workspace; empty for every caller.",
        "callers = tier=partner",
        default="",
    ),
    Field(
        "class",
        "traffic_class",
        Choice({item.value: item for item in TrafficClass}),
        "Traffic class; customer traffic is served before internal traffic.",
        "class = customer",
        default="customer",
    ),
    Field(
        "idempotent",
        "idempotent",
        YesNo(),
        "Whether a request may run twice without harm, so that it may be retried.",
        "idempotent = no",
        default="yes",
    ),
    Field(
        "expected_ms",
        "expected_ms",
        Integer(1, MAX_WORK_MS, "milliseconds"),
        "Time that a server usually needs for a request.",
        "expected_ms = 50",
        default="50",
    ),
    Field(
        "deadline_ms",
        "deadline_ms",
        Integer(1, MAX_WORK_MS, "milliseconds"),
        "Time after which the caller no longer needs the answer.",
        "deadline_ms = 10000",
        default="10000",
    ),
    LABELS,
)


@dataclass(frozen=True, slots=True)
class KindSchema:
    """Schema of a kind of object, with its class, description and fields."""

    kind: ObjectKind
    object_class: type
    description: str
    fields: FieldTable


KIND_SCHEMAS: dict[ObjectKind, KindSchema] = {
    ObjectKind.SERVICE: KindSchema(
        ObjectKind.SERVICE,
        KIND_CLASSES[ObjectKind.SERVICE],
        "Groups the servers that a selector chooses by their labels.",
        _SERVICE_FIELDS,
    ),
    ObjectKind.ROUTE: KindSchema(
        ObjectKind.ROUTE,
        KIND_CLASSES[ObjectKind.ROUTE],
        "Sends matching requests to the service that a selector chooses.",
        _ROUTE_FIELDS,
    ),
    ObjectKind.WORKSPACE: KindSchema(
        ObjectKind.WORKSPACE,
        KIND_CLASSES[ObjectKind.WORKSPACE],
        "Describes the tenant that a caller acts for.",
        FieldTable(LABELS),
    ),
}
