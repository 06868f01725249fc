"""Weight store over HTTP and JSON."""

import ssl

from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.errors import PlatformUnavailable

__all__ = ["HttpWeightStore"]


class HttpWeightStore:
    """`WeightStore` over HTTP.

    Parameters
    ----------
    base_url : str
    limits : HttpLimits, optional
    tls : ssl.SSLContext, optional
    """

    def __init__(
        self,
        base_url: str,
        limits: HttpLimits | None = None,
        tls: ssl.SSLContext | None = None,
    ):
        self._calls = PlatformCalls(base_url, limits, tls)

    async def sizes(self) -> dict[str, int]:
        """Return sizes in bytes by ``model@version`` or adapter name."""
        return await self._member("/sizes", "sizes")

    async def rate(self) -> int:
        """Return the store's total rate limit in bytes per second."""
        return await self._member("/rate", "rate")

    async def close(self):
        """Close all connections that no call is using."""
        await self._calls.close()

    async def _member(self, path, name):
        reply = await self._calls.read("GET", path)
        try:
            return reply.json()[name]
        except (ValueError, KeyError, TypeError) as error:
            raise PlatformUnavailable(f"{path}: {error!r}") from error
