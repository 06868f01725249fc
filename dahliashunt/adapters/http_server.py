"""HTTP server: runs an ASGI application under uvicorn in the running loop."""

import asyncio
import collections
from collections.abc import Callable
import contextlib
from dataclasses import dataclass
import functools

from uvicorn import Config
from uvicorn import Server
from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from dahliashunt.adapters.held_memory import held_request
from dahliashunt.adapters.held_memory import HeldMemory
from dahliashunt.adapters.held_memory import HeldRequest
from dahliashunt.adapters.http1.bounds import Bound
from dahliashunt.adapters.http1.bounds import BoundExceeded
from dahliashunt.adapters.http1.bounds import MessageMeter
from dahliashunt.adapters.sockets import BACKLOG
from dahliashunt.adapters.sockets import listening_socket
from dahliashunt.adapters.tls_handshake import TlsHandshake
from dahliashunt.adapters.write_backlog import WriteBacklog
from dahliashunt.decisions.client_memory import Stage

__all__ = ["HttpBounds", "HttpServer", "Refusal"]

MAX_HEADERS = 100

CONNECTION_BYTES = 4_096
"""Memory of an open connection without a request."""

ACTIVE_BYTES = 20_480
"""Memory of the request that a connection is served: its tasks and timers,
and the connection to a replica."""

REQUEST_BYTES = 4_096
"""Memory of each request beside its head and body."""

HEAD_COPIES = 4
"""Copies of a head's bytes: the parsed fields, as text, as they are forwarded
and the request to a replica."""

HEADER_BYTES = 512
"""Memory of the objects for one header field, beside its bytes."""

ACCEPTS_AT_ONCE = 32
"""New connections taken in one turn of the event loop, by which the bound of
open connections can be exceeded for a moment."""

LINGER_S = 2.0
"""Time for which what a refused client still sends is read and dropped. A
socket that is closed with unread bytes resets the connection, and the client
may lose the response."""

MAX_PIPELINED = 16
"""Requests that wait on one connection for the end of the one before. Honest
callers send the next request after the response."""

MAX_DISCARDED_BYTES = 16_777_216
"""Body bytes read after the response was sent, which are dropped: a caller
may send the rest of a refused body before it reads. Four times the largest
accepted body, since a connection that is closed while the caller sends fails
the caller's next request on it."""


@dataclass(frozen=True, slots=True)
class Refusal:
    """Response to a request that was not run for want of memory."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes

    def encode(self) -> bytes:
        """Return the response, after which the connection is closed."""
        lines = [f"HTTP/1.1 {self.status} Service Unavailable"]
        lines += [f"{name}: {value}" for name, value in self.headers]
        lines.append(f"content-length: {len(self.body)}")
        lines.append("connection: close\r\n\r\n")
        return "\r\n".join(lines).encode("latin-1") + self.body


@dataclass(slots=True)
class HttpBounds:
    """Limits of one connection, which may change while the server runs.

    Attributes
    ----------
    keep_alive_s : int
        Longest idle time between requests, and before the first one.
    header_bytes : int
        Largest request line and headers together.
    header_timeout_s : float
        Time from the first byte of a request to the end of its headers.
    on_exceeded : callable or None
        Called with the `Bound` at which a connection is ended.
    backlog : WriteBacklog or None
        Ends connections that are read too slowly.
    memory : HeldMemory or None
        Account of what all connections hold.
    refusal : callable or None
        Returns the `Refusal` of a request with the given headers, pairs of
        bytes with names in lower case. Without it the connection of an
        unfinished request is closed when its memory is needed.
    body_copies : int
        Copies of a whole body: its own and what a replica has not taken yet.
    """

    keep_alive_s: int = 75
    header_bytes: int = 32_768
    header_timeout_s: float = 10.0
    on_exceeded: Callable[[Bound], None] | None = None
    backlog: WriteBacklog | None = None
    memory: HeldMemory | None = None
    refusal: Callable[[list[tuple[bytes, bytes]]], Refusal] | None = None
    body_copies: int = 2


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
    """Bounds what a connection's requests take, alone and with all others.

    The parser accepts any number of headers, so one caller could exhaust
    the memory or hold connections open. The request is aborted before it
    reaches a handler.

    Attributes
    ----------
    stage : Stage
        What the connection is waiting for.
    """

    stage = Stage.IDLE
    _requests = ()
    _is_opened = False
    # Whether what was received last is in the account.
    _is_noted = False
    _is_refused = False
    _header_timer = None
    _linger_timer = None

    def opened(self) -> bool:
        """Count the connection; return whether it may stay."""
        self._is_opened = True
        memory = self.config.bounds.memory
        return memory is None or (
            memory.opened(self) and memory.resized(self, CONNECTION_BYTES)
        )

    def forgotten(self) -> None:
        """Stop counting the connection."""
        if self.config.bounds.memory is not None:
            self.config.bounds.memory.closed(self)

    def connection_made(self, transport):
        self.timeout_keep_alive = self.config.bounds.keep_alive_s
        super().connection_made(transport)
        self._meter = MessageMeter(self.config.bounds.header_bytes)
        self._discarded_bytes = 0
        self._stated_bytes = 0
        self._closes_after_body = False
        self._header_bytes = 0
        self._header_count = 0
        self._requests: collections.deque[HeldRequest] = collections.deque()
        self._start_header_timer(self.config.bounds.keep_alive_s)
        if self.config.bounds.backlog is not None:
            # All that a caller does not read is counted.
            transport.set_write_buffer_limits(high=1, low=0)
        if not self._is_opened and not self.opened():
            transport.abort()

    def _start_header_timer(self, timeout_s):
        self._stop_header_timer()
        self._header_timer = asyncio.get_running_loop().call_later(
            timeout_s, self._abort_slow
        )

    def _abort_slow(self):
        self._header_timer = None
        if self.cycle is None or (self._header_bytes and not self._requests):
            self.transport.abort()

    def _stop_header_timer(self):
        if self._header_timer is not None:
            self._header_timer.cancel()
            self._header_timer = None

    def connection_lost(self, exc):
        self._stop_header_timer()
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._leave_backlog()
        self.forgotten()
        super().connection_lost(exc)

    def data_received(self, data):
        if self._is_refused:
            self._discard(len(data))
            return
        self._meter.received(len(data))
        super().data_received(data)
        if self.transport.is_closing() or self._is_refused:
            return
        try:
            self._meter.check()
        except BoundExceeded as error:
            self._end(error.bound)
            return
        if not self._is_noted and not self.fits():
            self.yield_memory()

    def _discard(self, size):
        self._discarded_bytes += size
        if self._discarded_bytes > MAX_DISCARDED_BYTES:
            self.transport.abort()

    def send_400_response(self, msg):
        # A connection that was ended in a callback gets no second response.
        if not self._is_refused and not self.transport.is_closing():
            super().send_400_response(msg)

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

    # The account of all connections.

    def fits(self, may_end: bool = True) -> bool:
        """Note what the connection holds; return whether there is room.

        See `HeldConnection.fits`.
        """
        memory = self.config.bounds.memory
        if memory is None:
            return True
        stage = self._stage()
        if stage is not self.stage:
            self.stage = stage
            memory.entered(self, stage)
        size = CONNECTION_BYTES + self._meter.framing_bytes
        if self._requests:
            size += ACTIVE_BYTES
            for request in self._requests:
                size += request.size
        return memory.resized(self, size, may_end)

    def _stage(self):
        if not self._requests:
            return Stage.IDLE
        if len(self._requests) == 1 and self.cycle.more_body:
            return Stage.BODY
        return Stage.SERVED

    def yield_memory(self) -> None:
        """Refuse the unfinished request if it has not run, or close."""
        if self.config.bounds.refusal is None or not self._is_refusable():
            self._drop_unread_bodies()
            self.transport.abort()
            return
        cycle = self.cycle
        refusal = self.config.bounds.refusal(cycle.scope["headers"])
        self._is_refused = True
        self._requests.clear()
        # The application sees that the client has left.
        cycle.disconnected = True
        cycle.response_complete = True
        cycle.message_event.set()
        self.transport.write(refusal.encode())
        self.stage = Stage.REFUSED
        if not (
            self.transport.can_write_eof()
            and self.config.bounds.memory.refused(self, CONNECTION_BYTES)
        ):
            self.transport.close()
            return
        self.transport.write_eof()
        self.flow.resume_reading()
        self._linger_timer = asyncio.get_running_loop().call_later(
            LINGER_S, self.transport.abort
        )

    def _drop_unread_bodies(self):
        """Free at once what no application has taken yet.

        A crowd of connections is read in one turn of the event loop, before
        any that was ended in it is closed.
        """
        if not self._requests:
            return
        for cycle, _ in self.pipeline:
            cycle.body = bytearray()
        self.pipeline.clear()
        self.cycle.body = bytearray()

    def _is_refusable(self):
        return (
            len(self._requests) == 1
            and self.cycle.more_body
            and not self.cycle.response_started
            and not self._requests[0].app_is_busy
            and not self.transport.is_closing()
        )

    # Callbacks of the parser.

    def on_message_begin(self):
        self._is_noted = False
        self._stated_bytes = 0
        self._header_bytes = 0
        self._header_count = 0
        self._start_header_timer(self.config.bounds.header_timeout_s)
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
        self._stop_header_timer()
        request = HeldRequest(
            self,
            REQUEST_BYTES
            + HEAD_COPIES * self._header_bytes
            + HEADER_BYTES * self._header_count,
        )
        request.put_into(self.scope)
        self._requests.append(request)
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
        else:
            request = self._requests[-1]
            request.size += len(body)
            request.body_bytes += len(body)
        super().on_body(body)

    def on_message_complete(self):
        self._meter.end()
        self._discarded_bytes = 0
        if not self.cycle.response_complete:
            request = self._requests[-1]
            copies = self.config.bounds.body_copies - 1
            request.size += request.body_bytes * copies
            # Checked before the application gets the whole request.
            self._is_noted = True
            if not self.fits():
                self.yield_memory()
                raise BoundExceeded(Bound.MEMORY)
        super().on_message_complete()
        if self._closes_after_body:
            self.transport.close()

    def on_response_complete(self):
        if self._requests:
            self._requests.popleft()
        self.fits()
        super().on_response_complete()

    def _close_after_body(self):
        if self.cycle.more_body:
            self._closes_after_body = True
        else:
            self.transport.close()


def _secured_protocol(ssl_context, **arguments):
    """Return the protocol of a new connection that is to use TLS."""
    bounds = arguments["config"].bounds
    return TlsHandshake(
        _BoundedProtocol(**arguments), ssl_context, bounds.header_timeout_s
    )


class _HeldApp:
    """ASGI application that notes what it does with each request.

    A request of which it has done more than to wait for the rest may have
    run.
    """

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send):
        request = held_request(scope)
        if request is None:
            await self._app(scope, receive, send)
            return

        async def receive_more():
            request.app_is_busy = False
            try:
                return await receive()
            finally:
                request.app_is_busy = True

        request.app_is_busy = True
        await self._app(scope, receive_more, send)


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
        for each in sockets:
            # The event loop has set it to the number that it accepts at once.
            each.listen(BACKLOG)
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
            _HeldApp(app),
            backlog=ACCEPTS_AT_ONCE,
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
        if ssl_context is not None:
            config.http_protocol_class = functools.partial(
                _secured_protocol, ssl_context
            )
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
