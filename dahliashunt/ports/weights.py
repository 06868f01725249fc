"""The platform's rate-limited weight store."""

from typing import Protocol

__all__ = ["WeightStore"]


class WeightStore(Protocol):
    """Knows what weights there are and how fast they can be fetched."""

    async def sizes(self) -> dict[str, int]:
        """Return bytes by ``model@version`` or adapter name."""

    async def rate(self) -> int:
        """Return the store's whole limit, bytes a second."""
