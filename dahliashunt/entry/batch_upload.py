"""Read request bodies of the batch routes, bounded in size and time."""

import asyncio
from collections.abc import AsyncIterator
import json
import re

from blacksheep import Request
from blacksheep.exceptions import MessageAborted
from blacksheep.multipart import parse_multipart_async

from dahliashunt.adapters.held_memory import held_request
from dahliashunt.errors import ErrorKind
from dahliashunt.errors import RequestError

__all__ = ["BodyReader", "read_json", "upload_parts"]

_IDLE_S = 30
_TOTAL_S = 1_800
_MAX_JSON = 64 * 1024
_MAX_UNPARSED = 256 * 1024
_HELD_BYTES = 4 * 1024 * 1024
"""Bytes of an upload that are in memory at a time: a chunk, a line of the
next one, and what was read but not cut yet."""

_BOUNDARY = re.compile(
    rb'multipart/form-data;.*boundary="?([^";\s]{1,70})"?', re.IGNORECASE
)


class BodyReader:
    """A request's body in pieces.

    It ends a body that is too large, that stalls, or that goes on for too
    long: without that, a client which trickles bytes would hold a
    connection and its buffers for ever.

    Parameters
    ----------
    request : Request
    limit : int
        Most bytes.
    """

    def __init__(self, request: Request, limit: int):
        self._pieces = request.stream().__aiter__()
        self._limit = limit
        self._size = 0
        self._unparsed = 0
        self._held = held_request(request.scope or {})
        self.tail = b""

    def parsed(self) -> None:
        """Note that what came so far was used up."""
        self._unparsed = 0

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the pieces, all non-empty.

        Raises
        ------
        RequestError
            Too large, or too slow.
        """
        by_s = asyncio.get_running_loop().time() + _TOTAL_S
        while piece := await self._next(by_s):
            self._size += len(piece)
            self._unparsed += len(piece)
            if self._size > self._limit:
                raise RequestError(
                    ErrorKind.TOO_LARGE,
                    f"the body is larger than {self._limit} bytes",
                )
            # Part headers without an end would fill the parser's buffer.
            if self._unparsed > _MAX_UNPARSED + len(piece):
                raise RequestError(
                    ErrorKind.BAD_REQUEST, "the body has endless headers"
                )
            # Earlier pieces are in the object store by now.
            if self._held is not None and self._size > _HELD_BYTES:
                self._held.consumed(len(piece))
            self.tail = (self.tail + piece)[-128:]
            yield piece

    async def _next(self, by_s):
        while True:
            left_s = by_s - asyncio.get_running_loop().time()
            try:
                async with asyncio.timeout(min(_IDLE_S, left_s)):
                    piece = await anext(self._pieces, None)
            except TimeoutError:
                raise RequestError(
                    ErrorKind.TIMED_OUT, "the body came too slowly"
                ) from None
            except MessageAborted:
                raise RequestError(
                    ErrorKind.CANCELLED, "the client went away"
                ) from None
            if piece or piece is None:
                return piece


async def read_json(request: Request) -> dict:
    """Return a small JSON object from a request's body.

    Raises
    ------
    RequestError
        It is none, or too large.
    """
    body = b"".join([piece async for piece in BodyReader(request, _MAX_JSON)])
    try:
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise RequestError(
            ErrorKind.BAD_REQUEST, "the body is not JSON"
        ) from None
    if not isinstance(fields, dict):
        raise RequestError(
            ErrorKind.BAD_REQUEST, "the body is not a JSON object"
        )
    return fields


async def upload_parts(request: Request, reader: BodyReader):
    """Yield the parts of a multipart form, each to be read in turn.

    Raises
    ------
    RequestError
        It is no such form, or it was cut off: the parser takes the end of
        the body for the end of a part, so a file without its closing
        boundary would be stored as if it were whole.
    """
    match = _BOUNDARY.match(request.content_type() or b"")
    if match is None:
        raise _bad("the body must be multipart/form-data")
    boundary = match[1]
    try:
        async for part in parse_multipart_async(aiter(reader), boundary):
            reader.parsed()
            yield part
    except (ValueError, UnicodeDecodeError):
        raise _bad("a part's headers are wrong") from None
    if b"--" + boundary + b"--" not in reader.tail:
        raise _bad("the body has no closing boundary")


def _bad(message):
    return RequestError(ErrorKind.BAD_REQUEST, message)
