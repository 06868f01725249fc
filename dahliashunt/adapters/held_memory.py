"""The account of what a server's clients hold, and the server's side of it."""

import asyncio
from collections.abc import Callable
from typing import Protocol

from dahliashunt.decisions.client_memory import ClientMemory
from dahliashunt.decisions.client_memory import Stage

__all__ = ["HeldConnection", "HeldMemory", "HeldRequest", "held_request"]

REPORT_INTERVAL_S = 1.0
"""Interval between reports of ended connections, which come in crowds."""

_SCOPE_KEY = "dahliashunt.held"


class HeldConnection(Protocol):
    """A connection that can be ended for the memory that it holds.

    Attributes
    ----------
    stage : Stage
    """

    stage: Stage

    def yield_memory(self) -> None:
        """Refuse the unfinished request, or close the connection."""

    def fits(self, may_end: bool = True) -> bool:
        """Note a request's new size; return whether there is room.

        Without room the connection counts no longer, unless `may_end` is
        false: then its former size stays.
        """


class HeldRequest:
    """Bytes that are held for one request.

    Attributes
    ----------
    size : int
    body_bytes : int
        Bytes of the body among them, of which copies follow once it is whole.
    app_is_busy : bool
        Whether the application is doing something else than to wait for the
        rest of the request, so that it is not known to have done nothing.
    """

    __slots__ = ("_connection", "app_is_busy", "body_bytes", "size")

    def __init__(self, connection: HeldConnection, size: int):
        self._connection = connection
        self.size = size
        self.body_bytes = 0
        self.app_is_busy = False

    def reserve(self, size: int) -> bool:
        """Hold `size` bytes more; return False if there is no room."""
        self.size += size
        if self._connection.fits(may_end=False):
            return True
        self.size -= size
        return False

    def release(self, size: int) -> None:
        """Hold `size` bytes less."""
        self.size -= size
        self._connection.fits()

    def consumed(self, size: int) -> None:
        """Hold `size` bytes of the body no longer: it is stored elsewhere."""
        self.body_bytes -= size
        self.release(size)

    def put_into(self, scope: dict) -> None:
        """Make the request known to the application of `scope`."""
        scope[_SCOPE_KEY] = self


def held_request(scope: dict) -> HeldRequest | None:
    """Return what is held for the request of an ASGI scope.

    None for a server without an account.
    """
    return scope.get(_SCOPE_KEY)


class HeldMemory:
    """Account of one or several servers; ends connections beyond its bounds.

    Parameters
    ----------
    max_bytes, max_connections : int
    other_bytes : callable, optional
        Returns what is held for clients beside their connections.
    on_ended : callable, optional
        Called with the number of connections of each `Stage` that were ended
        since the last call, and `decisions`; at most once a second.

    Attributes
    ----------
    decisions : ClientMemory
    """

    def __init__(
        self,
        max_bytes: int,
        max_connections: int,
        other_bytes: Callable[[], int] = lambda: 0,
        on_ended: Callable[[dict[Stage, int], ClientMemory], None]
        | None = None,
    ):
        self.decisions = ClientMemory(max_bytes, max_connections, other_bytes)
        self._on_ended = on_ended
        self._count_by_stage: dict[Stage, int] = {}
        self._timer: asyncio.TimerHandle | None = None

    def opened(self, connection: HeldConnection) -> bool:
        """Note a new connection; return whether it may stay."""
        ended = self.decisions.opened(connection, _now_ms())
        return self._end(ended, connection)

    def refused(self, connection: HeldConnection, size: int) -> bool:
        """Count a refused connection; return whether it may be read on."""
        return self.decisions.refused(connection, size, _now_ms())

    def resized(
        self, connection: HeldConnection, size: int, may_end: bool = True
    ) -> bool:
        """Note what a connection holds; return whether there is room.

        See `HeldConnection.fits`.
        """
        if self.decisions.fitted(connection, size):
            return True
        ended = self.decisions.resized(connection, size, _now_ms(), may_end)
        if not ended:
            return True
        if not may_end and connection in ended:
            return False
        return self._end(ended, connection)

    def entered(self, connection: HeldConnection, stage: Stage) -> None:
        """Note what a connection is waiting for."""
        self.decisions.entered(connection, stage, _now_ms())

    def closed(self, connection: HeldConnection) -> None:
        """Forget a connection."""
        self.decisions.closed(connection)

    def _end(self, ended, connection):
        for each in ended:
            stage = each.stage
            count = self._count_by_stage.get(stage, 0)
            self._count_by_stage[stage] = count + 1
            if each is not connection:
                each.yield_memory()
        if ended and self._timer is None:
            self._report()
        return connection not in ended

    def _report(self):
        """Report now what was ended, and the rest after an interval."""
        self._timer = None
        counts, self._count_by_stage = self._count_by_stage, {}
        if not counts:
            return
        if self._on_ended is not None:
            self._on_ended(counts, self.decisions)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(REPORT_INTERVAL_S, self._report)


def _now_ms():
    return int(asyncio.get_running_loop().time() * 1000)
