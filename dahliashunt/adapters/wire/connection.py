"""TCP connection with frames between two of the system's processes.

A `Connection` puts the frames that it receives into the mailbox of the task
that owns it. Frames sent in one iteration of the event loop are written
together.
"""

import asyncio
from dataclasses import dataclass

import structlog

from dahliashunt.adapters.tls_handshake import TlsHandshake
from dahliashunt.adapters.wire.codec import encode
from dahliashunt.adapters.wire.codec import FrameReader
from dahliashunt.adapters.wire.codec import MAX_FRAME_BYTES
from dahliashunt.adapters.wire.codec import MAX_GREETING_BYTES
from dahliashunt.errors import LinkError
from dahliashunt.mailbox import Mailbox

__all__ = ["Closed", "Connection", "Opened", "Received", "dial", "listen"]

MAX_PENDING_PEERS = 64
"""Connections without a greeting; entries greet within some round trips."""

HANDSHAKE_S = 5.0
"""Longest time for a TLS handshake."""

ACCEPTS_AT_ONCE = 64
"""New connections that wait to be accepted, and are in one turn of the event
loop: a crowd can exceed the bound by as many for a moment."""

REPORT_INTERVAL_S = 10.0

MAX_UNSENT_BYTES = 32_000_000
"""Write buffer above which the connection is aborted; a peer can resume."""


@dataclass(frozen=True, slots=True)
class Opened:
    """A peer has connected."""

    connection: "Connection"


@dataclass(frozen=True, slots=True)
class Received:
    """Frames have arrived on a connection."""

    connection: "Connection"
    frames: list


@dataclass(frozen=True, slots=True)
class Closed:
    """A connection has closed."""

    connection: "Connection"


class Connection(asyncio.Protocol):
    """TCP connection that carries frames and reports its events to `owner`.

    Parameters
    ----------
    owner : Mailbox
        Receives `Opened`, `Received` and `Closed`.
    pending : PendingPeers, optional
        Counts the connection until its peer has greeted.

    Attributes
    ----------
    transport : asyncio.Transport or None
    """

    def __init__(self, owner: Mailbox, pending: "PendingPeers | None" = None):
        self._owner = owner
        self._pending = pending
        self._reader = FrameReader()
        self._is_counted = False
        self.transport = None
        self._unsent = []
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_in = 0
        self.frames_out = 0

    def connection_made(self, transport):
        """Store the transport (called by asyncio)."""
        self.transport = transport
        self.opened()
        self._owner.put(Opened(self))

    def opened(self) -> bool:
        """Count the connection until it is greeted; return True."""
        if self._pending is not None and not self._is_counted:
            self._is_counted = True
            self._reader.max_bytes = MAX_GREETING_BYTES
            self._pending.add(self)
        return True

    def greeted(self) -> None:
        """Trust the peer, which has greeted, with long frames."""
        self._reader.max_bytes = MAX_FRAME_BYTES
        self.forgotten()

    def forgotten(self) -> None:
        """Count the connection no longer."""
        if self._pending is not None:
            self._pending.discard(self)

    def data_received(self, data):
        """Deliver complete frames (called by asyncio)."""
        self.bytes_in += len(data)
        try:
            frames = self._reader.feed(data)
        except LinkError:
            self.abort()
            return
        if frames:
            self.frames_in += len(frames)
            self._owner.put(Received(self, frames))

    def connection_lost(self, exc):
        """Notify the owner (called by asyncio)."""
        self.forgotten()
        self._owner.put(Closed(self))

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self.transport is not None and not (self.transport.is_closing())

    def send(self, frame) -> bool:
        """Queue `frame` for sending.

        Returns
        -------
        bool
            False if the connection is closed. True does not mean that the
            peer receives the frame.
        """
        if not self.is_open:
            return False
        data = encode(frame)
        self.frames_out += 1
        self.bytes_out += len(data)
        if not self._unsent:
            asyncio.get_running_loop().call_soon(self._flush)
        self._unsent.append(data)
        return True

    def _flush(self):
        data = b"".join(self._unsent)
        self._unsent.clear()
        if not self.is_open:
            return
        self.transport.write(data)
        if self.transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def close(self) -> None:
        """Send queued frames, then close."""
        if self.transport is not None:
            self._flush()
            self.transport.close()

    def abort(self) -> None:
        """Close at once and drop queued frames."""
        if self.transport is not None:
            self.transport.abort()


async def dial(host, port, owner, timeout_ms, tls=None) -> Connection:
    """Connect to a listening peer.

    Raises
    ------
    LinkError
        No connection was made within `timeout_ms`.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_ms / 1000):
            _, connection = await loop.create_connection(
                lambda: Connection(owner), host, port, ssl=tls
            )
    except (OSError, TimeoutError) as error:
        raise LinkError(
            f"cannot connect to {host}:{port}: {error!r}"
        ) from error
    return connection


class PendingPeers:
    """Connections whose peers have not greeted yet, oldest first.

    Above `MAX_PENDING_PEERS` the oldest is ended for the next one.

    Parameters
    ----------
    log : structlog logger
    """

    def __init__(self, log):
        self._log = log
        self._connections: dict[Connection, None] = {}
        self._ended = 0
        self._reported_s = -REPORT_INTERVAL_S

    def add(self, connection: Connection) -> None:
        """Count a new connection; end the oldest if there are too many."""
        self._connections[connection] = None
        if len(self._connections) > MAX_PENDING_PEERS:
            oldest = next(iter(self._connections))
            self.discard(oldest)
            oldest.abort()
            self._ended += 1
            self._report()

    def _report(self):
        """Log what was ended, at most once an interval."""
        now_s = asyncio.get_running_loop().time()
        if now_s - self._reported_s >= REPORT_INTERVAL_S:
            self._log.warning("peers_without_greeting", ended=self._ended)
            self._reported_s, self._ended = now_s, 0

    def discard(self, connection: Connection) -> None:
        """Count a connection no longer."""
        self._connections.pop(connection, None)


async def listen(host, port, owner, tls=None) -> asyncio.Server:
    """Listen for peers; port 0 binds a free one."""
    pending = PendingPeers(structlog.get_logger())

    def make_protocol():
        connection = Connection(owner, pending)
        if tls is None:
            return connection
        return TlsHandshake(connection, tls, HANDSHAKE_S)

    loop = asyncio.get_running_loop()
    return await loop.create_server(
        make_protocol, host, port, backlog=ACCEPTS_AT_ONCE
    )
