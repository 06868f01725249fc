"""Send and receive `SlotFrame` datagrams on one socket."""

import asyncio
from collections.abc import Iterable

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.transport.TTransport import TMemoryBuffer

from dahliashunt.adapters.wire.gen.link.ttypes import SlotFrame

__all__ = ["Datagrams", "open_datagrams"]

_FACTORY = TCompactProtocolAcceleratedFactory()


class Datagrams(asyncio.DatagramProtocol):
    """UDP socket that passes decoded frames to a receiver.

    The protocol objects are reused: creating one takes longer than the
    accelerated encoding of a frame.

    Attributes
    ----------
    refused : int
        Number of datagrams that could not be decoded.
    """

    def __init__(self, receive):
        self._receive = receive
        self._transport = None
        self._reader = _FACTORY.getProtocol(None)
        self._writer = _FACTORY.getProtocol(None)
        self.refused = 0

    def connection_made(self, transport):
        """Store the transport (called by asyncio)."""
        self._transport = transport

    def datagram_received(self, data, addr):
        """Pass the decoded frame on; drop a malformed datagram."""
        try:
            frame = SlotFrame()
            self._reader.trans = TMemoryBuffer(data)
            frame.read(self._reader)
        except Exception:
            # The accelerated decoder raises plain exceptions on bytes that
            # are not thrift, which any sender on the network can cause. The
            # decoder without acceleration keeps its place in the broken
            # frame.
            self._reader = _FACTORY.getProtocol(None)
            self.refused += 1
            return
        self._receive(frame, addr)

    def error_received(self, exc):
        """Ignore the error: the sender's time limit covers it."""

    def send(self, frame: SlotFrame, address: tuple[str, int]) -> None:
        """Send one datagram."""
        self.send_to_all(frame, (address,))

    def send_to_all(
        self, frame: SlotFrame, addresses: Iterable[tuple[str, int]]
    ) -> None:
        """Send one frame, encoded once, to each of `addresses`."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._writer.trans = TMemoryBuffer()
        frame.write(self._writer)
        data = self._writer.trans.getvalue()
        for address in addresses:
            transport.sendto(data, address)

    @property
    def address(self) -> tuple[str, int]:
        """Local address of the socket."""
        return self._transport.get_extra_info("sockname")

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()


async def open_datagrams(receive, host: str, port: int) -> Datagrams:
    """Bind a socket that passes frames to ``receive(frame, address)``."""
    loop = asyncio.get_running_loop()
    _, datagrams = await loop.create_datagram_endpoint(
        lambda: Datagrams(receive), local_addr=(host, port)
    )
    return datagrams
