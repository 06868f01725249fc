"""Small HTTP/1.1 server and client for the stand-ins, on asyncio streams."""

import asyncio
import contextlib
from dataclasses import dataclass
from dataclasses import field
import socket

__all__ = ["Answer", "Request", "Server", "answer_bytes", "call"]


@dataclass
class Request:
    """A request with its whole body; names of headers in lower case."""

    method: str
    target: str
    headers: dict
    body: bytes

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]


@dataclass
class Answer:
    """An answer as a client read it.

    Attributes
    ----------
    status : int
        0 if the channel ended without a status line.
    whole : bool
        Whether the body came in full, by its length or its last chunk.
    """

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False


def answer_bytes(status: int, headers=(), body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Server:
    """Serves one handler at a loopback address.

    Parameters
    ----------
    handler : coroutine function
        Called with a `Request` and the `StreamWriter`; writes the answer and
        returns whether the channel stays open.
    """

    def __init__(self, handler):
        self._handler = handler
        self._server = None
        self._writers = set()
        self._tasks = set()
        self.address = None

    async def start(self, host: str, port: int = 0):
        """Listen; return the address."""
        self._server = await asyncio.start_server(self._serve, host, port)
        self.address = self._server.sockets[0].getsockname()[:2]
        return self.address

    async def stop(self) -> None:
        """Close the port and every channel."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        task = asyncio.current_task()
        self._tasks.add(task)
        self._writers.add(writer)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                request = await _read_request(reader)
                if not await self._handler(request, writer):
                    break
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            self._writers.discard(writer)
            with contextlib.suppress(OSError, RuntimeError):
                writer.close()


async def _read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers.setdefault(name.strip().lower(), value.strip())
    return first, headers


async def _read_chunks(reader):
    parts = []
    while True:
        line = await reader.readuntil(b"\r\n")
        size = int(line.split(b";")[0], 16)
        parts.append((await reader.readexactly(size + 2))[:-2])
        if not size:
            return b"".join(parts)


async def _read_request(reader):
    first, headers = await _read_head(reader)
    method, target, _ = first.split(" ")
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = await _read_chunks(reader)
    elif int(headers.get("content-length", 0)):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body)


async def call(
    address,
    method: str,
    target: str,
    headers=(),
    body: bytes = b"",
    limit_s: float = 10.0,
) -> Answer:
    """Send one request on a new channel; return what came back."""
    answer = Answer()
    with contextlib.suppress(OSError, EOFError, TimeoutError):
        async with asyncio.timeout(limit_s):
            await _call(address, method, target, headers, body, answer)
    return answer


async def _call(address, method, target, headers, body, answer):
    reader, writer = await asyncio.open_connection(*address, limit=2**24)
    try:
        lines = [f"{method} {target} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        writer.write(head + body)
        first, answer.headers = await _read_head(reader)
        answer.status = int(first.split(" ")[1])
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            answer.body = await _read_chunks(reader)
        else:
            size = int(answer.headers.get("content-length", 0))
            answer.body = await reader.readexactly(size)
        answer.whole = True
    finally:
        writer.close()
