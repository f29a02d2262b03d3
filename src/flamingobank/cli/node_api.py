"""Call the operator interface of nodes over HTTP."""

import http.client
import json

from expression import Error, Ok, Result

from flamingobank.cli.config import OperatorConfig
from flamingobank.settings import Address

# The status of a fleet with 3,700 members is smaller than 1 MB.
MAX_RESPONSE_BYTES = 8_388_608


class NodeApi:
    """Call the operator interface of the configured nodes."""

    def __init__(self, config: OperatorConfig) -> None:
        self.addresses = config.nodes
        self._timeout_s = config.timeout_ms / 1000.0

    def read_status(self, address: Address) -> Result[dict, str]:
        """Return the status of one node, or why it could not be read."""
        response = self._call(address, "GET", "/status", None)
        if response.is_error():
            return Error(response.error)
        status, body = response.ok
        if status != 200 or "node" not in body:
            summary = f"answered {status} with {len(body)} keys"
            return Error(
                f"node {_show_address(address)} {summary}, expected 200 and a status"
            )
        return Ok(body)

    def read_any_status(self) -> Result[dict, list[str]]:
        """Return the status of the first node that answers, or all errors."""
        problems = []
        for address in self.addresses:
            status = self.read_status(address)
            if status.is_ok():
                return Ok(status.ok)
            problems.append(status.error)
        return Error(problems or ["no node addresses in the settings"])

    def set_draining(
        self, address: Address, instance: str, draining: bool
    ) -> Result[tuple[int, dict], str]:
        """Ask a node to drain a server, or to end its drain."""
        body = {"instance": instance, "draining": draining}
        return self._call(address, "POST", "/drain", body)

    def _call(
        self, address: Address, method: str, path: str, body: dict | None
    ) -> Result[tuple[int, dict], str]:
        connection = http.client.HTTPConnection(*address, timeout=self._timeout_s)
        try:
            data = None if body is None else json.dumps(body)
            headers = {"Content-Type": "application/json"} if data else {}
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            text = response.read(MAX_RESPONSE_BYTES)
        except (OSError, http.client.HTTPException) as error:
            return Error(f"node {_show_address(address)} did not answer: {error}")
        finally:
            connection.close()
        return Ok((response.status, _parse_json_object(text)))


def _parse_json_object(text: bytes) -> dict:
    """Return the JSON object of a response, or an empty one if it has none."""
    try:
        content = json.loads(text)
    except ValueError:
        return {}
    return content if isinstance(content, dict) else {}


def _show_address(address: Address) -> str:
    return f"{address[0]}:{address[1]}"
