"""Simulate the store's object API, as section 4.1 of the design defines it."""

from flamingobank_standins.store.faults import Counters, Outage, StoreFaults
from flamingobank_standins.store.messages import HandledCall, ReceivedCall, StoreReply
from flamingobank_standins.store.object_store import MAX_VALUE_BYTES, ObjectStore
from flamingobank_standins.store.server import StoreServer

__all__ = [
    "MAX_VALUE_BYTES",
    "ReceivedCall",
    "Counters",
    "StoreFaults",
    "HandledCall",
    "ObjectStore",
    "Outage",
    "StoreReply",
    "StoreServer",
]
