"""TCP connection with frames between two of the system's processes.

A `Connection` puts the frames that it receives into the mailbox of the task
that owns it. Frames sent in one iteration of the event loop are written
together.
"""

import asyncio
from dataclasses import dataclass

from dahliashunt.adapters.wire.codec import encode
from dahliashunt.adapters.wire.codec import FrameReader
from dahliashunt.errors import LinkError
from dahliashunt.mailbox import Mailbox

__all__ = ["Closed", "Connection", "Opened", "Received", "dial", "listen"]

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
    """

    def __init__(self, owner: Mailbox):
        self._owner = owner
        self._reader = FrameReader()
        self._transport = None
        self._unsent = []
        self.bytes_in = 0
        self.bytes_out = 0
        self.frames_in = 0
        self.frames_out = 0

    def connection_made(self, transport):
        """Store the transport (called by asyncio)."""
        self._transport = transport
        self._owner.put(Opened(self))

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
        self._owner.put(Closed(self))

    @property
    def is_open(self) -> bool:
        """Whether frames can be sent."""
        return self._transport is not None and not (
            self._transport.is_closing()
        )

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
        self._transport.write(data)
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self.abort()

    def close(self) -> None:
        """Send queued frames, then close."""
        if self._transport is not None:
            self._flush()
            self._transport.close()

    def abort(self) -> None:
        """Close at once and drop queued frames."""
        if self._transport is not None:
            self._transport.abort()


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


async def listen(host, port, owner, tls=None) -> asyncio.Server:
    """Listen for peers; port 0 binds a free one."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: Connection(owner), host, port, ssl=tls
    )
