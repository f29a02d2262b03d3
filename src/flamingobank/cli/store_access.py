"""Open access to the platform's store for a command."""

from expression import Error, Ok, Result

from flamingobank.cli.config import OperatorConfig
from flamingobank.schema import SchemaError
from flamingobank.settings import load_token
from flamingobank.store import BlockingStore, StoreErrorKind

# Errors of calls that had no effect and may succeed later.
UNAVAILABLE_KINDS = (
    StoreErrorKind.AWAY,
    StoreErrorKind.THROTTLED,
    StoreErrorKind.BUDGET,
)


def open_store(config: OperatorConfig) -> Result[BlockingStore, SchemaError]:
    """Return a client of the store, or what is wrong with the token file."""
    token = load_token(config.token_file)
    if token.is_error():
        return Error(token.error)
    return Ok(BlockingStore(config.store, token.ok, config.operator))
