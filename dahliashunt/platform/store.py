"""HTTP client of the platform's store: tables, change feeds and objects.

A key of `TableService` is ``table/part/key``. A transaction is limited to
rows of one part. Row versions come from one counter of the store.
"""

import base64
import binascii
from dataclasses import dataclass
import json
from urllib.parse import quote
from urllib.parse import urlencode

from dahliashunt.adapters.http1 import Bound
from dahliashunt.adapters.http1 import ConnectFailed
from dahliashunt.adapters.http1 import ConnectionPool
from dahliashunt.adapters.http1 import encode_request
from dahliashunt.adapters.http1 import exchange_whole
from dahliashunt.errors import HistoryLost
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import TransactionConflict
from dahliashunt.errors import WriteOutcomeUnknown
from dahliashunt.metrics import Metrics
from dahliashunt.ports import Clock
from dahliashunt.ports.table import Changes
from dahliashunt.ports.table import MustBe
from dahliashunt.ports.table import Row
from dahliashunt.ports.table import Write
from dahliashunt.row_fields import FIELD_ERRORS
from dahliashunt.row_fields import parse_json

__all__ = ["PlatformStore", "ReplyTooLong"]

WRITE_TIMEOUT_MS = 1_000
"""Timeout of a write, above the latency of a slow store: the outcome of a
write that times out is unknown and has to be resolved by a read."""

READ_TIMEOUT_BOUNDS_MS = (150, 700)
"""Bounds of a read's timeout, which is `READ_TIMEOUT_FACTOR` times the
moving average of latency."""

READ_TIMEOUT_FACTOR = 10
INITIAL_LATENCY_MS = 5.0
LATENCY_EWMA_WEIGHT = 0.2

MAX_PAGE_ROWS = 500
"""Maximum number of rows in one response of the store."""

MAX_REPLY_BYTES = 16_777_216
"""Longest answer of the store: 190 rows of the usual limit of 65,536 bytes in
base64, or two objects of the usual limit. Rows of the platform itself are
far smaller. A longer page is read again with fewer rows."""

PAGE_DIVISOR = 8
"""Divisor of the number of rows after a page that was too long."""

_REFUSED_STATUSES = (429, 503)

OBJECTS_LABEL = "objects"
"""Value of the ``table`` label for calls about objects."""


class ReplyTooLong(PlatformUnavailable):
    """The body of the store's answer to a read exceeds its bound."""


@dataclass(frozen=True, slots=True)
class _Reply:
    status: int
    body: bytes

    def json(self):
        return parse_json(self.body)


class PlatformStore:
    """Implement `TableService`, `TableFeed` and `ObjectStore` over HTTP.

    Parameters
    ----------
    address : (str, int)
        Host and port. May be reassigned; calls in progress keep the old
        address.
    pool : ConnectionPool
    clock : Clock
    metrics : Metrics
        Counts calls by verb and table as ``store_calls``, and answers that
        were not read past a bound as ``store_replies_over_bound``.
    object_bytes : int
        Longest object of this store.
    """

    def __init__(
        self,
        address,
        pool: ConnectionPool,
        clock: Clock,
        metrics: Metrics,
        object_bytes: int = 0,
    ):
        self.address = address
        self._pool = pool
        self._clock = clock
        self._metrics = metrics
        self._clock_offset_ms = 0
        self._latency_ms = INITIAL_LATENCY_MS
        self._max_reply_bytes = max(MAX_REPLY_BYTES, object_bytes)
        self._tables_read_again: set[str] = set()

    def now_ms(self) -> int:
        """Return the store's monotonic clock, estimated from its last answer.

        All nodes agree on it to within the latency of one call.
        """
        return self._clock.now_ms() + self._clock_offset_ms

    # Table service.

    async def read(self, key: str) -> Row | None:
        """Return the row named `key`, or None."""
        rows = await self.read_range(key, key + "\x00", 1)
        return rows[0] if rows else None

    async def read_range(
        self, start: str, end: str, limit: int
    ) -> tuple[Row, ...]:
        """Return rows of one part with ``start <= key < end``."""
        table, part, first = _split_key(start)
        rows = []
        while len(rows) < limit:
            page = await self._page(
                table, part, first, _split_key(end)[2], limit - len(rows)
            )
            rows += [_row(each) for each in page["rows"]]
            if not page.get("truncated") or not page["rows"]:
                break
            first = _next_start(page, first)
        return tuple(rows)

    async def _page(self, table, part, first, last, limit):
        """Return a page; read fewer rows if they exceed the bound."""
        limit = min(limit, MAX_PAGE_ROWS)
        try:
            return await self._read_page(table, part, first, last, limit)
        except ReplyTooLong:
            limit //= PAGE_DIVISOR
            if not limit:
                raise
        return await self._read_page(table, part, first, last, limit)

    async def _read_page(self, table, part, first, last, limit):
        query = {"table": table, "part": part, "limit": limit}
        self._count("get", table)
        if first:
            query["from"] = first
        if last:
            query["to"] = last
        return _checked(await self._read_json("/api/rows-get", query))

    async def transact(self, writes: tuple[Write, ...]) -> tuple[int, ...]:
        """Apply all `writes` atomically; their rows must be of one part."""
        self._count("transact", _split_key(writes[0].key)[0])
        body = json.dumps(_encode_transaction(writes)).encode()
        reply = await self._write("POST", "/api/rows-tx", body)
        if reply.status == 412:
            rows = _conflicting_rows(reply)
            raise TransactionConflict(tuple(r.key for r in rows), rows)
        version = self._decode_write(reply).get("ver")
        if type(version) is not int:
            raise WriteOutcomeUnknown("the answer has no version")
        return tuple(0 if each.value is None else version for each in writes)

    # Feed.

    async def snapshot(self, prefix: str) -> Changes:
        """Return every row of a part whose key starts with `prefix`.

        A row is never older than the version returned.
        """
        table, part, first = _split_key(prefix)
        rows = []
        version = None
        while True:
            page = await self._page(table, part, first, "", MAX_PAGE_ROWS)
            rows += [_row(each) for each in page["rows"]]
            # Use the first page's version, so that changes made between
            # two pages are delivered again by the feed.
            version = page["ver"] if version is None else version
            if not page.get("truncated") or not page["rows"]:
                return Changes(tuple(rows), (), version)
            first = _next_start(page, first)

    async def changes(self, table: str, after: int, wait_ms: int) -> Changes:
        """Return the changes in `table` after version `after`."""
        query = {"table": table, "after": after, "wait-ms": wait_ms}
        self._count("feed", table)
        try:
            found = _checked(
                await self._read_json("/api/rows-feed", query, wait_ms)
            )
        except ReplyTooLong:
            # The table is read in pages instead, but not at each excess.
            if table in self._tables_read_again:
                self._tables_read_again.discard(table)
                raise
            self._tables_read_again.add(table)
            raise HistoryLost(f"the changes of {table} are too long") from None
        self._tables_read_again.discard(table)
        row_by_key = {}
        for each in found["rows"]:
            key = _key(each)
            # A row that changed several times is listed once per change;
            # the last entry is its current state.
            row_by_key.pop(key, None)
            row_by_key[key] = None if each.get("removed") else _row(each)
        rows = tuple(row for row in row_by_key.values() if row is not None)
        removed = tuple(key for key, row in row_by_key.items() if row is None)
        return Changes(rows, removed, found["ver"])

    # Objects.

    async def put(self, name: str, data: bytes) -> None:
        """Store `data` under `name`; idempotent."""
        self._count("put", OBJECTS_LABEL)
        path = f"/api/blob-put/{quote(name, safe='')}"
        self._decode_write(await self._write("PUT", path, data))

    async def get(self, name: str) -> bytes | None:
        """Return the object named `name`, or None."""
        self._count("get", OBJECTS_LABEL)
        path = f"/api/blob-get/{quote(name, safe='')}"
        reply = await self._call("GET", path, b"", 0)
        if reply is None:
            raise PlatformUnavailable(f"no answer to GET {path}")
        if reply.status == 404:
            return None
        if reply.status != 200:
            raise PlatformUnavailable(f"{reply.status} to GET {path}")
        return reply.body

    async def delete(self, name: str) -> None:
        """Delete the object named `name`, if there is one."""
        self._count("drop", OBJECTS_LABEL)
        path = f"/api/blob-drop/{quote(name, safe='')}"
        reply = await self._write("DELETE", path, b"")
        if reply.status != 404:
            self._decode_write(reply)

    # Calls.

    def _count(self, verb, table):
        self._metrics.count("store_calls", verb=verb, table=table)

    async def _read_json(self, path, query, wait_ms=0):
        # A key of another writer may hold characters that UTF-8 has not.
        target = f"{path}?{urlencode(query, errors='surrogatepass')}"
        reply = await self._call("GET", target, b"", wait_ms)
        if reply is None:
            raise PlatformUnavailable(f"no answer to GET {path}")
        if reply.status == 410:
            raise HistoryLost(f"410 to GET {path}")
        return self._decode(reply)

    def _decode(self, reply):
        if reply.status not in (200, 201, 204):
            raise PlatformUnavailable(f"the store answered {reply.status}")
        if not reply.body:
            return {}
        try:
            fields = reply.json()
        except (ValueError, RecursionError):
            raise PlatformUnavailable("the answer is not JSON") from None
        if not isinstance(fields, dict):
            raise PlatformUnavailable("the answer is not a JSON object")
        self._note_clock(fields.get("now-ms"))
        return fields

    def _decode_write(self, reply):
        """Return the fields of the answer to a write.

        A success that can't be read is no proof that nothing was written.
        """
        try:
            return self._decode(reply)
        except PlatformUnavailable as error:
            if reply.status == 200:
                raise WriteOutcomeUnknown(str(error)) from None
            raise

    def _note_clock(self, now_ms):
        if type(now_ms) is int:
            self._clock_offset_ms = now_ms - self._clock.now_ms()

    async def _write(self, method, target, body):
        reply = await self._call(method, target, body, 0)
        if reply is None:
            raise WriteOutcomeUnknown(f"no answer to {method} {target}")
        if reply.status in _REFUSED_STATUSES:
            raise PlatformUnavailable(f"the store answered {reply.status}")
        return reply

    async def _call(self, method, target, body, wait_ms):
        """Return the answer, or None on a timeout; raise if not sent."""
        address = self.address
        try:
            connection = await self._pool.take(address)
        except ConnectFailed as error:
            raise PlatformUnavailable(str(error)) from None
        host, port = address
        headers = [("Host", f"{host}:{port}")]
        if body:
            headers.append(("Content-Type", _content_type(method)))
        request = encode_request(method, target, headers, body)
        timeout_ms = self._timeout_ms(method)
        sent_ms = self._clock.now_ms()
        try:
            answer = await exchange_whole(
                connection,
                request,
                self._clock,
                timeout_ms + wait_ms,
                self._max_reply_bytes,
            )
        except BaseException:
            # A late answer must not be read by the connection's next call.
            connection.abort()
            raise
        self._pool.give_back(address, connection)
        if not wait_ms:
            self._update_latency(self._clock.now_ms() - sent_ms)
        if connection.exceeded is not None:
            self._metrics.count(
                "store_replies_over_bound", bound=connection.exceeded.value
            )
            if method == "GET":
                raise _excess_error(connection.exceeded)
        if answer is None:
            return None
        return _Reply(answer.head.status, answer.body)

    def _timeout_ms(self, method):
        if method != "GET":
            return WRITE_TIMEOUT_MS
        min_ms, max_ms = READ_TIMEOUT_BOUNDS_MS
        timeout_ms = READ_TIMEOUT_FACTOR * self._latency_ms
        return int(min(max_ms, max(min_ms, timeout_ms)))

    def _update_latency(self, elapsed_ms):
        """Update the moving average with the duration of a call or timeout.

        A sample above `READ_TIMEOUT_FACTOR` times the average replaces it,
        so that the timeout grows at once when the store slows down.
        """
        if elapsed_ms > READ_TIMEOUT_FACTOR * self._latency_ms:
            self._latency_ms = elapsed_ms
        else:
            change_ms = elapsed_ms - self._latency_ms
            self._latency_ms += LATENCY_EWMA_WEIGHT * change_ms


def _excess_error(bound):
    kind = ReplyTooLong if bound is Bound.BODY else PlatformUnavailable
    return kind(f"the store's answer exceeds its bound of {bound.value}")


def _content_type(method):
    if method == "PUT":
        return "application/octet-stream"
    return "application/json"


def _split_key(key):
    table, _, rest = key.partition("/")
    part, _, key = rest.partition("/")
    return table, part, key


def _checked(found):
    """Return an answer that has rows and a version."""
    if type(found.get("rows")) is list and type(found.get("ver")) is int:
        return found
    raise PlatformUnavailable("the answer has no rows or no version")


def _next_start(page, first):
    """Return the first key of the next page.

    A store that gives the same page again would be read without end.
    """
    start = page["rows"][-1]["key"] + "\x00"
    if start == first:
        raise PlatformUnavailable("the answer repeats a page")
    return start


def _conflicting_rows(reply):
    """Return the rows for which a transaction was refused."""
    try:
        return tuple(_row(each) for each in reply.json()["rows"])
    except FIELD_ERRORS:
        raise PlatformUnavailable("the refusal is broken") from None


def _key(fields):
    try:
        names = (fields["table"], fields.get("part", ""), fields["key"])
        return "/".join(names)
    except FIELD_ERRORS:
        raise PlatformUnavailable("a row of the answer is broken") from None


def _row(fields):
    key = _key(fields)
    version = fields.get("ver")
    if type(version) is not int:
        raise PlatformUnavailable("a row of the answer has no version")
    return Row(key, _value(fields), version)


def _value(fields):
    try:
        value = base64.b64decode(fields.get("value") or "", validate=True)
        return value.decode("utf-8")
    except (binascii.Error, TypeError, ValueError):
        # Rows of other writers may not decode; their value reads as empty.
        return ""


def _encode_transaction(writes):
    conditions, puts, removals = [], [], []
    for each in writes:
        table, part, key = _split_key(each.key)
        name = {"table": table, "part": part, "key": key}
        if each.expect is not MustBe.ANY:
            version = 0 if each.expect is MustBe.ABSENT else each.expect
            conditions.append({**name, "ver": version})
        if each.check_only:
            continue
        if each.value is None:
            removals.append(name)
        else:
            value = base64.b64encode(each.value.encode()).decode()
            puts.append({**name, "value": value})
    return {"if-rev": conditions, "writes": puts, "remove": removals}
