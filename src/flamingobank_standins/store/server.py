"""Serve the simulated object store over HTTP."""

import dataclasses
import json
from urllib.parse import parse_qsl

from circuits import BaseComponent, Event, Timer, handler
from circuits.net.events import close
from circuits.web import BaseServer
from circuits.web.events import response

from flamingobank.core import Clock
from flamingobank_standins.store.messages import HandledCall, ReceivedCall, StoreReply
from flamingobank_standins.store.object_store import ObjectStore

RECEIVE_BYTES = 262_144


class answer_due(Event):  # noqa: N801
    """Fired when the next waiting watch times out."""


class send_later(Event):  # noqa: N801
    """Fired when the delay of a response has passed."""


class StoreServer(BaseComponent):
    """Pass HTTP requests to the store; waiting watches do not block the event loop."""

    channel = "web"

    def __init__(
        self, address: tuple[str, int], store: ObjectStore, clock: Clock
    ) -> None:
        super().__init__(channel=self.channel)
        self.store = store
        self._clock = clock
        self._waiting: dict[object, object] = {}
        self._wakeup: Timer | None = None
        self._server = BaseServer(
            address, display_banner=False, bufsize=RECEIVE_BYTES
        ).register(self)

    @property
    def address(self) -> tuple[str, int]:
        """Return the address to which the server is bound."""
        return self._server.host, self._server.port

    @handler("request", priority=1)
    def _on_request(self, event, req, res, peer_cert=None) -> bool:
        event.stop()
        call = _parse_call(req)
        if call.path == "/control":
            self._send(res, self._handle_control(call))
            self._answer_due()
            return True
        handled = self.store.handle(call, self._clock.now(), call_id=req.sock)
        if handled.waiting:
            self._waiting[req.sock] = res
        else:
            self._respond(res, handled)
        self._answer_due()
        # A bool as the return value keeps circuits.web from sending its own response.
        return True

    @handler("disconnect", priority=1)
    def _on_disconnect(self, sock) -> None:
        self._waiting.pop(sock, None)
        self.store.drop_watch(sock, self._clock.now())

    def _handle_control(self, call: ReceivedCall) -> StoreReply:
        if call.method == "POST":
            values = json.loads(call.body or b"{}")
            if values.pop("compact", False):
                self.store.table.compact()
            problem = self.store.faults.update(values)
            if problem:
                return StoreReply(400, {"error": problem})
        return StoreReply(
            200,
            {
                "revision": self.store.table.revision,
                "objects": len(self.store.table),
                "faults": dataclasses.asdict(self.store.faults),
                "counters": dataclasses.asdict(self.store.counters),
            },
        )

    @handler("answer_due")
    def _answer_due(self, *args) -> None:
        for sock, handled in self.store.collect_due(self._clock.now()):
            res = self._waiting.pop(sock, None)
            if res is not None:
                self._respond(res, handled)
        self._arm_wakeup()

    def _arm_wakeup(self) -> None:
        if self._wakeup is not None:
            self._wakeup.unregister()
            self._wakeup = None
        deadline = self.store.get_next_deadline()
        if deadline is not None:
            delay_s = max(0.0, deadline - self._clock.now())
            self._wakeup = Timer(delay_s, answer_due(), self.channel).register(self)

    def _respond(self, res, handled: HandledCall) -> None:
        if handled.delay_s > 0:
            later = send_later(res, handled)
            Timer(handled.delay_s, later, self.channel).register(self)
            return
        self._send_or_drop(res, handled)

    @handler("send_later")
    def _send_or_drop(self, res, handled: HandledCall) -> None:
        if handled.lost:
            self.fire(close(res.request.sock))
            return
        self._send(res, handled.reply)

    def _send(self, res, reply: StoreReply) -> None:
        if res.request.sock.fileno() < 0:
            return
        res.status = reply.status
        res.headers["Content-Type"] = "application/json"
        for name, value in reply.headers.items():
            res.headers[name] = value
        res.body = json.dumps(reply.body)
        self.fire(response(res))


def _parse_call(req) -> ReceivedCall:
    headers = {name.lower(): value for name, value in req.headers.items()}
    query = dict(parse_qsl(req.qs or "", keep_blank_values=True))
    return ReceivedCall(req.method, req.path, query, headers, req.body.read())
