"""aiohttp connections that stop at endless framing and at resets.

aiohttp bounds the fields of a head. It reads interim responses, chunk sizes
and chunk extensions for as long as they come. A body without a length or
chunks it takes for whole however its connection ends.
"""

import functools

from aiohttp import ClientPayloadError
from aiohttp import TCPConnector
from aiohttp.client_proto import ResponseHandler

from dahliashunt.adapters.http1.bounds import BoundExceeded
from dahliashunt.adapters.http1.bounds import MessageMeter

__all__ = ["BoundedConnector"]


class _BoundedHandler(ResponseHandler):
    """Closes its connection at too many bytes that are not body.

    A body that ends with a reset of its connection is an error.
    """

    def __init__(self, loop):
        super().__init__(loop)
        self._meter = MessageMeter()
        self._counted = None
        self._counted_bytes = 0

    def feed_data(self, data, size=0):
        """Count an interim response; begin anew at a final one."""
        message, payload = data
        if message.code < 200:
            self._meter.interim()
        else:
            self._meter = MessageMeter()
            self._counted, self._counted_bytes = payload, 0
        super().feed_data(data, size)

    def data_received(self, data):
        """Parse `data`, and compare it with the progress of the body."""
        self._meter.received(len(data))
        try:
            super().data_received(data)
            body_bytes = getattr(self._counted, "total_bytes", 0)
            self._meter.body(body_bytes - self._counted_bytes)
            self._counted_bytes = body_bytes
            self._meter.check()
        except BoundExceeded as error:
            self._fail(ClientPayloadError(str(error)))

    def connection_lost(self, exc):
        """Fail an incomplete body unless the peer closed in order."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(ClientPayloadError(f"broken off: {exc!r}"))
        super().connection_lost(exc)

    def _fail(self, error):
        if self._payload is not None:
            self._payload.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(error)


class BoundedConnector(TCPConnector):
    """`TCPConnector` with connections that tell broken responses."""

    def __init__(self, **options):
        super().__init__(**options)
        self._factory = functools.partial(_BoundedHandler, loop=self._loop)
