"""In-memory HTTP store with tables, change feeds and objects."""

import asyncio
import base64
from dataclasses import dataclass
from dataclasses import field
import json
import time
from urllib.parse import parse_qs
from urllib.parse import unquote

from dahliashunt.adapters.http_server import HttpServer

__all__ = ["StoreStandin", "Trouble"]

MAX_PAGE_ROWS = 500
MAX_TRANSACTION_ROWS = 100


@dataclass
class Trouble:
    """Faults that the store injects.

    Attributes
    ----------
    status : int or None
        Refuse every call with this status.
    silent : bool
        Neither apply nor answer any call.
    lose_answers : int
        Number of further writes to apply without an answer.
    refuse_writes_after : int or None
        Number of further writes to accept before refusing with 503.
    late_writes : int
        Number of further transactions to apply after `late_ms`, without
        an answer; their conditions are checked then.
    late_ms : int
    delay_ms : int
        Delay before each answer.
    silent_feed_of : str
        Answer no feed of this table, as on a half-open connection.
    refuse_reads_of : str
        Refuse ranges of this table with 503.
    refused_reads : int
        Number of ranges refused so.
    """

    status: int | None = None
    silent: bool = False
    lose_answers: int = 0
    refuse_writes_after: int | None = None
    late_writes: int = 0
    late_ms: int = 0
    delay_ms: int = 0
    silent_feed_of: str = ""
    refuse_reads_of: str = ""
    refused_reads: int = 0


@dataclass
class _Rows:
    """Rows by (table, part, key), and their changes in order."""

    by_key: dict = field(default_factory=dict)
    changes: list = field(default_factory=list)
    version: int = 1
    oldest: int = 0


class StoreStandin:
    """In-memory store behind an HTTP server.

    Attributes
    ----------
    trouble : Trouble
    calls : dict
        Number of calls by path.
    object_by_name : dict
    """

    def __init__(self):
        self.trouble = Trouble()
        self.calls = {}
        self.object_by_name = {}
        self._rows = _Rows()
        self._changed = asyncio.Event()
        self._server = None
        self._closing = False

    async def start(self) -> tuple[str, int]:
        """Start to listen on a free loopback port; return the address."""
        self._server = HttpServer(self._app, "127.0.0.1", 0, lifespan=False)
        await self._server.start()
        return ("127.0.0.1", self._server.port)

    async def stop(self) -> None:
        """Answer pending feed requests, then close every connection."""
        self._closing = True
        self._changed.set()
        await asyncio.sleep(0)
        await self._server.stop_now()

    # Direct access for tests, as the operator or another writer.

    def put(self, table: str, key: str, value, part: str = "") -> None:
        """Write a row; a value other than text or bytes becomes JSON."""
        if not isinstance(value, str | bytes):
            value = json.dumps(value)
        raw = value.encode() if isinstance(value, str) else value
        self._write((table, part, key), base64.b64encode(raw).decode())

    def drop(self, table: str, key: str, part: str = "") -> None:
        """Remove a row."""
        self._write((table, part, key), None)

    def configure(self, configuration) -> None:
        """Write the operator's configuration."""
        self.put("op", "config", configuration)

    def list_replica(self, replica_id: str, entry) -> None:
        """Write an entry of the list of replicas."""
        self.put("servers", replica_id, entry)

    def unlist_replica(self, replica_id: str) -> None:
        """Remove an entry from the list of replicas."""
        self.drop("servers", replica_id)

    def value(self, table: str, key: str, part: str = "") -> str | None:
        """Return a row's text."""
        found = self._rows.by_key.get((table, part, key))
        return base64.b64decode(found[0]).decode() if found else None

    def names(self) -> list[tuple[str, str, str]]:
        """Return table, part and key of every row."""
        return list(self._rows.by_key)

    def forget_history(self) -> None:
        """Drop the change history; feeds from an older version get 410."""
        self._rows.changes.clear()
        self._rows.oldest = self._rows.version

    def _write(self, name, value):
        rows = self._rows
        rows.version += 1
        self._apply(name, value)

    def _apply(self, name, value):
        rows = self._rows
        if value is None:
            rows.by_key.pop(name, None)
        else:
            rows.by_key[name] = (value, rows.version)
        rows.changes.append((rows.version, name, value))
        self._changed.set()
        self._changed = asyncio.Event()

    # HTTP.

    async def _app(self, scope, receive, send):
        path = scope["path"]
        body = b""
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            body += message.get("body", b"")
            if not message.get("more_body"):
                break
        self.calls[path] = self.calls.get(path, 0) + 1
        answer = await self._answer(scope, path, body)
        await asyncio.sleep(self.trouble.delay_ms / 1000)
        if answer is None:
            await receive()
            return
        await _send(send, *answer)

    async def _answer(self, scope, path, body):
        trouble = self.trouble
        if trouble.silent:
            return None
        if trouble.status is not None:
            return trouble.status, b""
        if scope["method"] != "GET" and self._refuses_write():
            return 503, b""
        query = parse_qs(
            scope["query_string"].decode(), keep_blank_values=True
        )
        fields = {name: values[0] for name, values in query.items()}
        if path == "/api/rows-tx" and trouble.late_writes > 0:
            trouble.late_writes -= 1
            loop = asyncio.get_running_loop()
            late_s = trouble.late_ms / 1000
            loop.call_later(late_s, self._transact, json.loads(body))
            return None
        if path == "/api/rows-tx":
            answer = self._transact(json.loads(body))
        elif path == "/api/rows-get":
            answer = self._handle_get(fields)
        elif path == "/api/rows-feed":
            answer = await self._handle_feed(fields)
        else:
            answer = self._handle_object(scope["method"], path, body)
        is_write = scope["method"] != "GET"
        if is_write and trouble.lose_answers > 0:
            trouble.lose_answers -= 1
            return None
        return answer

    def _refuses_write(self):
        remaining = self.trouble.refuse_writes_after
        if remaining is None:
            return False
        self.trouble.refuse_writes_after = max(0, remaining - 1)
        return remaining == 0

    def _transact(self, call):
        writes, removals = call.get("writes", ()), call.get("remove", ())
        conditions = call.get("if-rev", ())
        targets = [*writes, *removals, *conditions]
        if (
            len(targets) > MAX_TRANSACTION_ROWS
            or len({w["part"] for w in targets}) > 1
        ):
            return 400, b""
        for each in conditions:
            stored = self._rows.by_key.get(_name(each))
            if (stored[1] if stored else 0) != each["ver"]:
                return 412, self._body(self._current_rows(conditions))
        self._rows.version += 1
        for each in writes:
            self._apply(_name(each), each["value"])
        for each in removals:
            self._apply(_name(each), None)
        return 200, self._body(None)

    def _current_rows(self, conditions):
        by_key = self._rows.by_key
        names = [_name(each) for each in conditions]
        return [_row(n, *by_key[n]) for n in names if n in by_key]

    def _body(self, rows, **more):
        fields = {"ver": self._rows.version, "now-ms": _now_ms(), **more}
        if rows is not None:
            fields["rows"] = rows
        return json.dumps(fields).encode()

    def _handle_get(self, fields):
        if fields["table"] == self.trouble.refuse_reads_of:
            self.trouble.refused_reads += 1
            return 503, b""
        first, last = fields.get("from", ""), fields.get("to")
        found = sorted(
            (name, stored)
            for name, stored in self._rows.by_key.items()
            if name[:2] == (fields["table"], fields.get("part", ""))
            and name[2] >= first
            and (last is None or name[2] < last)
        )
        limit = min(int(fields.get("limit", MAX_PAGE_ROWS)), MAX_PAGE_ROWS)
        rows = [_row(name, *stored) for name, stored in found[:limit]]
        return 200, self._body(rows, truncated=len(found) > limit)

    async def _handle_feed(self, fields):
        after, table = int(fields["after"]), fields["table"]
        until_s = time.monotonic() + int(fields.get("wait-ms", 0)) / 1000
        while True:
            if after < self._rows.oldest:
                return 410, b""
            rows = [
                _change(version, name, value)
                for version, name, value in self._rows.changes
                if version > after and name[0] == table
            ]
            left_s = until_s - time.monotonic()
            if table == self.trouble.silent_feed_of:
                return None
            if rows or left_s <= 0 or self._closing:
                return 200, self._body(rows)
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left_s)
            except TimeoutError:
                continue

    def _handle_object(self, method, path, body):
        call, _, name = path.removeprefix("/api/").partition("/")
        name = unquote(name)
        if call == "blob-put":
            self.object_by_name[name] = body
            return 200, b"{}"
        if call == "blob-get":
            data = self.object_by_name.get(name)
            return (404, b"") if data is None else (200, data)
        if call == "blob-drop":
            self.object_by_name.pop(name, None)
            return 200, b"{}"
        return 404, b""


def _now_ms():
    return time.monotonic_ns() // 1_000_000


def _name(fields):
    return (fields["table"], fields["part"], fields["key"])


def _row(name, value, version):
    table, part, key = name
    fields = {"table": table, "part": part, "key": key}
    return {**fields, "value": value, "ver": version}


def _change(version, name, value):
    if value is None:
        return {**_row(name, "", version), "removed": True}
    return _row(name, value, version)


async def _send(send, status, body):
    headers = [(b"content-length", str(len(body)).encode())]
    start = {"type": "http.response.start", "status": status}
    await send({**start, "headers": headers})
    await send({"type": "http.response.body", "body": body})
