"""Proxy between one machine and the store, whose channels can go silent."""

import asyncio

from review.common_2.wire import reset

__all__ = ["Link"]


class Link:
    """Forwards bytes; a channel that is silent forwards none any more."""

    def __init__(self, target):
        self._target = target
        self._watched = None
        self._effect = ""
        self._found = None

    async def start(self, address):
        """Start to listen."""
        return await asyncio.start_server(self._connected, *address)

    async def silence_next(self, text):
        """Silence the channel that carries the next request with `text`.

        The request itself still arrives. Returns once that happened.
        """
        await self._wait_for(text, "silent")

    async def reset_next(self, text):
        """Reset the channel that carries the next request with `text`."""
        await self._wait_for(text, "reset")

    async def _wait_for(self, text, effect):
        self._watched, self._effect = text, effect
        self._found = asyncio.get_running_loop().create_future()
        await self._found

    async def _connected(self, reader, writer):
        try:
            await self._forward(reader, writer)
        except (OSError, asyncio.CancelledError):
            # The case has ended.
            return
        finally:
            writer.transport.abort()

    async def _forward(self, reader, writer):
        there, back = await asyncio.open_connection(*self._target)
        channel = {"silent": False, "reset": False}
        up = asyncio.create_task(self._pump(reader, back, channel, True))
        down = asyncio.create_task(self._pump(there, writer, channel, False))
        await asyncio.wait({up, down}, return_when=asyncio.FIRST_COMPLETED)
        if channel["silent"]:
            # Neither end learns of it.
            await asyncio.wait({up, down})
        for task in (up, down):
            task.cancel()
        if channel["reset"]:
            reset(writer)
        back.transport.abort()

    async def _pump(self, reader, writer, channel, is_up):
        try:
            while data := await reader.read(65_536):
                if channel["silent"]:
                    continue
                writer.write(data)
                if is_up and self._watched and self._watched in data:
                    self._watched = None
                    self._found.set_result(None)
                    if self._effect == "reset":
                        channel["reset"] = True
                        return
                    channel["silent"] = True
                await writer.drain()
        except ConnectionError:
            return
