"""Which connections to end when clients hold too much.

Load pattern
------------
Clients open many connections, send heads or bodies that stop short of their
end, a byte a second, or many requests ahead, each of a legal size.

What goes wrong without it
--------------------------
Each message is within its own bound, and the sum of them ends the process. A
bound on the sum alone refuses whoever comes next: what stays unfinished fills
it, and an ordinary request of a hundred bytes finds no room.

How
---
One account has the bytes that each connection holds, and a bound on the sum
and on the number of connections. A connection may grow up to `SHARE` times
what is then free, as in shared-buffer switches [1]_, so that large requests
alone never take what a small one needs. If there is no room, connections
without a complete request are ended, in the order of their bytes times the
time for which they have been incomplete, but none that costs less than the
one that grows. A complete request is never ended for another one: it may run.

If there are too many connections, the one that has been without a complete
request for the longest time is ended; first those that never sent one.

Cost
----
A few additions for each read. A pass over all connections when there is no
room.

References
----------
.. [1] A. K. Choudhury and E. L. Hahne, "Dynamic queue length thresholds for
   shared-memory packet switches", IEEE/ACM Trans. Networking, 1998.
"""

from collections.abc import Callable
from collections.abc import Hashable
from dataclasses import dataclass
import enum

__all__ = ["ClientMemory", "Stage", "is_within_share"]

SHARE = 2
"""Most bytes of a connection as a multiple of what is free beside it."""

MIN_JUDGED_MS = 200
"""Milliseconds without a complete request before a connection may be ended
for another. A client sends its request within some round trips."""


def is_within_share(size: int, free_bytes: int) -> bool:
    """Return whether one user may hold `size` while `free_bytes` are left.

    Examples
    --------
    >>> is_within_share(20, free_bytes=10), is_within_share(21, free_bytes=10)
    (True, False)
    """
    return size <= SHARE * free_bytes


class Stage(enum.Enum):
    """What a connection is waiting for."""

    IDLE = "idle"
    """For a request's head, or the rest of it."""

    BODY = "body"
    """For the rest of a request's body."""

    SERVED = "served"
    """For the response to a complete request."""

    REFUSED = "refused"
    """For the end of what its client still sends."""


@dataclass(slots=True)
class _Holding:
    since_ms: int
    size: int = 0
    stage: Stage = Stage.IDLE
    has_asked: bool = False

    def cost(self, now_ms):
        """Return the byte-milliseconds since it became incomplete."""
        return self.size * (now_ms - self.since_ms)

    def may_end(self, now_ms):
        """Return whether it may be ended for another connection."""
        if self.stage in (Stage.SERVED, Stage.REFUSED):
            return self.stage is Stage.REFUSED
        return now_ms - self.since_ms >= MIN_JUDGED_MS

    def order(self):
        """Return the key by which connections are ended if too many."""
        return (
            self.stage is not Stage.REFUSED,
            self.has_asked,
            self.since_ms,
        )


class ClientMemory:
    """Bytes held for connections of clients, and their bounds.

    Parameters
    ----------
    max_bytes : int
    max_connections : int
    other_bytes : callable, optional
        Returns what is held for clients beside their connections.

    Attributes
    ----------
    held_bytes : int
        Sum of the connections' bytes.

    Examples
    --------
    >>> memory = ClientMemory(max_bytes=1_000, max_connections=10)
    >>> for key in ("stalled", "caller"):
    ...     _ = memory.opened(key, now_ms=0)
    >>> memory.resized("stalled", 600, now_ms=0)
    []
    >>> memory.resized("caller", 400, now_ms=1_000)
    ['stalled']
    """

    def __init__(
        self,
        max_bytes: int,
        max_connections: int,
        other_bytes: Callable[[], int] = lambda: 0,
    ):
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.held_bytes = 0
        self._other_bytes = other_bytes
        self._holding_by_key: dict[Hashable, _Holding] = {}

    def __len__(self):
        return len(self._holding_by_key)

    @property
    def total_bytes(self) -> int:
        """All bytes that count against the bound."""
        return self.held_bytes + self._other_bytes()

    def opened(self, key: Hashable, now_ms: int) -> list[Hashable]:
        """Note a new connection; return those to end, maybe itself."""
        self._holding_by_key[key] = _Holding(now_ms)
        if len(self._holding_by_key) <= self.max_connections:
            return []
        others = (
            (other, each)
            for other, each in self._holding_by_key.items()
            if other != key and each.may_end(now_ms)
        )
        oldest, _ = min(
            others, key=lambda pair: pair[1].order(), default=(key, None)
        )
        return self._end([oldest])

    def refused(self, key: Hashable, size: int, now_ms: int) -> bool:
        """Count a connection that was ended and is read on for a while.

        Return False if there is no room, so that it must be closed.
        """
        if (
            len(self._holding_by_key) >= self.max_connections
            or self.total_bytes + size > self.max_bytes
        ):
            return False
        self._holding_by_key[key] = _Holding(now_ms, size, Stage.REFUSED)
        self.held_bytes += size
        return True

    def fitted(self, key: Hashable, size: int) -> bool:
        """Note what a connection holds if it fits; return whether it does.

        The same as `resized` for it, without the time.
        """
        holding = self._holding_by_key.get(key)
        if holding is None:
            return True
        former = holding.size
        if size > former:
            free_bytes = self.max_bytes - self.total_bytes - size + former
            if not is_within_share(size, free_bytes):
                return False
        self.held_bytes += size - former
        holding.size = size
        return True

    def resized(
        self, key: Hashable, size: int, now_ms: int, may_end: bool = True
    ) -> list[Hashable]:
        """Note what a connection holds; return those to end, maybe itself.

        One that is to be ended no longer counts. With `may_end` false the
        connection itself is kept with its former size instead.
        """
        holding = self._holding_by_key.get(key)
        if holding is None:
            return []
        if self.fitted(key, size):
            return []
        former = holding.size
        self._set_size(holding, size)
        ended = self._make_room(key, holding, now_ms)
        if ended == [key] and not may_end:
            self._set_size(holding, former)
            return ended
        return self._end(ended)

    def _set_size(self, holding, size):
        self.held_bytes += size - holding.size
        holding.size = size

    def entered(self, key: Hashable, stage: Stage, now_ms: int) -> None:
        """Note what a connection is waiting for from now on."""
        holding = self._holding_by_key.get(key)
        if holding is not None and holding.stage is not stage:
            holding.has_asked |= stage is Stage.SERVED
            holding.stage = stage
            holding.since_ms = now_ms

    def closed(self, key: Hashable) -> Stage | None:
        """Forget a connection; return its stage, None if it was ended."""
        holding = self._holding_by_key.pop(key, None)
        if holding is None:
            return None
        self.held_bytes -= holding.size
        return holding.stage

    def _make_room(self, key, holding, now_ms):
        """Return whom to end so that `key` fits; itself if nothing helps."""
        ended, free_bytes = [], self.max_bytes - self.total_bytes
        least = holding.cost(now_ms)
        for other, each in self._by_cost(now_ms):
            if other == key:
                continue
            if each.cost(now_ms) <= least:
                break
            ended.append(other)
            free_bytes += each.size
            if is_within_share(holding.size, free_bytes):
                return ended
        return [key]

    def _by_cost(self, now_ms):
        """Return those that may be ended, the most expensive first."""
        found = [
            (key, each)
            for key, each in self._holding_by_key.items()
            if each.may_end(now_ms)
        ]
        found.sort(key=lambda pair: -pair[1].cost(now_ms))
        return found

    def _end(self, keys):
        for key in keys:
            holding = self._holding_by_key.pop(key)
            self.held_bytes -= holding.size
        return keys
