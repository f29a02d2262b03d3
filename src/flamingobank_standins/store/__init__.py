"""Simulate the platform's object API of section 4.1 of the design."""

from flamingobank_standins.store.faults import Counters, Faults, Outage
from flamingobank_standins.store.messages import Call, Handled, StoreReply
from flamingobank_standins.store.object_store import MAX_VALUE_BYTES, ObjectStore
from flamingobank_standins.store.server import StoreServer

__all__ = [
    "MAX_VALUE_BYTES",
    "Call",
    "Counters",
    "Faults",
    "Handled",
    "ObjectStore",
    "Outage",
    "StoreReply",
    "StoreServer",
]
