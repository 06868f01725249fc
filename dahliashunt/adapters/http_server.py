"""HTTP server: runs an ASGI application under uvicorn in the running loop."""

import asyncio
import contextlib
from dataclasses import dataclass

from uvicorn import Config
from uvicorn import Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dahliashunt.adapters.sockets import listening_socket

__all__ = ["HttpBounds", "HttpServer"]

MAX_HEADERS = 100


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
    """

    keep_alive_s: int = 75
    header_bytes: int = 32_768
    header_timeout_s: float = 10.0


class _BoundedProtocol(HttpToolsProtocol):
    """Aborts a connection whose headers are too large or too slow.

    The parser accepts any number of headers, so one caller could exhaust
    the memory or hold connections open. The request is aborted before it
    reaches a handler.
    """

    def connection_made(self, transport):
        self.timeout_keep_alive = self.config.bounds.keep_alive_s
        super().connection_made(transport)
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
        super().connection_lost(exc)

    def on_message_begin(self):
        self._header_bytes = 0
        self._header_count = 0
        super().on_message_begin()

    def on_url(self, url):
        self._count_header_bytes(len(url))
        super().on_url(url)

    def on_header(self, name, value):
        self._header_count += 1
        self._count_header_bytes(len(name) + len(value))
        super().on_header(name, value)

    def _count_header_bytes(self, size):
        self._header_bytes += size
        if (
            self._header_bytes > self.config.bounds.header_bytes
            or self._header_count > MAX_HEADERS
        ):
            self.transport.abort()
            # An exception in a callback stops the parser.
            raise ValueError(
                f"request headers exceed {self.config.bounds.header_bytes}"
                f" bytes or {MAX_HEADERS} fields"
            )

    def on_headers_complete(self):
        self._header_timer.cancel()
        self._header_bytes = 0
        super().on_headers_complete()


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
