"""Check how an entry serves a request, with scripted homes."""

from behave import given, then, when
from hypothesis import given as for_all, settings, strategies as st

from features.support.sidecar import ExchangeHarness, RecordingRequest
from flamingobank.core import ServiceName
from flamingobank.sidecar.decisions.home_subset import HomeSubset
from flamingobank.sidecar.fleet.routes import RouteKind

RANDOMISED = settings(derandomize=True, database=None, deadline=None, max_examples=60)
OFFER_REACTIONS = ("grant", "busy", "suspect", "silent", "server-down", "no-server")
REQUEST_REACTIONS = (200, 500, "not-run", "unknown", "lost", "restarted", "hang")
REFUSALS = (408, 421, 429, 503)
ORDERS = ServiceName("orders")


def _parse_script(script):
    return [int(word) if word.isdigit() else word for word in script.split()]


def _make_harness(kind, scripts, **options):
    """Return a harness with a seed for which the first home gets the first offer."""
    for seed in range(50):
        harness = ExchangeHarness(RouteKind(kind), scripts, seed=seed, **options)
        for home in harness.homes.values():
            home.react_to_offer = lambda stream, reaction: None
        harness.entry.take(harness.request)
        if harness.homes["h0"].handlers:
            return ExchangeHarness(RouteKind(kind), scripts, seed=seed, **options)
    raise AssertionError("no seed of 50 offers the request to the first home first")


@given('homes that react to {kind} requests with "{first}" and "{second}"')
def step_homes(context, kind, first, second):
    context.harness = _make_harness(kind, [_parse_script(first), _parse_script(second)])


@given('homes that react to safe requests in one attempt with "{script}"')
def step_one_attempt(context, script):
    scripts = [_parse_script(script), _parse_script(script)]
    context.harness = _make_harness("safe", scripts, max_attempts=1)


@given('homes that react to safe requests without retries with "{script}"')
def step_no_retries(context, script):
    context.harness = _make_harness(
        "safe", [_parse_script(script), _parse_script(script)], retries=0.0
    )


@when("the request is served")
def step_serve(context):
    context.harness.run()


@when("the caller leaves while its request runs")
def step_leave(context):
    harness = context.harness
    harness.run(0.1)
    assert len(harness.commits) == 1, harness.commits
    harness.request.watcher.on_caller_left()


@then("the caller gets {status:d} and {sent:d} homes got the request")
def step_answered(context, status, sent):
    assert context.harness.final == status, context.harness.request.answers
    assert len(context.harness.commits) == sent, context.harness.commits


@then('its outcome is counted as "{outcome}"')
def step_outcome(context, outcome):
    text = context.harness.entry.metrics.render().decode()
    (line,) = [
        line
        for line in text.splitlines()
        if line.startswith("flamingobank_requests_total{")
    ]
    assert f'outcome="{outcome}"' in line, line


@then("the answer carries the server's signature header")
def step_signature(context):
    assert b"server-seal" in context.harness.request.answers[0][1]


@then("the answer gives a retry delay")
def step_retry_delay(context):
    headers = context.harness.request.answers[0][1]
    assert float(headers[b"retry-after"]) > 0, headers


@then("less than half a second has passed")
def step_half_second(context):
    assert context.harness.loop.clock.now() < 100.5


@then("less than one second has passed")
def step_one_second(context):
    assert context.harness.loop.clock.now() < 101.0


@then("the home is told to cancel it")
def step_cancelled(context):
    harness = context.harness
    (node,) = harness.commits
    (commit,) = harness.homes[node].commits
    assert commit.stream in harness.homes[node].cancelled_streams
    assert not harness.request.answers


@when("unsafe requests meet homes with random reactions")
def step_random_homes(context):
    context.harnesses = []
    pair = st.tuples(
        st.sampled_from(OFFER_REACTIONS), st.sampled_from(REQUEST_REACTIONS)
    )
    scripts = st.lists(st.lists(pair, min_size=1, max_size=2), min_size=1, max_size=4)

    @RANDOMISED
    @for_all(scripts, st.integers(0, 99))
    def run(pairs_by_home, seed):
        reactions = [
            [
                word
                for offer, request in script
                for word in _expand_reactions(offer, request)
            ]
            for script in pairs_by_home
        ]
        context.harnesses.append(
            ExchangeHarness(RouteKind.UNSAFE, reactions, seed=seed).run()
        )

    run()


def _expand_reactions(offer, request):
    # Only a granted offer is followed by a request.
    return (offer, request) if offer == "grant" else (offer,)


@then("each gets one answer in time, ran at most once, and not at all if refused")
def step_random_held(context):
    for harness in context.harnesses:
        assert harness.loop.clock.now() < 102.1, harness.loop.clock.now()
        ran = 0
        for home in harness.homes.values():
            for commit, reaction in zip(
                home.commits, home.request_reactions, strict=True
            ):
                assert commit.request_id == "r1"
                ran += reaction not in ("not-run", "lost")
        assert ran <= 1, [home.commits for home in harness.homes.values()]
        if harness.final in REFUSALS:
            assert ran == 0, harness.request.answers


def _make_large_service(kind, make_script):
    # The budget is for the whole fleet, so each entry may send ten retries.
    scripts = [make_script() for _ in range(145)]
    return ExchangeHarness(RouteKind(kind), scripts, retries=10.0 * (145 + 1))


@given('145 homes that refuse {kind} requests as "{reason}"')
def step_large_refusing(context, kind, reason):
    context.harness = _make_large_service(kind, lambda: [reason] * 10)


@given('145 homes that react to {kind} requests with "{script}"')
def step_large_serving(context, kind, script):
    context.harness = _make_large_service(kind, lambda: _parse_script(script) * 300)


@given("all homes that the entry uses have lost their links")
def step_lost_links(context):
    harness = context.harness
    homes = harness.peers.list_homes(ORDERS)
    own = harness.peers.local_record
    for home in HomeSubset(own.node, own.failure_domain).choose(homes):
        harness.homes[home.node].is_usable = False


@when("{count:d} {kind} requests are served")
def step_serve_many(context, count, kind):
    harness = context.harness
    for _ in range(count):
        harness.request = RecordingRequest(harness.loop.clock.now(), RouteKind(kind))
        harness.run()
        assert harness.final == 200, harness.request.answers


@then("at most {limit:d} offers were made")
def step_few_offers(context, limit):
    made = sum(10 - len(home.script) for home in context.harness.homes.values())
    assert 0 < made <= limit, made


@then(
    "at most {limit:d} homes got a request, at least half of them in other failure "
    "domains"
)
def step_few_homes(context, limit):
    harness = context.harness
    used = {node for node, home in harness.homes.items() if home.commits}
    local = [
        node
        for node in used
        if harness.peers.find(node).failure_domain
        == harness.peers.local_record.failure_domain
    ]
    assert 12 < len(used) <= limit, used
    assert len(local) <= len(used) / 2 + 1, (local, used)


@when("the request is served without a host")
def step_serve_without_host(context):
    request = context.harness.request
    request.headers = [item for item in request.headers if item[0] != b"host"]
    context.harness.run()
