"""Pool of idle connections, which reuses the newest first."""

import math

from dahliashunt.adapters.http1.connection import ConnectFailed
from dahliashunt.adapters.http1.connection import HttpConnection
from dahliashunt.adapters.http1.connection import open_connection
from dahliashunt.adapters.write_backlog import ReadBacklog
from dahliashunt.ports import Clock

__all__ = ["ConnectionPool", "PoolExhausted"]

CONNECT_TIMEOUT_MS = 400
"""Longest time to connect: many round trips within a region, but less than
the 1 s after which TCP retransmits a lost SYN."""

MAX_IDLE_MS = 4_000
"""Longest idle time before reuse; most servers close after 5 s or more."""

KEEP_ALIVE_MARGIN_MS = 500
"""Margin below the peer's keep-alive timeout, so that a request does not
cross the peer's close."""

FORGOTTEN_MS = 600_000
"""Time for which connections opened before `ConnectionPool.forget` are told
apart; above the longest time for which one carries a single stream."""

MAX_IDLE_PER_ADDRESS = 16
"""Most idle connections kept for one address."""


class PoolExhausted(ConnectFailed):
    """As many connections are in use as the pool may open."""


class ConnectionPool:
    """Keeps idle connections and opens new ones.

    Parameters
    ----------
    clock : Clock
    connect_ms : int
    backlog : ReadBacklog, optional
        Counts the unconsumed bytes of all its connections.
    max_open : int, optional
        Most open connections, idle ones included.

    Attributes
    ----------
    opened : int
        Number of connections opened so far.
    """

    def __init__(
        self,
        clock: Clock,
        connect_ms: int = CONNECT_TIMEOUT_MS,
        backlog: ReadBacklog | None = None,
        max_open: int | None = None,
    ):
        self._max_open = math.inf if max_open is None else max_open
        self._open: set[HttpConnection] = set()
        self._opening = 0
        self._clock = clock
        self._connect_ms = connect_ms
        self._backlog = backlog
        self._idle_by_address: dict[tuple[str, int], list] = {}
        # Number and time of the last call of `forget` for each address.
        self._forgotten_by_address: dict[tuple[str, int], tuple] = {}
        self._forgets = 0
        self.opened = 0

    async def take(
        self, address: tuple[str, int], idle_ms: int = MAX_IDLE_MS
    ) -> HttpConnection:
        """Return a connection idle for less than `idle_ms`, or a new one.

        Raises
        ------
        ConnectFailed
            A new connection could not be made.
        PoolExhausted
            None may be opened.
        """
        idle = self._idle_by_address.get(address)
        now_ms = self._clock.now_ms()
        while idle:
            connection = idle.pop()
            if self._is_fresh(connection, now_ms, idle_ms):
                return connection
            connection.abort()
        self._idle_by_address.pop(address, None)
        self._make_room()
        self.opened += 1
        forgets = self._forgets
        self._opening += 1
        try:
            connection = await open_connection(
                *address, self._connect_ms, self._backlog, self._open.discard
            )
        finally:
            self._opening -= 1
        if not connection.transport.is_closing():
            self._open.add(connection)
        connection.opened_after = forgets
        return connection

    @property
    def open_connections(self) -> int:
        """Number of open connections."""
        return len(self._open) + self._opening

    def _make_room(self):
        """Close the connection that is idle for longest if all are open."""
        if self.open_connections < self._max_open:
            return
        oldest = min(
            (
                (idle[0].idle_since_ms, address)
                for address, idle in self._idle_by_address.items()
                if idle
            ),
            default=None,
        )
        if oldest is None:
            raise PoolExhausted(f"{len(self._open)} connections are open")
        address = oldest[1]
        idle = self._idle_by_address[address]
        connection = idle.pop(0)
        if not idle:
            del self._idle_by_address[address]
        connection.abort()
        self._open.discard(connection)

    def has_idle(self, address: tuple[str, int]) -> bool:
        """Return whether `take` would reuse a connection."""
        now_ms = self._clock.now_ms()
        idle = self._idle_by_address.get(address, ())
        return any(self._is_fresh(each, now_ms, MAX_IDLE_MS) for each in idle)

    def _is_fresh(self, connection, now_ms, idle_ms):
        if not connection.usable or connection.transport.is_closing():
            return False
        limit_ms = idle_ms
        if connection.keep_alive_ms is not None:
            limit_ms = min(
                limit_ms, connection.keep_alive_ms - KEEP_ALIVE_MARGIN_MS
            )
        return now_ms - connection.idle_since_ms < limit_ms

    def give_back(
        self, address: tuple[str, int], connection: HttpConnection
    ) -> None:
        """Keep `connection` for reuse if it is usable, else close it.

        The rest of a response in progress would meet the next request, so
        that its connection is closed.
        """
        if (
            not connection.usable
            or connection.in_exchange
            or connection.transport.is_closing()
            or self._is_forgotten(address, connection)
        ):
            connection.abort()
            connection.release()
            return
        connection.release()
        connection.idle_since_ms = self._clock.now_ms()
        idle = self._idle_by_address.setdefault(address, [])
        idle.append(connection)
        if len(idle) > MAX_IDLE_PER_ADDRESS:
            idle.pop(0).abort()

    def forget(self, address: tuple[str, int]) -> None:
        """Close the idle connections to `address`; reuse none in use now.

        They were opened to an earlier incarnation of the server there.
        """
        for connection in self._idle_by_address.pop(address, ()):
            connection.abort()
        self._forgets += 1
        forgotten = (self._forgets, self._clock.now_ms())
        self._forgotten_by_address[address] = forgotten

    def _is_forgotten(self, address, connection):
        # Not by time: both may happen within a millisecond.
        number, _ = self._forgotten_by_address.get(address, (0, 0))
        return connection.opened_after < number

    def sweep(self) -> None:
        """Close connections that were idle for too long."""
        now_ms = self._clock.now_ms()
        for address, (_, at_ms) in list(self._forgotten_by_address.items()):
            if now_ms - at_ms > FORGOTTEN_MS:
                del self._forgotten_by_address[address]
        for address, idle in list(self._idle_by_address.items()):
            kept = []
            for connection in idle:
                if self._is_fresh(connection, now_ms, MAX_IDLE_MS):
                    kept.append(connection)
                else:
                    connection.abort()
            if kept:
                self._idle_by_address[address] = kept
            else:
                del self._idle_by_address[address]

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle_by_address.values():
            for connection in idle:
                connection.abort()
        self._idle_by_address.clear()
