"""Virtual clock that tests advance explicitly."""

import asyncio
import heapq
import itertools

__all__ = ["VirtualClock"]


class VirtualClock:
    """`Clock` that moves only by `advance`.

    Parameters
    ----------
    start_ms : int
        Initial time.
    """

    def __init__(self, start_ms: int = 0):
        self._now_ms = start_ms
        self._sleepers = []
        self._order = itertools.count()

    def now_ms(self) -> int:
        """Return virtual milliseconds."""
        return self._now_ms

    def wall_ms(self) -> int:
        """Return the same virtual milliseconds."""
        return self._now_ms

    async def sleep_ms(self, delay_ms: int) -> None:
        """Wait until the clock is advanced by `delay_ms`."""
        done = asyncio.get_running_loop().create_future()
        wake_ms = self._now_ms + max(0, delay_ms)
        heapq.heappush(self._sleepers, (wake_ms, next(self._order), done))
        await done

    async def advance(self, by_ms: int) -> None:
        """Advance the clock by `by_ms`, waking sleepers in order."""
        until_ms = self._now_ms + by_ms
        await _run_ready_tasks()
        while self._sleepers and self._sleepers[0][0] <= until_ms:
            self._now_ms, _, done = heapq.heappop(self._sleepers)
            if not done.done():
                done.set_result(None)
            await _run_ready_tasks()
        self._now_ms = until_ms


async def _run_ready_tasks(rounds: int = 20):
    """Yield to the event loop so that ready tasks run."""
    for _ in range(rounds):
        await asyncio.sleep(0)
