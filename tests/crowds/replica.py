"""A replica that answers, hangs or sends much, as the path asks."""

import asyncio
import contextlib

from dahliashunt.platform.names import REQUEST_ID
from dahliashunt.platform.names import SIGNATURE

__all__ = ["CrowdReplica"]

SIZE_BY_WORD = {"long": 900_000, "middling": 60_000}
"""Length of an answer by a word in the path that asks for it."""


class CrowdReplica:
    """HTTP server on a free loopback port.

    A path that holds ``unread`` is not read beyond its head, one that holds
    ``held`` is not answered, one with ``slow-N`` after N seconds, and one with
    a word of `SIZE_BY_WORD` gets an answer of that length.

    Attributes
    ----------
    address : (str, int) or None
    answered : int
    paths : list of str
        Of all requests, as they came.
    """

    def __init__(self):
        self.address = None
        self.answered = 0
        self.paths = []
        self._server = None
        self._tasks = set()

    async def start(self):
        """Start to listen."""
        self._server = await asyncio.start_server(
            self._connected, "127.0.0.1", 0, backlog=2_000
        )
        self.address = self._server.sockets[0].getsockname()

    async def stop(self):
        """Close the port and every connection."""
        self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _connected(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            with contextlib.suppress(
                ConnectionError,
                asyncio.CancelledError,
                asyncio.IncompleteReadError,
            ):
                while True:
                    await self._serve(reader, writer)
        finally:
            self._tasks.discard(task)
            writer.transport.abort()

    async def _serve(self, reader, writer):
        raw = await reader.readuntil(b"\r\n\r\n")
        first, *lines = raw.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines if line)
        headers = {name.lower(): text.strip() for name, _, text in pairs}
        path = first.split()[1]
        self.paths.append(path)
        if "unread" in path:
            await asyncio.Event().wait()
        left = int(headers.get("content-length", 0))
        while left:
            left -= len(await reader.read(min(left, 65_536)))
        if "held" in path:
            # Ends with the connection, as a replica's work does.
            await reader.read(1)
            raise ConnectionError
        if "slow-" in path:
            await asyncio.sleep(int(path.rpartition("slow-")[2]))
        body = b"answer"
        for word, size in SIZE_BY_WORD.items():
            if word in path:
                body = b"x" * size
        request_id = headers.get(REQUEST_ID, "")
        answer = [
            "HTTP/1.1 200 OK",
            f"{REQUEST_ID}: {request_id}",
            f"{SIGNATURE}: seal",
            f"Content-Length: {len(body)}",
        ]
        writer.write("\r\n".join(answer).encode() + b"\r\n\r\n" + body)
        await writer.drain()
        self.answered += 1
