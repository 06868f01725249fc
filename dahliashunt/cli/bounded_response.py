"""Responses to the command line, read within bounds.

`http.client` bounds each line and the number of fields. It reads interim
responses, chunk extensions and trailers for as long as they come.
"""

import http.client
import io

from dahliashunt.adapters.http1.bounds import BoundExceeded
from dahliashunt.adapters.http1.bounds import MessageMeter

__all__ = ["BoundedResponse", "ResponseTooLong", "read_body"]

PIECE_BYTES = 65_536

MAX_BODY_BYTES = 16_777_216
"""Longest body that is read whole: lists of 7,000 endpoints with 1 KB each
have 7 MB."""


class ResponseTooLong(http.client.HTTPException):
    """A response exceeds a bound, and is not read further."""


class _MeteredFile(io.RawIOBase):
    """Socket file that counts what is received."""

    def __init__(self, raw, meter):
        self._raw = raw
        self._meter = meter

    def readable(self):
        return True

    def readinto(self, buffer):
        size = self._raw.readinto(buffer)
        self._meter.received(size or 0)
        try:
            self._meter.check()
        except BoundExceeded as error:
            raise ResponseTooLong(str(error)) from None
        return size

    def close(self):
        self._raw.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """Response that stops at too many bytes that are not body.

    Its body is to be read by `read_piece`, which counts it.
    """

    def __init__(self, *given, **options):
        super().__init__(*given, **options)
        self._meter = MessageMeter()
        file = _MeteredFile(self.fp.detach(), self._meter)
        self.fp = io.BufferedReader(file)

    def read_piece(self) -> bytes:
        """Return a part of the body, empty at its end."""
        piece = self.read1(PIECE_BYTES)
        self._meter.body(len(piece))
        return piece


def read_body(
    response: BoundedResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the whole body.

    Raises
    ------
    http.client.HTTPException
        The body is cut, or exceeds `max_bytes`.
    """
    body = bytearray()
    while piece := response.read_piece():
        body += piece
        if len(body) > max_bytes:
            raise ResponseTooLong(f"the body exceeds {max_bytes} bytes")
    if response.length:
        raise http.client.IncompleteRead(bytes(body), response.length)
    return bytes(body)
