"""TLS handshakes of a server's clients, counted like other connections."""

import asyncio

__all__ = ["TlsHandshake"]


class TlsHandshake(asyncio.Protocol):
    """Protocol of a connection until its TLS handshake is complete.

    The event loop's own server creates a protocol only after the handshake,
    so that clients which never complete one would take descriptors beyond
    any bound.

    Parameters
    ----------
    protocol : asyncio.Protocol
        Its `opened` counts a connection and returns whether it may stay,
        its `forgotten` stops counting it, and `transport` ends it.
    ssl_context : ssl.SSLContext
    timeout_s : float
    """

    def __init__(self, protocol, ssl_context, timeout_s: float):
        self._protocol = protocol
        self._ssl_context = ssl_context
        self._timeout_s = timeout_s
        self._early = []
        self._is_lost = False

    def connection_made(self, transport):
        """Count the connection and begin the handshake."""
        # What is encrypted waits in the TLS layer, where it is counted.
        transport.set_write_buffer_limits(high=1, low=0)
        # The account ends the connection through the protocol's transport.
        self._protocol.transport = transport
        if not self._protocol.opened():
            transport.abort()
            return
        self._task = asyncio.create_task(self._shake_hands(transport))

    def data_received(self, data):
        """Keep what is decrypted before the handshake is known to be done."""
        self._early.append(data)

    def connection_lost(self, exc):
        """Note the end of the connection."""
        self._is_lost = True
        self._protocol.forgotten()

    async def _shake_hands(self, transport):
        loop = asyncio.get_running_loop()
        try:
            secured = await loop.start_tls(
                transport,
                self,
                self._ssl_context,
                server_side=True,
                ssl_handshake_timeout=self._timeout_s,
            )
        except (OSError, TimeoutError):
            transport.abort()
            self._protocol.forgotten()
            return
        if secured is None or self._is_lost:
            # It was closed meanwhile.
            self._protocol.forgotten()
            return
        secured.set_protocol(self._protocol)
        self._protocol.connection_made(secured)
        for data in self._early:
            self._protocol.data_received(data)
        self._early.clear()
