"""Pass messages between the entry and the home of the same process."""

from collections.abc import Callable

from flamingobank.core import BootId
from flamingobank.loop import Timers
from flamingobank.sidecar.links.links import MAX_OFFER_TIMEOUT_S, StreamHandler
from flamingobank.sidecar.links.messages import MESSAGE_REVISION, Message


class LocalChannel:
    """Send a home's messages to the entry of the same process."""

    # The entry counts the bodies, which are passed on without a copy.
    holds_bodies = False
    peer_revision = MESSAGE_REVISION

    def __init__(self, link: "LocalLink", boot: BootId) -> None:
        self.peer_boot = boot
        self.closed = False
        # Messages are delivered in the next turn of the loop, so none are queued.
        self.output_bytes = 0
        self.pending_bytes = 0
        self._link = link

    def send(self, message: Message) -> None:
        """Deliver a message to the entry in the next turn of the loop."""
        self._link.deliver_later(message)


class LocalLink:
    """Replace a Link for offers to the home in the same process."""

    peer_revision = MESSAGE_REVISION

    def __init__(
        self,
        timers: Timers,
        boot: BootId,
        receive: Callable[[LocalChannel, Message], bool],
        on_message: Callable[["LocalLink", Message], None],
    ) -> None:
        self.handlers: dict[int, StreamHandler] = {}
        self.channel = LocalChannel(self, boot)
        self._timers = timers
        self._receive = receive
        self._on_message = on_message

    @property
    def is_usable(self) -> bool:
        """Return True: the own process can always be reached."""
        return True

    @property
    def may_answer(self) -> bool:
        """Return True: the own process can always be reached."""
        return True

    @property
    def has_backlog(self) -> bool:
        """Return False: messages are delivered in the next turn of the loop."""
        return False

    @property
    def offer_timeout_s(self) -> float:
        """Return how long an offer waits for a response."""
        return MAX_OFFER_TIMEOUT_S

    def suspect(self) -> None:
        """Do nothing when the home is slow: no network path is involved."""

    def open_stream(self, stream: int, handler: StreamHandler) -> None:
        """Register the handler for the messages of one request."""
        self.handlers[stream] = handler

    def close_stream(self, stream: int) -> None:
        """Remove the handler of a request."""
        self.handlers.pop(stream, None)

    def send(self, message: Message) -> None:
        """Deliver a message to the home in the next turn of the loop."""
        self._timers.call_soon(lambda: self._receive(self.channel, message))

    def send_if_up(self, message: Message) -> None:
        """Deliver a message as send() does: a local link is always up."""
        self.send(message)

    def deliver_later(self, message: Message) -> None:
        """Deliver a message of the home to the entry in the next turn of the loop."""
        self._timers.call_soon(lambda: self._deliver(message))

    def _deliver(self, message: Message) -> None:
        stream = getattr(message, "stream", None)
        if stream is None:
            self._on_message(self, message)
            return
        handler = self.handlers.get(stream)
        if handler is not None:
            handler.on_message(message)
