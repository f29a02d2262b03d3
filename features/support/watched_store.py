"""Store that a test answers by hand, behind a socket."""

import json
import re
import socket

from features.support.loop import LOCAL

REVISION = 5


class WatchedStore:
    """Answer all calls at once but watches, which the test answers."""

    def __init__(self, configuration):
        self._configuration = configuration
        self._listener = socket.create_server(LOCAL)
        self._listener.setblocking(False)
        self._connections = []
        self.address = self._listener.getsockname()
        # The connection and the length in seconds of the watch that waits.
        self.watch = None
        self.wait_s = None

    def serve(self):
        """Answer the calls that have arrived."""
        try:
            connection, _ = self._listener.accept()
            connection.setblocking(False)
            self._connections.append(connection)
        except BlockingIOError:
            pass
        for connection in self._connections:
            try:
                data = connection.recv(65536)
            except BlockingIOError:
                continue
            if data:
                self._take(connection, data.decode())

    def _take(self, connection, request):
        waited = re.search(r"wait-ms=([0-9]+)", request)
        if waited is not None:
            self.watch, self.wait_s = connection, int(waited[1]) / 1000
            return
        items = [self._configuration] if "/config" in request.split()[1] else []
        self._answer(connection, {"items": items})

    def end_watch(self):
        """Answer the watch that waits: there was no change."""
        self._answer(self.watch, {"events": []})
        self.watch = None

    def _answer(self, connection, document):
        body = json.dumps({**document, "current-rev": REVISION}).encode()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)

    def close(self):
        """Close all sockets."""
        for sock in (self._listener, *self._connections):
            sock.close()
