"""Build the parts of a node that use the store."""

import random

from flamingobank.node.knowledge.decision_audit import DecisionAudit
from flamingobank.node.knowledge.store_watch import StoreWatch
from flamingobank.node.parts import NodeParts
from flamingobank.store import StoreClient
from flamingobank.store.transport import LoopTransport
from flamingobank.wire import CrashNotice


def make_store_client(node: NodeParts, token: str, rng: random.Random) -> StoreClient:
    """Return a client for the store in the node's settings."""
    transport = LoopTransport(
        node.poller, node.timers, node.clock, node.settings.store, token
    )
    return StoreClient(transport, node.timers, node.clock, rng, node.boot)


def make_store_watch(
    node: NodeParts, client: StoreClient, rng: random.Random
) -> StoreWatch:
    """Return a store watch, which takes part in the election of domain watchers."""
    settings = node.settings
    host, port = settings.peers
    return StoreWatch(
        settings.node_id,
        node.boot,
        settings.failure_domain,
        f"{host}:{port}",
        node.clock,
        node.timers,
        rng,
        client,
        node.configuration,
        node.members.list_domain,
    )


def audit_decisions(node: NodeParts, client: StoreClient, rng: random.Random) -> None:
    """Record ejections, readmissions and crash reports in the audit trail."""
    audit = DecisionAudit(
        node.settings.node_id, node.boot, node.clock, node.timers, rng, client
    )

    def record_health(event: dict) -> None:
        what = event["what"]
        audit.record(what, f"server/{event['instance']}", "", what, event["why"])

    def record_crash(notice: CrashNotice, why: str) -> None:
        audit.record(
            "suspect",
            f"request/{notice.fingerprint.hex()}",
            "",
            f"in flight when {notice.instance} crashed",
            why,
        )

    node.ejections.on_event = record_health
    node.crashes.on_crash = record_crash
