"""Encode and decode frames: thrift's compact protocol behind a length.

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

__all__ = ["MAX_FRAME_BYTES", "FrameReader", "encode"]

MAX_FRAME_BYTES = 16_000_000
"""Longest frame taken; a longer one is a broken or foreign peer."""

_LENGTH_PREFIX = struct.Struct(">I")
_FACTORY = TCompactProtocolAcceleratedFactory()


def encode(frame: Frame) -> bytes:
    """Return `frame` as bytes on the wire."""
    body = serialize(frame, protocol_factory=_FACTORY)
    return _LENGTH_PREFIX.pack(len(body)) + body


class FrameReader:
    """Cuts a byte stream into frames.

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

    def __init__(self):
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Return the frames that are whole now that `data` has come.

        Raises
        ------
        LinkError
            What came is not a frame; the connection must be closed.
        """
        buffer = self._buffer
        buffer += data
        frames = []
        offset = 0
        while len(buffer) - offset >= _LENGTH_PREFIX.size:
            (length,) = _LENGTH_PREFIX.unpack_from(buffer, offset)
            if length > MAX_FRAME_BYTES:
                raise LinkError(f"frame of {length} bytes")
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
        # The accelerated decoder raises plain exceptions of its own on
        # bytes that are no thrift; a foreign peer must end its link only.
        raise LinkError(f"not a frame: {error!r}") from None
