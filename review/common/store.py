"""Stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs
from urllib.parse import unquote

from common.http import answer_bytes
from common.http import Server

__all__ = ["Store"]

MAX_ROWS = 500
MAX_ENTRIES = 100
MAX_BYTES = 1_000_000
ROW_BYTES = 65_536
ANSWER_S = 0.004


class Store:
    """Rows with versions, their feed, and raw objects.

    Attributes
    ----------
    calls : dict
        Number of calls by path.
    refused : list of str
        Why transactions were refused with 400.
    """

    def __init__(self):
        self._rows = {}
        self._changes = []
        self._version = 0
        self._changed = asyncio.Event()
        self._objects = {}
        self._server = Server(self._handle)
        self.calls = {}
        self.refused = []

    async def start(self, host: str):
        """Listen; return the address."""
        return await self._server.start(host)

    async def stop(self) -> None:
        """Close the port."""
        await self._server.stop()

    def put(self, table: str, key: str, fields) -> int:
        """Write a row of the platform itself; return its version."""
        self._version += 1
        value = base64.b64encode(json.dumps(fields).encode()).decode()
        self._apply((table, "", key), value)
        return self._version

    def drop(self, table: str, key: str) -> None:
        """Remove a row of the platform itself."""
        if (table, "", key) in self._rows:
            self._version += 1
            self._apply((table, "", key), None)

    def _apply(self, name, value):
        if value is None:
            self._rows.pop(name, None)
        else:
            self._rows[name] = (value, self._version)
        self._changes.append((self._version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request, writer):
        path = request.path
        self.calls[path] = self.calls.get(path, 0) + 1
        query = parse_qs(request.target.partition("?")[2])
        fields = {name: values[0] for name, values in query.items()}
        await asyncio.sleep(ANSWER_S)
        if path == "/api/rows-tx":
            status, body = self._transact(request.body)
        elif path == "/api/rows-get":
            status, body = self._get(fields)
        elif path == "/api/rows-feed":
            status, body = await self._feed(fields)
        else:
            status, body = self._object(request, path)
        writer.write(answer_bytes(status, (), body))
        return True

    def _body(self, **fields):
        now_ms = time.monotonic_ns() // 1_000_000
        return json.dumps(
            {"ver": self._version, "now-ms": now_ms, **fields}
        ).encode()

    def _problem(self, size, writes, entries):
        """Return why a transaction is invalid, or None."""
        if size > MAX_BYTES:
            return f"{size} bytes, at most 1 MB"
        if len(entries) > MAX_ENTRIES:
            return f"{len(entries)} entries, at most 100"
        if len({each.get("part", "") for each in entries}) > 1:
            return "more than one part"
        sizes = [len(base64.b64decode(each["value"])) for each in writes]
        if max(sizes, default=0) > ROW_BYTES:
            return "a row over row-bytes"
        return None

    def _transact(self, body):
        call = json.loads(body)
        checks, writes, removals = (
            call.get(name, []) for name in ("if-rev", "writes", "remove")
        )
        if any(each["table"] in ("op", "servers") for each in writes):
            return 403, b""
        entries = [*checks, *writes, *removals]
        problem = self._problem(len(body), writes, entries)
        if problem is not None:
            self.refused.append(problem)
            return 400, b""
        for each in checks:
            if self._rows.get(_name(each), (None, 0))[1] != each["ver"]:
                found = [
                    _row(_name(one), *self._rows[_name(one)])
                    for one in checks
                    if _name(one) in self._rows
                ]
                return 412, self._body(rows=found)
        self._version += 1
        for each in writes:
            self._apply(_name(each), each["value"])
        for each in removals:
            if _name(each) in self._rows:
                self._apply(_name(each), None)
        return 200, self._body()

    def _get(self, fields):
        first, last = fields.get("from", ""), fields.get("to")
        wanted = (fields["table"], fields.get("part", ""))
        found = sorted(
            (name, stored)
            for name, stored in self._rows.items()
            if name[:2] == wanted
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        limit = min(int(fields.get("limit", MAX_ROWS)), MAX_ROWS)
        page, size = [], 0
        for name, stored in found[:limit]:
            size += len(stored[0])
            if page and size > MAX_BYTES:
                break
            page.append(_row(name, *stored))
        return 200, self._body(rows=page, truncated=len(page) < len(found))

    async def _feed(self, fields):
        after, table = int(fields["after"]), fields["table"]
        until_s = time.monotonic() + int(fields.get("wait-ms", 0)) / 1000
        while True:
            rows = [
                {**_row(name, value or "", version), "removed": value is None}
                for version, name, value in self._changes
                if version > after and name[0] == table
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._body(rows=rows)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _object(self, request, path):
        verb, _, name = path.removeprefix("/api/").partition("/")
        name = unquote(name)
        if verb == "blob-put":
            if request.headers.get("if-none-match") and name in self._objects:
                return 412, b""
            self._objects[name] = request.body
            return 200, self._body()
        if verb == "blob-get":
            found = self._objects.get(name)
            return (404, b"") if found is None else (200, found)
        if verb == "blob-drop":
            self._objects.pop(name, None)
            return 200, self._body()
        return 404, b""


def _name(fields):
    return (fields["table"], fields.get("part", ""), fields["key"])


def _row(name, value, version):
    table, part, key = name
    return {
        "table": table,
        "part": part,
        "key": key,
        "value": value,
        "ver": version,
    }
