"""Ask entries for their burn."""

import http.client
import urllib.error
import urllib.request

from dahliashunt.cli.bounded_response import BoundedResponse
from dahliashunt.cli.bounded_response import read_body
from dahliashunt.errors import DahliashuntError
from dahliashunt.row_fields import parse_json

__all__ = ["NotRead", "fetch"]

TIMEOUT_S = 10.0


class NotRead(DahliashuntError):
    """An entry did not give its burn; the text says why."""


class _Connection(http.client.HTTPConnection):
    response_class = BoundedResponse


class _TlsConnection(http.client.HTTPSConnection):
    response_class = BoundedResponse


class _Handler(urllib.request.HTTPHandler):
    def http_open(self, request):
        return self.do_open(_Connection, request)


class _TlsHandler(urllib.request.HTTPSHandler):
    def https_open(self, request):
        return self.do_open(_TlsConnection, request)


def fetch(url: str, key: str) -> dict:
    """Return an entry's burn.

    Raises
    ------
    NotRead
    """
    request = urllib.request.Request(
        f"{url.rstrip('/')}/operator/burn?detail=true",
        headers={"Authorization": f"Bearer {key}"},
    )
    opener = urllib.request.build_opener(_Handler, _TlsHandler)
    try:
        with opener.open(request, timeout=TIMEOUT_S) as answer:
            found = parse_json(read_body(answer))
    except urllib.error.HTTPError as error:
        raise NotRead(f"it answered {error.code}") from error
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise NotRead(str(error)) from error
    if not isinstance(found, dict):
        raise NotRead("its answer is not an object")
    return found
