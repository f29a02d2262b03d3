"""Run an entry, its home and scripted servers in one process."""

import random

from features.support.loop import LOCAL, RawPeer, TestLoop
from flamingobank.core import VirtualClock
from flamingobank.directory import DirectoryTable
from flamingobank.loop import Connection, ConnectionHandler, Listener
from flamingobank.node.callers.entry import Entry
from flamingobank.node.http.http_server import HttpServer
from flamingobank.node.links.links import LinkObserver, LinkPool
from flamingobank.node.links.remote import ServedStream
from flamingobank.node.servers.dispatcher import Dispatcher
from flamingobank.node.servers.servers import Server
from flamingobank.objects import Route, Selector, Service
from flamingobank.settings import CallerLimits
from flamingobank.wire import DirectoryUpdate, OpenRequest

OK_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"


class ServerConnection(ConnectionHandler):
    """Read the requests on one connection of a server and pass each to its script."""

    def __init__(self, server, sock):
        self.server = server
        self.buffer = b""
        self.closed = False
        self.connection = Connection(server.loop.poller, sock, self, connecting=False)

    def on_connected(self):
        """Do nothing: an accepted connection is already open."""

    def on_data(self, data):
        self.buffer += data
        head, found, rest = self.buffer.partition(b"\r\n\r\n")
        if not found:
            return
        self.buffer = b""
        self.server.requests.append(head + found + rest)
        self.server.script(self, head)

    def on_closed(self, reason):
        self.closed = True


class ScriptedServer:
    """A server whose answers are written by a script."""

    def __init__(self, loop, script):
        self.loop = loop
        self.script = script
        self.requests = []
        self.connections = []
        self.listener = Listener(loop.poller, LOCAL, self.accept)

    def accept(self, sock):
        """Serve a connection."""
        self.connections.append(ServerConnection(self, sock))


class StaticRoutes:
    """A route table that sends every request to one service."""

    def __init__(self, route):
        self.route = route

    def find_route(self, host, path, method, headers, labels):
        """Return the one route."""
        return self.route

    def find_labels(self, workspace):
        """Return no labels."""
        return {}

    def find_service(self, route):
        """Return the one service."""
        return "orders"


class HomeObserver(LinkObserver):
    """Serve the requests that arrive on links of the home node."""

    def __init__(self, dispatcher):
        self.dispatcher = dispatcher

    def on_control_message(self, link, message):
        """Ignore messages without a stream."""

    def on_stream_message(self, link, stream, message):
        if isinstance(message, OpenRequest):
            ServedStream(self.dispatcher.dispatch, link, stream, message)

    def on_link_refused(self, peer, reason):
        raise AssertionError(f"link of {peer} refused: {reason}")


class CallerHarness:
    """An HTTP server, an entry and a home, which may be on another node.

    All run in one loop with a virtual clock.
    """

    def __init__(self, limits=None, remote=False, **route_fields):
        self.loop = TestLoop(VirtualClock(100.0))
        clock, timers, poller = self.loop.clock, self.loop.timers, self.loop.poller
        rng = random.Random(7)
        self.dispatcher = Dispatcher(poller, timers, clock, rng)
        service = Service("orders", Selector())
        self.dispatcher.list_services = lambda: [service]
        self.links = self.make_links("here")
        self.home_links = None
        home, address = "here", LOCAL
        if remote:
            self.home_links = self.make_links("there")
            self.home_links.listen(LOCAL)
            home, address = "there", self.home_links._listener.address
        directory = DirectoryTable()
        services = [["orders", 1, 4, ["s1"]]]
        location = (*address, "graz-a", "at")
        directory.apply(
            DirectoryUpdate(home, "1", 1, *location, False, services, *LOCAL)
        )
        route = Route("orders", Selector(), **route_fields)
        self.entry = Entry(
            "here",
            "graz-a",
            clock,
            timers,
            StaticRoutes(route),
            directory,
            self.dispatcher,
            self.links,
            rng,
        ).register(self.loop)
        self.http_server = HttpServer(
            poller, timers, clock, LOCAL, limits or CallerLimits(), "callers"
        ).register(self.loop)
        self.scripted_servers = []

    def make_links(self, name):
        """Return the link pool of one node."""
        loop = self.loop
        return LinkPool(
            loop.poller,
            loop.timers,
            loop.clock,
            name,
            "b",
            lambda: [b"secret"],
            HomeObserver(self.dispatcher),
        )

    def add_server(self, script, slots=4, address=None):
        """Add a server; without a script its address refuses connections."""
        scripted = ScriptedServer(self.loop, script)
        address = scripted.listener.address
        if script is None:
            scripted.listener.close()
        instance = f"s{len(self.scripted_servers) + 1}"
        self.scripted_servers.append(scripted)
        now = self.loop.clock.now()
        server = Server(instance, "b", address, slots, 1.0, now)
        self.dispatcher.place_server(server)
        return scripted

    def call(self, *pieces, turns=5, receive_bytes=0):
        """Connect a caller and send pieces of a request, with loop turns after each."""
        caller = RawPeer(self.http_server.address, receive_bytes)
        for piece in pieces:
            self.send(caller, piece)
            for _ in range(turns):
                self.loop.turn(0)
        return caller

    def send(self, caller, data):
        """Send all data, unless the other side closes the connection before."""
        rest = caller.send(data)
        while rest and not caller.ended:
            self.loop.turn(0)
            rest = caller.send(rest)

    def run_until(self, condition, what):
        """Run the loop until a condition holds."""
        self.loop.run_until(condition, what)

    def count_waiting_bytes(self):
        """Return how many bytes are queued for callers and on links."""
        links = [*self.links._outgoing.values()]
        if self.home_links is not None:
            links += self.home_links._accepted
        return sum(one.output_bytes for one in [*self.http_server._connections, *links])

    def count_in_use(self):
        """Return the number of slots in use on all servers."""
        return sum(one.slots.in_use for one in self.dispatcher.servers.values())


def answer_ok(connection, head):
    """Answer with a short body."""
    is_head_request = head.startswith(b"HEAD ")
    connection.connection.write(OK_ANSWER[:-2] if is_head_request else OK_ANSWER)


def get(path=b"/", headers=b"", version=b"1.1", method=b"GET"):
    """Return a request without a body."""
    return b"%s %s HTTP/%s\r\nHost: a\r\n%s\r\n" % (method, path, version, headers)
