"""HTTP endpoints for operators: status, metrics, drain and the status page."""

import html
import json
from collections.abc import Callable

from circuits import BaseComponent, handler

from flamingobank.core import NodeId
from flamingobank.health import Stage
from flamingobank.node.http.caller_request import CallerRequest, CallerResponse
from flamingobank.node.metrics import NodeMetrics
from flamingobank.node.parts import NodeParts
from flamingobank.node.servers.servers import Server
from flamingobank.objects import Service

PAGE_HEAD = (
    "<!doctype html><meta charset=utf-8><title>flamingobank</title>"
    "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.2em .6em;text-align:left}</style>"
)


class StatusPages(BaseComponent):
    """Serve /status, /metrics and /drain, and an HTML status page at /."""

    channel = "operators"

    def __init__(
        self,
        read_status: Callable[[], dict],
        metrics: NodeMetrics,
        update_metrics: Callable[[], None],
        node: NodeId,
        set_draining: Callable[[str, bool], bool],
    ) -> None:
        super().__init__(channel=self.channel)
        self._node = node
        self._set_draining = set_draining
        self._read_status = read_status
        self._metrics = metrics
        self._update_metrics = update_metrics

    @handler("request")
    def _on_request(self, event, request: CallerRequest, response: CallerResponse):
        if request.path == "/status":
            response.headers["Content-Type"] = "application/json"
            response.body = json.dumps(self._read_status())
            return response
        if request.path == "/drain" and request.method == "POST":
            response.headers["Content-Type"] = "application/json"
            response.status, fields = self._drain(request.content)
            response.body = json.dumps(fields)
            return response
        if request.path == "/metrics":
            self._update_metrics()
            body, headers = self._metrics.render()
            response.headers["Content-Type"] = headers["Content-Type"]
            response.body = body
            return response
        if request.path == "/":
            response.headers["Content-Type"] = "text/html; charset=utf-8"
            response.body = render_page(self._read_status())
            return response
        return None

    def _drain(self, body: bytes) -> tuple[int, dict]:
        try:
            fields = json.loads(body)
            instance, draining = fields["instance"], fields["draining"]
        except (ValueError, KeyError, TypeError):
            return 400, {"error": 'expected {"instance": NAME, "draining": BOOLEAN}'}
        if not isinstance(instance, str) or not isinstance(draining, bool):
            return 400, {"error": 'expected {"instance": NAME, "draining": BOOLEAN}'}
        if not self._set_draining(instance, draining):
            return 404, {"error": f"{instance} has no home at {self._node}"}
        return 200, {"home": self._node}


def describe_node(node: NodeParts) -> dict:
    """Return the status of a node as the JSON object of /status."""
    configuration = node.configuration
    membership = node.members.membership
    count, total = membership.count_at_revision(configuration.revision)
    watch = node.store_watch
    last_contact_s = None
    if watch is not None and watch.last_contact is not None:
        last_contact_s = round(node.clock.now() - watch.last_contact, 3)
    return {
        "node": node.settings.node_id,
        "boot": node.boot,
        "revision": configuration.revision,
        "members": [
            {
                "node": member.node_id,
                "failure_domain": member.failure_domain,
                "state": "leaving" if member.leaving else member.state.name.lower(),
                "revision": member.revision,
            }
            for member in [membership.local_member, *membership.members()]
        ],
        "in_force": {"count": count, "of": total},
        "services": [
            _describe_service(node, service)
            for service in configuration.list_services()
        ],
        "servers": [
            _describe_server(server) for server in node.dispatcher.servers.values()
        ],
        "store": {
            "reachable": watch is not None and watch.reachable,
            "last_contact_s": last_contact_s,
            "watcher": watch is not None and watch.is_watcher,
        },
        "counters": dict(node.entry.counters),
        "events": node.ejections.events[-20:],
        "in_flight": len(node.entry.exchanges) + len(node.dispatcher.running),
        "datagram_bytes": {
            "sent": node.members.bytes_sent,
            "received": node.members.bytes_received,
        },
    }


def _describe_service(node: NodeParts, service: Service) -> dict:
    homes = node.directory.list_homes(service.name)
    announced = sum(len(home.instances) for home in homes)
    pool = node.dispatcher.pools.get(service.name)
    local = list(pool.servers.values()) if pool is not None else []
    return {
        "service": service.name,
        "floor": service.floor.count_servers(announced),
        "announced": announced,
        "healthy": sum(home.servers for home in homes),
        "ejected": [
            {"instance": server.instance, "why": server.ejection_reason}
            for server in local
            if server.slots.stage is not Stage.IN_SERVICE
        ],
        "draining": sum(1 for server in local if server.draining),
    }


def _describe_server(server: Server) -> dict:
    return {
        "instance": server.instance,
        "slots": server.slots.limit,
        "in_use": server.slots.in_use,
        "draining": server.draining,
        "stage": server.slots.stage.value,
    }


def render_page(status: dict) -> str:
    """Return the status as an HTML page."""
    parts = [PAGE_HEAD, f"<h1>Node {html.escape(str(status['node']))}</h1>"]
    in_force = status["in_force"]
    parts.append(
        f"<p>Revision {status['revision']} in force on "
        f"{in_force['count']} of {in_force['of']} nodes</p>"
    )
    parts.append(
        _render_table(
            "Services",
            ("service", "floor", "announced", "healthy", "ejected", "draining"),
            status["services"],
        )
    )
    parts.append(
        _render_table(
            "Nodes",
            ("node", "failure_domain", "state", "revision"),
            status["members"],
        )
    )
    return "".join(parts)


def _render_table(title: str, columns: tuple[str, ...], rows: list[dict]) -> str:
    cells = "".join(f"<th>{html.escape(column)}" for column in columns)
    lines = [f"<h2>{html.escape(title)}</h2><table><tr>{cells}"]
    for row in rows:
        values = "".join(f"<td>{html.escape(str(row[column]))}" for column in columns)
        lines.append(f"<tr>{values}")
    lines.append("</table>")
    return "".join(lines)
