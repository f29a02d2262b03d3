"""Give commands their streams, clocks and services, so that tests can replace them."""

import argparse
import datetime
import os
import secrets
import sys
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import TextIO

from expression import Error, Result

from flamingobank.cli.config import OperatorConfig, load_config
from flamingobank.cli.node_api import NodeApi
from flamingobank.cli.store_access import open_store
from flamingobank.schema import SchemaError
from flamingobank.store import BlockingStore


def _read_utc() -> datetime.datetime:
    return datetime.datetime.now(datetime.UTC)


def _make_suffix() -> str:
    return secrets.token_hex(6)


@dataclass(slots=True)
class CommandContext:
    """Hold the streams, environment, clocks and factories that commands use."""

    out: TextIO = field(default_factory=lambda: sys.stdout)
    err: TextIO = field(default_factory=lambda: sys.stderr)
    environ: Mapping[str, str] = field(default_factory=lambda: os.environ)
    open_store: Callable[[OperatorConfig], Result[BlockingStore, SchemaError]] = (
        open_store
    )
    open_nodes: Callable[[OperatorConfig], NodeApi] = NodeApi
    read_utc: Callable[[], datetime.datetime] = _read_utc
    make_suffix: Callable[[], str] = _make_suffix
    sleep: Callable[[float], None] = time.sleep
    now: Callable[[], float] = time.monotonic


@dataclass(frozen=True, slots=True)
class CommandSession:
    """Hold the configuration of one command and its access to the store."""

    config: OperatorConfig
    store: BlockingStore


def open_session(
    options: argparse.Namespace,
) -> Result[CommandSession, list[SchemaError]]:
    """Load the configuration named by the options and open access to its store."""
    config = load_config(options.config, options.context.environ)
    if config.is_error():
        return Error(config.error)
    store = options.context.open_store(config.ok)
    if store.is_error():
        return Error([store.error])
    return Result.Ok(CommandSession(config.ok, store.ok))
