"""HTTP server: runs an ASGI application under uvicorn in the running loop."""

import asyncio
from collections.abc import Callable
import contextlib
from dataclasses import dataclass

from uvicorn import Config
from uvicorn import Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dahliashunt.adapters.http1.bounds import Bound
from dahliashunt.adapters.http1.bounds import BoundExceeded
from dahliashunt.adapters.http1.bounds import MessageMeter
from dahliashunt.adapters.sockets import listening_socket
from dahliashunt.adapters.write_backlog import WriteBacklog

__all__ = ["HttpBounds", "HttpServer"]

MAX_HEADERS = 100

MAX_PIPELINED = 16
"""Requests that wait on one connection for the end of the one before. Honest
callers send the next request after the response."""

MAX_DISCARDED_BYTES = 16_777_216
"""Body bytes read after the response was sent, which are dropped: a caller
may send the rest of a refused body before it reads. Four times the largest
accepted body, since a connection that is closed while the caller sends fails
the caller's next request on it."""


@dataclass(slots=True)
class HttpBounds:
    """Limits of one connection, which may change while the server runs.

    Attributes
    ----------
    keep_alive_s : int
        Longest idle time between requests.
    header_bytes : int
        Largest request line and headers together.
    header_timeout_s : float
        Time from the connection to the end of its first headers.
    on_exceeded : callable or None
        Called with the `Bound` at which a connection is ended.
    backlog : WriteBacklog or None
        Ends connections that are read too slowly.
    """

    keep_alive_s: int = 75
    header_bytes: int = 32_768
    header_timeout_s: float = 10.0
    on_exceeded: Callable[[Bound], None] | None = None
    backlog: WriteBacklog | None = None


class _ClosingTransport:
    """Transport of a request after which the connection is closed.

    A socket that is closed before the request's body is read resets the
    connection, and the caller may lose the response. So closing waits for
    the end of the body.
    """

    __slots__ = ("_close", "_transport")

    def __init__(self, transport, close):
        self._transport = transport
        self._close = close

    def write(self, data):
        self._transport.write(data)

    def is_closing(self):
        return self._transport.is_closing()

    def close(self):
        self._close()


class _BoundedProtocol(HttpToolsProtocol):
    """Aborts a connection whose requests are too large or too slow.

    The parser accepts any number of headers, so one caller could exhaust
    the memory or hold connections open. The request is aborted before it
    reaches a handler.
    """

    def connection_made(self, transport):
        self.timeout_keep_alive = self.config.bounds.keep_alive_s
        super().connection_made(transport)
        self._meter = MessageMeter(self.config.bounds.header_bytes)
        self._discarded_bytes = 0
        self._stated_bytes = 0
        self._closes_after_body = False
        self._header_bytes = 0
        self._header_count = 0
        self._start_header_timer()

    def _start_header_timer(self):
        self._header_timer = asyncio.get_running_loop().call_later(
            self.config.bounds.header_timeout_s, self._abort_slow
        )

    def _abort_slow(self):
        if self.cycle is None or self._header_bytes:
            self.transport.abort()

    def connection_lost(self, exc):
        self._header_timer.cancel()
        self._leave_backlog()
        super().connection_lost(exc)

    def data_received(self, data):
        self._meter.received(len(data))
        super().data_received(data)
        if not self.transport.is_closing():
            try:
                self._meter.check()
            except BoundExceeded as error:
                self._end(error.bound)

    def pause_writing(self):
        super().pause_writing()
        if self.config.bounds.backlog is not None:
            self.config.bounds.backlog.paused(self.transport)

    def resume_writing(self):
        self._leave_backlog()
        super().resume_writing()

    def _leave_backlog(self):
        if self.config.bounds.backlog is not None:
            self.config.bounds.backlog.resumed(self.transport)

    def _end(self, bound):
        if self.config.bounds.on_exceeded and not self.transport.is_closing():
            self.config.bounds.on_exceeded(bound)
        self.transport.abort()

    def on_message_begin(self):
        self._stated_bytes = 0
        self._header_bytes = 0
        self._header_count = 0
        super().on_message_begin()

    def on_url(self, url):
        self._count_header_bytes(len(url))
        super().on_url(url)

    def on_header(self, name, value):
        self._header_count += 1
        self._count_header_bytes(len(name) + len(value))
        if name.lower() == b"content-length" and value.strip().isdigit():
            self._stated_bytes = int(value)
        super().on_header(name, value)

    def _count_header_bytes(self, size):
        self._header_bytes += size
        if (
            self._header_bytes > self.config.bounds.header_bytes
            or self._header_count > MAX_HEADERS
        ):
            self._end(Bound.HEAD)
            # An exception in a callback stops the parser.
            raise ValueError(
                f"request headers exceed {self.config.bounds.header_bytes}"
                f" bytes or {MAX_HEADERS} fields"
            )

    def on_headers_complete(self):
        self._header_timer.cancel()
        self._header_bytes = 0
        super().on_headers_complete()
        if self._stated_bytes > MAX_DISCARDED_BYTES:
            # The response tells the caller that the connection is closed.
            self.cycle.keep_alive = False
            self.cycle.transport = _ClosingTransport(
                self.transport, self._close_after_body
            )
        if len(self.pipeline) > MAX_PIPELINED:
            self._end(Bound.PIPELINE)
            raise BoundExceeded(Bound.PIPELINE)

    def on_body(self, body):
        self._meter.body(len(body))
        if self.cycle.response_complete:
            self._discarded_bytes += len(body)
            if self._discarded_bytes > MAX_DISCARDED_BYTES:
                self._end(Bound.SKIPPED)
                raise BoundExceeded(Bound.SKIPPED)
        super().on_body(body)

    def on_message_complete(self):
        self._meter.end()
        self._discarded_bytes = 0
        super().on_message_complete()
        if self._closes_after_body:
            self.transport.close()

    def _close_after_body(self):
        if self.cycle.more_body:
            self._closes_after_body = True
        else:
            self.transport.close()


class _Server(Server):
    """Server that leaves signal handling to the process."""

    def __init__(self, config):
        super().__init__(config)
        self.ready = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def startup(self, sockets=None):
        await super().startup(sockets=sockets)
        self.ready.set()


class HttpServer:
    """One listening HTTP server.

    Parameters
    ----------
    app : ASGI application
    host, port
        Port 0 binds a free one, which the attribute `port` gives.
    ssl_context : ssl.SSLContext, optional
    lifespan : bool
        Whether `app` handles the ASGI lifespan protocol.
    bounds : HttpBounds, optional
    """

    def __init__(
        self,
        app,
        host: str,
        port: int,
        ssl_context=None,
        lifespan: bool = True,
        bounds: HttpBounds | None = None,
    ):
        self._socket = listening_socket(host, port)
        self.port = self._socket.getsockname()[1]
        config = Config(
            app,
            http=_BoundedProtocol,
            ws="none",
            interface="asgi3",
            proxy_headers=False,
            lifespan="on" if lifespan else "off",
            log_config=None,
            log_level="error",
            access_log=False,
            server_header=False,
        )
        config.bounds = bounds or HttpBounds()
        config.load()
        config.ssl = ssl_context
        self._server = _Server(config)
        self._task = None

    async def start(self) -> None:
        """Start accepting connections."""
        self._task = asyncio.create_task(
            self._server.serve(sockets=[self._socket])
        )
        ready = asyncio.create_task(self._server.ready.wait())
        await asyncio.wait(
            {self._task, ready}, return_when=asyncio.FIRST_COMPLETED
        )
        ready.cancel()
        if self._task.done():
            self._task.result()

    async def stop(self) -> None:
        """Stop accepting connections and wait for requests in progress."""
        self._server.should_exit = True
        await self._task
        self._socket.close()

    async def stop_now(self) -> None:
        """Stop without waiting for requests in progress."""
        self._server.force_exit = True
        await self.stop()
