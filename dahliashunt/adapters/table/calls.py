"""HTTP calls to the platform's services."""

from dataclasses import dataclass
import json
import ssl

from dahliashunt.adapters.table.sessions import AnswerLost
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.adapters.table.sessions import HttpSessions
from dahliashunt.adapters.table.sessions import NotSent
from dahliashunt.adapters.table.sessions import read_body
from dahliashunt.errors import PlatformUnavailable
from dahliashunt.errors import WriteOutcomeUnknown

__all__ = ["HttpReply", "PlatformCalls"]

_REFUSED_STATUSES = (429, 503)


@dataclass(frozen=True, slots=True)
class HttpReply:
    """Status and complete body of a response."""

    status: int
    body: bytes

    def json(self):
        """Return the body's JSON value, or raise `ValueError`."""
        return json.loads(self.body)


class PlatformCalls:
    """HTTP calls to one service of the platform.

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
        self._base_url = base_url.rstrip("/")
        self._sessions = HttpSessions(limits, tls)

    async def read(
        self, method: str, path: str, missing_status: int = 0, **content
    ) -> HttpReply | None:
        """Send a request that changes nothing at the service.

        Parameters
        ----------
        method, path : str
        missing_status : int
            Status that means that the resource does not exist.
        **content
            Body and headers, as aiohttp takes them.

        Returns
        -------
        HttpReply or None
            None only on `missing_status`.

        Raises
        ------
        PlatformUnavailable
            No response came, or one with another status.
        """
        try:
            reply = await self._send(method, path, content)
        except (NotSent, AnswerLost) as error:
            raise PlatformUnavailable(str(error)) from error
        if reply.status == missing_status:
            return None
        if reply.status != 200:
            raise PlatformUnavailable(f"{path}: answered {reply.status}")
        return reply

    async def write(
        self, method: str, path: str, conflict_status: int = 0, **content
    ) -> HttpReply:
        """Send a request that changes something at the service.

        Parameters
        ----------
        method, path : str
        conflict_status : int
            Status, besides 200, with which the reply is returned.
        **content
            Body and headers, as aiohttp takes them.

        Raises
        ------
        PlatformUnavailable
            The write did not take effect.
        WriteOutcomeUnknown
            The write was sent and may have taken effect.
        """
        try:
            reply = await self._send(method, path, content)
        except NotSent as error:
            raise PlatformUnavailable(str(error)) from error
        except AnswerLost as error:
            raise WriteOutcomeUnknown(str(error)) from error
        if reply.status in _REFUSED_STATUSES:
            raise PlatformUnavailable(f"{path}: answered {reply.status}")
        if reply.status not in (200, conflict_status):
            raise WriteOutcomeUnknown(f"{path}: answered {reply.status}")
        return reply

    async def close(self):
        """Close all connections that no call is using."""
        await self._sessions.close()

    async def _send(self, method, path, content) -> HttpReply:
        url = self._base_url + path
        async with self._sessions.request(method, url, **content) as response:
            return HttpReply(response.status, await read_body(response))
