"""Serve a blacksheep application by uvicorn inside the running loop."""

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
    """What one connection may take; may change while the server runs.

    Attributes
    ----------
    keep_alive_s : int
        Longest idle time between requests.
    header_bytes : int
        Longest request line and headers together.
    header_timeout_s : float
        From the connection to the end of its first headers.
    """

    keep_alive_s: int = 75
    header_bytes: int = 32_768
    header_timeout_s: float = 10.0


class _BoundedProtocol(HttpToolsProtocol):
    """Cuts a connection whose headers are too large or too slow.

    The parser itself keeps any number of headers: a caller could fill the
    memory with one request, or hold connections by never ending them. A
    cut connection never reached a handler, so nothing ran.
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
            # The parser stops at an error raised by a callback.
            raise ValueError("headers over the limit")

    def on_headers_complete(self):
        self._header_timer.cancel()
        self._header_bytes = 0
        super().on_headers_complete()


class _Server(Server):
    """A server that leaves signals to the process."""

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
        Port 0 takes a free one; `port` then tells which.
    ssl_context : ssl.SSLContext, optional
    lifespan : bool
        Whether `app` takes the start and stop messages of ASGI.
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
        """Start to take connections."""
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
        """Take no more connections; let requests in progress end."""
        self._server.should_exit = True
        await self._task
        self._socket.close()

    async def stop_now(self) -> None:
        """Cut what is in progress."""
        self._server.force_exit = True
        await self.stop()
