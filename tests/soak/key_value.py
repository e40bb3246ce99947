"""The platform's key-value service for the soak: listings, watches, conditional writes, and misbehaviour on order."""

import asyncio
import base64
import json
import random
from urllib.parse import parse_qs, urlsplit

from http_message import read_request, render_answer
from proxy import reset

LONGEST_WAIT_S = 30.0


class KeyValueService:
    """One counter of revisions over all keys."""

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.items = {}  # Key: (value as base64, revision); value None: it is gone.
        self.revision = 0
        self.history_from = 0  # Watches from before this revision get 410.
        self.refuse_share = 0.0
        self.lose_share = 0.0
        self.slow_s = 0.0
        self.changed = asyncio.Event()

    async def start(self, port):
        await asyncio.start_server(self._serve, "127.0.0.1", port)

    def put(self, key, value):
        """Writes as the operator or a server does; returns the revision."""
        return self.put_bytes(key, None if value is None else json.dumps(value).encode())

    def put_bytes(self, key, value):
        """Writes any bytes, or removes the key (None)."""
        return self._put_encoded(key, None if value is None else base64.b64encode(value).decode())

    def get(self, key):
        value = self.items.get(key, (None, 0))[0]
        return None if value is None else json.loads(base64.b64decode(value))

    def forget_history(self):
        self.history_from = self.revision

    def _put_encoded(self, key, encoded):
        self.revision += 1
        self.items[key] = (encoded, self.revision)
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    async def _serve(self, reader, writer):
        try:
            while (request := await read_request(reader)) is not None:
                if self.slow_s > 0:
                    await asyncio.sleep(self.slow_s)
                if self.random.random() < self.refuse_share:
                    status = self.random.choice([429, 503])
                    writer.write(render_answer(status, [("Retry-After", 1)]))
                    continue
                lost = self.random.random() < self.lose_share
                answer = await self._answer(request)
                if lost:
                    # The connection says nothing more.
                    await reader.read()
                    break
                writer.write(answer)
                await writer.drain()
        except (OSError, ConnectionError, asyncio.IncompleteReadError):
            reset(writer)
        finally:
            writer.close()

    async def _answer(self, request):
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        if parts.path == "/-/kv-range":
            return self._list(query)
        if parts.path == "/-/kv-watch":
            return await self._watch(query)
        if parts.path == "/-/kv-txn":
            return self._write(json.loads(request.body))
        return render_answer(404, [])

    @staticmethod
    def _json(status, body):
        text = json.dumps(body).encode()
        return render_answer(status, [("Content-Type", "application/json")], text)

    def _list(self, query):
        prefix, after = query.get("path-prefix", ""), query.get("after", "")
        items = [
            {"private-key": key, "value": value, "revision": revision, "made": revision, "lease": 0}
            for key, (value, revision) in sorted(self.items.items())
            if value is not None and key.startswith(prefix) and key > after
        ]
        return self._json(200, {"items": items[:500], "more": len(items) > 500, "at": self.revision})

    def _events(self, prefix, after):
        rows = sorted((revision, key, value) for key, (value, revision) in self.items.items())
        events = []
        for revision, key, value in rows:
            if revision <= after or not key.startswith(prefix):
                continue
            event = {"private-key": key, "revision": revision}
            event.update({"gone": True} if value is None else {"value": value, "lease": 0})
            events.append(event)
        return events

    async def _watch(self, query):
        prefix, after = query.get("path-prefix", ""), int(query.get("after", "0"))
        if after < self.history_from:
            return self._json(410, {})
        loop = asyncio.get_running_loop()
        until = loop.time() + min(int(query.get("wait-ms", "0")) / 1000, LONGEST_WAIT_S)
        while not (events := self._events(prefix, after)) and loop.time() < until:
            try:
                await asyncio.wait_for(self.changed.wait(), until - loop.time())
            except asyncio.TimeoutError:
                pass  # A change may have come with the end of the wait.
        return self._json(200, {"events": events, "at": self.revision})

    def _write(self, body):
        for row in body.get("expected-revision", []):
            value, revision = self.items.get(row["private-key"], (None, 0))
            if (0 if value is None else revision) != row["revision"]:
                return self._json(412, {"items": []})
        for row in body.get("put", []):
            self._put_encoded(row["private-key"], row["value"])
        for key in body.get("drop", []):
            self._put_encoded(key, None)
        return self._json(200, {"revision": self.revision})
