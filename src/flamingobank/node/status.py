"""Answer operators: status, metrics and the status page."""

import html
import json
from collections.abc import Callable

from circuits import BaseComponent, handler

from flamingobank.node.edge import EdgeRequest, EdgeResponse
from flamingobank.node.metrics import NodeMetrics

PAGE_HEAD = (
    "<!doctype html><meta charset=utf-8><title>flamingobank</title>"
    "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse}"
    "td,th{border:1px solid #bbb;padding:.2em .6em;text-align:left}</style>"
)


class StatusPages(BaseComponent):
    """Serve /status, /metrics and a page for people."""

    channel = "operators"

    def __init__(self, read_status: Callable[[], dict], metrics: NodeMetrics) -> None:
        super().__init__(channel=self.channel)
        self._read_status = read_status
        self._metrics = metrics

    @handler("request")
    def _on_request(self, event, request: EdgeRequest, response: EdgeResponse):
        if request.path == "/status":
            response.headers["Content-Type"] = "application/json"
            response.body = json.dumps(self._read_status())
            return response
        if request.path == "/metrics":
            body, headers = self._metrics.render()
            response.headers["Content-Type"] = headers["Content-Type"]
            response.body = body
            return response
        if request.path == "/":
            response.headers["Content-Type"] = "text/html; charset=utf-8"
            response.body = render_page(self._read_status())
            return response
        return None


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
