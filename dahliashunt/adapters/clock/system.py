"""System clock."""

import asyncio
import time

__all__ = ["SystemClock"]

_NS_IN_MS = 1_000_000


class SystemClock:
    """`Clock` over the operating system's monotonic and wall clocks."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds."""
        return time.monotonic_ns() // _NS_IN_MS

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return time.time_ns() // _NS_IN_MS

    async def sleep_ms(self, delay_ms: int) -> None:
        """Sleep on the running event loop."""
        await asyncio.sleep(delay_ms / 1000)
