"""Client of the platform's object API, with leases and a call budget."""

from flamingobank.store.backoff import Backoff
from flamingobank.store.blocking import BlockingStore
from flamingobank.store.budget import CallBudget, GroupBudget
from flamingobank.store.calls import Answer, CallFailed, StoreAnswer, StoreCall
from flamingobank.store.circuit_breaker import CircuitBreaker, CircuitState
from flamingobank.store.client import StoreClient
from flamingobank.store.interfaces import ClientCounters, Scheduler, Transport
from flamingobank.store.lease import LeaseAction, LeaseActionKind, StoreLease
from flamingobank.store.transport import LoopTransport
from flamingobank.store.values import (
    Listing,
    ObjectChange,
    Removed,
    Spec,
    StoredObject,
    StoreError,
    StoreErrorKind,
    WatchAnswer,
    Written,
)

__all__ = [
    "Answer",
    "Backoff",
    "BlockingStore",
    "CallBudget",
    "CallFailed",
    "CircuitBreaker",
    "CircuitState",
    "ClientCounters",
    "GroupBudget",
    "StoreLease",
    "LeaseAction",
    "LeaseActionKind",
    "Listing",
    "LoopTransport",
    "ObjectChange",
    "Removed",
    "Scheduler",
    "Spec",
    "StoreAnswer",
    "StoreCall",
    "StoreClient",
    "StoreError",
    "StoreErrorKind",
    "StoredObject",
    "Transport",
    "WatchAnswer",
    "Written",
]
