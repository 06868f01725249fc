"""Peer that answers with bytes without end, or waits for its reader."""

import asyncio
import enum
import socket

from dahliashunt.platform.names import NOT_RUN
from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.platform.names import SIGNATURE

__all__ = ["Endless", "EndlessPeer"]

SEND_BUFFER_BYTES = 65_536
"""Send buffer of the peer, so that what it has sent is what was received but
for this and the receive buffer."""

BLOCK_BYTES = 65_536

_SIGNED = SIGNATURE.encode() + b": s\r\n"
_HEAD = b"HTTP/1.1 200 OK\r\n" + _SIGNED
_CHUNKED = _HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
_LATE = _HEAD + REQUEST_ID.encode() + b": other\r\n"
_CHUNK = b"400\r\n" + b"x" * 1024 + b"\r\n"
_NUMBERED = b"id: 1\ndata: "
_COMMENT = b":" + b"x" * 4_000 + b"\n\n"


class Endless(enum.Enum):
    """Start of a response, and the bytes that are then repeated."""

    STATUS_LINE = (b"HTTP/1.1 200 O", b"x")
    FIELD_NAME = (_HEAD, b"x")
    FIELD = (_HEAD + b"X-A: ", b"x")
    FIELDS = (_HEAD, b"X-A: b\r\n")
    INTERIM = (b"", b"HTTP/1.1 100 Continue\r\n\r\n")
    HINTS = (b"", b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")
    CHUNK_SIZE = (_CHUNKED, b"0")
    CHUNK_EXTENSION = (_CHUNKED + b"1;", b"x")
    CHUNK_EXTENSIONS = (_CHUNKED, b"1;" + b"x" * 9_000 + b"\r\nb\r\n")
    TRAILER = (_CHUNKED + b"2\r\nok\r\n0\r\nX-T: ", b"x")
    TRAILERS = (_CHUNKED + b"2\r\nok\r\n0\r\n", b"X-T: b\r\n")
    EVENT = (_CHUNKED + b"c\r\n" + _NUMBERED + b"\r\n", _CHUNK)
    ENGINE_EVENT = (
        _HEAD + b"Content-Type: text/event-stream\r\n\r\ndata: ",
        b"x",
    )
    COMMENTS = (_CHUNKED, b"%x\r\n%s\r\n" % (len(_COMMENT), _COMMENT))
    BODY = (_CHUNKED, _CHUNK)
    BODY_TO_CLOSE = (_HEAD + b"\r\n", b"x")
    STATED_BODY = (_HEAD + b"Content-Length: 999999999999\r\n\r\n", b"x")
    REFUSAL = (
        b"HTTP/1.1 503 X\r\n" + NOT_RUN.encode() + b": 1\r\n\r\n",
        b"x",
    )
    FAILURE = (b"HTTP/1.1 500 X\r\n" + _SIGNED + b"\r\n", b"x")
    REJECTION = (b"HTTP/1.1 400 X\r\n" + _SIGNED + b"\r\n", b"x")
    LATE = (_LATE + b"Content-Length: 999999999999\r\n\r\n", b"x")
    LATES = (b"", _LATE + b"Content-Length: 1\r\n\r\nx")
    NO_HTTP = (b"", b"\x00")


class EndlessPeer:
    """HTTP server on a free loopback port.

    Parameters
    ----------
    endless : Endless
    cut_unread_ms : int, optional
        Time without progress after which it resets a connection.

    Attributes
    ----------
    sent : int
        Bytes passed to the operating system, over all connections.
    requests, closed : int
        Connections on which a request came, and those that were closed.
    """

    def __init__(self, endless: Endless, cut_unread_ms: int | None = None):
        self._start, unit = endless.value
        self._block = unit * (BLOCK_BYTES // len(unit) or 1)
        self._cut_unread_ms = cut_unread_ms
        self._server = None
        self._tasks: set[asyncio.Task] = set()
        self.sent = 0
        self.requests = 0
        self.closed = 0

    async def start(self) -> tuple[str, int]:
        """Start to listen; return the address."""
        listening = socket.create_server(("127.0.0.1", 0))
        listening.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES
        )
        self._server = await asyncio.start_server(
            self._connected, sock=listening
        )
        return listening.getsockname()

    async def stop(self) -> None:
        """Close the port and every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connected(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            writer.write(self._start)
            while True:
                writer.write(self._block)
                await self._drain(writer)
                self.sent += len(self._block)
        except (ConnectionError, TimeoutError, asyncio.IncompleteReadError):
            self.closed += 1
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _drain(self, writer):
        wait_s = self._cut_unread_ms and self._cut_unread_ms / 1000
        async with asyncio.timeout(wait_s):
            await writer.drain()
