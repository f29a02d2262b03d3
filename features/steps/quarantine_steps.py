"""Steps that check crash ledgers against a reference model and their limits."""

import random

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from flamingobank.core import Fingerprint, InstanceId, RouteName
from flamingobank.quarantine import (
    Clearance,
    CrashId,
    CrashLedger,
    CrashReport,
    compute_fingerprint,
)

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=300)
NAMES = st.integers(0, 4)
MESSAGES = st.lists(
    st.one_of(
        st.builds(
            # The server follows from the crash ID: a crash affects only one server.
            lambda f, crash: CrashReport(
                Fingerprint(b"f%d" % f),
                InstanceId(f"s{crash % 3}"),
                CrashId(f"c{crash}"),
            ),
            # With only 3 requests and 5 crashes, the crashes of one request are often a
            # subset of those of another.
            st.integers(0, 2),
            NAMES,
        ),
        st.builds(
            lambda f, crash: Clearance(Fingerprint(b"f%d" % f), CrashId(f"c{crash}")),
            NAMES,
            NAMES,
        ),
    ),
    max_size=40,
)


def _deliver(ledger, message, now):
    if isinstance(message, CrashReport):
        ledger.record_crash(
            message.fingerprint, message.instance, message.crash_id, now
        )
        return
    ledger.record_clearance(message, now)


def _list_quarantined(messages):
    """Return the requests to refuse, computed with plain sets as a reference."""
    cleared = {m for m in messages if isinstance(m, Clearance)}
    crashes, servers = {}, {}
    for report in messages:
        if not isinstance(report, CrashReport):
            continue
        if Clearance(report.fingerprint, report.crash_id) in cleared:
            continue
        crashes.setdefault(report.fingerprint, set()).add(report.crash_id)
        servers.setdefault(report.fingerprint, set()).add(report.instance)
    refused = set()
    for name, own in crashes.items():
        others = [crashes[other] for other in crashes if other != name]
        if any(other > own for other in others):
            continue
        needed = 3 if own in others else 2
        if len(servers[name]) >= needed:
            refused.add(name)
    return refused


@when("crash ledgers get random reports and clearances shuffled and repeated")
def step_shuffled(context):
    context.mismatches = []
    context.refusals = 0

    @RANDOMISED
    @for_all(MESSAGES, st.integers(0, 2**16))
    def run(messages, seed):
        rng = random.Random(seed)
        expected = _list_quarantined(messages)
        context.refusals += len(expected)
        for _ in range(3):
            ledger = CrashLedger()
            order = messages + rng.choices(messages, k=5) if messages else []
            rng.shuffle(order)
            for message in order:
                _deliver(ledger, message, rng.uniform(0.0, 2.0))
            found = {
                Fingerprint(b"f%d" % f)
                for f in range(5)
                if ledger.is_quarantined(Fingerprint(b"f%d" % f), 2.0)
            }
            if found != expected:
                context.mismatches.append((order, found, expected))

    run()


@then("every ledger agrees with the reference sets of reports")
def step_agree(context):
    assert not context.mismatches, context.mismatches[0]
    assert context.refusals, "no random run refused a request, so nothing was tested"


@given('crash reports of request "{name}" from servers "{servers}"')
def step_reports(context, name, servers):
    context.ledger = CrashLedger()
    context.reports = [
        CrashReport(Fingerprint(name.encode()), InstanceId(s), CrashId(f"c{index}"))
        for index, s in enumerate(servers.split(", "))
    ]
    for report in context.reports:
        _deliver(context.ledger, report, 0.0)


@given('request "{name}" in flight in the first {count:d} crashes')
def step_in_flight(context, name, count):
    for report in context.reports[:count]:
        _deliver(
            context.ledger,
            CrashReport(Fingerprint(name.encode()), report.instance, report.crash_id),
            0.0,
        )


@when('request "{name}" completes elsewhere')
def step_completes(context, name):
    assert context.ledger.record_completion(Fingerprint(name.encode()), 0.0)


@then('request "{name}" is quarantined after {first:d} and {last:d} seconds')
def step_quarantined(context, name, first, last):
    for now in (first, last):
        assert context.ledger.is_quarantined(Fingerprint(name.encode()), now), now


@then('request "{name}" is not quarantined after {now:d} seconds')
def step_not_quarantined(context, name, now):
    assert not context.ledger.is_quarantined(Fingerprint(name.encode()), now)


@then("stale copies of its reports extend nothing, even after a clock jump back")
def step_stale(context):
    ledger = CrashLedger()
    for now in (0.0, 500.0, 100.0, 599.0):
        for report in context.reports:
            _deliver(ledger, report, now)
    assert ledger.is_quarantined(context.reports[0].fingerprint, 599.0)
    for report in context.reports:
        _deliver(ledger, report, 601.0)
    assert not ledger.is_quarantined(context.reports[0].fingerprint, 601.0)


@when("a crash ledger of {limit:d} reports gets {count:d} reports")
def step_flood(context, limit, count):
    context.ledger = CrashLedger(max_reports=limit)
    for index in range(count):
        name = Fingerprint(b"%d" % index)
        crash_id = CrashId(f"c{index}")
        context.ledger.record_crash(name, InstanceId("s"), crash_id, 0.0)
        context.ledger.record_clearance(Clearance(name, crash_id), 0.0)


@then("the ledger remembers at most {limit:d} reports")
def step_bounded(context, limit):
    assert len(context.ledger.list_reports(0.0)) == limit
    assert len(context.ledger.list_clearances(0.0)) == limit


@when("fingerprints of random requests are computed")
def step_fingerprints(context):
    context.mismatches = []
    texts = st.sampled_from(["", "a", "b", "ab", "\udcff"])
    request = st.tuples(
        st.sampled_from(["r", "ra"]),
        texts,
        st.sampled_from(["GET", "POST"]),
        texts,
        st.sampled_from([b"", b"a", b"ab"]),
    )

    @RANDOMISED
    @for_all(request, request)
    def run(one, two):
        same = one[:2] == two[:2] if one[1] or two[1] else one[2:] == two[2:]
        equal = compute_fingerprint(RouteName(one[0]), *one[1:]) == compute_fingerprint(
            RouteName(two[0]), *two[1:]
        )
        if same != equal:
            context.mismatches.append((one, two))

    run()


@then("they are equal exactly when the requests are copies")
def step_copies(context):
    assert not context.mismatches, context.mismatches[0]
