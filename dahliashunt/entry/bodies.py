"""Read request bodies within a limit of size and time."""

import asyncio

from blacksheep.exceptions import MessageAborted

from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError

__all__ = ["read_body"]


async def read_body(request, limit_bytes: int, limit_ms: int) -> bytes:
    """Return the whole body of a request.

    A body without end must not fill the memory and a slow one must not hold
    a place for ever; both are known before anything ran. What all requests
    hold is bounded by the server.

    Raises
    ------
    RequestError
        TOO_LARGE, TIMED_OUT when the body took too long, or CANCELLED when
        the connection ended before the body.
    """
    declared = request.headers.get_first(b"content-length")
    if declared and declared.isdigit() and int(declared) > limit_bytes:
        raise _too_large(limit_bytes)
    body = bytearray()
    try:
        async with asyncio.timeout(limit_ms / 1000):
            async for piece in request.stream():
                body += piece
                if len(body) > limit_bytes:
                    raise _too_large(limit_bytes)
        return bytes(body)
    except TimeoutError:
        raise RequestError(
            ErrorKind.TIMED_OUT, "the body took too long to arrive"
        ) from None
    except MessageAborted:
        raise RequestError(
            ErrorKind.CANCELLED, "the client went away"
        ) from None
    finally:
        # Freed now, whoever keeps the traceback of an error.
        body.clear()


def _too_large(limit_bytes):
    return RequestError(
        ErrorKind.TOO_LARGE, f"the body is over {limit_bytes} bytes"
    )
