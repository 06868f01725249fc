"""Bytes buffered for the readers of a server's connections."""

import asyncio
from collections.abc import Callable

from dahliashunt.decisions.slow_readers import SlowReaders

__all__ = ["ReadBacklog", "WriteBacklog"]

CHECK_INTERVAL_S = 0.1
"""Interval between checks while a writer waits for its reader: long enough
for what was read for an ended connection to be dropped before the next."""


class ReadBacklog:
    """Bytes of responses that were read and not passed on yet.

    Attributes
    ----------
    size : int
    """

    __slots__ = ("size",)

    def __init__(self):
        self.size = 0


class WriteBacklog:
    """Ends the slowest connections of a server above a sum of bytes.

    Parameters
    ----------
    max_bytes : int
    read : ReadBacklog
        Counts against the same bound.
    on_ended : callable
        Called with the address of a peer whose connection is ended, and the
        bytes that it had not read.
    """

    def __init__(
        self,
        max_bytes: int,
        read: ReadBacklog,
        on_ended: Callable[[object, int], None],
    ):
        self._readers = SlowReaders(max_bytes)
        self._transport_by_key: dict[int, asyncio.WriteTransport] = {}
        self._read = read
        self._on_ended = on_ended
        self._size_by_key: dict[int, int] = {}
        self._unwritten_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def max_bytes(self) -> int:
        """Bound of the sum; may be changed."""
        return self._readers.max_bytes

    @max_bytes.setter
    def max_bytes(self, value: int):
        self._readers.max_bytes = value

    @property
    def size(self) -> int:
        """Bytes that count against the bound, as of the last check."""
        return self._read.size + self._unwritten_bytes

    def paused(self, transport) -> None:
        """Note that the writer of `transport` waits for its reader."""
        key = id(transport)
        self._transport_by_key[key] = transport
        size = transport.get_write_buffer_size()
        self._note_size(key, size)
        self._readers.waits(key, size, self._now_ms())
        self._schedule()

    def resumed(self, transport) -> None:
        """Note that the writer of `transport` goes on, or it is closed."""
        self._transport_by_key.pop(id(transport), None)
        self._note_size(id(transport), 0)
        self._readers.goes_on(id(transport))

    def _note_size(self, key, size):
        self._unwritten_bytes += size - self._size_by_key.pop(key, 0)
        if size:
            self._size_by_key[key] = size

    def _now_ms(self):
        return int(asyncio.get_running_loop().time() * 1000)

    def _sizes(self):
        return {
            key: transport.get_write_buffer_size()
            for key, transport in self._transport_by_key.items()
        }

    def _check(self):
        self._timer = None
        sizes = self._sizes()
        ended = self._readers.check(sizes, self._read.size, self._now_ms())
        for key in ended:
            transport = self._transport_by_key.pop(key)
            self._on_ended(transport.get_extra_info("peername"), sizes[key])
            transport.abort()
        self._size_by_key = self._sizes()
        self._unwritten_bytes = sum(self._size_by_key.values())
        self._schedule()

    def _schedule(self):
        if self._readers and self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._check)
