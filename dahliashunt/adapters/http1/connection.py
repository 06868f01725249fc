"""One client connection: one request at a time, surplus bytes end it.

The parser is httptools'; what is added is the accounting that a library
client hides: whether a request's bytes were handed to the socket, whether
an answer was framed and whole, and whether bytes came that belong to no
request. Nothing is ever sent again from here.
"""

import asyncio
from dataclasses import dataclass
import enum
import socket

import httptools

from dahliashunt.errors import DahliashuntError
from dahliashunt.mailbox import Mailbox

__all__ = [
    "ConnectFailed",
    "End",
    "HttpConnection",
    "ResponseHead",
    "open_connection",
]

USER_TIMEOUT_MS = 2_500
"""Unacknowledged bytes for so long end a connection: a peer without power
answers nothing, and the system's own limit is minutes."""

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
"""Keep-alive probes find a silent peer in about 3 s."""

READ_HIGH_WATER_BYTES = 262_144
"""Unread bytes at which the socket is left unread: bounds the memory that
one fast sender before a slow reader can take."""

_NO_BODY = (204, 304)
"""Statuses whose answers end with their headers."""


class ConnectFailed(DahliashuntError):
    """No connection was made; certainly nothing was sent."""


class End(enum.Enum):
    """How an answer ended."""

    WHOLE = "whole"
    """Framed, and its last byte came."""

    CLOSED = "closed"
    """Had no length, and the peer closed in order."""

    BROKEN = "broken"
    """Reset, cut short, or not HTTP."""

    UNSENT = "unsent"
    """Not a byte of the request was handed to the system."""


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and headers of an answer.

    Attributes
    ----------
    status : int
    headers : tuple of pairs
        Names in lower case, in order.
    """

    status: int
    headers: tuple[tuple[str, str], ...]

    def get(self, name: str) -> str | None:
        """Return the first header called `name`, in lower case."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class HttpConnection(asyncio.Protocol):
    """One connection. Events of an exchange: head, bytes..., end.

    Attributes
    ----------
    usable : bool
        Whether another request may be sent on it.
    idle_since_ms : int
        Set by the pool.
    """

    def __init__(self):
        self.usable = True
        self.idle_since_ms = 0
        self.used = 0
        self.keep_alive_ms = None
        self.transport = None
        self._parser = None
        self._mailbox = None
        self._accept = None
        self._headers = []
        self._framed = False
        self._skipping = False
        self._unread = 0
        self._paused = False

    # The socket's side.

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data):
        """Parse; bytes outside an exchange end the connection."""
        if self._mailbox is None:
            self.abort()
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError:
            self._finish(End.BROKEN)

    def eof_received(self):
        """Take an orderly close as the end of an answer without length."""
        if self._mailbox is not None and self._headers is None:
            self._finish(End.BROKEN if self._framed else End.CLOSED)
        return False

    def connection_lost(self, exc):
        """End the exchange, if one is open."""
        self.usable = False
        self._finish(End.BROKEN)

    # The parser's side.

    def on_message_begin(self):
        """Refuse a second answer to one request."""
        if self._mailbox is None:
            self.abort()
            return
        self._headers = []
        self._framed = False

    def on_header(self, name, value):
        """Collect a header."""
        if self._headers is None:
            return
        key = name.decode("latin-1").lower()
        if key in ("content-length", "transfer-encoding"):
            self._framed = True
        self._headers.append((key, value.decode("latin-1")))

    def on_headers_complete(self):
        """Hand out the head, or skip an answer to another request."""
        if self._mailbox is None:
            return
        status = self._parser.get_status_code()
        head = ResponseHead(status, tuple(self._headers))
        self._headers = None
        if status < 200:
            self._skipping = True
            return
        self._skipping = not self._accept(head)
        if self._skipping:
            # What comes late for an earlier request belongs to nobody;
            # the answer that is waited for still follows.
            self.usable = False
            return
        self._apply_connection_headers(head)
        self._mailbox.put(head)

    def on_body(self, data):
        """Hand out a part of the body."""
        if self._mailbox is None or self._skipping:
            return
        self._mailbox.put(data)
        self._unread += len(data)
        if self._unread > READ_HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            self.transport.pause_reading()

    def on_message_complete(self):
        """End the exchange."""
        if self._skipping:
            self._skipping = False
            return
        if self._mailbox is not None:
            self._finish(End.WHOLE if self._framed else End.CLOSED)

    def _apply_connection_headers(self, head):
        if (head.get("connection") or "").lower() == "close":
            self.usable = False
        if head.status in _NO_BODY:
            self._framed = True
        if not self._framed:
            self.usable = False
        for part in (head.get("keep-alive") or "").split(","):
            name, _, value = part.strip().partition("=")
            if name == "timeout" and value.isdigit():
                self.keep_alive_ms = int(value) * 1000

    def _finish(self, end):
        if end is not End.WHOLE:
            self.usable = False
        mailbox, self._mailbox = self._mailbox, None
        if mailbox is not None:
            mailbox.put(end)
        if not self.usable:
            self.abort()

    # The caller's side.

    def start(self, request: bytes, accept=None) -> Mailbox:
        """Send `request`; return the mailbox of its exchange.

        Parameters
        ----------
        request : bytes
        accept : callable, optional
            Given a `ResponseHead`, tells whether it answers this request.
        """
        self._parser = httptools.HttpResponseParser(self)
        self._mailbox = Mailbox()
        self._accept = accept or (lambda head: True)
        self._headers = []
        self._skipping = False
        self._unread = 0
        self.used += 1
        mailbox = self._mailbox
        if not self._try_write(request):
            self._finish(End.UNSENT)
        return mailbox

    def _try_write(self, request):
        """Write `request`; tell whether the system took any of it.

        The failure it guards against: a replica that has gone resets the
        connection before the request is written, and the request ends as
        "may have run", which for a call that may run once is a 502. The
        transport writes at once while it holds nothing back, and closes
        if that fails, so that a closed transport means that nothing went.
        """
        if self.transport.is_closing():
            return False
        self.transport.write(request)
        return not self.transport.is_closing()

    def taken(self, size: int) -> None:
        """Say that `size` bytes of the body were used; reads go on."""
        self._unread -= size
        if self._paused and self._unread <= READ_HIGH_WATER_BYTES // 2:
            self._paused = False
            if not self.transport.is_closing():
                self.transport.resume_reading()

    def abort(self) -> None:
        """Close at once; an open exchange ends as broken."""
        self.usable = False
        if self.transport is not None:
            self.transport.abort()


async def open_connection(
    host: str, port: int, timeout_ms: int
) -> HttpConnection:
    """Connect, with limits on silence set on the socket.

    Raises
    ------
    ConnectFailed
        Refused, unreachable, or not made in `timeout_ms`.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, connection = await loop.create_connection(
                HttpConnection, host, port
            )
    except (OSError, TimeoutError) as error:
        raise ConnectFailed(f"{host}:{port}: {error!r}") from None
    _set_socket_timeouts(connection.transport.get_extra_info("socket"))
    return connection


def _set_socket_timeouts(sock):
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)
