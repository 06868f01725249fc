"""HTTP connections on which each request is sent at most once."""

from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass
import ssl
from types import SimpleNamespace

from aiohttp import ClientError
from aiohttp import ClientPayloadError
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import DummyCookieJar
from aiohttp import TraceConfig

from dahliashunt.adapters.http1.bounds import is_final_status
from dahliashunt.adapters.table.bounded_connector import BoundedConnector

__all__ = [
    "AnswerLost",
    "HttpLimits",
    "HttpSessions",
    "NotSent",
    "read_body",
]


_SKIPPED_AUTO_HEADERS = ("Accept-Encoding", "User-Agent")
"""Headers that aiohttp must not add: a back end could compress a response
for a caller who does not accept that."""


MAX_BODY_BYTES = 16_777_216
"""Longest body that is read whole: the largest objects are chunks of a few MB,
and reads of the table are paged."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Time and connection limits of calls to one service.

    Attributes
    ----------
    connect_ms : int
        Time to obtain a connection, new or reused.
    idle_ms : int
        Time between two reads of a response.
    total_ms : int
        Time of a whole call, unless the call sets its own limit.
    keep_ms : int
        Keep-alive time of an idle connection; less than the server's.
    connections : int
        Largest number of open connections; 0 sets no limit.
    """

    connect_ms: int = 1000
    idle_ms: int = 2000
    total_ms: int = 5000
    keep_ms: int = 4000
    connections: int = 64


class NotSent(Exception):
    """No byte of the request was sent."""


class AnswerLost(Exception):
    """The request may have arrived, but no complete response came."""


async def read_body(
    response: ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body; to be used within the request's context.

    Raises
    ------
    ClientPayloadError
        The body is, or is stated to be, longer than `max_bytes`. The
        connection is closed.
    """
    if (response.content_length or 0) > max_bytes:
        _fail_body(response, max_bytes)
    parts = []
    size = 0
    async for part in response.content.iter_any():
        parts.append(part)
        size += len(part)
        if size > max_bytes:
            _fail_body(response, max_bytes)
    return b"".join(parts)


def _fail_body(response, max_bytes):
    response.close()
    raise ClientPayloadError(f"the body exceeds {max_bytes} bytes")


def _check_status(response):
    """Raise `ClientPayloadError` on a status that no final response has."""
    if not is_final_status(response.status):
        response.close()
        raise ClientPayloadError(f"status {response.status:03}")


class _Pool:
    """Connections that are retired together.

    Attributes
    ----------
    in_use : int
        Number of calls in progress.
    retired : bool
        Whether the pool takes no new calls; its last call closes it.
    """

    def __init__(self, session: ClientSession):
        self.session = session
        self.in_use = 0
        self.retired = False

    async def close_if_unused(self):
        if self.retired and not self.in_use:
            await self.session.close()


class HttpSessions:
    """Connection pools of one service.

    Parameters
    ----------
    limits : HttpLimits, optional
    tls : ssl.SSLContext, optional

    Notes
    -----
    A lost response retires the whole pool, so that the next call opens a
    new connection: when a device on the path drops the state of one
    connection, the others have often lost theirs too. Calls in progress
    on the retired pool continue.
    """

    def __init__(
        self,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ):
        self._limits = limits or HttpLimits()
        self._tls = tls
        self._pool = None

    @contextlib.asynccontextmanager
    async def request(
        self, method: str, url: str, total_ms: int | None = None, **content
    ) -> AsyncIterator[ClientResponse]:
        """Send a request; the context holds its response.

        Parameters
        ----------
        method, url : str
        total_ms : int, optional
            Limit of the whole call.
        **content
            Body and headers, as aiohttp takes them.

        Raises
        ------
        NotSent
            No connection could be made.
        AnswerLost
            The call failed later, possibly while the response was read.
        """
        pool = self._open()
        pool.in_use += 1
        progress = SimpleNamespace(connected=False)
        try:
            async with pool.session.request(
                method,
                url,
                timeout=self._timeout(total_ms),
                trace_request_ctx=progress,
                allow_redirects=False,
                **content,
            ) as response:
                _check_status(response)
                yield response
        except (ClientError, TimeoutError) as error:
            message = f"{type(error).__name__}: {error}"
            if not progress.connected:
                raise NotSent(message) from error
            self._retire(pool)
            raise AnswerLost(message) from error
        finally:
            pool.in_use -= 1
            await pool.close_if_unused()

    async def close(self):
        """Close all connections that no call is using."""
        if self._pool is not None:
            pool = self._pool
            self._retire(pool)
            await pool.close_if_unused()

    def _retire(self, pool):
        pool.retired = True
        if self._pool is pool:
            self._pool = None

    def _timeout(self, total_ms) -> ClientTimeout:
        limits = self._limits
        return ClientTimeout(
            total=(total_ms or limits.total_ms) / 1000,
            connect=limits.connect_ms / 1000,
            sock_connect=limits.connect_ms / 1000,
            sock_read=limits.idle_ms / 1000,
        )

    def _open(self) -> _Pool:
        if self._pool is None:
            connector = BoundedConnector(
                ssl=self._tls or True,
                limit=self._limits.connections,
                keepalive_timeout=self._limits.keep_ms / 1000,
            )
            # Callers share these connections; a cookie jar would send one
            # caller's cookie with the next caller's request.
            session = ClientSession(
                cookie_jar=DummyCookieJar(),
                connector=connector,
                auto_decompress=False,
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                trace_configs=[_trace_connections()],
            )
            # aiohttp retries idempotent methods when a connection breaks,
            # which would apply a write twice and hide the lost response;
            # aiohttp's own test client disables it in the same way.
            session._retry_connection = False
            self._pool = _Pool(session)
        return self._pool


def _trace_connections() -> TraceConfig:
    """Mark each request's context once it has a connection.

    Before that nothing was sent; the exception alone does not tell.
    """

    async def mark_connected(session, context, params):
        context.trace_request_ctx.connected = True

    trace = TraceConfig()
    trace.on_connection_create_end.append(mark_connected)
    trace.on_connection_reuseconn.append(mark_connected)
    return trace
