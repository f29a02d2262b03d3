"""Follow one offer of a request to one home."""

import enum
from typing import TYPE_CHECKING

from flamingobank.sidecar.links import StreamHandler
from flamingobank.sidecar.messages import Message, RefusalReason
from flamingobank.sidecar.selection import HomeView

if TYPE_CHECKING:
    from flamingobank.sidecar.exchange import Exchange


class AttemptState(enum.Enum):
    """Say how far one attempt has come."""

    OFFERED = "offered"
    QUEUED = "queued"
    COMMITTED = "committed"
    ENDED = "ended"


class Attempt(StreamHandler):
    """Follow one offer to one home."""

    def __init__(
        self, exchange: "Exchange", home: HomeView, stream: int, forced: bool
    ) -> None:
        self.home = home
        self.stream = stream
        self.forced = forced
        self.state = AttemptState.OFFERED
        self.streaming = False
        self.timer = None
        self._exchange = exchange

    def on_message(self, message: Message) -> None:
        self._exchange.on_message(self, message)

    def on_link_lost(self) -> bool:
        if self.state is AttemptState.COMMITTED:
            self._exchange.on_path_lost(self)
            return self.state is AttemptState.COMMITTED
        self._exchange.on_refused(self, RefusalReason.SERVER_DOWN)
        return False

    def on_home_restarted(self) -> None:
        self._exchange.on_home_restarted(self)
