"""Stand-in for the platform's store, as PROTOCOL.md describes it."""

import argparse
import asyncio
import json
import time
from pathlib import Path
from urllib.parse import parse_qs, unquote, urlsplit

PAGE_ITEMS = 500
PAGE_BYTES = 1_048_576
PORT = 8142
HISTORY_S = 20.0


class Store:
    def __init__(self, objects):
        self.revision = 1
        self.era = 1
        self.objects = {}
        # Time, revision, kind, name, whether it was deleted and the object.
        self.events = []
        self.compacted = 0
        self.changed = asyncio.Condition()
        for kind, name, text in objects:
            self._put(kind, name, text)

    def _put(self, kind, name, text):
        self.revision += 1
        old = self.objects.get((kind, name))
        created = old[1] if old else self.revision
        self.objects[kind, name] = (self.revision, created, text)
        self._note(kind, name, False, self.encode(kind, name))

    def _note(self, kind, name, deleted, text):
        now = time.monotonic()
        self.events.append((now, self.revision, kind, name, deleted, text))
        while self.events[0][0] < now - HISTORY_S:
            self.compacted = self.events.pop(0)[1]

    def encode(self, kind, name):
        revision, created, text = self.objects[kind, name]
        metadata = {
            "name": name,
            "revision": revision,
            "created": created,
            "finalizers": [],
            "deletion-requested": False,
        }
        head = json.dumps({"metadata": metadata})[:-1]
        return f'{head},"specification":{text},"status":null}}'

    async def answer(self, method, target, body):
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        path = parts.path.removeprefix("/flamingobank/objects/").split("/")
        kind, name = path[0], unquote(path[1]) if len(path) > 1 else None
        if method == "GET" and name is None:
            if "watch" in query:
                return await self._watch(kind, query)
            return 200, self._list(kind, query.get("after", ""))
        if method == "GET":
            if (kind, name) not in self.objects:
                return 404, "{}"
            return 200, self.encode(kind, name)
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.encode(kind, name)
            await self._write(kind, name, document)
            return 200, self.encode(kind, name)
        if (kind, name) not in self.objects:
            return 404, "{}"
        revision = query.get("revision")
        document = None
        if method == "PUT":
            document = json.loads(body)
            revision = document.get("metadata", {}).get("revision", revision)
        if revision is not None and int(revision) != self.objects[kind, name][0]:
            return 409, self.encode(kind, name)
        if method == "PUT":
            text = json.dumps(document["specification"])
            if text != self.objects[kind, name][2]:
                await self._write(kind, name, document)
            return 200, self.encode(kind, name)
        old = self.encode(kind, name)
        async with self.changed:
            self.revision += 1
            del self.objects[kind, name]
            self._note(kind, name, True, old)
            self.changed.notify_all()
        return 200, old

    async def _write(self, kind, name, document):
        async with self.changed:
            self._put(kind, name, json.dumps(document["specification"]))
            self.changed.notify_all()

    def _list(self, kind, after):
        items, size, more = [], 0, False
        for other, name in sorted(self.objects):
            if other != kind or name <= after:
                continue
            item = self.encode(kind, name)
            if items and (len(items) >= PAGE_ITEMS or size + len(item) > PAGE_BYTES):
                more = True
                break
            items.append(item)
            size += len(item)
        tail = json.dumps({"has-more": more, "current-rev": self.revision})[1:]
        return f'{{"items":[{",".join(items)}],{tail}'

    async def _watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        end = loop.time() + min(30.0, int(query.get("wait-ms", 0)) / 1000)
        while True:
            if since < self.compacted:
                return 410, "{}"
            found = []
            for _, revision, other, _, deleted, text in self.events:
                if revision > since and other == kind:
                    head = json.dumps({"deleted": deleted})[:-1]
                    found.append(f'{head},"object":{text}}}')
            left = end - loop.time()
            if found or left <= 0:
                tail = json.dumps({"current-rev": self.revision})[1:]
                return 200, f'{{"events":[{",".join(found)}],{tail}'
            try:
                async with self.changed:
                    await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                continue

    async def serve(self, reader, writer):
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first, *lines = head.decode("latin-1").split("\r\n")
                length = 0
                for line in lines:
                    field, _, value = line.partition(":")
                    if field.lower() == "content-length":
                        length = int(value)
                body = await reader.readexactly(length) if length else b""
                method, target, _ = first.split(" ")
                status, text = await self.answer(method, target, body)
                data = text.encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                    b"Store-Era: %d\r\nContent-Length: %d\r\n\r\n"
                    % (status, self.era, len(data))
                )
                writer.write(data)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def main():
    parser = argparse.ArgumentParser()
    parser.add_argument("--ip", required=True)
    parser.add_argument("--objects", required=True)
    options = parser.parse_args()
    store = Store(json.loads(Path(options.objects).read_text()))
    server = await asyncio.start_server(
        store.serve, options.ip, PORT, limit=8_000_000, backlog=512
    )
    await server.serve_forever()


asyncio.run(main())
