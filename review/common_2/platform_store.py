"""Stand-in of the platform's store: tables, feeds and objects.

Linearizable; nothing that it has acknowledged is lost.
"""

import asyncio
import base64
import json
import time

from review.common_2.wire import json_answer
from review.common_2.wire import serve

__all__ = ["Store"]

ANSWER_S = 0.004
TRANSACTION_S = 0.008
OBJECT_S = 0.025
MAX_ROWS = 500


class Store:
    """Rows and objects behind HTTP."""

    def __init__(self):
        self.object_by_name = {}
        self._value_by_name = {}
        self._changes = []
        self._version = 1
        self._changed = asyncio.Event()

    async def start(self, address):
        """Start to listen."""
        return await serve(address, self._handle)

    def put(self, table, key, fields):
        """Write a row as the operator or a replica does."""
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self._version += 1
        self._apply((table, "", key), value)

    def drop(self, table, key):
        """Remove a row."""
        self._version += 1
        self._apply((table, "", key), None)

    def _apply(self, name, value):
        if value is None:
            self._value_by_name.pop(name, None)
        else:
            self._value_by_name[name] = (value, self._version)
        self._changes.append((self._version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        handlers = {
            "/api/rows-tx": self._transact,
            "/api/rows-get": self._get,
            "/api/rows-feed": self._feed,
            "/api/rows-parts": self._parts,
        }
        found = handlers.get(request.path)
        if found is None:
            return await self._object(request)
        await asyncio.sleep(ANSWER_S)
        return await found(request)

    def _body(self, **fields):
        now_ms = time.monotonic_ns() // 1_000_000
        return {"ver": self._version, "now-ms": now_ms, **fields}

    async def _transact(self, request):
        await asyncio.sleep(TRANSACTION_S)
        call = json.loads(request.body)
        for each in call.get("if-rev", ()):
            _, version = self._value_by_name.get(_name(each), ("", 0))
            if version != each["ver"]:
                names = map(_name, call["if-rev"])
                rows = [self._row(n) for n in names if self._has(n)]
                return json_answer(412, self._body(rows=rows))
        self._version += 1
        for each in call.get("writes", ()):
            self._apply(_name(each), each["value"])
        for each in call.get("remove", ()):
            self._apply(_name(each), None)
        return json_answer(200, self._body())

    def _has(self, name):
        return name in self._value_by_name

    def _row(self, name):
        value, version = self._value_by_name[name]
        return {**_named(name), "value": value, "ver": version}

    async def _get(self, request):
        query = request.query
        first, last = query.get("from", ""), query.get("to")
        limit = min(int(query.get("limit", MAX_ROWS)), MAX_ROWS)
        found = sorted(
            name
            for name in self._value_by_name
            if name[:2] == (query["table"], query.get("part", ""))
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        rows = [self._row(name) for name in found[:limit]]
        truncated = len(found) > limit
        return json_answer(200, self._body(rows=rows, truncated=truncated))

    async def _parts(self, request):
        table = request.query["table"]
        parts = sorted({n[1] for n in self._value_by_name if n[0] == table})
        return json_answer(200, self._body(parts=parts))

    async def _feed(self, request):
        query = request.query
        until = time.monotonic() + int(query.get("wait-ms", "0")) / 1000
        while True:
            rows = self._changed_rows(query["table"], int(query["after"]))
            left_s = until - time.monotonic()
            if rows or left_s <= 0:
                return json_answer(200, self._body(rows=rows))
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _changed_rows(self, table, after):
        version_by_name = {}
        for version, name, _ in self._changes:
            if version > after and name[0] == table:
                version_by_name.pop(name, None)
                version_by_name[name] = version
        return [
            self._row(name)
            if self._has(name)
            else {**_named(name), "ver": version, "removed": True}
            for name, version in version_by_name.items()
        ]

    async def _object(self, request):
        await asyncio.sleep(OBJECT_S)
        call, _, name = request.path.removeprefix("/api/").partition("/")
        if call == "blob-put":
            self.object_by_name[name] = request.body
            return json_answer(200, {})
        if call == "blob-get" and name in self.object_by_name:
            return json_answer(200, self.object_by_name[name])
        if call == "blob-drop":
            self.object_by_name.pop(name, None)
            return json_answer(200, {})
        return json_answer(404, {})


def _name(fields):
    return (fields["table"], fields.get("part", ""), fields["key"])


def _named(name):
    return dict(zip(("table", "part", "key"), name, strict=True))
