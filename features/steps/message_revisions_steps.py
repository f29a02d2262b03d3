"""Steps for messages between processes of different builds."""

import msgpack
from behave import given, then, when

from flamingobank.sidecar.links.codec import MessageReader, pack_message
from flamingobank.sidecar.links.messages import (
    MESSAGE_REVISION,
    Commit,
    HomeReport,
    Offer,
    ReportPush,
    make_boot,
    parse_revision,
)

# The numbers of fields in builds of revision 1.
OFFER_FIELDS, COMMIT_FIELDS, REPORT_FIELDS = 9, 8, 6
OFFER = (1, "orders", True, False, 1, 2.0, 1.0, False, False)
COMMIT = (1, "id", "GET", b"/", [], b"", 2.0, "orders")
REPORT = ("orders", 0.1, 1, 0, 4, True)


@given("an offer, a commit and a report with optional fields")
def set_optional_fields(context):
    context.messages = [
        Offer(*OFFER, route="status", expected_s=0.25),
        Commit(*COMMIT, workspace="clinic"),
        ReportPush(HomeReport(*REPORT, limit=3, backlog_s=0.5)),
    ]


@given("an offer, a commit and a report without optional fields")
def leave_optional_fields(context):
    context.messages = [Offer(*OFFER), Commit(*COMMIT), ReportPush(HomeReport(*REPORT))]


@when("they are encoded for a peer of revision 1")
def encode_for_old_peer(context):
    context.packed = [pack_message(message, 1) for message in context.messages]


@when("they are encoded for a peer of the current revision")
def encode_for_current_peer(context):
    context.packed = [pack_message(message) for message in context.messages]


@then("each has only the fields that builds of revision 1 have")
def check_old_fields(context):
    offer, commit, push = (msgpack.unpackb(data)[1] for data in context.packed)
    counts = (len(offer), len(commit), len(push[0]))
    assert counts == (OFFER_FIELDS, COMMIT_FIELDS, REPORT_FIELDS), counts


@then("each is decoded to an equal message")
def check_decoded(context):
    decoded = MessageReader().feed(b"".join(context.packed))
    assert decoded == context.messages, decoded


@then("the boot id of this build states the current revision")
def check_own_revision(context):
    assert parse_revision(make_boot("5f3a9c0d1e2b4f66")) == MESSAGE_REVISION


@then('the boot id "{boot}" states revision {revision:d}')
def check_revision(context, boot, revision):
    assert parse_revision(boot) == revision
