"""Connections of a stand-in, so that faults can act on each one."""

from collections.abc import Callable
import itertools

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

__all__ = ["Connection", "StandinProtocol", "newest_connection"]

_numbers = itertools.count(1)
_newest = 0


def newest_connection() -> int:
    """Return the number of the newest connection of this process."""
    return _newest


class Connection:
    """One accepted connection.

    Parameters
    ----------
    transport : asyncio.Transport

    Attributes
    ----------
    number : int
        Counts the connections of this process.
    lost : bool
        Whether the peer is gone.
    """

    __slots__ = ("_transport", "_watchers", "lost", "number")

    def __init__(self, transport):
        global _newest
        self.number = _newest = next(_numbers)
        self.lost = False
        self._transport = transport
        self._watchers = set()

    def abort(self):
        """Drop the connection without an answer."""
        self._transport.abort()

    def watch(self, on_lost: Callable[[], None]):
        """Have `on_lost` called once the peer is gone."""
        if self.lost:
            on_lost()
        else:
            self._watchers.add(on_lost)

    def unwatch(self, on_lost: Callable[[], None]):
        """Undo `watch`."""
        self._watchers.discard(on_lost)

    def set_lost(self):
        """Tell the watchers that the peer is gone."""
        self.lost = True
        watchers, self._watchers = self._watchers, set()
        for on_lost in watchers:
            on_lost()


class StandinProtocol(HttpToolsProtocol):
    """Uvicorn's HTTP protocol, with its connection in each scope."""

    def connection_made(self, transport):
        """Keep the connection."""
        super().connection_made(transport)
        self.standin_connection = Connection(transport)

    def connection_lost(self, exc):
        """Tell whoever watches the connection."""
        super().connection_lost(exc)
        self.standin_connection.set_lost()

    def on_message_begin(self):
        """Put the connection into the request's scope."""
        super().on_message_begin()
        self.scope["connection"] = self.standin_connection
