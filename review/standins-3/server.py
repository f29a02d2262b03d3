"""Stand-in for an application server beside a sidecar, as PROTOCOL.md describes it."""

import argparse
import asyncio
import contextlib
import json
import time

HEARTBEAT_S = 1.5
CONTROL_PORT = 8144
PORT = 8145
KEEP_ALIVE_S = 10
# A request for a path that begins with /pull/ is answered piece by piece.
PIECES = 10
PIECE_BYTES = 4000
PIECE_S = 0.1
# An answer that is broken off ends after so many pieces.
BROKEN_AT = 8


class Server:
    def __init__(self, options):
        self.options = options
        self.running = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.pulls = 0
        # It stays open as long as the server runs.
        self.runs = open(options.runs, "a", buffering=1)  # noqa: SIM115

    async def heartbeat(self):
        options = self.options
        while True:
            self.sequence += 1
            body = json.dumps(
                {
                    "born": self.born,
                    "address": f"{options.ip}:{PORT}",
                    "info": {
                        "service": options.service,
                        "version": "v1",
                        "zone": options.zone,
                        "slots": options.slots,
                    },
                    "status": {
                        "state": "ready",
                        "sequence": self.sequence,
                        "warmup-remaining-s": 0,
                    },
                }
            ).encode()
            head = (
                f"POST /flamingobank/instances/{options.instance}/heartbeat HTTP/1.1"
                "\r\nHost: control\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            answered = False
            with contextlib.suppress(OSError, TimeoutError):
                answered = await asyncio.wait_for(self._say(head.encode() + body), 1)
            await asyncio.sleep(HEARTBEAT_S if answered else 0.3)

    async def _say(self, data):
        reader, writer = await asyncio.open_connection(self.options.ip, CONTROL_PORT)
        try:
            writer.write(data)
            return (await reader.read(65536)).startswith(b"HTTP/1.1 2")
        finally:
            writer.close()

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                headers = {}
                for line in lines:
                    field, _, value = line.partition(":")
                    headers[field.lower()] = value.strip()
                length = int(headers.get("content-length", 0))
                body = await reader.readexactly(length) if length else b""
                method, target, _ = first.split(" ")
                if target.startswith("/pull/"):
                    if not await self._stream(writer, target, headers):
                        return
                    continue
                writer.write(await self._answer(method, target, headers, body))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, target, headers, body):
        request_id = headers.get("request-id", "")
        options = self.options
        if target == "/health":
            return self._encode(
                200, request_id, b"", [f"Instance-Id: {options.instance}"]
            )
        expected = headers.get("expected-instance", options.instance)
        if expected != options.instance:
            return self._encode(421, request_id, b"", ["Not-Executed: 1"])
        if self.running >= options.slots:
            return self._encode(503, request_id, b"", ["Not-Executed: 1"])
        self.running += 1
        self._log(request_id, method, target, body, headers)
        try:
            await asyncio.sleep(options.work_ms / 1000)
        finally:
            self.running -= 1
        seal = [
            f"Server-Seal: s.{request_id}",
            f"Server-Load: {self.running},0,{options.slots}",
        ]
        return self._encode(200, request_id, b"ok " + request_id.encode(), seal)

    async def _stream(self, writer, target, headers):
        """Send an answer piece by piece; return False if it was broken off."""
        request_id = headers.get("request-id", "")
        options = self.options
        if self.running >= options.slots:
            writer.write(self._encode(503, request_id, b"", ["Not-Executed: 1"]))
            return True
        self.running += 1
        self.pulls += 1
        breaks = options.break_every and self.pulls % options.break_every == 0
        self._log(request_id, "GET", target, b"", headers)
        size = PIECES * PIECE_BYTES
        lines = [
            "HTTP/1.1 200 X",
            f"Request-Id: {request_id}",
            f"Server-Seal: s.{request_id}",
            f"Content-Length: {size}",
        ]
        try:
            writer.write("\r\n".join([*lines, "", ""]).encode())
            for number in range(PIECES):
                if breaks and number == BROKEN_AT:
                    self.runs.write(f"{time.time():.3f} {request_id} broken-off\n")
                    writer.transport.abort()
                    return False
                writer.write(b"p" * PIECE_BYTES)
                await writer.drain()
                await asyncio.sleep(PIECE_S)
        finally:
            self.running -= 1
        return True

    def _log(self, request_id, method, target, body, headers):
        self.runs.write(
            f"{time.time():.3f} {request_id} {method} {target} {len(body)} "
            f"{headers.get('tenant', '-')}\n"
        )

    def _encode(self, status, request_id, body, headers):
        lines = [
            f"HTTP/1.1 {status} X",
            f"Request-Id: {request_id}",
            f"Content-Length: {len(body)}",
            f"Keep-Alive: timeout={KEEP_ALIVE_S}",
            *headers,
        ]
        return "\r\n".join([*lines, "", ""]).encode() + body


async def main():
    parser = argparse.ArgumentParser()
    for name in ("ip", "service", "zone", "instance", "runs"):
        parser.add_argument(f"--{name}", required=True)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--work-ms", type=float, default=50)
    # Of so many answers in pieces, one is broken off; 0 for none.
    parser.add_argument("--break-every", type=int, default=0)
    parser.add_argument("--boot", default="1")
    options = parser.parse_args()
    options.instance = f"{options.instance}{options.boot}"
    server = Server(options)
    listener = await asyncio.start_server(
        server.serve, server.options.ip, PORT, limit=1_000_000, backlog=330
    )
    beats = asyncio.create_task(server.heartbeat())
    await listener.serve_forever()
    await beats


asyncio.run(main())
