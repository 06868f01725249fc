"""A TCP proxy on the loopback that mistreats what passes through it."""

import asyncio
from dataclasses import dataclass

__all__ = ["Link", "Proxy"]


@dataclass
class Link:
    """What a proxy does to its connections at the moment.

    Attributes
    ----------
    delay_ms : int
        Before each read is passed on, either way.
    up, down : bool
        Whether bytes pass towards the server, and back; without them
        they are swallowed, as by a network cut one way.
    refuse : bool
        New connections are reset.
    """

    delay_ms: int = 0
    up: bool = True
    down: bool = True
    refuse: bool = False


class Proxy:
    """Passes connections on to `target`.

    Parameters
    ----------
    target : callable
        Returns host and port to connect to.

    Attributes
    ----------
    link : Link
    """

    def __init__(self, target):
        self.link = Link()
        self._target = target
        self._server = None
        self._writers = set()

    async def start(self, host="127.0.0.1", port=0):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._taken, host, port)
        return self._server.sockets[0].getsockname()[:2]

    def reset_all(self):
        """Reset every connection."""
        for writer in list(self._writers):
            writer.transport.abort()

    async def stop(self):
        """Close the port and every connection."""
        self._server.close()
        self.reset_all()
        await asyncio.sleep(0)

    async def _taken(self, reader, writer):
        if self.link.refuse:
            writer.transport.abort()
            return
        try:
            far_reader, far = await asyncio.open_connection(*self._target())
        except OSError:
            writer.transport.abort()
            return
        self._writers |= {writer, far}
        ways = [
            asyncio.create_task(self._pass(reader, far, "up")),
            asyncio.create_task(self._pass(far_reader, writer, "down")),
        ]
        try:
            await asyncio.wait(ways, return_when="FIRST_COMPLETED")
            # What the other way still carries gets a moment.
            await asyncio.wait(ways, timeout=0.05)
        finally:
            for way in ways:
                way.cancel()
            for each in (writer, far):
                self._writers.discard(each)
                each.transport.abort()

    async def _pass(self, reader, writer, way):
        try:
            while data := await reader.read(65_536):
                if self.link.delay_ms:
                    await asyncio.sleep(self.link.delay_ms / 1_000)
                if getattr(self.link, way):
                    writer.write(data)
                    await writer.drain()
        except ConnectionError:
            # A reset of one side resets the other, in `_taken`.
            return
