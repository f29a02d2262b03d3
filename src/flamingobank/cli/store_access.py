"""Call the platform's object API over HTTP."""

import http.client
import json
from collections.abc import Mapping
from urllib.parse import quote, urlencode

from expression import Error, Ok, Result

from flamingobank.cli.config import OperatorConfig
from flamingobank.cli.objects_api import (
    ObjectsApi,
    Page,
    ProblemKind,
    StoredObject,
    StoreProblem,
)
from flamingobank.schema import SchemaError
from flamingobank.settings import load_token


def open_store(config: OperatorConfig) -> Result[ObjectsApi, SchemaError]:
    """Return access to the store, or what is wrong with the token file."""
    token = load_token(config.token_file)
    if token.is_error():
        return Error(token.error)
    return Ok(HttpObjects(config, token.ok))


class HttpObjects(ObjectsApi):
    """Make one connection for each call; a command makes few."""

    def __init__(self, config: OperatorConfig, token: str) -> None:
        self._address = config.store
        self._timeout_s = config.timeout_ms / 1000.0
        self._headers = {"Authorization": f"Bearer {token}"}

    def get(self, kind: str, name: str) -> Result[StoredObject, StoreProblem]:
        """Read one object."""
        return self._call("GET", _make_path(kind, name)).map(read_stored)

    def put(
        self,
        kind: str,
        name: str,
        spec: Mapping[str, object],
        write_id: str,
        revision: int | None,
    ) -> Result[int, StoreProblem]:
        """Write if the object has this revision, or does not exist for None."""
        condition = {"If-None-Match": "*"}
        if revision is not None:
            condition = {"If-Match": str(revision)}
        body = json.dumps({"spec": dict(spec), "write_id": write_id})
        path = _make_path(kind, name)
        return self._call("PUT", path, condition, body).map(_read_revision)

    def delete(
        self, kind: str, name: str, write_id: str, revision: int
    ) -> Result[int, StoreProblem]:
        """Delete if the object has this revision."""
        path = f"{_make_path(kind, name)}?{urlencode({'write_id': write_id})}"
        condition = {"If-Match": str(revision)}
        return self._call("DELETE", path, condition).map(_read_revision)

    def list(self, kind: str, after: str = "") -> Result[Page, StoreProblem]:
        """List a page of a kind's objects by name, after a name."""
        query = urlencode({"kind": kind, "after": after})
        return self._call("GET", f"/v1/objects?{query}").map(read_page)

    def _call(
        self,
        method: str,
        path: str,
        headers: Mapping[str, str] | None = None,
        body: str | None = None,
    ) -> Result[dict, StoreProblem]:
        where = f"{self._address[0]}:{self._address[1]}"
        connection = http.client.HTTPConnection(*self._address, timeout=self._timeout_s)
        try:
            connection.connect()
        except OSError as error:
            connection.close()
            detail = f"no connection to {where}: {error}"
            return Error(StoreProblem(ProblemKind.AWAY, detail))
        try:
            connection.request(method, path, body, self._headers | dict(headers or {}))
            answer = connection.getresponse()
            content = json.loads(answer.read() or b"null")
        except (OSError, http.client.HTTPException, ValueError) as error:
            kind = ProblemKind.AWAY if method == "GET" else ProblemKind.UNKNOWN
            detail = f"{where} gave no answer: {error or type(error).__name__}"
            return Error(StoreProblem(kind, detail))
        finally:
            connection.close()
        return judge_answer(answer.status, dict(answer.getheaders()), content)


def judge_answer(
    status: int, headers: Mapping[str, str], content: object
) -> Result[dict, StoreProblem]:
    """Return the content of a good answer, or the problem that the status names."""
    if status == 200 and isinstance(content, dict):
        return Ok(content)
    described = content.get("error", "") if isinstance(content, dict) else ""
    detail = f"status {status} {described}".strip()
    if status == 409:
        current = read_stored(content) if content else None
        return Error(StoreProblem(ProblemKind.CONFLICT, detail, current))
    if status == 404:
        return Error(StoreProblem(ProblemKind.NOT_FOUND, detail))
    if status == 429:
        lower = {name.lower(): value for name, value in headers.items()}
        pause = lower.get("retry-after", "")
        pause_s = float(pause) if pause.isdecimal() else 1.0
        return Error(StoreProblem(ProblemKind.LIMITED, detail, None, pause_s))
    if status == 503:
        return Error(StoreProblem(ProblemKind.AWAY, detail))
    return Error(StoreProblem(ProblemKind.REFUSED, detail))


def read_stored(content: dict) -> StoredObject:
    """Return the object of an answer."""
    return StoredObject(
        kind=content["kind"],
        name=content["name"],
        revision=content["revision"],
        write_id=content["write_id"],
        spec=content["spec"],
    )


def read_page(content: dict) -> Page:
    """Return the page of an answer."""
    items = [read_stored(item) for item in content["items"]]
    return Page(content["revision"], items, content.get("next") or "")


def _read_revision(content: dict) -> int:
    return content["revision"]


def _make_path(kind: str, name: str) -> str:
    return f"/v1/objects/{kind}/{quote(name)}"
