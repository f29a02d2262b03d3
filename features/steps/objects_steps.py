"""Steps for the schema of objects, manifests and the checks between objects."""

from behave import given, then, when
from hypothesis import given as given_data, settings, strategies as st

from flamingobank.objects import (
    Floor,
    FloorUnit,
    ObjectKind,
    Operator,
    Route,
    Selector,
    Service,
    Term,
    TrafficClass,
    Workspace,
    check_objects,
    get_kind,
    parse_manifest,
    parse_spec,
    render_manifest,
    render_spec,
    validate_object,
)

REPEATABLE = {"derandomize": True, "database": None, "deadline": None}

LABEL = st.from_regex(r"[A-Za-z0-9]([A-Za-z0-9._/-]{0,6}[A-Za-z0-9])?", fullmatch=True)
NAME = st.from_regex(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,8}[A-Za-z0-9])?", fullmatch=True)
LABELS = st.dictionaries(LABEL, LABEL | st.just(""), max_size=3)
TERM = st.one_of(
    st.builds(
        Term,
        LABEL,
        st.sampled_from([Operator.EQUALS, Operator.NOT_EQUALS]),
        st.tuples(LABEL),
    ),
    st.builds(
        Term,
        LABEL,
        st.sampled_from([Operator.IN, Operator.NOT_IN]),
        st.lists(LABEL, min_size=1, max_size=3).map(tuple),
    ),
    st.builds(Term, LABEL, st.sampled_from([Operator.EXISTS, Operator.NOT_EXISTS])),
)
SELECTOR = st.builds(Selector, st.lists(TERM, min_size=1, max_size=3).map(tuple))
FLOOR = st.one_of(
    st.builds(Floor, st.just(FloorUnit.SHARE), st.floats(0, 1)),
    st.builds(Floor, st.just(FloorUnit.SERVERS), st.integers(0, 100_000).map(float)),
)
SERVICE = st.builds(Service, NAME, SELECTOR, FLOOR, st.floats(0, 1), LABELS)
ROUTE = st.builds(
    Route,
    name=NAME,
    target=SELECTOR,
    host=st.sampled_from(["", "a.example", "*.b-c.example"]),
    path=st.sampled_from(["/", "/a", "/a/b%20c", "/~x;y=1/$&"]),
    methods=st.lists(st.sampled_from(["GET", "PUT", "POST"]), unique=True).map(tuple),
    headers=st.dictionaries(
        st.from_regex(r"[a-z][a-z0-9-]{0,5}", fullmatch=True),
        st.from_regex(r"[!-~]([ -~]{0,9}[!-~])?", fullmatch=True),
        max_size=3,
    ),
    callers=SELECTOR | st.just(Selector()),
    traffic_class=st.sampled_from(list(TrafficClass)),
    idempotent=st.booleans(),
    expected_ms=st.integers(1, 1000),
    deadline_ms=st.integers(1000, 86_400_000),
    labels=LABELS,
)
WORKSPACE = st.builds(Workspace, NAME, LABELS)
OBJECTS = st.lists(
    st.one_of(SERVICE, ROUTE, WORKSPACE),
    max_size=5,
    unique_by=lambda item: (get_kind(item), item.name),
)
MANIFEST_PIECES = [
    "[service a]",
    "[route r]",
    "selector = a=b",
    "target = x",
    "floor = ",
    "=",
    "[",
    "label.",
    "header.X = \x0b",
    "  indented",
    "expected_ms = \u0661",
    "path = /\x85",
]


def parse_table_cell(text):
    """Parse the manifest in a table cell, in which " / " separates lines."""
    return parse_manifest(text.replace(" / ", "\n"), "file.ini")


@given("{count:d} random sets of objects")
def step_count_sets(context, count):
    context.runs = count


@then("each set is equal after it was written as a manifest and read")
def step_manifest_round_trip(context):
    @settings(max_examples=context.runs, **REPEATABLE)
    @given_data(OBJECTS)
    def check(items):
        text = render_manifest(items)
        result = parse_manifest(text, "file.ini")
        assert result.is_ok() and result.ok == items, (text, result)
        assert render_manifest(result.ok) == text

    check()


@then("each object is equal after it was written as a spec and read")
def step_spec_round_trip(context):
    @settings(max_examples=context.runs, **REPEATABLE)
    @given_data(st.one_of(SERVICE, ROUTE, WORKSPACE))
    def check(item):
        spec = render_spec(item)
        assert all(isinstance(text, str) for text in spec.values()), spec
        result = parse_spec(get_kind(item), item.name, spec)
        assert result.is_ok() and result.ok == item, (spec, result)

    check()


@then("random manifest text gives objects or errors that name the file")
def step_hostile_text(context):
    piece = st.text(max_size=12) | st.sampled_from(MANIFEST_PIECES)

    @settings(max_examples=400, **REPEATABLE)
    @given_data(st.lists(piece, max_size=8).map("\n".join))
    def check(text):
        result = parse_manifest(text, "file.ini")
        if result.is_error():
            assert result.error, text
            assert all(str(error).startswith("file.ini") for error in result.error)
            return
        again = parse_manifest(render_manifest(result.ok), "file.ini")
        assert again.is_ok() and again.ok == result.ok, (text, again)

    check()


@when('the manifest "{text}" is read')
def step_read(context, text):
    context.result = parse_table_cell(text)


@then('the only manifest error has section "{section}" and key "{key}"')
@then('the only manifest error has section "{section}" and key ""')
@then('the only manifest error has section "" and key ""')
def step_error_place(context, section="", key=""):
    assert context.result.is_error(), context.result
    assert len(context.result.error) == 1, [str(e) for e in context.result.error]
    error = context.result.error[0]
    assert (error.section, error.key) == (section, key), error
    assert error.source == "file.ini", error


@then('it shows "{seen}" and expects "{expected}"')
def step_error_values(context, seen, expected):
    error = context.result.error[0]
    assert seen in error.seen, error
    assert expected in error.expected, error


@when('the manifest "{text}" is checked as a whole')
def step_check(context, text):
    result = parse_table_cell(text)
    assert result.is_ok(), result
    sources = {(get_kind(item), item.name): "file.ini" for item in result.ok}
    context.findings = check_objects(result.ok, sources)


@then('there is one finding, "{severity}" of "{section}", that says "{words}"')
def step_finding(context, severity, section, words):
    assert len(context.findings) == 1, [str(item) for item in context.findings]
    finding = context.findings[0]
    assert finding.severity.value == severity, finding
    assert (finding.source, finding.section) == ("file.ini", section), finding
    assert words in finding.expected, finding


@then("there is no finding")
def step_no_finding(context):
    assert context.findings == [], [str(item) for item in context.findings]


@then('a service built in code with a floor of {value:g} has the error "{words}"')
def step_floor(context, value, words):
    floor = Floor(FloorUnit.SHARE, value)
    service = Service(
        "a", parse_spec(ObjectKind.SERVICE, "a", {"selector": "x"}).ok.selector
    )
    assert validate_object(service) == []
    errors = validate_object(Service("a", service.selector, floor))
    assert len(errors) == 1 and words in errors[0].expected, errors
    context.service = Service("a", service.selector, floor)


@then('checking that service beside others gives the error "{words}"')
def step_floor_beside(context, words):
    findings = check_objects([context.service])
    assert len(findings) == 1 and words in findings[0].expected, findings
    assert findings[0].severity.value == "error", findings
