"""Codec of frames: a length prefix and thrift's compact protocol.

References
----------
.. [1] Apache Thrift, "Thrift compact protocol encoding".
"""

import struct

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.TSerialization import deserialize
from thrift.TSerialization import serialize

from dahliashunt.adapters.wire.gen.link.ttypes import Frame
from dahliashunt.errors import LinkError

__all__ = [
    "MAX_FRAME_BYTES",
    "MAX_GREETING_BYTES",
    "FrameReader",
    "encode",
]

MAX_FRAME_BYTES = 16_000_000
"""Longest frame accepted from a peer."""

MAX_GREETING_BYTES = 65_536
"""Longest frame accepted from a peer that has not greeted yet."""

_LENGTH_PREFIX = struct.Struct(">I")
_FACTORY = TCompactProtocolAcceleratedFactory()


def encode(frame: Frame) -> bytes:
    """Return the wire encoding of `frame`."""
    body = serialize(frame, protocol_factory=_FACTORY)
    return _LENGTH_PREFIX.pack(len(body)) + body


class FrameReader:
    """Splits a byte stream into frames.

    Parameters
    ----------
    max_bytes : int
        Longest frame; may be changed.

    Examples
    --------
    >>> from dahliashunt.adapters.wire.gen.link.ttypes import Cancel
    >>> data = encode(Frame(cancel=Cancel(attempt_id="a")))
    >>> reader = FrameReader()
    >>> reader.feed(data[:3])
    []
    >>> reader.feed(data[3:])[0].cancel.attempt_id
    'a'
    """

    def __init__(self, max_bytes: int = MAX_FRAME_BYTES):
        self.max_bytes = max_bytes
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Add `data` to the buffer; return the frames that are complete.

        Raises
        ------
        LinkError
            The stream is malformed; the connection must be closed.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        offset = 0
        while len(buffer) - offset >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buffer, offset)
            if length > self.max_bytes:
                raise LinkError(
                    f"frame of {length} bytes exceeds {self.max_bytes}"
                )
            end = offset + _LENGTH_PREFIX.size + length
            if len(buffer) < end:
                break
            frames.append(
                _decode(bytes(buffer[offset + _LENGTH_PREFIX.size : end]))
            )
            offset = end
        if offset:
            del buffer[:offset]
        return frames


def _decode(body):
    try:
        return deserialize(Frame(), body, protocol_factory=_FACTORY)
    except Exception as error:
        # The accelerated decoder raises plain exceptions on bytes that are
        # not thrift.
        raise LinkError(f"malformed frame: {error!r}") from None
