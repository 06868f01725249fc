"""Object store over HTTP."""

import ssl
from urllib.parse import quote

from dahliashunt.adapters.table.calls import PlatformCalls
from dahliashunt.adapters.table.sessions import HttpLimits

__all__ = ["HttpObjectStore"]


class HttpObjectStore:
    """`ObjectStore` over HTTP.

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

    async def put(self, name: str, data: bytes) -> None:
        """Store `data` under `name`."""
        await self._calls.write("PUT", _path(name), data=data)

    async def get(self, name: str) -> bytes | None:
        """Return the object named `name`, or None."""
        reply = await self._calls.read("GET", _path(name), missing_status=404)
        return reply.body if reply else None

    async def delete(self, name: str) -> None:
        """Delete the object named `name`, if there is one."""
        await self._calls.write("DELETE", _path(name))

    async def close(self):
        """Close all connections that no call is using."""
        await self._calls.close()


def _path(name: str) -> str:
    return f"/o/{quote(name)}"
