"""HTTP requests to a back end, with their responses streamed."""

from collections.abc import AsyncIterator
import contextlib
import ssl

from aiohttp import ClientResponse

from dahliashunt.adapters.table.sessions import AnswerLost
from dahliashunt.adapters.table.sessions import HttpLimits
from dahliashunt.adapters.table.sessions import HttpSessions
from dahliashunt.adapters.table.sessions import NotSent
from dahliashunt.errors import EngineLost
from dahliashunt.errors import EngineUnreachable
from dahliashunt.ports.engine import EngineCall

__all__ = ["EngineExchange", "request_headers", "response_headers"]

_ATTEMPT_HEADER = "x-request-id"
_CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
_DROPPED_REQUEST_HEADERS = _CONNECTION_HEADERS | {"host", _ATTEMPT_HEADER}
_DROPPED_RESPONSE_HEADERS = _CONNECTION_HEADERS | {
    "date",
    "server",
    _ATTEMPT_HEADER,
}


def response_headers(headers) -> dict[str, str]:
    """Return the response headers to pass on, in lower case.

    Repeated headers are joined, which all but Set-Cookie allow.

    Examples
    --------
    >>> response_headers({"Connection": "close", "Retry-After": "2"})
    {'retry-after': '2'}
    """
    kept = {}
    for name, value in headers.items():
        name = name.lower()
        if name not in _DROPPED_RESPONSE_HEADERS:
            kept[name] = f"{kept[name]}, {value}" if name in kept else value
    return kept


def request_headers(call: EngineCall, **defaults: str) -> dict[str, str]:
    """Return the headers of the request to the back end.

    Parameters
    ----------
    call : EngineCall
    **defaults : str
        Headers that the call may override; underscores stand for hyphens.

    Notes
    -----
    Headers of the caller's own connection are dropped. A second length or
    transfer coding would allow request smuggling.

    Examples
    --------
    >>> call = EngineCall("a1", "POST", "/", b"", {"Host": "x", "Accept": "*"})
    >>> request_headers(call, content_type="text/plain")
    {'content-type': 'text/plain', 'accept': '*', 'x-request-id': 'a1'}
    """
    headers = {
        name.replace("_", "-"): value for name, value in defaults.items()
    }
    for name, value in call.headers.items():
        if name.lower() not in _DROPPED_REQUEST_HEADERS:
            headers[name.lower()] = value
    headers[_ATTEMPT_HEADER] = call.attempt_id
    return headers


class EngineExchange:
    """Requests to one back end, with transport errors as the port's errors.

    Parameters
    ----------
    base_url : str
    limits : HttpLimits
    tls : ssl.SSLContext, optional
    """

    def __init__(
        self,
        base_url: str,
        limits: HttpLimits,
        tls: ssl.SSLContext | None = None,
    ):
        self._base_url = base_url.rstrip("/")
        self._sessions = HttpSessions(limits, tls)

    @contextlib.asynccontextmanager
    async def send(
        self, method: str, path: str, total_ms: int | None = None, **content
    ) -> AsyncIterator[ClientResponse]:
        """Send a request; the context holds its response.

        Raises
        ------
        EngineUnreachable
            Nothing was sent.
        EngineLost
            The request may have arrived, but no complete response came.
        """
        url = self._base_url + path
        try:
            async with self._sessions.request(
                method, url, total_ms, **content
            ) as response:
                yield response
        except NotSent as error:
            raise EngineUnreachable(str(error)) from error
        except AnswerLost as error:
            raise EngineLost(str(error)) from error

    async def close(self):
        """Close all connections that no call is using."""
        await self._sessions.close()
