"""Memory for long responses that are read whole before they are passed on.

Load pattern
------------
Many callers ask for long responses and read none of them, or a faulty replica
sends bodies and events without end.

What goes wrong without it
--------------------------
Each response is read from its replica at once, since it can be retried
elsewhere until it is passed on. All of them are in memory before any reader
has shown that it is slow.

How
---
A response longer than `FREE_BYTES` waits for its turn before its body is
read, while what is held for readers leaves no room; its replica's connection
is paused. Slow readers are ended below the bound, so that the turn comes.
Shorter responses never wait.

One without a stated length, and an event that is not complete, reserve memory
as they grow. The call that has grown first never waits, so that calls don't
wait for each other for ever; all together exceed the bound by its longest
response at most.
"""

import asyncio
from collections.abc import Callable
import contextlib

from dahliashunt.ports import Clock

__all__ = ["FREE_BYTES", "AnswerRoom", "GrowingHold"]

FREE_BYTES = 8_192
"""Longest response that does not wait."""

COPIES = 2
"""Copies of a response: its parts, and what is passed on."""

POLL_MS = 20


class GrowingHold:
    """Memory reserved for one call.

    Attributes
    ----------
    reserved_bytes : int
    """

    def __init__(self, room: "AnswerRoom"):
        self._room = room
        self.reserved_bytes = 0

    async def grow(self, size: int) -> None:
        """Return once there is memory for `size` bytes.

        What is reserved doubles, so that a response in many parts asks a few
        times.
        """
        needed = size * COPIES
        if size <= FREE_BYTES or needed <= self.reserved_bytes:
            return
        doubled = max(needed, 2 * self.reserved_bytes)
        await self._room.reserve_more(self, doubled)


class AnswerRoom:
    """Bytes reserved for long responses, and their bound.

    Parameters
    ----------
    max_bytes : int
    unread_bytes : callable
        Returns what is held already for readers.
    clock : Clock

    Attributes
    ----------
    reserved_bytes : int
    """

    def __init__(
        self, max_bytes: int, unread_bytes: Callable[[], int], clock: Clock
    ):
        self._clock = clock
        self._max_bytes = max_bytes
        self._unread_bytes = unread_bytes
        self._turn = asyncio.Lock()
        # Calls in the order in which they have begun to grow.
        self._growing: dict[GrowingHold, None] = {}
        self.reserved_bytes = 0

    @contextlib.asynccontextmanager
    async def hold(self, size: int):
        """Reserve memory for a response of `size` bytes, once there is some.

        Not needed up to `FREE_BYTES`. One that exceeds the bound by itself is
        let in alone.
        """
        size *= COPIES
        async with self._turn:
            while self.reserved_bytes and not self._fits(size):
                await self._clock.sleep_ms(POLL_MS)
            self.reserved_bytes += size
        try:
            yield
        finally:
            self.reserved_bytes -= size

    @contextlib.contextmanager
    def growing(self):
        """Reserve memory for a call whose response may grow.

        Yields
        ------
        GrowingHold
        """
        hold = GrowingHold(self)
        try:
            yield hold
        finally:
            self._growing.pop(hold, None)
            self.reserved_bytes -= hold.reserved_bytes

    async def reserve_more(self, hold: "GrowingHold", size: int) -> None:
        """Raise what `hold` has to `size`, once there is room."""
        self._growing.setdefault(hold)
        while not self._fits(size - hold.reserved_bytes):
            if next(iter(self._growing)) is hold:
                break
            await self._clock.sleep_ms(POLL_MS)
        self.reserved_bytes += size - hold.reserved_bytes
        hold.reserved_bytes = size

    def _fits(self, size):
        held = self.reserved_bytes + self._unread_bytes()
        return held + size <= self._max_bytes
