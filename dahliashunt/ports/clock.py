"""One clock type: integer milliseconds, monotonic and wall time."""

from typing import Protocol

__all__ = ["Clock"]


class Clock(Protocol):
    """Time as the rest of the package sees it."""

    def now_ms(self) -> int:
        """Return monotonic milliseconds; only differences mean anything."""

    def wall_ms(self) -> int:
        """Return milliseconds since 1970, for people to read."""

    async def sleep_ms(self, delay_ms: int) -> None:
        """Return once `delay_ms` have passed on the monotonic clock."""
