"""Serve an application inside the running event loop."""

import asyncio
from collections.abc import AsyncIterator
import contextlib
from dataclasses import dataclass
import socket

from uvicorn import Config
from uvicorn import Server

from dahliashunt.standins.connections import StandinProtocol
from dahliashunt.standins.faults import StandinApp
from dahliashunt.standins.roles import create_app

__all__ = ["ServedRole", "serve", "serve_role"]

_KEEP_ALIVE_S = 75
_BACKLOG = 2048
_TICK_S = 1
_TICKS_OF_DATE = 10  # uvicorn renews the date header at each tenth


class _Server(Server):
    """A server that leaves signals to the process and says when it is up."""

    def __init__(self, config):
        super().__init__(config)
        self.ready = asyncio.Event()
        self.stopping = asyncio.Event()

    @contextlib.contextmanager
    def capture_signals(self):
        yield

    async def startup(self, sockets=None):
        await super().startup(sockets=sockets)
        self.ready.set()

    async def main_loop(self):
        """Tick until told to stop, without a wait for the next tick."""
        ticks = 0
        while not self.stopping.is_set():
            await self.on_tick(ticks * _TICKS_OF_DATE)
            ticks += 1
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.stopping.wait(), _TICK_S)


@contextlib.asynccontextmanager
async def serve(
    app,
    host: str = "127.0.0.1",
    port: int = 0,
    certificate: str | None = None,
) -> AsyncIterator[str]:
    """Serve `app` for as long as the context lasts; yield its base URL.

    Parameters
    ----------
    app : ASGI application
    host : str
    port : int
        0 takes a free port.
    certificate : str, optional
        PEM file with key and certificate, to serve with TLS.
    """
    listener = _listen(host, port)
    config = Config(
        app,
        http=StandinProtocol,
        ws="none",
        lifespan="on",
        ssl_certfile=certificate,
        log_config=None,
        log_level="error",
        access_log=False,
        timeout_keep_alive=_KEEP_ALIVE_S,
        timeout_graceful_shutdown=0,
    )
    server = _Server(config)
    serving = asyncio.create_task(server.serve(sockets=[listener]))
    ready = asyncio.create_task(server.ready.wait())
    await asyncio.wait((serving, ready), return_when=asyncio.FIRST_COMPLETED)
    try:
        if serving.done():
            await serving
        scheme = "https" if certificate else "http"
        yield f"{scheme}://{host}:{listener.getsockname()[1]}"
    finally:
        ready.cancel()
        server.stopping.set()
        await serving
        listener.close()


@dataclass(frozen=True, slots=True)
class ServedRole:
    """A stand-in that is being served.

    Attributes
    ----------
    app : StandinApp
    url : str
    """

    app: StandinApp
    url: str


@contextlib.asynccontextmanager
async def serve_role(role: str, **options) -> AsyncIterator[ServedRole]:
    """Serve the stand-in `role` on a free port of the loopback."""
    app = create_app(role, options)
    async with serve(app) as url:
        yield ServedRole(app, url)


def _listen(host, port) -> socket.socket:
    """Return a listening socket.

    The protocol is named because asyncio switches Nagle's algorithm off
    only for sockets that say TCP. Left on, an answer in several writes
    waits for the peer's delayed acknowledgement, some 40 ms each.
    """
    listener = socket.socket(
        socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP
    )
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((host, port))
    listener.listen(_BACKLOG)
    return listener
