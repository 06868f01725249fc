"""HTTP connections on which each request is sent at most once."""

from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass
import ssl
from types import SimpleNamespace

from aiohttp import ClientError
from aiohttp import ClientResponse
from aiohttp import ClientSession
from aiohttp import ClientTimeout
from aiohttp import DummyCookieJar
from aiohttp import TCPConnector
from aiohttp import TraceConfig

__all__ = ["AnswerLost", "HttpLimits", "HttpSessions", "NotSent"]


_SKIPPED_AUTO_HEADERS = ("Accept-Encoding", "User-Agent")
"""Headers that aiohttp would add to a request.

With the first, a back end may compress an answer for a caller who did not
say that it can read that.
"""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits of the calls of one service.

    Attributes
    ----------
    connect_ms : int
        Until the call has a connection, new or kept.
    idle_ms : int
        Between two reads of an answer.
    total_ms : int
        Of a whole call that names no limit of its own.
    keep_ms : int
        For which an unused connection is kept; less than the server's.
    connections : int
        Open at once; 0 sets no limit.
    """

    connect_ms: int = 1000
    idle_ms: int = 2000
    total_ms: int = 5000
    keep_ms: int = 4000
    connections: int = 64


class NotSent(Exception):
    """No byte of the request was sent."""


class AnswerLost(Exception):
    """The request may have arrived; its answer did not, or not whole."""


class _Pool:
    """Connections that are given up together.

    Attributes
    ----------
    in_use : int
        Calls under way.
    retired : bool
        No new call uses the pool; the last one closes it.
    """

    def __init__(self, session: ClientSession):
        self.session = session
        self.in_use = 0
        self.retired = False

    async def close_if_unused(self):
        if self.retired and not self.in_use:
            await self.session.close()


class HttpSessions:
    """Connections to one service.

    Parameters
    ----------
    limits : HttpLimits, optional
    tls : ssl.SSLContext, optional

    Notes
    -----
    After a loss the next call uses a new connection: a connection can go
    silent for good, because something on its path has lost track of it,
    and then the kept ones beside it are often as dead. The whole pool is
    retired; calls under way in it go on, as they may be on sound ones.
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
            Anything later, also while the response is read.
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
            connector = TCPConnector(
                ssl=self._tls or True,
                limit=self._limits.connections,
                keepalive_timeout=self._limits.keep_ms / 1000,
            )
            # Callers share these connections. With a cookie jar, a service's
            # cookie for one caller would go out with the next one's call.
            session = ClientSession(
                cookie_jar=DummyCookieJar(),
                connector=connector,
                auto_decompress=False,
                skip_auto_headers=_SKIPPED_AUTO_HEADERS,
                trace_configs=[_trace_connections()],
            )
            # Left on, aiohttp by itself repeats a GET, PUT or DELETE whose
            # connection broke. A put or delete that took effect would run
            # twice and its caller would never hear of the lost answer. The
            # switch is the one that aiohttp's own test client uses.
            session._retry_connection = False
            self._pool = _Pool(session)
        return self._pool


def _trace_connections() -> TraceConfig:
    """Note in each request's context when it has a connection.

    Only before that is it certain that nothing was sent: the errors of a
    request do not tell it, a timeout least of all.
    """

    async def mark_connected(session, context, params):
        context.trace_request_ctx.connected = True

    trace = TraceConfig()
    trace.on_connection_create_end.append(mark_connected)
    trace.on_connection_reuseconn.append(mark_connected)
    return trace
