"""HTTP/1.1 client connection with one request at a time.

Unlike library clients, it tells whether a request was written to the
socket, whether its response was framed and complete, and whether bytes
came that belong to no request. It never retries a request.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import enum
import socket

import httptools

from dahliashunt.adapters.http1.bounds import Bound
from dahliashunt.adapters.http1.bounds import BoundExceeded
from dahliashunt.adapters.http1.bounds import is_final_status
from dahliashunt.adapters.http1.bounds import MessageMeter
from dahliashunt.adapters.write_backlog import ReadBacklog
from dahliashunt.errors import DahliashuntError
from dahliashunt.mailbox import Mailbox
from dahliashunt.row_fields import digits_field

__all__ = [
    "ConnectFailed",
    "End",
    "HttpConnection",
    "ResponseHead",
    "open_connection",
]

USER_TIMEOUT_MS = 2_500
"""Time for which sent bytes may stay unacknowledged; the system's default
is minutes."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""TCP keep-alive: a silent peer is detected in about 3 s."""

READ_HIGH_WATER_BYTES = 65_536
"""Unconsumed body bytes above which reading pauses, to bound the memory of
a connection with a slow reader."""

UNREAD_MS = 1_000
"""Pause of reading after which the end of a response is put down to its
reader. Replicas cut off responses that stay unread for some seconds."""

_NO_BODY = (204, 304)
"""Statuses of responses without a body."""


class ConnectFailed(DahliashuntError):
    """No connection was made, so that nothing was sent."""


class End(enum.Enum):
    """Ways in which a response ends."""

    WHOLE = "whole"
    """The response was framed and complete."""

    CLOSED = "closed"
    """The response had no length and ended with an orderly close."""

    BROKEN = "broken"
    """The response was reset, truncated or malformed."""

    UNSENT = "unsent"
    """No byte of the request was passed to the operating system."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of a response.

    Attributes
    ----------
    status : int
    headers : tuple of pairs
        Names in lower case, in order.
    has_body : bool
        Whether a body may follow. The answer to HEAD, and some statuses,
        have none, whatever length is stated.
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    has_body: bool = True

    def get(self, name: str) -> str | None:
        """Return the first header called `name`, in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None

    def stated_bytes(self) -> int | None:
        """Return the length in the header, or None without one."""
        value = self.get("content-length") or ""
        return int(value) if value.isdecimal() else None


class HttpConnection(asyncio.Protocol):
    """HTTP/1.1 client connection.

    Parameters
    ----------
    backlog : ReadBacklog, optional
        Counts the unconsumed body bytes of several connections.
    on_lost : callable, optional
        Called with the connection once it is closed.

    The events of an exchange are a `ResponseHead`, parts of the body as
    bytes, and an `End`.

    Attributes
    ----------
    usable : bool
        Whether the connection may carry another request.
    idle_since_ms : int
        Time since when it is idle; set by the pool.
    opened_after : int
        Number of restarts that the pool knew of when it was opened.
    exceeded : Bound or None
        The bound at which reading ended.
    """

    def __init__(
        self,
        backlog: ReadBacklog | None = None,
        on_lost: "Callable[[HttpConnection], None] | None" = None,
    ):
        self._on_lost = on_lost
        self.usable = True
        self.idle_since_ms = 0
        self.opened_after = 0
        self.used = 0
        self.keep_alive_ms = None
        self.transport = None
        self.exceeded: Bound | None = None
        self._meter = MessageMeter()
        self._parser = None
        self._mailbox = None
        self._accept = None
        self._is_head = False
        self._headers = []
        self._parts = []
        self._framed = False
        self._has_head = False
        self._skipping = False
        self._backlog = backlog or ReadBacklog()
        self._unread = 0
        self._kept = 0
        self._paused = False
        self._paused_s = 0.0
        self._longest_pause_s = 0.0

    # Callbacks of asyncio.

    def connection_made(self, transport):
        """Store the transport; limit its reads.

        asyncio reads up to 256 KB at once, before reading can be paused.
        """
        self.transport = transport
        transport.max_size = READ_HIGH_WATER_BYTES

    def data_received(self, data):
        """Parse `data`; abort the connection if no exchange is open."""
        if self._mailbox is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
            if self._mailbox is not None:
                body_bytes = self._deliver() if self._parts else 0
                self._meter.progress(len(data), body_bytes)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            BoundExceeded,
        ):
            self.exceeded = self.exceeded or self._meter.exceeded
            self._finish(End.BROKEN)

    def eof_received(self):
        """End a response without length; others are broken by a close."""
        if self._mailbox is not None and self._has_head:
            self._finish(End.BROKEN if self._framed else End.CLOSED)
        return False

    def connection_lost(self, exc):
        """End the exchange, if one is open."""
        self.usable = False
        self._finish(End.BROKEN)
        if self._on_lost is not None:
            self._on_lost(self)

    # Callbacks of the parser.

    def on_message_begin(self):
        """Abort the connection on a response without a request."""
        if self._mailbox is None:
            self.abort()
            return
        self._headers = []
        self._framed = False
        self._meter.begin()

    def on_header(self, name, value):
        """Collect a header; stop at too many or too large ones."""
        self._meter.field(len(name) + len(value))
        if self._headers is None:
            return
        key = name.decode("latin-1").lower()
        if key in ("content-length", "transfer-encoding"):
            self._framed = True
        self._headers.append((key, value.decode("latin-1")))

    def on_headers_complete(self):
        """Deliver the head, or skip the response to another request."""
        if self._mailbox is None:
            return
        status = self._parser.get_status_code()
        if not (100 <= status < 200 or is_final_status(status)):
            self._meter.fail(Bound.STATUS)
        has_body = not self._is_head and status not in _NO_BODY
        head = ResponseHead(status, tuple(self._headers), has_body)
        self._headers = None
        if status < 200:
            self._meter.interim()
            self._skipping = True
            return
        self._skipping = not self._accept(head)
        if self._skipping:
            # A late response to an earlier request; the expected one follows.
            self.usable = False
            return
        self._apply_connection_headers(head)
        self._has_head = True
        self._mailbox.put(head)
        if self._is_head:
            # The parser waits for the stated body, so that it can't tell a
            # following response from one.
            self.usable = False
            self._finish(End.WHOLE)

    def on_body(self, data):
        """Keep a part of the body until the end of the read."""
        if self._mailbox is None:
            return
        if self._skipping:
            self._meter.skipped(len(data))
            return
        self._parts.append(data)

    def _deliver(self):
        """Deliver the parts of the body in one read; return their size.

        Tiny chunks would otherwise take many times the memory of their
        bytes while they wait, and each would cost a delivery.
        """
        parts = self._parts
        data = parts[0] if len(parts) == 1 else b"".join(parts)
        parts.clear()
        size = len(data)
        self._mailbox.put(data)
        self._unread += size
        self._backlog.size += size
        if self._unread > READ_HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self._paused_s = asyncio.get_running_loop().time()
            self.transport.pause_reading()
        return size

    def on_message_complete(self):
        """End the exchange."""
        if self._skipping:
            self._skipping = False
            return
        if self._mailbox is not None:
            self._finish(End.WHOLE if self._framed else End.CLOSED)

    def _apply_connection_headers(self, head):
        if not head.has_body:
            self._framed = True
        if not (self._framed and self._parser.should_keep_alive()):
            self.usable = False
        for part in (head.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            timeout_s = digits_field(value)
            if name == "timeout" and timeout_s is not None:
                self.keep_alive_ms = timeout_s * 1000

    def _finish(self, end):
        if end is not End.WHOLE:
            self.usable = False
        if self._parts:
            self._deliver()
        mailbox, self._mailbox = self._mailbox, None
        if mailbox is not None:
            mailbox.put(end)
        if not self.usable:
            self.abort()

    # Methods for the caller.

    def start(self, request: bytes, accept=None) -> Mailbox:
        """Send `request`; return the mailbox that gets its events.

        Parameters
        ----------
        request : bytes
        accept : callable, optional
            Returns whether a given `ResponseHead` answers this request.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._meter = MessageMeter()
        self.exceeded = None
        self._mailbox = Mailbox()
        self._accept = accept or (lambda head: True)
        self._is_head = request.startswith(b"HEAD ")
        self._headers = []
        self._has_head = False
        self._skipping = False
        self.release()
        self._longest_pause_s = 0.0
        self.used += 1
        mailbox = self._mailbox
        if not self._try_write(request):
            self._finish(End.UNSENT)
        return mailbox

    def _try_write(self, request):
        """Write `request`; return whether any of it may have been sent.

        A transport with an empty buffer writes at once and closes if that
        fails, so a closed one proves that nothing was sent: the request
        may be retried elsewhere.
        """
        if self.transport.is_closing():
            return False
        self.transport.write(request)
        return not self.transport.is_closing()

    def taken(self, size: int) -> None:
        """Mark `size` bytes of the body as consumed; resume paused reads."""
        if size > self._unread:
            size = self._unread
        self._unread -= size
        self._backlog.size -= size
        if self._paused and self._unread <= READ_HIGH_WATER_BYTES // 2:
            self._resume()

    def keep(self, size: int) -> None:
        """Mark bytes as consumed that are held until `release`."""
        self.taken(size)
        self._kept += size
        self._backlog.size += size

    def _resume(self):
        self._paused = False
        now_s = asyncio.get_running_loop().time()
        self._longest_pause_s = max(
            self._longest_pause_s, now_s - self._paused_s
        )
        if not self.transport.is_closing():
            self.transport.resume_reading()

    def release(self) -> None:
        """Stop counting body bytes that nobody will consume."""
        self._backlog.size -= self._unread + self._kept
        self._unread = 0
        self._kept = 0
        if self._paused:
            self._resume()

    @property
    def in_exchange(self) -> bool:
        """Whether a response has not ended yet."""
        return self._mailbox is not None

    @property
    def was_unread(self) -> bool:
        """Whether reading was paused for long enough that a peer gives up."""
        return self._longest_pause_s * 1000 >= UNREAD_MS

    def exceed(self, bound: Bound) -> None:
        """Close at once, since the response exceeds `bound`."""
        self.exceeded = self.exceeded or bound
        self.abort()

    def abort(self) -> None:
        """Close at once, which breaks an exchange in progress."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()


async def open_connection(
    host: str,
    port: int,
    timeout_ms: int,
    backlog: ReadBacklog | None = None,
    on_lost: Callable[[HttpConnection], None] | None = None,
) -> HttpConnection:
    """Connect and set the socket's timeouts.

    Raises
    ------
    ConnectFailed
        The connection was refused or not made within `timeout_ms`.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, connection = await loop.create_connection(
                lambda: HttpConnection(backlog, on_lost), host, port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(
            f"cannot connect to {host}:{port}: {error!r}"
        ) from None
    _set_socket_timeouts(connection.transport.get_extra_info("socket"))
    return connection


def _set_socket_timeouts(sock):
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.SOL_SOCKET, socket.SO_RCVBUF, READ_HIGH_WATER_BYTES),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
