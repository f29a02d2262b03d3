"""Sockets, timers and an HTTP client for the circuits event loop."""

from flamingobank.loop.connections import (
    Address,
    Connection,
    ConnectionHandler,
    Listener,
    connect,
)
from flamingobank.loop.datagrams import DatagramEndpoint
from flamingobank.loop.http_client import (
    MAX_STATUS,
    AnswerFilter,
    AnswerHandler,
    Headers,
    HttpClientConnection,
)
from flamingobank.loop.poller import Poller, estimate_arrival
from flamingobank.loop.timers import TimerHandle, Timers
from flamingobank.loop.turns import LoopComponent

__all__ = [
    "MAX_STATUS",
    "Address",
    "AnswerFilter",
    "AnswerHandler",
    "Connection",
    "ConnectionHandler",
    "DatagramEndpoint",
    "Headers",
    "HttpClientConnection",
    "Listener",
    "LoopComponent",
    "Poller",
    "TimerHandle",
    "Timers",
    "connect",
    "estimate_arrival",
]
